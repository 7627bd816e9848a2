#pragma once

// The arbiter of one shard: decides which requests get the shard's fixed capacity, and when the others are refused.
//
// Entry hosts keep the requests and send small tickets. The arbiter answers each ticket with one grant or one refusal;
// a release reports the end of each grant. A plain class without I/O: every call passes the time, messages to send are
// returned by takeActions(), and nextWake() returns when tick() is due if nothing arrives before.
//
// Guarantees
//   - Tiers are strict in shedding and preemption, every class has a minimum share of the grants, and the customers of
//     a tier are served fairly in tokens. grantorder.h defines the order and its bounds.
//   - Every message may be duplicated, late or lost. A repeated ticket gets the first answer again (an expired grant is
//     renewed with the same endpoint and epoch); a ticket that arrives after its release or cancel is dropped. Ended
//     attempts are remembered for ArbiterOptions::endedMemory, at most endedLimit of them.
//   - A ticket ends exactly once: by a grant and its release, by a refusal or by a cancel. A refusal is sent as soon as
//     it is known: when the deadline passes, when the tickets ahead of it take longer than the time that remains
//     (Hopeless), when the queue is full (QueueFull), or when no endpoint takes work for noEndpointGrace. retryAfter is
//     the time that the tickets ahead of it need.
//   - Hopeless counts only tickets of the same and of higher tiers, and never affects the reserved tickets of a class.
//   - Preemption stops the newest preemptible work of the lowest tier, for a request of a higher tier that is about to
//     miss its first-token target while every slot is in use. The freed slot is granted in order of tiers, never by a
//     minimum share, and work that was granted by a share or by a former arbiter is not stopped: otherwise a class could
//     lose its slot to a lower one, or a share would be undone at once.
//   - A new preset applies to waiting tickets at once: tier, target, limits, and the deadline, which moves by the change
//     of the class's deadline. Running work is not affected.
//
// A new arbiter does not know the work in flight. During collectingRound it grants at most collectingFraction of the
// slots that it sees free, which bounds the overload of the endpoints to that fraction, while entry hosts re-send their
// tickets and held permits. After the round it does not wait for hosts that have not re-sent.
//
// Work of a dead host keeps its slot for orphanHold, since the endpoint continues without a reader; a host that returns
// re-sends its permits and holds them again. A permit without any message for silentPermitLimit is reclaimed.
//
// Tickets that arrive before the first preset are dropped without an answer: entry hosts send them again.
//
// Cost: see grantorder.h; while tickets wait, a call also queries the pool for free slots. Memory: queueBudget plus
// reservedTickets for each class, permitLimit, endedLimit.

#include "arbiter/arbitertypes.h"
#include "arbiter/endedattempts.h"
#include "arbiter/grantorder.h"
#include "arbiter/lengthmodel.h"
#include "arbiter/permittable.h"
#include "arbiter/servicerate.h"
#include "routing/endpointchoice.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

template <EndpointChooser Pool>
class Arbiter
{
public:
    /** @param pool the shard's endpoints; its owner updates it and must outlive the arbiter */
    Arbiter(ShardId shard, ArbiterOptions options, Pool &pool, Epoch epoch, TimePoint now);

    /** Ignores versions that are not newer than the one in force. */
    void applyPreset(TimePoint now, std::shared_ptr<const PresetInForce> preset);

    void ticket(TimePoint now, const Ticket &ticket);
    /** The caller disconnected. Also frees a permit, since its grant may be in transit. */
    void cancel(TimePoint now, const AttemptId &id);
    void release(TimePoint now, const Release &release);
    /** Running work made progress. @param tokens received so far */
    void progress(TimePoint now, const AttemptId &id, std::uint32_t tokens);
    /** An attempt that runs under a permit of a former arbiter, or whose permit is re-sent after a broken link. */
    void held(TimePoint now, const HeldPermit &held);
    /** Sets an entry host's failure domain, for the hop cost; unknown hosts have no hop cost. */
    void hostDomain(const HostId &host, FailureDomain domain);
    /** A host died: its tickets are dropped and its permits become orphans. */
    void hostRemoved(TimePoint now, const HostId &host);
    /** Call at nextWake() and after each update of the pool. */
    void tick(TimePoint now);

    /** Returns the messages to send, in order, and clears the list. */
    std::vector<ArbiterAction> takeActions();
    std::optional<TimePoint> nextWake() const;
    ArbiterStatus status() const;

private:
    void settle(TimePoint now);
    void expireTickets(TimePoint now);
    void expirePermits(TimePoint now);
    void refuseWithoutEndpoint(TimePoint now);
    void dispatch(TimePoint now);
    void shed(TimePoint now);
    void sweepHopeless(TimePoint now);
    void preempt(TimePoint now);

    bool answerKnown(TimePoint now, const Ticket &ticket);
    void resendGrant(TimePoint now, const Permit &permit);
    bool mayGrant(TimePoint now);
    bool isCollecting() const;
    bool grantOne(TimePoint now);
    std::optional<EndpointChoice> chooseFor(TimePoint now, const Ticket &ticket);
    Permit makePermit(TimePoint now, const Ticket &ticket, Tier tier, const EndpointId &endpoint) const;
    bool isPreemptible(const Ticket &ticket) const;
    std::uint32_t estimateOf(const Ticket &ticket) const;
    double chargeFor(const Ticket &ticket, std::uint32_t tokens, std::uint32_t reused) const;
    void addHeld(TimePoint now, const HeldPermit &held);
    void finish(TimePoint now, const Permit &permit, const Release &release);
    void freeSlot(TimePoint now, const Permit &permit, const Release &release);
    void refuse(TimePoint now, const QueuedTicket &queued, RefusalReason reason);
    void refuseIfHopeless(TimePoint now, const AttemptId &id);
    bool isHopeless(TimePoint now, const QueuedTicket &queued, std::size_t grants) const;
    Duration retryAfter(const QueuedTicket &queued, RefusalReason reason) const;
    void send(const HostId &host, std::variant<Grant, Refusal, Preemption> message);

    ShardId m_shard;
    ArbiterOptions m_options;
    Pool &m_pool;
    Epoch m_epoch;
    TimePoint m_now; ///< latest time passed in
    TimePoint m_collectingUntil;
    std::size_t m_collectingGrants = 0; ///< granted during the collecting round and not released yet
    TimePoint m_lastSweep;
    std::optional<TimePoint> m_withoutEndpointSince;
    GrantOrder m_order;
    PermitTable m_permits;
    EndedAttempts m_ended;
    LengthModel m_lengths;
    ServiceRate m_rate;
    std::size_t m_preemptedSlots = 0; ///< slots freed by preemption and not granted again yet
    std::unordered_map<HostId, FailureDomain> m_hostDomains;
    std::vector<ArbiterAction> m_actions;
    ArbiterStatus m_counters;
};

} // namespace Rhubarbwind

#include "arbiter/arbiterimpl.h"
