// Strict tiers with a minimum share that is filled by grants are used instead of one weighted queue of all classes: a weight
// high enough to meet a top tier's target in a burst starves the other classes as strict tiers do, and gives no bound that
// an operator could state.

#include "arbiter/grantorder.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Rhubarbwind
{

namespace
{

// Durations come from other hosts; an extreme value must not overflow a time point.
constexpr Duration longestWait = 24h;

bool isNewer(const QueuedTicket &left, const QueuedTicket &right)
{
    return std::pair(left.arrived, left.sequence) > std::pair(right.arrived, right.sequence);
}

} // namespace

GrantOrder::GrantOrder(const ArbiterOptions &options)
    : m_options(options)
{
}

std::vector<QueuedTicket> GrantOrder::setRules(RuleIndex rules)
{
    std::vector<QueuedTicket> waiting;
    while (m_queue.size() > 0) {
        const AttemptId first = m_queue.byArrival().begin()->ticket->ticket.id;
        waiting.push_back(*take(first));
    }
    const RuleIndex former = std::move(m_rules);
    m_rules = std::move(rules);
    std::vector<ProgressShare::Share> shares;
    for (const ClassRule &rule : m_rules.inForce()->preset.classes) {
        shares.push_back({rule.name, std::max(m_options.minShare, rule.minimumShare)});
    }
    m_shares.setShares(shares, m_options.maxShareSum);
    std::vector<QueuedTicket> removed;
    for (QueuedTicket &queued : waiting) {
        const ClassRule *rule = m_rules.findClass(queued.ticket.classId);
        if (!rule) {
            removed.push_back(std::move(queued));
            continue;
        }
        const ClassRule *formerRule = former.findClass(queued.ticket.classId);
        queued.deadline += formerRule ? rule->queueDeadline - formerRule->queueDeadline : Duration::zero();
        queued.tier = rule->tier;
        queued.due = queued.arrived + rule->firstTokenTarget;
        enqueue(std::move(queued));
    }
    return removed;
}

const RuleIndex &GrantOrder::rules() const
{
    return m_rules;
}

const QueuedTicket &GrantOrder::add(TimePoint now, const Ticket &ticket)
{
    const ClassRule *rule = m_rules.findClass(ticket.classId);
    QueuedTicket queued;
    queued.ticket = ticket;
    queued.tier = rule->tier;
    queued.arrived = now - std::clamp(ticket.waited, Duration::zero(), longestWait);
    queued.due = queued.arrived + rule->firstTokenTarget;
    queued.deadline = now + std::min(ticket.deadlineIn, longestWait);
    queued.sequence = ++m_sequence;
    return enqueue(std::move(queued));
}

const QueuedTicket &GrantOrder::enqueue(QueuedTicket &&queued)
{
    const QueuedTicket &kept = m_queue.add(std::move(queued));
    m_fairness.activate(kept.tier, kept.ticket.customer);
    return kept;
}

std::optional<QueuedTicket> GrantOrder::take(const AttemptId &id)
{
    std::optional<QueuedTicket> taken = m_queue.take(id);
    if (taken && !m_queue.backlog(taken->tier, taken->ticket.customer)) {
        m_fairness.deactivate(taken->tier, taken->ticket.customer);
    }
    return taken;
}

std::optional<GrantOrder::Pick> GrantOrder::nextInTurn() const
{
    if (m_queue.size() == 0) {
        return std::nullopt;
    }
    if (m_rules.isFifo()) {
        return Pick{m_queue.byArrival().begin()->ticket};
    }
    const Tier tier = m_queue.tiers().begin()->first;
    const QueuedTicket *best = nullptr;
    double bestTag = 0;
    m_fairness.visitInOrder(tier, [&](const CustomerId &customer, double tag) {
        if (best && tag > bestTag) {
            return false;
        }
        const QueuedTicket &first = firstDue(*m_queue.backlog(tier, customer));
        if (!best || std::pair(first.due, first.sequence) < std::pair(best->due, best->sequence)) {
            best = &first;
        }
        bestTag = tag;
        return true;
    });
    return Pick{best};
}

std::optional<GrantOrder::Pick> GrantOrder::next(TimePoint now, Duration deadlineGuard) const
{
    std::optional<Pick> inTurn = nextInTurn();
    if (!inTurn || m_rules.isFifo() || m_lastOutOfTurn) {
        return inTurn;
    }
    const ClassId *due = m_shares.dueClass([this](const ClassId &id) { return hasWaiting(id); });
    if (!due || *due == inTurn->queued->ticket.classId) {
        return inTurn;
    }
    if (m_deferrals < maxDeferrals && inTurn->queued->deadline - now < deadlineGuard) {
        inTurn->deferred = true;
        return inTurn;
    }
    return pickOfClass(*due);
}

std::optional<GrantOrder::Pick> GrantOrder::pickOfClass(const ClassId &id) const
{
    const ClassRule *rule = m_rules.findClass(id);
    std::optional<Pick> pick;
    m_fairness.visitInOrder(rule->tier, [&](const CustomerId &customer, double) {
        const TicketQueue::Backlog *backlog = m_queue.backlog(rule->tier, customer);
        const auto tickets = backlog->classes.find(id);
        if (tickets == backlog->classes.end()) {
            return true;
        }
        pick = Pick{tickets->second.begin()->ticket, true};
        return false;
    });
    return pick;
}

QueuedTicket GrantOrder::grant(const Pick &pick, double charge)
{
    const Ticket &ticket = pick.queued->ticket;
    m_shares.recordGrant(ticket.classId, [this](const ClassId &id) { return hasWaiting(id); });
    m_fairness.charge(pick.queued->tier, ticket.customer, charge / m_rules.weightOf(ticket.customer));
    m_lastOutOfTurn = pick.outOfTurn;
    m_deferrals = pick.deferred ? m_deferrals + 1 : (pick.outOfTurn ? 0 : m_deferrals);
    return *take(AttemptId(ticket.id));
}

void GrantOrder::correctCharge(Tier tier, const CustomerId &customer, double tokens)
{
    m_fairness.correct(tier, customer, tokens / m_rules.weightOf(customer));
}

const QueuedTicket *GrantOrder::overBudget() const
{
    if (m_rules.isFifo()) {
        return m_queue.size() > m_options.queueBudget ? m_queue.byArrival().rbegin()->ticket : nullptr;
    }
    std::size_t counted = 0;
    for (const auto &[classId, size] : m_queue.classSizes()) {
        const ClassRule *rule = m_rules.findClass(classId);
        if (size > rule->queueLimit) {
            return newestOfLargestBacklog(m_queue.tiers().at(rule->tier), &classId);
        }
        counted += size - std::min(size, reserveOf(classId));
    }
    if (counted <= m_options.queueBudget) {
        return nullptr;
    }
    for (auto lowest = m_queue.tiers().rbegin(); lowest != m_queue.tiers().rend(); ++lowest) {
        if (const QueuedTicket *found = newestOfLargestBacklog(lowest->second, nullptr)) {
            return found;
        }
    }
    return nullptr;
}

const QueuedTicket *GrantOrder::newestOfLargestBacklog(const TicketQueue::Backlogs &backlogs, const ClassId *only) const
{
    const QueuedTicket *victim = nullptr;
    double largest = 0;
    for (const auto &[customer, backlog] : backlogs) {
        const Sheddable sheddable = sheddableOf(backlog, only);
        const double size = static_cast<double>(sheddable.size) / m_rules.weightOf(customer);
        if (size > 0 && (size > largest || (size == largest && isNewer(*sheddable.newest, *victim)))) {
            victim = sheddable.newest;
            largest = size;
        }
    }
    return victim;
}

GrantOrder::Sheddable GrantOrder::sheddableOf(const TicketQueue::Backlog &backlog, const ClassId *only) const
{
    Sheddable sheddable;
    for (const auto &[classId, tickets] : backlog.classes) {
        if (!isSheddable(classId, only)) {
            continue;
        }
        const QueuedTicket *last = tickets.rbegin()->ticket;
        sheddable.newest = !sheddable.newest || isNewer(*last, *sheddable.newest) ? last : sheddable.newest;
        sheddable.size += tickets.size();
    }
    return sheddable;
}

bool GrantOrder::isSheddable(const ClassId &id, const ClassId *only) const
{
    return only ? id == *only : !isWithinReserve(id);
}

bool GrantOrder::isWithinReserve(const ClassId &id) const
{
    return m_queue.sizeOf(id) <= reserveOf(id);
}

std::size_t GrantOrder::reserveOf(const ClassId &id) const
{
    const ClassRule *rule = m_rules.findClass(id);
    return rule ? std::min<std::size_t>(m_options.reservedTickets, rule->queueLimit) : 0;
}

std::size_t GrantOrder::grantsUntil(const QueuedTicket &queued) const
{
    if (m_rules.isFifo()) {
        return m_queue.size();
    }
    const TicketQueue::Backlogs &backlogs = m_queue.tiers().at(queued.tier);
    const CustomerId &customer = queued.ticket.customer;
    const double turns = static_cast<double>(backlogs.at(customer).size) / m_rules.weightOf(customer);
    double before = static_cast<double>(m_queue.sizeAbove(queued.tier));
    for (const auto &[other, backlog] : backlogs) {
        before += std::min(static_cast<double>(backlog.size), turns * m_rules.weightOf(other));
    }
    const std::size_t byShare = grantsByShare(m_queue.sizeOf(queued.ticket.classId), queued.ticket.classId);
    return std::min(static_cast<std::size_t>(before), byShare);
}

std::size_t GrantOrder::minGrantsUntil(Tier tier, const ClassId &id) const
{
    return m_rules.isFifo() ? 1 : std::min(m_queue.sizeAbove(tier) + 1, grantsByShare(1, id));
}

std::size_t GrantOrder::grantsByShare(std::size_t position, const ClassId &id) const
{
    const double share = m_shares.shareOf(id);
    return share > 0 ? static_cast<std::size_t>(static_cast<double>(position) / share) : std::numeric_limits<std::size_t>::max();
}

const TicketQueue &GrantOrder::queue() const
{
    return m_queue;
}

bool GrantOrder::hasWaiting(const ClassId &id) const
{
    return m_queue.sizeOf(id) > 0;
}

} // namespace Rhubarbwind
