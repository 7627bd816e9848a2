#pragma once

// Decides which requests of a plain service are sent, wait at this host for a slot, or are refused. Pure decision logic; performs no I/O.
//
// A plain endpoint runs a few requests at once, some queue a few more, and then it refuses. All hosts send to the same few endpoints, and each knows the
// others' requests only from reports and beacons some hundred milliseconds old. Two faults follow from that. Hosts with the same knowledge choose the same
// endpoint until the next report, which fills it while another is idle. And a request that is refused by two endpoints is lost, although a slot becomes
// free within a slot's time.
//
// Choice: an endpoint is drawn with a probability that fills the endpoints up to an equal level with the requests that all hosts send until the knowledge
// is renewed. Old knowledge gives nearly equal probabilities, fresh knowledge the least loaded endpoint; a host that is alone knows everything and always
// uses the least loaded one.
//
// Wait: an endpoint has a place for a request if its forecast load lets the request be answered within its goal, and stays below the load at which the
// endpoint is known to refuse. Without such an endpoint the request waits, at most `holdShare` of its goal. It is refused at once if no place becomes free
// by then. At the end of the hold it is sent if the endpoint is not forecast to be full, since forecasts are old, and else refused. Waiting requests are
// served in the order of tier, excess of the customer over its share, and goal time. The first one that finds no place blocks all after it, so no request
// overtakes one that precedes it in that order.
//
// A customer above its share may use less of the endpoints' own queues: the time that its request may spend there is divided by its excess. The division
// applies to the lowest tier of the service only, because tiers take precedence over shares.
//
// The owner calls arrive() for each request before each send, next() when something has changed or wakeAt() is reached, and leave() when a waiting request
// ends otherwise.
//
// Memory: at most `maxWaiting` requests per service, and one entry per endpoint that has reported or refused. Cost: one pass over the service's endpoints
// per decision, one over its waiting requests per event.

#include "base/ids.h"
#include "base/random.h"
#include "base/tier.h"
#include "base/time.h"
#include "placing/slotcandidate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

/** The source of the other hosts' requests at an endpoint. */
enum class SlotKnowledge : std::uint8_t {
    Reports, ///< the endpoint's reports to this host; beacons where it has not reported
    Peers, ///< beacons of the other hosts
    Larger, ///< the larger of the two
};

struct SlotQueueOptions
{
    SlotKnowledge knowledge = SlotKnowledge::Reports;
    bool waitsBeforeFirstSend = true;
    double holdShare = 0.1; ///< of the goal; a request that is held for over an eighth and then refused costs its caller more than a refusal at once
    double goalShare = 0.9; ///< of the goal, within which an answer must be forecast; with 0.8, places of endpoints that queue stay unused in an overload
    Duration slotTime = 30ms; ///< until answers have been seen
    Duration reportLag = 150ms; ///< age of a report on arrival
    Duration beaconAge = 400ms; ///< mean age of the peers' counts
    Duration reportLifetime = 1s; ///< as SelectorOptions::reportLifetime
    Duration minWake = 2ms; ///< between two attempts without an event; below the time in which six slots of 30 ms free one
    std::size_t maxWaiting = 64; ///< per service; within a hold of some 20 ms, 24 slots of 30 ms free fewer places, even for a host that is alone
};

struct SlotRequest
{
    std::uint64_t id = 0; ///< unique among the requests in the queue
    ShardId service;
    CustomerId customer; ///< empty without a key
    Tier tier;
    Duration goal{};
    TimePoint goalEnd; ///< when its goal, or its caller's time, is over
    bool isFirstSend = true;
};

enum class SlotAction : std::uint8_t {
    Send,
    Wait,
    Refuse,
};

struct SlotDecision
{
    std::uint64_t id = 0;
    SlotAction action = SlotAction::Wait;
    EndpointId endpoint; ///< to send to
    Duration retryDelay{}; ///< of a refusal: when a place is likely to be free, different for each request
};

/** The requests of one service that waited for a slot, for operators. */
struct SlotWaitRow
{
    ShardId service;
    std::size_t waiting = 0; ///< now
    Duration longest{}; ///< time that the oldest of them has waited
    std::uint64_t sent = 0; ///< after a wait
    std::uint64_t refused = 0; ///< at once, without a wait
    std::uint64_t expired = 0; ///< refused after a wait
};

class SlotQueue
{
public:
    using Excess = std::function<double(const ShardId &service, const CustomerId &customer, TimePoint now)>;

    SlotQueue(SlotQueueOptions options, std::uint64_t seed)
        : m_options(options)
        , m_random(seed)
    {
    }

    /** Sets the customer's use relative to its share, 1 being exactly its share. Without it, 1 for all. */
    void setExcess(Excess excess)
    {
        m_excess = std::move(excess);
    }

    /**
     * Decides about a request that is to be sent now.
     * @param candidates endpoints that may be used, at least one
     */
    SlotDecision arrive(const SlotRequest &request, std::span<const SlotCandidate> candidates, TimePoint now);
    /** Returns the next decision about a waiting request other than to wait; to be called until there is none, with renewed candidates each time. */
    std::optional<SlotDecision> next(const ShardId &service, std::span<const SlotCandidate> candidates, TimePoint now);
    /** A waiting request ended otherwise; its place is free at once. */
    void leave(const ShardId &service, std::uint64_t id);
    /** From now on no request waits; next() decides about those that do. */
    void stop()
    {
        m_isStopping = true;
    }

    /** The endpoint refused a request because it is full. */
    void endpointRefused(const ShardId &service, const EndpointId &endpoint, TimePoint now);
    /** An endpoint reported how many requests it queues. */
    void endpointReported(const ShardId &service, const EndpointId &endpoint, std::uint32_t waiting);
    /** An answer arrived `time` after the request was sent. @param waiting as the endpoint reported with it */
    void answered(const ShardId &service, Duration time, std::uint32_t waiting);
    void endpointRemoved(const ShardId &service, const EndpointId &endpoint);

    /** When next() is due without any event; none if nothing waits. */
    std::optional<TimePoint> wakeAt() const;
    /** Services with waiting requests. */
    std::vector<ShardId> waitingServices() const;
    std::size_t waiting(const ShardId &service) const;
    /** One row per service that had a request to wait or refuse, ordered by id. */
    std::vector<SlotWaitRow> rows(TimePoint now) const;

private:
    struct Entry
    {
        SlotRequest request;
        TimePoint since;
        TimePoint holdEnd;
        double excess = 1;
        bool isDisplaced = false; ///< by requests that precede it in a full queue
    };
    struct Endpoint
    {
        std::uint32_t mostWaiting = 0; ///< that it has queued by its reports
        TimePoint refusedAt{}; ///< zero: it has never refused, so the length of its queue is not known
        bool hasReported = false;
    };
    struct Service
    {
        std::vector<Entry> waiting; ///< in the order of service
        std::unordered_map<EndpointId, Endpoint> endpoints;
        double slotMs = 0; ///< mean time of a request in a slot
        std::uint8_t lowestTier = 0; ///< greatest level seen
        TimePoint wakeAt = TimePoint::max(); ///< when a place is likely to be free, or the first hold ends
        SlotWaitRow row;
    };
    /** Forecast of one endpoint. */
    struct Forecast
    {
        const SlotCandidate *candidate = nullptr;
        double slots = 1;
        double others = 0; ///< requests of other hosts, as known
        double ageMs = 0; ///< of that knowledge
        double load = 0; ///< requests of all hosts running or queued there now
        double limit = 0; ///< load at which it refuses
        double admitted = 0; ///< load at which the request would be answered too late, or refused
    };
    /** Where a request may be sent, or when. */
    struct Search
    {
        std::optional<EndpointId> endpoint;
        Duration freeIn{}; ///< without an endpoint: when the first place is likely to be free
    };

    Service &service(const ShardId &id);
    double excessOf(const SlotRequest &request, TimePoint now) const;
    std::vector<Forecast> forecast(const Service &service, std::span<const SlotCandidate> candidates, TimePoint now) const;
    /** @param isLastChance the request is refused if it is not sent now */
    Search search(const Service &service, std::span<const SlotCandidate> candidates, const Entry &entry, bool isLastChance, TimePoint now);
    EndpointId draw(const Service &service, std::span<const Forecast> eligible);
    SlotDecision refusal(const Service &service, const Entry &entry, Duration freeIn);
    static bool precedes(const Entry &left, const Entry &right);

    SlotQueueOptions m_options;
    Random m_random;
    Excess m_excess;
    std::map<ShardId, Service> m_services;
    bool m_isStopping = false;
};

} // namespace Rhubarbwind
