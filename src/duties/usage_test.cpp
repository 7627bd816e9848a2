// Counting, merging and reporting of usage, each on its own. Their interleavings are searched in dutysearch_test.cpp.

#include "base/random.h"
#include "duties/usagecounter.h"
#include "duties/usagereports.h"
#include "duties/usagetotals.h"
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
    // Customers are billed by these sums. Updates are datagrams: late, duplicated or lost. A host that restarts counts from zero under a new incarnation.
    rc::prop("the sum is of each life's largest telling", [] {
        std::vector<SharedUsage> sentUpdates;
        std::map<std::uint64_t, std::map<std::uint64_t, std::uint32_t>> largest; // by incarnation, by customer
        for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
            UsageCounter counter(incarnation);
            const int events = *rc::gen::inRange(0, 40);
            for (int i = 0; i < events; ++i) {
                counter.began(CustomerId("c" + std::to_string(*rc::gen::inRange(0, 4))), 7);
                if (*rc::gen::inRange(0, 3) == 0) {
                    const std::vector<SharedUsage> parts = counter.updates(7);
                    sentUpdates.insert(sentUpdates.end(), parts.begin(), parts.end());
                }
            }
        }
        for (const SharedUsage &usage : sentUpdates) {
            for (const SharedCount &count : usage.counts) {
                std::uint32_t &known = largest[usage.incarnation][count.customer];
                known = std::max(known, count.begun);
            }
        }
        std::vector<SharedUsage> received = sentUpdates;
        received.insert(received.end(), sentUpdates.begin(), sentUpdates.end());
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::ranges::shuffle(received, random.engine());
        UsageTotals merged;
        for (const SharedUsage &usage : received) {
            merged.receive(usage);
        }
        std::map<std::uint64_t, std::uint64_t> sums;
        for (const auto &[incarnation, counts] : largest) {
            for (const auto &[customer, begun] : counts) {
                sums[customer] += begun;
            }
        }
        RC_ASSERT(merged.totals(7) == sums);
    });
}

TEST_CASE("counts of many customers are split into datagrams that fit, and old windows are dropped", "[usage]")
{
    UsageCounter counter(1);
    constexpr std::size_t customers = 1000;
    for (std::size_t i = 0; i < customers; ++i) {
        counter.began(CustomerId("customer " + std::to_string(i)), 7);
    }
    UsageTotals merged;
    for (const SharedUsage &part : counter.updates(0)) {
        FleetMessage message;
        message.usage = part;
        const Result<std::vector<std::byte>, DatagramError> bytes = encodeFleet(message, "secret");
        REQUIRE(bytes.has_value());
        merged.receive(*decodeFleet(bytes.value(), "secret").value().usage);
    }
    CHECK(merged.totals(7).size() == customers);
    CHECK(merged.totals(7).at(customerKey(CustomerId("customer 5"))) == 1);
    CHECK(merged.reporters(7) == 1);
    for (std::uint64_t window = 8; window < 8 + UsageCounter::maxWindows; ++window) {
        counter.began(CustomerId("c"), window);
    }
    CHECK(counter.updates(0).front().window == 8);
    counter.began(CustomerId("c"), 7);
    CHECK(counter.uncounted() == 1);
    for (std::uint64_t window = 8; window < 8 + UsageTotals::maxWindows; ++window) {
        merged.receive({1, window, {{1, 1}}});
    }
    CHECK(merged.totals(7).empty());
}

TEST_CASE("a report is sent once it is fixed, again with the same counts after a lost answer, and by the next holder too", "[usage][at-most-once]")
{
    // The holder of the duty dies after its report was sent and before the answer. Its successor does not know whether the report arrived and has
    // different counts; what it sends must match the first report exactly.
    UsageReports first({});
    constexpr std::uint64_t window = 100;
    first.onLeaseHeld(number, "", startOf(window));
    CHECK(first.takeSkipped() == std::vector<std::pair<std::uint64_t, SkipReason>>{{window, SkipReason::NoState}});
    const std::uint64_t next = window + 1;
    first.onLeaseHeld(number, *first.wantedState(), startOf(next));
    CHECK_FALSE(first.toFix(startOf(next + 1) + 1999));
    CHECK(first.toFix(startOf(next + 1) + 2000) == next);
    const UsageReport report{next, {{"t1", 12}, {"t2", 3}}};
    first.fix(report);
    CHECK_FALSE(first.toSend(TimePoint(1h)));
    const std::string state = *first.wantedState();
    first.onLeaseHeld(number, state, startOf(next + 1) + 2050);
    CHECK(first.toSend(TimePoint(1h)) == report);
    first.sent(next, false, TimePoint(1h));
    CHECK_FALSE(first.toSend(TimePoint(1h)));
    CHECK(first.toSend(TimePoint(1h) + 1s) == report);

    UsageReports second({});
    second.onLeaseHeld(number + 5, state, startOf(next + 1) + 5000);
    CHECK(second.toSend(TimePoint(1h)) == report);
    CHECK(second.toFix(startOf(next + 2) + 2000) == next + 1);
    second.sent(next, true, TimePoint(1h));
    CHECK_FALSE(second.toSend(TimePoint(2h)));
    second.onLeaseLost();
    CHECK_FALSE(second.toFix(startOf(next + 5)));
}

TEST_CASE("windows that may have been reported, and those that are too late, are skipped and listed", "[usage]")
{
    UsageReports reports({});
    const std::string state = formatUsageState({0, 100, {}});
    reports.onLeaseHeld(number, state, startOf(120));
    // Windows up to 116 ended at least ten seconds ago.
    CHECK(reports.toFix(startOf(120) + 1) == 118);
    const std::vector<std::pair<std::uint64_t, SkipReason>> skipped = reports.takeSkipped();
    REQUIRE(skipped.size() == 16);
    CHECK(skipped.front() == std::pair(std::uint64_t{101}, SkipReason::TooLate));

    // The store came back from a copy: the state is of the previous era.
    UsageReports after({});
    after.onLeaseHeld(versionIn(1, 5), state, startOf(120));
    CHECK(after.takeSkipped() == std::vector<std::pair<std::uint64_t, SkipReason>>{{120, SkipReason::NoState}});
    CHECK_FALSE(after.toFix(startOf(122)));
}

TEST_CASE("a usage state reads back as it was written, and malformed text is rejected", "[usage]")
{
    const UsageState state{3, 77, {{76, {{"t \"1\"", 5}}}, {77, {}}}};
    CHECK(parseUsageState(formatUsageState(state)) == state);
    for (const char *text :
         {"", "{", "[]", "{}", R"({"era":0,"through":1,"fixed":[{}]})", R"({"era":0,"through":-1,"fixed":[]})", R"({"era":0,"through":"x","fixed":[]})"}) {
        CHECK_FALSE(parseUsageState(text));
    }
}
