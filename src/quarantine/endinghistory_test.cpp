// How likely it is that an endpoint ended under a request by chance.

#include "quarantine/endinghistory.h"

#include <catch2/catch.hpp>

#include <array>

using namespace Rhubarbwind;

namespace
{

const TimePoint start(10h);

InterruptedRun runOf(std::uint64_t incarnationKey, Duration length, std::size_t endpoints = 12)
{
    return {incarnationKey, start + 60s - length, start + 60s, endpoints};
}

double chanceIn(const CrashHistory &history, const InterruptedRun &run, std::span<const std::uint64_t> own = {})
{
    return history.chanceOf(run, own, start + 60s);
}

} // namespace

TEST_CASE("where nothing else ends, a short run that is cut is hardly ever chance", "[quarantine]")
{
    const CrashHistory history({});
    CHECK(chanceIn(history, runOf(1, 100ms)) < 0.001);
    CHECK(chanceIn(history, runOf(1, 8s)) > chanceIn(history, runOf(1, 100ms)));
    CHECK(chanceIn(history, runOf(1, 100ms, 3)) > chanceIn(history, runOf(1, 100ms, 12)));
}

TEST_CASE("of engines that go down together, each request had its share of bad luck", "[quarantine]")
{
    // A switch takes six of twelve engines. Whatever ran on one of them is no more suspect than the rest.
    CrashHistory history({});
    for (std::uint64_t incarnationKey = 1; incarnationKey <= 6; ++incarnationKey) {
        history.ended(incarnationKey, start + 60s);
        history.ended(incarnationKey, start + 61s); // told again
    }
    CHECK(chanceIn(history, runOf(1, 100ms)) == Approx(5.0 / 12));
    CHECK(chanceIn(history, runOf(1, 100ms, 2)) == 1.0);
}

TEST_CASE("what ended under the same request does not excuse it", "[quarantine]")
{
    CrashHistory history({});
    const std::array<std::uint64_t, 3> own{1, 2, 3};
    for (const std::uint64_t incarnationKey : own) {
        history.ended(incarnationKey, start + 59s);
    }
    CHECK(chanceIn(history, runOf(4, 2s), own) < 0.01);
    CHECK(chanceIn(history, runOf(4, 2s)) > 0.2);
}

TEST_CASE("endings of long ago count no more, and memory is bounded", "[quarantine]")
{
    CrashHistoryOptions options;
    options.mostKept = 4;
    CrashHistory history(options);
    for (std::uint64_t incarnationKey = 1; incarnationKey <= 100; ++incarnationKey) {
        history.ended(incarnationKey, start + 20s);
    }
    CHECK(chanceIn(history, runOf(200, 1s)) < 0.01);
    for (std::uint64_t incarnationKey = 101; incarnationKey <= 200; ++incarnationKey) {
        history.ended(incarnationKey, start + 60s);
    }
    CHECK(chanceIn(history, runOf(300, 1s)) == Approx(4.0 / 12));
}
