// Whom the book blames, and when it lets go.

#include "quarantine/suspectbook.h"

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

Crash ending(std::uint64_t incarnationKey, Duration after)
{
    return {incarnationKey, static_cast<std::uint32_t>(incarnationKey), start + after};
}

SuspectState standingOf(const SuspectTable &book, std::uint64_t number, Duration after)
{
    return book.state({number, number}, start + after).state;
}

/** Three endings a second apart. */
void hold(SuspectTable &book, std::uint64_t number, std::uint32_t customer = 1)
{
    for (int i = 0; i < 3; ++i) {
        book.addCrash(suspectNumber(number, customer), ending(number * 100 + static_cast<std::uint64_t>(i), i * 1s), start + i * 1s);
    }
}

} // namespace

TEST_CASE("three endings in two moments hold a request; fewer make it a suspect", "[quarantine]")
{
    SuspectTable book({});
    CHECK_FALSE(book.knowsShape(1));
    CHECK(book.addCrash(suspectNumber(1), ending(11, 0s), start).after.state == SuspectState::Suspect);
    CHECK(book.knowsShape(1));
    CHECK_FALSE(book.addCrash(suspectNumber(1), ending(12, 1s), start + 1s).startsQuarantine());
    const SuspectChange third = book.addCrash(suspectNumber(1), ending(13, 2s), start + 2s);
    CHECK(third.startsQuarantine());
    CHECK(third.after.crashes == 3);
    CHECK(standingOf(book, 1, 3s) == SuspectState::Quarantined);
    CHECK(standingOf(book, 2, 3s) == SuspectState::Unsuspected);
}

TEST_CASE("the same ending told by many hosts counts once", "[quarantine]")
{
    SuspectTable book({});
    for (int host = 0; host < 20; ++host) {
        book.addCrash(suspectNumber(1), ending(11, host * 400ms), start + 8s);
    }
    CHECK(book.state({1, 1}, start + 8s).crashes == 1);
}

TEST_CASE("endings of one moment hold nobody", "[quarantine]")
{
    // A rack with four engines loses power. A request that many callers send has just come up for the first time, and runs on all
    // four. Held for it, all those callers would be refused for minutes.
    SuspectTable book({});
    for (std::uint64_t engine = 0; engine < 12; ++engine) {
        book.addCrash(suspectNumber(1), ending(engine + 1, std::chrono::milliseconds(20 * engine)), start + 1s);
    }
    CHECK(standingOf(book, 1, 1s) == SuspectState::Suspect);
    book.addCrash(suspectNumber(1), ending(99, 2s), start + 2s);
    CHECK(standingOf(book, 1, 2s) == SuspectState::Quarantined);
}

TEST_CASE("where engines end one after the other anyway, three endings hold nobody and five do", "[quarantine]")
{
    // A quarter of all engines crashes every few seconds. A caller that repeats its request until it is answered sees three
    // of them end by chance; after five, the streams that break with each further engine weigh more than it.
    SuspectTable book({});
    for (std::uint64_t i = 1; i <= 5; ++i) {
        Crash cut = ending(i, static_cast<int>(i) * 1s);
        cut.chance = 0.25F;
        book.addCrash(suspectNumber(1), cut, start + 5s);
        CHECK(standingOf(book, 1, 5s) == (i < 5 ? SuspectState::Suspect : SuspectState::Quarantined));
    }
    // Two hosts saw the same ending: the one that saw more end beside it knows better.
    for (const float chance : {0.0F, 0.9F}) {
        for (std::uint64_t i = 11; i <= 13; ++i) {
            Crash cut = ending(i, static_cast<int>(i) * 1s);
            cut.chance = chance;
            book.addCrash(suspectNumber(2), cut, start + 20s);
        }
        CHECK(standingOf(book, 2, 20s) == (chance > 0 ? SuspectState::Suspect : SuspectState::Quarantined));
    }
}

TEST_CASE("a completion voids what was before it, also what is told later", "[quarantine]")
{
    SuspectTable book({});
    hold(book, 1);
    CHECK(book.markCleared(suspectNumber(1), start + 3s, start + 3s));
    CHECK(standingOf(book, 1, 3s) == SuspectState::Unsuspected);
    CHECK_FALSE(book.knowsShape(1));
    CHECK_FALSE(book.addCrash(suspectNumber(1), ending(104, 2500ms), start + 4s).isNew);
    CHECK(standingOf(book, 1, 4s) == SuspectState::Unsuspected);
    CHECK(book.addCrash(suspectNumber(1), ending(105, 5s), start + 5s).isNew);
    CHECK(standingOf(book, 1, 5s) == SuspectState::Suspect);
}

TEST_CASE("a held request may run again after its hold, and is held for twice as long if it ends another", "[quarantine]")
{
    SuspectTable book({});
    hold(book, 1);
    CHECK(standingOf(book, 1, 2s + 10min - 1ms) == SuspectState::Quarantined);
    CHECK(standingOf(book, 1, 2s + 10min) == SuspectState::Suspect);
    book.forget(start + 40min);
    CHECK(book.addCrash(suspectNumber(1), ending(104, 40min), start + 40min).startsQuarantine());
    CHECK(standingOf(book, 1, 60min - 1ms) == SuspectState::Quarantined);
    CHECK(standingOf(book, 1, 60min) == SuspectState::Suspect);
    // However often, it comes up for a run again within the longest hold.
    Duration at = 1h;
    for (std::uint64_t incarnationKey = 200; incarnationKey < 220; ++incarnationKey) {
        at += 3h;
        book.addCrash(suspectNumber(1), ending(incarnationKey, at), start + at);
        CHECK(standingOf(book, 1, at + 1s) == SuspectState::Quarantined);
        CHECK(standingOf(book, 1, at + 2h) == SuspectState::Suspect);
    }
}

TEST_CASE("a suspect is forgotten when nothing more is heard of it", "[quarantine]")
{
    SuspectTable book({});
    book.addCrash(suspectNumber(1), ending(11, 0s), start);
    book.forget(start + 30min);
    CHECK(book.size() == 1);
    book.forget(start + 30min + 1s);
    CHECK(book.size() == 0);
    CHECK_FALSE(book.knowsShape(1));
}

TEST_CASE("a caller with thousands of bad requests displaces its own", "[quarantine]")
{
    SuspectOptions options;
    options.maxSuspects = 100;
    SuspectTable book(options);
    hold(book, 1, 7);
    book.addCrash(suspectNumber(2, 7), ending(21, 0s), start);
    for (std::uint64_t number = 1000; number < 6000; ++number) {
        book.addCrash(suspectNumber(number, 9), ending(number, 1s), start + 1s);
    }
    CHECK(book.size() == 100);
    CHECK(standingOf(book, 1, 5s) == SuspectState::Quarantined);
    CHECK(standingOf(book, 2, 5s) == SuspectState::Suspect);
    CHECK(standingOf(book, 5999, 5s) == SuspectState::Suspect);
    CHECK_FALSE(book.knowsShape(1000));
}

namespace
{

/** A piece of news, as a host may hear it. */
struct News
{
    bool isClearing = false;
    Crash ending;
};

SuspectRow heardBy(const std::vector<News> &all)
{
    SuspectTable book({});
    for (const News &news : all) {
        if (news.isClearing) {
            book.markCleared(suspectNumber(1), news.ending.at, start + 10s);
        } else {
            book.addCrash(suspectNumber(1), news.ending, start + 10s);
        }
    }
    const std::vector<SuspectRow> rows = book.rows(start + 10s);
    return rows.empty() ? SuspectRow() : rows.front();
}

} // namespace

TEST_CASE("hosts that heard the same endings say the same, whatever the order and however often", "[quarantine]")
{
    rc::prop("any order, doubled", [](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::vector<News> all;
        // With completions among them, no more endings than the book keeps.
        const bool hasClearings = random() % 2 == 0;
        const std::size_t count = 1 + random() % (hasClearings ? 8 : 20);
        for (std::size_t i = 0; i < count; ++i) {
            const Duration at = std::chrono::milliseconds(random() % 4000);
            all.push_back({hasClearings && random() % 5 == 0, ending(i + 1, at)});
        }
        std::vector<News> other = all;
        other.insert(other.end(), all.begin(), all.end());
        std::shuffle(other.begin(), other.end(), random);
        const SuspectRow one = heardBy(all);
        const SuspectRow two = heardBy(other);
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
        SuspectTable book(options);
        TimePoint now = start;
        for (int step = 0; step < 300; ++step) {
            now += std::chrono::seconds(random() % 120);
            const Suspect suspect = suspectNumber(1 + random() % 30, static_cast<std::uint32_t>(random() % 3));
            switch (random() % 4) {
            case 0:
                book.markCleared(suspect, now, now);
                break;
            case 1:
                book.forget(now);
                break;
            default:
                book.addCrash(suspect, {random(), 1, now}, now);
            }
            RC_ASSERT(book.size() <= options.maxSuspects);
        }
        const std::vector<SuspectRow> rows = book.rows(now);
        for (std::uint64_t number = 1; number <= 30; ++number) {
            const bool isSuspected = std::ranges::any_of(rows, [number](const SuspectRow &row) { return row.suspect.shape == number && !row.crashes.empty(); });
            RC_ASSERT(book.knowsShape(number) == isSuspected);
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
