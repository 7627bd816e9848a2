// The probability that an endpoint crashed under a request by coincidence.

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

TEST_CASE("where nothing else crashes, the crash of a short run is hardly ever a coincidence", "[quarantine]")
{
    const CrashHistory history({});
    CHECK(chanceIn(history, runOf(1, 100ms)) < 0.001);
    CHECK(chanceIn(history, runOf(1, 8s)) > chanceIn(history, runOf(1, 100ms)));
    CHECK(chanceIn(history, runOf(1, 100ms, 3)) > chanceIn(history, runOf(1, 100ms, 12)));
}

TEST_CASE("where engines go down together, a crash is likely a coincidence", "[quarantine]")
{
    // A switch fails and takes six of twelve engines down. The requests on these are no more suspect than the others.
    CrashHistory history({});
    for (std::uint64_t incarnationKey = 1; incarnationKey <= 6; ++incarnationKey) {
        history.ended(incarnationKey, start + 60s);
        history.ended(incarnationKey, start + 61s); // reported again
    }
    CHECK(chanceIn(history, runOf(1, 100ms)) == Approx(5.0 / 12));
    CHECK(chanceIn(history, runOf(1, 100ms, 2)) == 1.0);
}

TEST_CASE("crashes under the same request do not raise the probability of a coincidence", "[quarantine]")
{
    CrashHistory history({});
    const std::array<std::uint64_t, 3> own{1, 2, 3};
    for (const std::uint64_t incarnationKey : own) {
        history.ended(incarnationKey, start + 59s);
    }
    CHECK(chanceIn(history, runOf(4, 2s), own) < 0.01);
    CHECK(chanceIn(history, runOf(4, 2s)) > 0.2);
}

TEST_CASE("old crashes no longer count, and memory is bounded", "[quarantine]")
{
    CrashHistoryOptions options;
    options.maxEntries = 4;
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
