#pragma once

// The arbiter of one shard: who gets the shard's fixed capacity next, and what the others are told.
//
// Entry hosts keep the requests and send small tickets; the arbiter answers each with one grant or one refusal,
// and hears of the end of each grant by a release. It is a plain class: every call hands in the time, answers
// wait in takeActions(), and nextWake() tells when tick() is due though nothing arrives.
//
// Promises
//   - Tiers are strict in shedding and preemption, every class has a minimum share of the grants, customers of a
//     tier are served fairly in tokens; grantorder.h states the order and the bounds.
//   - Every message may come twice, late, or not at all. A repeated ticket has the first one's answer sent again
//     (a grant whose time has run out is renewed: same endpoint, same epoch); one that comes after its release or
//     cancel is dropped. Ended attempts are remembered for ArbiterOptions::endedMemory, at most endedLimit.
//   - A ticket ends exactly once: by a grant and its release, by a refusal or by a cancel. A refusal is sent as soon
//     as it is known: at the deadline, when even the tickets that must go before it fill the time that remains
//     (Hopeless), when there is no room (QueueFull), or when no endpoint takes work for noEndpointGrace.
//     retryAfter is the time in which the tickets that go before it would be worked off.
//   - Hopeless counts tickets of the same and of higher tiers only, and never reaches a class's reserved places.
//   - Preemption takes the newest work of the lowest tier that may be stopped, for a request of a higher tier that
//     is about to miss its first-token target while every place is taken. The place it frees is granted in order
//     of tiers, never by a minimum share, and work that was granted by a share, or by a former arbiter, is not
//     stopped: otherwise a class could lose its place to a lower one, or a share would be undone at once.
//   - A new preset holds for waiting tickets at once: tier, target, limits, and the deadline moved by the change of
//     the class's. Running work is left alone.
//
// A new arbiter knows nothing of the work in flight. For collectingRound it grants no more than collectingFraction of
// the places it sees free, so it can overfill the endpoints by that part at most, while entry hosts re-send
// their tickets and held permits. Afterwards a host that has not re-sent is not waited for.
//
// Work of a dead host keeps its place for orphanHold, since its endpoint goes on without a reader; a host that
// comes back re-sends its permits and has them again. A permit without any news for silentPermitLimit is given up.
//
// Before the first preset tickets are dropped unanswered: entry hosts send them again.
//
// Cost: see grantorder.h; a call also asks the pool for free places while tickets wait. Memory: queueBudget plus
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

    /** An older version than the one in force, or the same, changes nothing. */
    void applyPreset(TimePoint now, std::shared_ptr<const PresetInForce> preset);

    void ticket(TimePoint now, const Ticket &ticket);
    /** The caller went away. Takes a permit back too: a grant may be on its way. */
    void cancel(TimePoint now, const AttemptId &id);
    void release(TimePoint now, const Release &release);
    /** A sign of life of running work. @param tokens received so far */
    void progress(TimePoint now, const AttemptId &id, std::uint32_t tokens);
    /** An attempt that runs under a permit of a former arbiter, or is re-sent after a broken link. */
    void held(TimePoint now, const HeldPermit &held);
    /** Where an entry host is, for the hop cost; unknown hosts are placed without one. */
    void hostDomain(const HostId &host, FailureDomain domain);
    /** A host is dead: its tickets are dropped, its permits become orphans. */
    void hostRemoved(TimePoint now, const HostId &host);
    /** To be called at nextWake() and after the pool was updated. */
    void tick(TimePoint now);

    /** What is to be sent, in order; empties the list. */
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
    TimePoint m_now; ///< the latest time handed in
    TimePoint m_collectingUntil;
    std::size_t m_collectingGrants = 0; ///< made during the collecting round and not released yet
    TimePoint m_lastSweep;
    std::optional<TimePoint> m_withoutEndpointSince;
    GrantOrder m_order;
    PermitTable m_permits;
    EndedAttempts m_ended;
    LengthModel m_lengths;
    ServiceRate m_rate;
    std::size_t m_preemptedSlots = 0; ///< places freed by preemption and not granted again yet
    std::unordered_map<HostId, FailureDomain> m_hostDomains;
    std::vector<ArbiterAction> m_actions;
    ArbiterStatus m_counters;
};

} // namespace Rhubarbwind

#include "arbiter/arbiterimpl.h"
