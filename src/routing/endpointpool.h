#pragma once

// The endpoints of one shard: which one should run the next piece of work, and what was learned of each.

#include "base/ids.h"
#include "base/time.h"
#include "routing/endpoint.h"
#include "routing/endpointchoice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

/** Round-trip times between failure domains; pairs that are not named take `within` or `between`. */
struct HopCosts
{
    Duration within = Duration::zero();
    Duration between = 1ms;
    std::map<std::pair<FailureDomain, FailureDomain>, Duration> named; ///< one direction is enough

    Duration cost(const FailureDomain &from, const FailureDomain &to) const;
};

struct EndpointPoolOptions
{
    HopCosts hops;
    Duration leavingMemory = 60s; ///< a leaving signal outweighs a lagging "live" of the host list for this long
};

/** Why an endpoint would get no work now. */
enum class EndpointObstacle : std::uint8_t {
    None,
    Leaving,
    Gone,
    Failing, ///< waits after failures
    AtLimit, ///< in flight reaches the limit in force
    MemoryFull, ///< the reserved tokens fill its KV memory
};

/** One endpoint as the pool sees it. */
struct EndpointStatus
{
    EndpointId endpoint;
    EndpointState state = EndpointState::Live;
    std::uint32_t limit = 0; ///< in force now, warm-up and straggler cut included
    std::uint32_t inFlight = 0;
    std::uint64_t reservedTokens = 0; ///< prompt and estimated output of the work in flight
    double speed = 1.0; ///< relative to the pool's median
    bool straggler = false;
    EndpointObstacle obstacle = EndpointObstacle::None;
};

class EndpointPool
{
public:
    EndpointPool(EndpointPoolOptions options, TimePoint now);

    std::optional<EndpointChoice> choose(TimePoint now, const EndpointQuery &query);
    void reserve(TimePoint now, const Reservation &reservation, std::span<const std::uint64_t> prefixDigests);
    void free(TimePoint now, const Reservation &reservation, const ServiceSample &sample);
    void freeUnused(TimePoint now, const Reservation &reservation);
    void update(TimePoint now, std::span<const Endpoint> endpoints);
    std::size_t freePlaces(TimePoint now) const;
    bool hasTakers() const;

    void loadReport(TimePoint now, const LoadReport &report);
    void cacheEvent(TimePoint now, const CacheEvent &event);
    void markLeaving(TimePoint now, const EndpointId &endpoint);
    std::vector<EndpointStatus> status(TimePoint now) const;

private:
    struct Member
    {
        Endpoint endpoint;
        std::uint32_t inFlight = 0;
        std::uint64_t reservedTokens = 0;
        std::optional<TimePoint> leavingUntil;
        bool listed = false;
    };

    EndpointObstacle obstacle(TimePoint now, const Member &member, std::uint64_t neededTokens) const;
    void release(const Reservation &reservation);

    EndpointPoolOptions m_options;
    std::map<EndpointId, Member> m_members;
};

static_assert(EndpointChooser<EndpointPool>);

} // namespace Rhubarbwind
