#include "fleet/fleetclock.h"

#include "fleet/fleetplaces_test.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

TEST_CASE("hosts whose time of day jumps agree with the others on true time", "[usage]")
{
    // Usage of a window is counted into the next one by hosts whose clock is ahead, and the customer's bill is off by a third. The
    // clocks of three hosts in ten stand two seconds wrong, this one's too, some ahead, some behind; then they jump back.
    constexpr std::int64_t trueMs = 1'700'000'000'000;
    const bool isOwnWrong = GENERATE(false, true);
    FleetClock clock;
    for (int i = 0; i < 10; ++i) {
        const std::int64_t error = i >= 3 ? 0 : i == 0 ? -2400 : 2400;
        clock.heard(FleetTest::placeOf(i), trueMs + error, FleetTest::start);
    }
    const std::int64_t own = trueMs + (isOwnWrong ? 2400 : 0);
    CHECK(clock.milliseconds(own, FleetTest::start) == trueMs);
    CHECK(clock.milliseconds(own + 700, FleetTest::start + 700ms) == trueMs + 700);
    // Who is silent counts no more, and alone a host has its own time.
    CHECK(clock.milliseconds(own + 60'000, FleetTest::start + 60s) == own + 60'000);
    // A host that does not tell is not counted.
    clock.heard(FleetTest::placeOf(20), 0, FleetTest::start + 60s);
    CHECK(clock.milliseconds(own + 60'000, FleetTest::start + 60s) == own + 60'000);
}
