#pragma once

// The entry side of permits for one shard: a decision without I/O.
//
// The entry host keeps each request; this desk keeps its ticket while it waits, its permit while it runs and its
// release until the arbiter has it. It promises:
//
// - Every request is answered exactly once, by a grant or a refusal, at the latest at its queue deadline; one that
//   is given up on is answered at once. A cancelled request is not answered.
// - An attempt gets at most one permit, whatever is lost, doubled, late or answered by two arbiters: an attempt
//   leaves the waiting ones when it is granted, and every other grant for it is given back unused.
// - Each arbiter that owns the shard is told all tickets, held permits and releases, again whenever it may have lost
//   some: a new owner or term, a link that came up, a gap in either direction's sequence numbers.
// - When the arbiter has not answered for `fallbackAfter`, tickets are granted from the host's static share
//   (localshare.h) until it answers again; permits taken meanwhile are told as held.
//
// Use: hand events in with the time, then takeActions() and carry them out in order; call tick() at nextWake().
// Batches go out at most every `flushInterval`. Cost: logarithmic in the tickets an event, linear in what changed a
// flush; a full re-send is linear in all. Bounds: see PermitDeskOptions; over `maxWaiting` the newest ticket of the
// lowest tier is refused, over `maxReleases` the desk takes a new incarnation, so that the arbiter forgets this
// host's permits and is told afresh.

#include "arbiter/localshare.h"
#include "arbiter/permitcodec.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

namespace Rhubarbwind
{

struct PermitDeskOptions
{
    ShardId shard;
    HostId self;
    std::uint64_t incarnation = 1; ///< from 1; differs from that of this host's former process
    Duration flushInterval = 2ms; ///< least time between batches to another host; adds at most this to a request's wait
    Duration keepAliveInterval = 250ms; ///< an empty batch while something is outstanding: shows loss and silence
    Duration fallbackAfter = 1s; ///< four lost keep-alives; shorter than membership takes to name a new owner
    Duration progressInterval = 500ms; ///< least time between two tellings of progress
    Duration renewalInterval = 10s; ///< progress is told this often at least; an arbiter takes an orphan's place after 20 s without
    Duration localGrantExpiry = 2s; ///< for permits of the own share
    Duration noEndpointGrace = 2s; ///< in fallback, how long tickets wait for a first endpoint
    std::size_t maxWaiting = 20'000;
    std::size_t maxReleases = 20'000;
};

/** Send the batch to the host, which may be this one. */
struct SendPermitRequests
{
    HostId to;
    PermitRequests batch;
};

using PermitDeskAction = std::variant<SendPermitRequests, Grant, Refusal, Preemption>;

struct PermitDeskStatus
{
    HostId owner;
    Epoch epoch = 0;
    bool fallback = false; ///< granting from the static share
    std::size_t waiting = 0;
    std::size_t held = 0;
    std::size_t unacknowledged = 0; ///< releases and cancels
    std::uint64_t grants = 0;
    std::uint64_t localGrants = 0;
    std::uint64_t refusals = 0;
    std::uint64_t grantsGivenBack = 0;
    std::uint64_t grantsTooOld = 0;
    std::uint64_t fullSends = 0;
    std::uint64_t fallbacks = 0; ///< times that fallback began
    std::uint64_t unexpected = 0; ///< events that a correct relay does not send
};

class PermitDesk
{
public:
    PermitDesk(PermitDeskOptions options, TimePoint now);

    /** Asks for a permit. An attempt that is known already is not asked for twice. */
    void request(TimePoint now, Ticket ticket);
    /** The caller went away before an answer was used; nothing will be answered. */
    void cancel(TimePoint now, const AttemptId &id);
    void progress(TimePoint now, const AttemptId &id, std::uint32_t tokens);
    /** Gives a permit back; a second release of it is ignored. */
    void release(TimePoint now, const Release &release);

    void answers(TimePoint now, const HostId &from, const PermitAnswers &answers);
    /** Who serves the shard now; empty when nobody does or this host cannot know. */
    void ownerChanged(TimePoint now, const HostId &owner);
    /** The link to the owner was opened anew. */
    void linkUp(TimePoint now);
    void linkDown(TimePoint now);

    void applyPreset(TimePoint now, std::shared_ptr<const PresetInForce> preset);
    void setEndpoints(TimePoint now, std::span<const Endpoint> endpoints);
    void setHosts(TimePoint now, std::span<const HostId> hosts);
    void loadReport(TimePoint now, const LoadReport &report);

    void tick(TimePoint now);
    std::vector<PermitDeskAction> takeActions();
    /** When tick() has something to do next; none while nothing is outstanding. */
    std::optional<TimePoint> nextWake() const;
    PermitDeskStatus status() const;

private:
    struct Waiting
    {
        Ticket ticket;
        TimePoint arrived;
        TimePoint deadline;
        bool told = false; ///< the owner may know it
        bool listed = false; ///< in m_untoldTickets
    };
    struct Held
    {
        Ticket ticket;
        TimePoint arrived;
        EndpointId endpoint;
        HostId granter; ///< empty: this host's own share
        Epoch epoch = 0;
        std::uint32_t tokens = 0;
        bool told = false; ///< the owner knows that it is held
        bool listed = false; ///< in m_untoldHeld
        bool progressListed = false; ///< in m_changedProgress
    };
    /** A release or cancel that the owner has not acknowledged. */
    struct Unacknowledged
    {
        std::optional<Release> release; ///< none: a cancel
        std::uint64_t sequence = 0; ///< of the batch that carried it; zero: none yet
    };
    /** A grant of a former arbiter on its way back; best effort, the arbiter's own expiry covers a loss. */
    struct GivenBack
    {
        HostId to;
        Epoch term = 0;
        Release release;
        std::uint32_t sendsLeft = 0;
        TimePoint nextSend;
    };
    struct SentBatch
    {
        std::uint64_t sequence = 0;
        TimePoint at;
    };

    bool isLocalMode() const;
    bool grantsLocally() const;
    bool hasOutstanding() const;
    bool isCurrentTerm(const HostId &from, const PermitAnswers &answers) const;
    void noteEpoch(const HostId &from, Epoch epoch);
    Epoch epochElsewhere() const;
    std::optional<TimePoint> sentAt(std::uint64_t sequence) const;
    void acknowledge(std::uint64_t sequence);
    void noteAnswerSequence(const PermitAnswers &answers);
    /** @param madeAfter the arbiter made the grant no earlier than this; none: unknown */
    void acceptGrant(TimePoint now, const HostId &from, const Grant &grant, std::optional<TimePoint> madeAfter);
    void acceptPreemption(const Preemption &preemption);
    void giveBack(TimePoint now, const HostId &from, const Grant &grant);
    void hold(TimePoint now, std::map<AttemptId, Waiting>::iterator waiting, const Grant &grant, const HostId &granter);
    /** Removes a waiting ticket; with `tellOwner` the owner is sent a cancel if it may know the ticket. */
    void forget(std::map<AttemptId, Waiting>::iterator waiting, bool tellOwner);
    void refuse(const AttemptId &id, RefusalReason reason, Duration retryAfter, bool tellOwner);
    void listTicket(const AttemptId &id, Waiting &waiting);
    void listHeld(const AttemptId &id, Held &held);
    void addUnacknowledged(const AttemptId &id, std::optional<Release> release);
    void resendAll();
    void startAfresh();
    void checkSilence(TimePoint now);
    void expireDeadlines(TimePoint now);
    void decideLocally(TimePoint now);
    void refuseImpossible(TimePoint now);
    void flush(TimePoint now);
    Duration flushWait() const;
    bool hasUntold() const;
    bool isProgressDue(TimePoint now) const;
    void listProgress(const AttemptId &id, Held &held);
    void renewHeld(TimePoint now);
    void sendBatch(TimePoint now);
    void fillTickets(TimePoint now, PermitRequests &batch);
    void fillHeld(TimePoint now, PermitRequests &batch);
    void fillUnacknowledged(PermitRequests &batch);
    void fillProgress(TimePoint now, PermitRequests &batch);
    void sendGivenBack(TimePoint now);
    std::optional<TimePoint> nextSend() const;

    PermitDeskOptions m_options;
    LocalShare m_share;
    std::shared_ptr<const PresetInForce> m_preset;
    std::vector<PermitDeskAction> m_actions;

    std::map<AttemptId, Waiting> m_waiting;
    std::set<std::pair<TimePoint, AttemptId>> m_deadlines;
    std::map<AttemptId, Held> m_held;
    std::map<AttemptId, Unacknowledged> m_unacknowledged;
    std::deque<GivenBack> m_givenBack;

    // What the next batches carry; an entry may have become moot since it was listed.
    std::deque<AttemptId> m_untoldTickets;
    std::deque<AttemptId> m_untoldHeld;
    std::deque<AttemptId> m_unsent;
    std::deque<AttemptId> m_changedProgress;

    HostId m_owner;
    Epoch m_epoch = 0; ///< the greatest seen
    HostId m_epochHost; ///< who showed it first
    std::map<HostId, Epoch> m_epochs; ///< the greatest by host
    std::uint64_t m_sequence = 0;
    std::uint64_t m_acknowledged = 0;
    std::optional<TimePoint> m_acknowledgedSentAt; ///< when the batch numbered m_acknowledged was sent
    std::uint64_t m_completeSequence = 0; ///< first batch of the last full re-send
    bool m_completeNext = true;
    std::uint64_t m_answerSequence = 0;
    std::deque<SentBatch> m_sent; ///< not acknowledged yet
    std::deque<std::pair<std::uint64_t, AttemptId>> m_sentUnacknowledged; ///< releases and cancels by batch
    std::optional<TimePoint> m_silentSince; ///< something is unanswered since then
    std::optional<TimePoint> m_noTakerSince;
    TimePoint m_lastFlush;
    TimePoint m_lastProgress;
    TimePoint m_lastRenewal;
    TimePoint m_lastTick;
    bool m_fallback = false;
    bool m_localWork = false; ///< something changed that may allow a local grant or refusal
    PermitDeskStatus m_counts;
};

} // namespace Rhubarbwind
