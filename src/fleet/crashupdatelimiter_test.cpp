#include "fleet/crashupdatelimiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace Rhubarbwind;

namespace
{

const TimePoint start = TimePoint() + 1h;

SharedPartCrash crashOf(std::uint64_t part, std::uint64_t incarnation)
{
    SharedPartCrash crash;
    crash.identityLow = part;
    crash.incarnationKey = incarnation;
    return crash;
}

} // namespace

TEST_CASE("a crash is sent once, and again if it proves more", "[quarantine]")
{
    // Guards against lists of crashes that are sent whole with each further crash.
    CrashUpdateLimiter limiter(start);
    SuspectUpdate update{{}, {}, {crashOf(1, 1)}, {}};
    REQUIRE(limiter.admit(update, 10, start));
    CHECK(update.partCrashes.size() == 1);
    CHECK_FALSE(limiter.admit(update, 10, start));
    update.partCrashes = {crashOf(1, 1), crashOf(1, 2)};
    REQUIRE(limiter.admit(update, 10, start));
    CHECK(update.partCrashes == std::vector{crashOf(1, 2)});
    update.partCrashes = {crashOf(1, 1)};
    update.partCrashes.front().chance = 1;
    CHECK(limiter.admit(update, 10, start));
}

TEST_CASE("what clears a request or a part is sent without budget", "[quarantine]")
{
    // Guards against sound requests that are rejected because the evidence for them was dropped.
    CrashUpdateLimiter limiter(start);
    SuspectUpdate update{{}, {}, {crashOf(1, 0)}, {}};
    for (std::uint64_t i = 1; limiter.admit(update, 30, start); ++i) {
        update.partCrashes = {crashOf(1, i)};
    }
    update = {{}, {SharedClearance()}, {crashOf(1, 1000)}, {SharedPartEvidence()}};
    REQUIRE(limiter.admit(update, 30, start));
    CHECK(update.partCrashes.empty());
    CHECK(update.clearances.size() == 1);
    CHECK(update.partEvidence.size() == 1);
}

TEST_CASE("updates on crashes stay within their budget, and none that was refused is lost for good", "[quarantine]")
{
    rc::prop("over random updates", [] {
        CrashUpdateLimiter limiter(start);
        TimePoint now = start;
        double datagrams = 0;
        std::set<std::pair<std::uint64_t, std::uint64_t>> sent;
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 5));
            const std::size_t targets = *rc::gen::inRange<std::size_t>(1, 200);
            const SharedPartCrash crash = crashOf(*rc::gen::inRange<std::uint64_t>(0, 20), *rc::gen::inRange<std::uint64_t>(0, 20));
            const bool isFirst = sent.insert({crash.identityLow, crash.incarnationKey}).second;
            SuspectUpdate update{{}, {}, {crash}, {}};
            const bool wasSent = limiter.admit(update, targets, now);
            datagrams += wasSent ? static_cast<double>(targets) : 0;
            RC_ASSERT(datagrams <= CrashUpdateLimiter::burst + CrashUpdateLimiter::datagramsPerSecond * toSeconds(now - start) + 1e-6);
            RC_ASSERT(isFirst || !wasSent);
            if (isFirst && !wasSent) {
                // A repetition finds budget later.
                now += 10s;
                update.partCrashes = {crash};
                RC_ASSERT(limiter.admit(update, 1, now));
                datagrams += 1;
            }
        }
    });
}
