#pragma once

// Which waiting ticket goes next, and which has to go when there is no room: the arbiter's policy on its queue.
//
// Order of grants:
//   1. The highest tier with a ticket waiting.
//   2. Within it the customer that has been granted the fewest tokens for its weight (customerfairness.h);
//      customers that are level go by the due time of their first ticket.
//   3. Within the customer the ticket that is due first, over the tier's classes: arrival plus the class's
//      first-token target, so the class with the shorter target goes first until the other has waited longer
//      by the difference.
//   Apart from these a class that is due by its minimum share (progressshare.h) takes a grant out of turn.
//
// What the minimum shares cost a higher request: it is granted after n others by the order above; then, with S
// the sum and C the number of the shares of lower classes, and g the shard's mean time between grants,
//   added wait <= g * min(n + 1, (S * (n + 1) + 2 * C) / (1 - S)),
// since no two grants in succession are out of turn and a bucket holds at most two. A grant out of turn is put
// off, at most maxDeferrals times, while the request that is next in order is about to reach its deadline.
//
// What they give a lower class: from the moment it has a ticket waiting, one of its tickets is granted within
//   ceil(1 / share) + (2 + maxDeferrals) * classes
// grants of the shard, however many higher ones wait, not counting grants of places that preemption freed.
//
// Order of shedding. Each class has ArbiterOptions::reservedTickets of its own, which the shard's budget does not
// count: emptying one would make no room for anybody else, and with none at all a flood of higher requests would
// shed a lower class for ever before its share could act. Above them the shard holds queueBudget tickets; over
// it, the lowest tier with a ticket beyond its class's reserve loses one: the newest of the customer with the most
// waiting for its weight. So a ticket is shed for want of room only when every lower class is within its reserve.
// A class over its own queueLimit loses one of its own: no other class's going would help.
//
// Under ArbitrationMode::Fifo classes, tiers and customers are ignored: arrival decides, and the newest is shed.
//
// Cost: O(log n + classes) a grant and O(classes + customers with work) a shed ticket; a customer without work
// in the due class costs a step on a grant out of turn.

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
    /** Times in succession that a due class steps back for a request which is about to reach its deadline. */
    static constexpr int maxDeferrals = 4;

    struct Pick
    {
        const QueuedTicket *queued = nullptr; ///< valid until the queue changes
        bool outOfTurn = false; ///< by the class's minimum share
        bool deferred = false; ///< a due class steps back for it
    };

    explicit GrantOrder(const ArbiterOptions &options);

    /** Puts the waiting tickets under new rules and returns those whose class is gone. */
    std::vector<QueuedTicket> setRules(RuleIndex rules);
    const RuleIndex &rules() const;

    /** The class must be known and the attempt must not be waiting. */
    const QueuedTicket &add(TimePoint now, const Ticket &ticket);
    /** Takes a ticket that ends without a grant. */
    std::optional<QueuedTicket> take(const AttemptId &id);

    /** The next in order of tiers, or nothing when none waits. */
    std::optional<Pick> nextInTurn() const;
    /** The next to be granted. @param deadlineGuard what counts as "about to reach its deadline" */
    std::optional<Pick> next(TimePoint now, Duration deadlineGuard) const;
    /** Takes the picked ticket and charges its customer. @param charge in tokens */
    QueuedTicket grant(const Pick &pick, double charge);
    /** Charges the customer for more (or, negative, for less) than at the grant. @param tokens the difference */
    void correctCharge(Tier tier, const CustomerId &customer, double tokens);

    /** The ticket that has to go, or null while the queue is within its budgets. */
    const QueuedTicket *overBudget() const;
    /** Whether the class holds no more than its reserved places. */
    bool isWithinReserve(const ClassId &id) const;

    /** Grants until a ticket that has just been added gets its own, as far as can be told now. */
    std::size_t grantsUntil(const QueuedTicket &queued) const;
    /** The same for a ticket of the class that is first among its own. */
    std::size_t minGrantsUntil(Tier tier, const ClassId &id) const;

    const TicketQueue &queue() const;

private:
    /** What of a customer's backlog may be shed. */
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
