#include "arbiter/arbiter.h"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

struct Places
{
    std::size_t limit = 1;
    std::size_t used = 0;
    bool takers = true;

    std::optional<EndpointChoice> choose(TimePoint, const EndpointQuery &)
    {
        return used < limit ? std::optional(EndpointChoice{EndpointId("engine-1")}) : std::nullopt;
    }
    void reserve(TimePoint, const Reservation &, std::span<const std::uint64_t>)
    {
        ++used;
    }
    void free(TimePoint, const Reservation &, const ServiceSample &)
    {
        --used;
    }
    void freeUnused(TimePoint, const Reservation &)
    {
        --used;
    }
    void update(TimePoint, std::span<const Endpoint>)
    {
    }
    std::size_t freePlaces(TimePoint)
    {
        return limit - std::min(limit, used);
    }
    bool hasTakers()
    {
        return takers;
    }
};

} // namespace

TEST_CASE("tickets are granted in order of tiers")
{
    const TimePoint start(1h);
    Places pool;
    Arbiter<Places> arbiter(ShardId("s"), ArbiterOptions(), pool, 1, start);
    std::shared_ptr<PresetInForce> preset = std::make_shared<PresetInForce>();
    preset->version = 1;
    preset->preset.classes = {ClassRule{ClassId("low"), Tier{1}}, ClassRule{ClassId("high"), Tier{0}}};
    arbiter.applyPreset(start, preset);
    const TimePoint now = start + 1s;
    arbiter.tick(now);
    Ticket ticket;
    ticket.entry = HostId("h");
    ticket.deadlineIn = 10s;
    for (const std::uint32_t attempt : {0, 1, 2}) {
        ticket.id = {RequestId("r"), attempt};
        ticket.classId = ClassId(attempt == 2 ? "high" : "low");
        arbiter.ticket(now, ticket);
    }
    REQUIRE(arbiter.takeActions().size() == 1);
    arbiter.release(now, Release{{RequestId("r"), 0}, EndpointId("engine-1")});
    const std::vector<ArbiterAction> actions = arbiter.takeActions();
    REQUIRE(actions.size() == 1);
    REQUIRE(std::get<Grant>(actions[0].message).id.attempt == 2);
}
