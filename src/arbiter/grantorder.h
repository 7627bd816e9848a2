#pragma once

// The arbiter's policy on its queue: which waiting ticket is granted next, and which is shed when the queue is full.
//
// Order of grants:
//   1. The highest tier with a waiting ticket.
//   2. Within it, the customer that has been granted the fewest tokens for its weight (customerfairness.h); customers
//      that are level are ordered by the due time of their first ticket.
//   3. Within the customer, the ticket that is due first, over all classes of the tier: arrival plus the class's
//      first-token target, so the class with the shorter target goes first until the other has waited longer by the
//      difference.
//   In addition, a class that is due by its minimum share (progressshare.h) gets a grant out of turn.
//
// Cost of the minimum shares for a higher request: it is granted after n others by the order above; then, with S the sum
// and C the number of the shares of lower classes, and g the shard's mean time between grants,
//   added wait <= g * min(n + 1, (S * (n + 1) + 2 * C) / (1 - S)),
// since no two successive grants are out of turn and a bucket holds at most two. A grant out of turn is deferred, at most
// maxDeferrals times, while the request that is next in order is about to reach its deadline.
//
// Guarantee for a lower class: from the moment it has a waiting ticket, one of its tickets is granted within
//   ceil(1 / share) + (2 + maxDeferrals) * classes
// grants of the shard, however many higher ones wait, not counting grants of slots that preemption freed.
//
// Order of shedding. Each class has ArbiterOptions::reservedTickets of its own, which the shard's budget does not count:
// shedding one would free no capacity for other classes, and without a reserve a flood of higher requests would shed a
// lower class for ever before its share could act. Above the reserves the shard holds queueBudget tickets. When the budget
// is exceeded, the lowest tier with a ticket beyond its class's reserve loses one: the newest of the customer with the most
// waiting for its weight. So a ticket is shed for lack of capacity only when every lower class is within its reserve. A
// class over its own queueLimit loses one of its own tickets: shedding another class would not help.
//
// Under ArbitrationMode::Fifo classes, tiers and customers are ignored: tickets are granted by arrival and the newest is
// shed.
//
// Cost: O(log n + classes) per grant and O(classes + customers with work) per shed ticket; a grant out of turn also takes a
// step for each customer without work in the due class.

#include "arbiter/arbitertypes.h"
#include "arbiter/customerfairness.h"
#include "arbiter/progressshare.h"
#include "arbiter/ruleindex.h"
#include "arbiter/ticketqueue.h"

#include <optional>
#include <vector>

namespace Rhubarbwind
{

class GrantOrder
{
public:
    /** Maximum successive deferrals of a due class in favour of a request that is about to reach its deadline. */
    static constexpr int maxDeferrals = 4;

    struct Pick
    {
        const QueuedTicket *queued = nullptr; ///< valid until the queue changes
        bool outOfTurn = false; ///< granted by the class's minimum share
        bool deferred = false; ///< a due class is deferred in its favour
    };

    explicit GrantOrder(const ArbiterOptions &options);

    /** Applies new rules to the waiting tickets and returns those whose class no longer exists. */
    std::vector<QueuedTicket> setRules(RuleIndex rules);
    const RuleIndex &rules() const;

    /** The class must be known and the attempt must not be waiting. */
    const QueuedTicket &add(TimePoint now, const Ticket &ticket);
    /** Removes a ticket that ends without a grant. */
    std::optional<QueuedTicket> take(const AttemptId &id);

    /** The next ticket in order of tiers, or none when none waits. */
    std::optional<Pick> nextInTurn() const;
    /** The next ticket to grant. @param deadlineGuard remaining time below which a ticket is "about to reach its deadline" */
    std::optional<Pick> next(TimePoint now, Duration deadlineGuard) const;
    /** Removes the picked ticket and charges its customer. @param charge in tokens */
    QueuedTicket grant(const Pick &pick, double charge);
    /** Corrects the charge made at the grant. @param tokens the difference, negative when less was used */
    void correctCharge(Tier tier, const CustomerId &customer, double tokens);

    /** The ticket to shed, or null while the queue is within its budgets. */
    const QueuedTicket *overBudget() const;
    /** Whether the class has no more waiting tickets than its reserve. */
    bool isWithinReserve(const ClassId &id) const;

    /** Estimated number of grants until a ticket that has just been added is granted. */
    std::size_t grantsUntil(const QueuedTicket &queued) const;
    /** The same for the first ticket of the class. */
    std::size_t minGrantsUntil(Tier tier, const ClassId &id) const;

    const TicketQueue &queue() const;

private:
    /** The part of a customer's backlog that may be shed. */
    struct Sheddable
    {
        std::size_t size = 0;
        const QueuedTicket *newest = nullptr;
    };

    std::optional<Pick> pickOfClass(const ClassId &id) const;
    const QueuedTicket *newestOfLargestBacklog(const TicketQueue::Backlogs &backlogs, const ClassId *only) const;
    Sheddable sheddableOf(const TicketQueue::Backlog &backlog, const ClassId *only) const;
    bool isSheddable(const ClassId &id, const ClassId *only) const;
    std::size_t reserveOf(const ClassId &id) const;
    std::size_t grantsByShare(std::size_t position, const ClassId &id) const;
    const QueuedTicket &enqueue(QueuedTicket &&queued);
    bool hasWaiting(const ClassId &id) const;

    ArbiterOptions m_options;
    RuleIndex m_rules;
    TicketQueue m_queue;
    CustomerFairness m_fairness;
    ProgressShare m_shares;
    std::uint64_t m_sequence = 0;
    bool m_lastOutOfTurn = false;
    int m_deferrals = 0;
};

} // namespace Rhubarbwind
