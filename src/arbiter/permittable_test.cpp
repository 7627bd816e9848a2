#include "arbiter/permittable.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

TEST_CASE("a running stream's pace is told once enough tokens came")
{
    const TimePoint start(1h);
    PermitTable permits;
    Permit permit;
    permit.ticket.id = {RequestId("r"), 1};
    permit.reservation.endpoint = EndpointId("e");
    permit.givenUp = start + 60s;
    permits.add(permit);
    const AttemptId id = permit.ticket.id;
    REQUIRE_FALSE(permits.renew(start, id, 0, start + 60s)); // still in the engine's queue
    REQUIRE_FALSE(permits.renew(start + 1s, id, 4, start + 60s)); // the first news is where counting begins
    REQUIRE_FALSE(permits.renew(start + 2s, id, 4 + leastPaceTokens - 1, start + 60s));
    const std::optional<StreamPace> pace = permits.renew(start + 3s, id, 24, start + 60s);
    REQUIRE(pace);
    REQUIRE(pace->endpoint == EndpointId("e"));
    REQUIRE(pace->tokens == 20);
    REQUIRE(pace->interToken == 100ms);
    REQUIRE_FALSE(permits.renew(start + 4s, id, 20, start + 60s)); // late news, out of order
}
