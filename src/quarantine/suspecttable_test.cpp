// Which requests the suspect table quarantines, and for how long.

#include "quarantine/suspecttable.h"

#include "quarantine/completedrequests.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

using namespace Rhubarbwind;

namespace
{

const TimePoint start(10h);

Suspect suspectNumber(std::uint64_t number, std::uint32_t customer = 1)
{
    return {{number, number}, number, customer};
}

Crash crash(std::uint64_t incarnationKey, Duration after)
{
    return {incarnationKey, static_cast<std::uint32_t>(incarnationKey), start + after};
}

SuspectState statusOf(const SuspectTable &table, std::uint64_t number, Duration after)
{
    return table.state({number, number}, start + after).state;
}

/** Adds three crashes a second apart, which quarantine the request. */
void quarantine(SuspectTable &table, std::uint64_t number, std::uint32_t customer = 1)
{
    for (int i = 0; i < 3; ++i) {
        table.addCrash(suspectNumber(number, customer), crash(number * 100 + static_cast<std::uint64_t>(i), i * 1s), start + i * 1s);
    }
}

} // namespace

TEST_CASE("three crashes in two crash events quarantine a request; fewer make it a suspect", "[quarantine]")
{
    SuspectTable table({});
    CHECK_FALSE(table.knowsShape(1));
    CHECK(table.addCrash(suspectNumber(1), crash(11, 0s), start).after.state == SuspectState::Suspect);
    CHECK(table.knowsShape(1));
    CHECK_FALSE(table.addCrash(suspectNumber(1), crash(12, 1s), start + 1s).startsQuarantine());
    const SuspectChange third = table.addCrash(suspectNumber(1), crash(13, 2s), start + 2s);
    CHECK(third.startsQuarantine());
    CHECK(third.after.crashes == 3);
    CHECK(statusOf(table, 1, 3s) == SuspectState::Quarantined);
    CHECK(statusOf(table, 2, 3s) == SuspectState::Unsuspected);
}

TEST_CASE("the same crash reported by many hosts counts once", "[quarantine]")
{
    SuspectTable table({});
    for (int host = 0; host < 20; ++host) {
        table.addCrash(suspectNumber(1), crash(11, host * 400ms), start + 8s);
    }
    CHECK(table.state({1, 1}, start + 8s).crashes == 1);
}

TEST_CASE("crashes of one crash event quarantine no request", "[quarantine]")
{
    // A rack with four engines loses power. A request that many callers send has just appeared for the first time, and runs on all four. If it were
    // quarantined, all those callers would be refused for minutes.
    SuspectTable table({});
    for (std::uint64_t engine = 0; engine < 12; ++engine) {
        table.addCrash(suspectNumber(1), crash(engine + 1, std::chrono::milliseconds(20 * engine)), start + 1s);
    }
    CHECK(statusOf(table, 1, 1s) == SuspectState::Suspect);
    table.addCrash(suspectNumber(1), crash(99, 2s), start + 2s);
    CHECK(statusOf(table, 1, 2s) == SuspectState::Quarantined);
}

TEST_CASE("where engines crash one after the other anyway, three crashes quarantine no request and five do", "[quarantine]")
{
    // A quarter of all engines crashes every few seconds. A caller that retries its request until it is answered sees three of them crash by
    // coincidence; after five, the streams that break with each further engine outweigh it.
    SuspectTable table({});
    for (std::uint64_t i = 1; i <= 5; ++i) {
        Crash cut = crash(i, static_cast<int>(i) * 1s);
        cut.chance = 0.25F;
        table.addCrash(suspectNumber(1), cut, start + 5s);
        CHECK(statusOf(table, 1, 5s) == (i < 5 ? SuspectState::Suspect : SuspectState::Quarantined));
    }
    // Two hosts saw the same crash: the estimate of the one that saw more other crashes counts.
    for (const float chance : {0.0F, 0.9F}) {
        for (std::uint64_t i = 11; i <= 13; ++i) {
            Crash cut = crash(i, static_cast<int>(i) * 1s);
            cut.chance = chance;
            table.addCrash(suspectNumber(2), cut, start + 20s);
        }
        CHECK(statusOf(table, 2, 20s) == (chance > 0 ? SuspectState::Suspect : SuspectState::Quarantined));
    }
}

TEST_CASE("a completion voids earlier crashes, also those reported later", "[quarantine]")
{
    SuspectTable table({});
    quarantine(table, 1);
    CHECK(table.markCleared(suspectNumber(1), start + 3s, start + 3s));
    CHECK(statusOf(table, 1, 3s) == SuspectState::Unsuspected);
    CHECK_FALSE(table.knowsShape(1));
    CHECK_FALSE(table.addCrash(suspectNumber(1), crash(104, 2500ms), start + 4s).isNew);
    CHECK(statusOf(table, 1, 4s) == SuspectState::Unsuspected);
    CHECK(table.addCrash(suspectNumber(1), crash(105, 5s), start + 5s).isNew);
    CHECK(statusOf(table, 1, 5s) == SuspectState::Suspect);
}

TEST_CASE("a request may run again after its quarantine, and is quarantined for twice as long if it crashes another endpoint", "[quarantine]")
{
    SuspectTable table({});
    quarantine(table, 1);
    CHECK(statusOf(table, 1, 2s + 10min - 1ms) == SuspectState::Quarantined);
    CHECK(statusOf(table, 1, 2s + 10min) == SuspectState::Suspect);
    table.forget(start + 40min);
    CHECK(table.addCrash(suspectNumber(1), crash(104, 40min), start + 40min).startsQuarantine());
    CHECK(statusOf(table, 1, 60min - 1ms) == SuspectState::Quarantined);
    CHECK(statusOf(table, 1, 60min) == SuspectState::Suspect);
    // However often it crashes endpoints, it may run again after maxQuarantine at most.
    Duration at = 1h;
    for (std::uint64_t incarnationKey = 200; incarnationKey < 220; ++incarnationKey) {
        at += 3h;
        table.addCrash(suspectNumber(1), crash(incarnationKey, at), start + at);
        CHECK(statusOf(table, 1, at + 1s) == SuspectState::Quarantined);
        CHECK(statusOf(table, 1, at + 2h) == SuspectState::Suspect);
    }
}

TEST_CASE("a suspect expires when no more crashes are reported", "[quarantine]")
{
    SuspectTable table({});
    table.addCrash(suspectNumber(1), crash(11, 0s), start);
    table.forget(start + 30min);
    CHECK(table.size() == 1);
    table.forget(start + 30min + 1s);
    CHECK(table.size() == 0);
    CHECK_FALSE(table.knowsShape(1));
}

TEST_CASE("a caller with thousands of bad requests displaces its own", "[quarantine]")
{
    SuspectOptions options;
    options.maxSuspects = 100;
    SuspectTable table(options);
    quarantine(table, 1, 7);
    table.addCrash(suspectNumber(2, 7), crash(21, 0s), start);
    for (std::uint64_t number = 1000; number < 6000; ++number) {
        table.addCrash(suspectNumber(number, 9), crash(number, 1s), start + 1s);
    }
    CHECK(table.size() == 100);
    CHECK(statusOf(table, 1, 5s) == SuspectState::Quarantined);
    CHECK(statusOf(table, 2, 5s) == SuspectState::Suspect);
    CHECK(statusOf(table, 5999, 5s) == SuspectState::Suspect);
    CHECK_FALSE(table.knowsShape(1000));
}

namespace
{

/** A crash or clearance as reported to a host. */
struct Message
{
    bool isClearance = false;
    Crash crash;
};

SuspectRow rowFrom(const std::vector<Message> &all)
{
    SuspectTable table({});
    for (const Message &message : all) {
        if (message.isClearance) {
            table.markCleared(suspectNumber(1), message.crash.at, start + 10s);
        } else {
            table.addCrash(suspectNumber(1), message.crash, start + 10s);
        }
    }
    const std::vector<SuspectRow> rows = table.rows(start + 10s);
    return rows.empty() ? SuspectRow() : rows.front();
}

} // namespace

TEST_CASE("hosts that heard the same endings say the same, whatever the order and however often", "[quarantine]")
{
    rc::prop("any order, doubled", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::vector<Message> all;
        // With completions among them, no more crashes than the table keeps.
        const bool hasClearances = random() % 2 == 0;
        const std::size_t count = 1 + random() % (hasClearances ? 8 : 20);
        for (std::size_t i = 0; i < count; ++i) {
            const Duration at = std::chrono::milliseconds(random() % 4000);
            all.push_back({hasClearances && random() % 5 == 0, crash(i + 1, at)});
        }
        std::vector<Message> other = all;
        other.insert(other.end(), all.begin(), all.end());
        std::shuffle(other.begin(), other.end(), random);
        const SuspectRow one = rowFrom(all);
        const SuspectRow two = rowFrom(other);
        RC_ASSERT(one.crashes == two.crashes);
        RC_ASSERT(one.clearedAt == two.clearedAt);
        RC_ASSERT(one.state.state == two.state.state);
        RC_ASSERT(one.state.quarantinedUntil == two.state.quarantinedUntil);
    });
}

TEST_CASE("memory stays within its bound and shapes follow the records", "[quarantine]")
{
    rc::prop("any news", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        SuspectOptions options;
        options.maxSuspects = 8;
        SuspectTable table(options);
        TimePoint now = start;
        for (int step = 0; step < 300; ++step) {
            now += std::chrono::seconds(random() % 120);
            const Suspect suspect = suspectNumber(1 + random() % 30, static_cast<std::uint32_t>(random() % 3));
            switch (random() % 4) {
            case 0:
                table.markCleared(suspect, now, now);
                break;
            case 1:
                table.forget(now);
                break;
            default:
                table.addCrash(suspect, {random(), 1, now}, now);
            }
            RC_ASSERT(table.size() <= options.maxSuspects);
        }
        const std::vector<SuspectRow> rows = table.rows(now);
        for (std::uint64_t number = 1; number <= 30; ++number) {
            const bool isSuspected = std::ranges::any_of(rows, [number](const SuspectRow &row) { return row.suspect.shape == number && !row.crashes.empty(); });
            RC_ASSERT(table.knowsShape(number) == isSuspected);
        }
    });
}

TEST_CASE("completed requests are remembered for a while, within a bound", "[quarantine]")
{
    CompletedRequests completed(42, 3);
    const auto request = [](std::string_view body) { return RequestContent{"acme", "POST", "site", "/", body}; };
    completed.add(request("a"), start);
    CHECK(completed.has(request("a"), start + 60s));
    CHECK_FALSE(completed.has(request("a"), start + 61s));
    CHECK_FALSE(completed.has({"other", "POST", "site", "/", "a"}, start));
    completed.add(request("b"), start + 1s);
    completed.add(request("c"), start + 2s);
    completed.add(request("d"), start + 3s);
    CHECK_FALSE(completed.has(request("a"), start + 3s));
    completed.add(request("b"), start + 4s);
    completed.add(request("e"), start + 5s);
    CHECK(completed.has(request("b"), start + 5s));
}
