// Counting, merging and reporting of usage, each on its own; their orders of events are in dutysearch_test.cpp.

#include "base/random.h"
#include "duties/usagebook.h"
#include "duties/usagecounter.h"
#include "duties/usagereports.h"
#include "platform/objectapi.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Rhubarbwind;

namespace
{

constexpr std::uint64_t number = 96;

std::int64_t startOf(std::uint64_t window)
{
    return static_cast<std::int64_t>(window) * 5000;
}

} // namespace

TEST_CASE("what hosts told of a window adds up, in any order, doubled, lost in part, and after a host's death", "[usage]")
{
    // A customer is billed by these sums. Tellings are datagrams: late, doubled, lost; a host that starts again counts anew as another life.
    rc::prop("the sum is of each life's largest telling", [] {
        std::vector<SharedUsage> told;
        std::map<std::uint64_t, std::map<std::uint64_t, std::uint32_t>> largest; // by life, by customer
        for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
            UsageCounter counter(incarnation);
            const int events = *rc::gen::inRange(0, 40);
            for (int i = 0; i < events; ++i) {
                counter.began(CustomerId("c" + std::to_string(*rc::gen::inRange(0, 4))), 7);
                if (*rc::gen::inRange(0, 3) == 0) {
                    const std::vector<SharedUsage> parts = counter.tellings(7);
                    told.insert(told.end(), parts.begin(), parts.end());
                }
            }
        }
        for (const SharedUsage &usage : told) {
            for (const SharedCount &count : usage.counts) {
                std::uint32_t &known = largest[usage.incarnation][count.customer];
                known = std::max(known, count.begun);
            }
        }
        std::vector<SharedUsage> heard = told;
        heard.insert(heard.end(), told.begin(), told.end());
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::ranges::shuffle(heard, random.engine());
        UsageBook book;
        for (const SharedUsage &usage : heard) {
            book.heard(usage);
        }
        std::map<std::uint64_t, std::uint64_t> sums;
        for (const auto &[incarnation, counts] : largest) {
            for (const auto &[customer, begun] : counts) {
                sums[customer] += begun;
            }
        }
        RC_ASSERT(book.totals(7) == sums);
    });
}

TEST_CASE("counts of thousands of customers are told in datagrams that fit, and windows long gone are forgotten", "[usage]")
{
    UsageCounter counter(1);
    constexpr std::size_t customers = 1000;
    for (std::size_t i = 0; i < customers; ++i) {
        counter.began(CustomerId("customer " + std::to_string(i)), 7);
    }
    UsageBook book;
    for (const SharedUsage &part : counter.tellings(0)) {
        FleetMessage message;
        message.usage = part;
        const Result<std::vector<std::byte>, DatagramError> bytes = encodeFleet(message, "secret");
        REQUIRE(bytes.has_value());
        book.heard(*decodeFleet(bytes.value(), "secret").value().usage);
    }
    CHECK(book.totals(7).size() == customers);
    CHECK(book.totals(7).at(customerKey(CustomerId("customer 5"))) == 1);
    CHECK(book.tellers(7) == 1);
    for (std::uint64_t window = 8; window < 8 + UsageCounter::windowsKept; ++window) {
        counter.began(CustomerId("c"), window);
    }
    CHECK(counter.tellings(0).front().window == 8);
    counter.began(CustomerId("c"), 7);
    CHECK(counter.uncounted() == 1);
    for (std::uint64_t window = 8; window < 8 + UsageBook::windowsKept; ++window) {
        book.heard({1, window, {{1, 1}}});
    }
    CHECK(book.totals(7).empty());
}

TEST_CASE("a report is sent once it is fixed, again with the same counts after a lost answer, and by the next holder too", "[usage][at-most-once]")
{
    // The holder of the duty dies after its report has gone out and before the answer. Its successor does not know whether it arrived, and
    // counts otherwise; what it sends must be the same to the last request.
    UsageReports first({});
    constexpr std::uint64_t window = 100;
    first.hold(number, "", startOf(window));
    CHECK(first.takeLeftOut() == std::vector<std::pair<std::uint64_t, LeftOut>>{{window, LeftOut::NoNote}});
    const std::uint64_t next = window + 1;
    first.hold(number, *first.wantedNote(), startOf(next));
    CHECK_FALSE(first.toFix(startOf(next + 1) + 1999));
    CHECK(first.toFix(startOf(next + 1) + 2000) == next);
    const UsageReport report{next, {{"t1", 12}, {"t2", 3}}};
    first.fix(report);
    CHECK_FALSE(first.toSend(TimePoint(1h)));
    const std::string note = *first.wantedNote();
    first.hold(number, note, startOf(next + 1) + 2050);
    CHECK(first.toSend(TimePoint(1h)) == report);
    first.sent(next, false, TimePoint(1h));
    CHECK_FALSE(first.toSend(TimePoint(1h)));
    CHECK(first.toSend(TimePoint(1h) + 1s) == report);

    UsageReports second({});
    second.hold(number + 5, note, startOf(next + 1) + 5000);
    CHECK(second.toSend(TimePoint(1h)) == report);
    CHECK(second.toFix(startOf(next + 2) + 2000) == next + 1);
    second.sent(next, true, TimePoint(1h));
    CHECK_FALSE(second.toSend(TimePoint(2h)));
    second.lose();
    CHECK_FALSE(second.toFix(startOf(next + 5)));
}

TEST_CASE("what nobody can know, and what would come too late, is left out and said so", "[usage]")
{
    UsageReports reports({});
    const std::string note = formatNote({0, 100, {}});
    reports.hold(number, note, startOf(120));
    // Windows up to 116 ended ten seconds ago and more.
    CHECK(reports.toFix(startOf(120) + 1) == 118);
    const std::vector<std::pair<std::uint64_t, LeftOut>> leftOut = reports.takeLeftOut();
    REQUIRE(leftOut.size() == 16);
    CHECK(leftOut.front() == std::pair(std::uint64_t{101}, LeftOut::TooLate));

    // The store came back from a copy: the note is of the era before.
    UsageReports after({});
    after.hold(versionIn(1, 5), note, startOf(120));
    CHECK(after.takeLeftOut() == std::vector<std::pair<std::uint64_t, LeftOut>>{{120, LeftOut::NoNote}});
    CHECK_FALSE(after.toFix(startOf(122)));
}

TEST_CASE("a note reads back as it was written, and nothing else is one", "[usage]")
{
    const UsageNote note{3, 77, {{76, {{"t \"1\"", 5}}}, {77, {}}}};
    CHECK(parseNote(formatNote(note)) == note);
    for (const char *text :
         {"", "{", "[]", "{}", R"({"era":0,"through":1,"fixed":[{}]})", R"({"era":0,"through":-1,"fixed":[]})", R"({"era":0,"through":"x","fixed":[]})"}) {
        CHECK_FALSE(parseNote(text));
    }
}
