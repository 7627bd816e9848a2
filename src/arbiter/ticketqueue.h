#pragma once

// The tickets that wait in one shard, reachable by attempt, by deadline, by arrival and by tier, customer
// and class. It keeps them; who goes next is decided in grantorder.h.
//
// Cost: O(log n) to add, find or take a ticket; the heads are read in O(1), or O(classes) for a customer.
// Memory: a few hundred bytes a ticket; the owner bounds the number.

#include "arbiter/arbitertypes.h"
#include "arbiter/permit.h"
#include "base/tier.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

struct QueuedTicket
{
    Ticket ticket;
    Tier tier;
    TimePoint arrived; ///< at the entry host: now less the time waited
    TimePoint due; ///< arrived plus the class's first-token target
    TimePoint deadline;
    std::uint64_t sequence = 0; ///< order in which the arbiter heard; settles ties
};

class TicketQueue
{
public:
    /** Where a ticket stands in a line; earlier goes first. */
    struct Place
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        const QueuedTicket *ticket = nullptr;
        friend bool operator<(const Place &left, const Place &right)
        {
            return left.time != right.time ? left.time < right.time : left.sequence < right.sequence;
        }
    };
    /** In order of arrival. */
    using Line = std::set<Place>;

    /** What one customer has waiting in one tier. */
    struct Backlog
    {
        std::size_t size = 0;
        std::map<ClassId, Line> classes; ///< none is empty
    };
    using Backlogs = std::unordered_map<CustomerId, Backlog>;

    /** The attempt must not be waiting yet. The address stays valid until the ticket is taken. */
    const QueuedTicket &add(QueuedTicket queued);
    std::optional<QueuedTicket> take(const AttemptId &id);
    /** Takes all, in order of arrival. */
    std::vector<QueuedTicket> takeAll();

    const QueuedTicket *find(const AttemptId &id) const;
    std::size_t size() const;
    std::size_t sizeOf(const ClassId &id) const;
    /** Tickets waiting in tiers higher than this one. */
    std::size_t sizeAbove(Tier tier) const;
    const std::map<ClassId, std::size_t> &classSizes() const;
    /** Tiers with tickets waiting, highest first. */
    const std::map<Tier, Backlogs> &tiers() const;
    /** Null when the customer has nothing waiting in the tier. */
    const Backlog *backlog(Tier tier, const CustomerId &customer) const;

    const Line &byArrival() const;
    const Line &byDeadline() const;

private:
    void unlink(const QueuedTicket &queued);

    std::unordered_map<AttemptId, QueuedTicket, AttemptHash> m_tickets;
    std::map<Tier, Backlogs> m_tiers;
    std::map<Tier, std::size_t> m_tierSizes;
    std::map<ClassId, std::size_t> m_classSizes;
    Line m_byArrival;
    Line m_byDeadline;
};

/** The customer's ticket that is due first, over its classes. The backlog must not be empty. */
const QueuedTicket &firstDue(const TicketQueue::Backlog &backlog);

} // namespace Rhubarbwind
