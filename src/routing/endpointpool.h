#pragma once

// The endpoints of one shard: which one should run the next piece of work, and what was learned about each.
//
// The shard's arbiter owns an EndpointPool (it satisfies EndpointChooser). All events that matter for the choice are passed in, and it reads no clock.
// Among the endpoints that may take the work it chooses the one with the lowest
//
//     score = (expected wait + hop cost + expected prefill) / speed                             [seconds]
//
//     expected wait    engine:  streamWeight x output tokens x rise x load / slots
//                      service: usual answer time x (load + 1) / slots
//         where `rise` is by how much a batch of `slots` slows each token (fitted over the pool), and load is the own work in flight plus the work of others
//         according to reports. A longer stream has a tenth of the weight of a late first token, since callers wait for the first token.
//     hop cost         round trip between the entry host's failure domain and the endpoint's, from a table. The way from the client to the entry host is the
//                      same for every choice and left out.
//     expected prefill prefill time per token (fitted over the pool) x prompt tokens not expected in the cache
//     speed            observed speed relative to the pool's median (speedmodel.h); below 1 is slower
//
// Equal scores go to the endpoint with the lower load relative to its limit, then to the one that has waited longest for work.
//
// An endpoint may take work if it is live on the host list, not marked as leaving, not waiting after failures, below its limit and within its KV memory. The
// limit is the adaptive one (adaptivelimit.h), reduced while the endpoint is cold (new after the pool's start, or just back), a straggler, or on trial after
// failures. KV memory is reserved for the prompt plus the estimated output; work that is larger than the whole memory is taken by an idle endpoint only. An
// endpoint on the query's avoid list is chosen only if no other one can take the work now.
//
// After markLeaving() or update() has returned, no new work goes to an endpoint that is leaving.
//
// Cost: choose() is one pass over the endpoints and one hash look-up per digest, about 10 us at 50 endpoints.
// Limits: prefix affinity covers PrefixIndex::maxHolders endpoints; further ones are chosen without it.

#include "base/ids.h"
#include "base/time.h"
#include "routing/adaptivelimit.h"
#include "routing/decayedline.h"
#include "routing/endpoint.h"
#include "routing/endpointchoice.h"
#include "routing/endpointload.h"
#include "routing/failurewait.h"
#include "routing/leavingmark.h"
#include "routing/prefixindex.h"
#include "routing/speedmodel.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

/** Round-trip times between failure domains; pairs that are not in `named` use `within` or `between`. */
struct HopCosts
{
    Duration within = Duration::zero();
    Duration between = 1ms;
    std::map<std::pair<FailureDomain, FailureDomain>, Duration> named; ///< one direction per pair is enough

    Duration cost(const FailureDomain &from, const FailureDomain &to) const;
};

struct EndpointPoolOptions
{
    HopCosts hops;
    AdaptiveLimitOptions limit;
    SpeedOptions speed;
    PrefixIndexOptions prefix;
    Duration leavingMemory = 60s; ///< a leaving signal outweighs a lagging "live" of the host list for this long
    Duration startGrace = 5s; ///< endpoints listed this soon after the pool's start count as warm
    Duration warmUp = 10s; ///< time in which the limit rises from coldShare to all of it
    double coldShare = 0.25;
    Duration firstFailureWait = 1s;
    Duration maxFailureWait = 30s;
    Duration trialAge = 2s; ///< work on trial that has run this long shows that the endpoint is up
    Duration reportWindow = 3s; ///< load reports count for this long
    Duration prefillPerToken = 200us; ///< default until there are enough first tokens
    Duration batchRise = 38ms; ///< rise of the inter-token time from an idle engine to a full one; a default likewise
    Duration serviceRise = 100ms; ///< the same for a plain service's answer time
    double streamWeight = 0.1; ///< weight of a second of longer stream relative to a second of later first token
    std::uint32_t blockTokens = 64; ///< prompt tokens in one cache block, at about 4 bytes a token
    std::size_t maxDigests = 256; ///< digests of a prompt that are used: 64 KB of text
};

/** Why an endpoint can take no work now. */
enum class EndpointObstacle : std::uint8_t {
    None,
    Leaving,
    Removed,
    Failing, ///< waiting after failures
    AtLimit, ///< the work in flight reaches the limit in force
    MemoryFull, ///< the reserved tokens fill its KV memory
};

/** One endpoint's state in the pool. */
struct EndpointStatus
{
    EndpointId endpoint;
    EndpointState state = EndpointState::Live; ///< including the leaving mark
    std::uint32_t limit = 0; ///< in force now: the adaptive limit with all reductions
    std::uint32_t inFlight = 0;
    std::uint32_t externalLoad = 0; ///< work of others, by the endpoint's reports
    std::uint64_t reservedTokens = 0; ///< prompt and estimated output of the work in flight
    double speed = 1.0; ///< relative to the pool's median
    bool straggler = false;
    EndpointObstacle obstacle = EndpointObstacle::None;
};

class EndpointPool
{
public:
    EndpointPool(EndpointPoolOptions options, TimePoint now);

    /** Changes nothing; call reserve() for the result. @return nothing if no endpoint can take the work now */
    std::optional<EndpointChoice> choose(TimePoint now, const EndpointQuery &query) const;
    /** Counts the work regardless of the limits, since a new arbiter takes over work that is already running. */
    void reserve(TimePoint now, const Reservation &reservation, std::span<const std::uint64_t> prefixDigests);
    /** For a plain service the sample's firstToken is the answer time. A second free() of the same work is ignored and counted. */
    void free(TimePoint now, const Reservation &reservation, const ServiceSample &sample);
    void freeUnused(TimePoint now, const Reservation &reservation);
    /** Endpoints that are no longer listed count as removed; their work in flight stays counted until it is freed. */
    void update(TimePoint now, std::span<const Endpoint> endpoints);
    /** Free slots for work of mean size; zero exactly when choose() would accept no work of any size. */
    std::size_t freeSlots(TimePoint now) const;
    bool hasActiveEndpoints() const;

    void loadReport(TimePoint now, const LoadReport &report);
    void cacheEvent(TimePoint now, const CacheEvent &event);
    /** The endpoint, a peer or an operator announced that it is leaving (see leavingmark.h). Repeat the call while that is so. */
    void markLeaving(TimePoint now, const EndpointId &endpoint);

    /**
     * Reports the pace of a running stream, so that a straggler is noticed before any of its work is released.
     * @param interToken mean over the last `tokens` tokens; report a stream's pace every second or two
     */
    void progress(TimePoint now, const EndpointId &endpoint, Duration interToken, std::uint32_t tokens);

    std::vector<EndpointStatus> status(TimePoint now) const;
    /** Number of frees of work that was not in flight; above zero it indicates repeated releases. */
    std::uint64_t unmatchedFrees() const
    {
        return m_unmatchedFrees;
    }

private:
    struct Member
    {
        Endpoint endpoint;
        bool listed = false;
        LeavingMark mark;
        EndpointLoad load;
        AdaptiveLimit limit;
        EndpointSpeed speed;
        FailureWait failures;
        std::optional<TimePoint> coldSince;
        std::optional<PrefixIndex::Holder> holder;
        TimePoint lastTaken{};
        std::uint64_t lastReservationNumber = 0;
        bool reportsReuse = false;
    };
    struct Candidate
    {
        EndpointChoice choice;
        double score = 0;
        double use = 0; ///< load divided by limit
        std::uint64_t lastReservationNumber = 0;
        bool avoided = false;
        bool probe = false; ///< tests whether a straggler has recovered
    };

    Member &member(TimePoint now, const EndpointId &id);
    Member *find(const EndpointId &id);
    void list(TimePoint now, const Endpoint &endpoint);
    void unlist(Member &member);
    void resetLearned(Member &member);
    void eraseForgotten(TimePoint now);

    EndpointState stateOf(TimePoint now, const Member &member) const;
    std::uint32_t limitInForce(TimePoint now, const Member &member) const;
    std::uint32_t loadOf(TimePoint now, const Member &member) const;
    EndpointObstacle obstacle(TimePoint now, const Member &member, std::uint64_t neededTokens) const;
    std::size_t freeSlotsOf(TimePoint now, const Member &member) const;

    Candidate evaluate(TimePoint now, const EndpointQuery &query, const Member &member, const PrefixIndex::Match &match) const;
    static bool ranksBefore(const Candidate &left, const Candidate &right);
    double expectedWait(TimePoint now, const EndpointQuery &query, const Member &member) const;
    std::uint32_t reusedTokens(const EndpointQuery &query, const Member &member, const PrefixIndex::Match &match) const;
    std::span<const std::uint64_t> leading(std::span<const std::uint64_t> digests) const;

    void learn(TimePoint now, Member &member, const Reservation &reservation, const ServiceSample &sample, const FinishedWork &work);
    void learnFailure(TimePoint now, Member &member, const FinishedWork &work);
    double tokenGain(std::uint32_t tokens) const;
    void learnSpeed(TimePoint now, Member &member, DecayedLine &line, double batch, Duration seen, double gain);
    void learnPrefix(TimePoint now, Member &member, const ServiceSample &sample, const FinishedWork &work);
    void refreshMedian(TimePoint now);

    EndpointPoolOptions m_options;
    TimePoint m_start;
    TimePoint m_lastEvent;
    std::map<EndpointId, Member> m_members;
    std::uint64_t m_freeHolders = ~std::uint64_t{0};
    PrefixIndex m_index;
    DecayedLine m_tokenLine; ///< inter-token seconds as a function of batch / slots
    DecayedLine m_answerLine; ///< a plain service's answer seconds as a function of batch / slots
    DecayedLine m_prefillLine; ///< first-token seconds as a function of prompt tokens not reused
    double m_medianSlowdown = 1.0;
    double m_meanTokens = 0; ///< mean tokens of a reservation
    std::uint64_t m_reservationCount = 0;
    std::uint64_t m_unmatchedFrees = 0;
};

static_assert(EndpointChooser<EndpointPool>);

} // namespace Rhubarbwind
