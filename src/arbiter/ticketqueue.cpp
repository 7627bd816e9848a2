#include "arbiter/ticketqueue.h"

#include <cassert>

namespace Rhubarbwind
{

namespace
{

TicketQueue::Place arrivalPlace(const QueuedTicket &queued)
{
    return {queued.arrived, queued.sequence, &queued};
}

TicketQueue::Place deadlinePlace(const QueuedTicket &queued)
{
    return {queued.deadline, queued.sequence, &queued};
}

template <class Sizes, class Key>
void decrement(Sizes &sizes, const Key &key)
{
    const auto found = sizes.find(key);
    if (--found->second == 0) {
        sizes.erase(found);
    }
}

} // namespace

const QueuedTicket &TicketQueue::add(QueuedTicket queued)
{
    const AttemptId id = queued.ticket.id;
    const auto [found, added] = m_tickets.try_emplace(id, std::move(queued));
    const QueuedTicket &kept = found->second;
    if (!added) {
        return kept;
    }
    Backlog &backlog = m_tiers[kept.tier][kept.ticket.customer];
    ++backlog.size;
    backlog.classes[kept.ticket.classId].insert(arrivalPlace(kept));
    ++m_tierSizes[kept.tier];
    ++m_classSizes[kept.ticket.classId];
    m_byArrival.insert(arrivalPlace(kept));
    m_byDeadline.insert(deadlinePlace(kept));
    return kept;
}

std::optional<QueuedTicket> TicketQueue::take(const AttemptId &id)
{
    const auto found = m_tickets.find(id);
    if (found == m_tickets.end()) {
        return std::nullopt;
    }
    unlink(found->second);
    std::optional<QueuedTicket> taken = std::move(found->second);
    m_tickets.erase(found);
    return taken;
}

std::vector<QueuedTicket> TicketQueue::takeAll()
{
    std::vector<QueuedTicket> all;
    all.reserve(m_tickets.size());
    for (const Place &place : m_byArrival) {
        all.push_back(*place.ticket);
    }
    *this = TicketQueue();
    return all;
}

void TicketQueue::unlink(const QueuedTicket &queued)
{
    const auto tier = m_tiers.find(queued.tier);
    const auto customer = tier->second.find(queued.ticket.customer);
    Backlog &backlog = customer->second;
    const auto line = backlog.classes.find(queued.ticket.classId);
    line->second.erase(arrivalPlace(queued));
    if (line->second.empty()) {
        backlog.classes.erase(line);
    }
    if (--backlog.size == 0) {
        tier->second.erase(customer);
    }
    if (tier->second.empty()) {
        m_tiers.erase(tier);
    }
    decrement(m_tierSizes, queued.tier);
    decrement(m_classSizes, queued.ticket.classId);
    m_byArrival.erase(arrivalPlace(queued));
    m_byDeadline.erase(deadlinePlace(queued));
}

const QueuedTicket *TicketQueue::find(const AttemptId &id) const
{
    const auto found = m_tickets.find(id);
    return found == m_tickets.end() ? nullptr : &found->second;
}

std::size_t TicketQueue::size() const
{
    return m_tickets.size();
}

std::size_t TicketQueue::sizeOf(const ClassId &id) const
{
    const auto found = m_classSizes.find(id);
    return found == m_classSizes.end() ? 0 : found->second;
}

std::size_t TicketQueue::sizeAbove(Tier tier) const
{
    std::size_t above = 0;
    for (const auto &[level, size] : m_tierSizes) {
        above += level.isHigherThan(tier) ? size : 0;
    }
    return above;
}

const std::map<ClassId, std::size_t> &TicketQueue::classSizes() const
{
    return m_classSizes;
}

const std::map<Tier, TicketQueue::Backlogs> &TicketQueue::tiers() const
{
    return m_tiers;
}

const TicketQueue::Backlog *TicketQueue::backlog(Tier tier, const CustomerId &customer) const
{
    const auto backlogs = m_tiers.find(tier);
    if (backlogs == m_tiers.end()) {
        return nullptr;
    }
    const auto found = backlogs->second.find(customer);
    return found == backlogs->second.end() ? nullptr : &found->second;
}

const TicketQueue::Line &TicketQueue::byArrival() const
{
    return m_byArrival;
}

const TicketQueue::Line &TicketQueue::byDeadline() const
{
    return m_byDeadline;
}

const QueuedTicket &firstDue(const TicketQueue::Backlog &backlog)
{
    const QueuedTicket *first = nullptr;
    for (const auto &[classId, line] : backlog.classes) {
        const QueuedTicket *head = line.begin()->ticket;
        if (!first || std::pair(head->due, head->sequence) < std::pair(first->due, first->sequence)) {
            first = head;
        }
    }
    assert(first);
    return *first;
}

} // namespace Rhubarbwind
