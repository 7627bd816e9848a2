#include "standins/enginemodel.h"

#include "base/clock.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace Rhubarbwind;

namespace
{

EngineOptions smallEngine()
{
    EngineOptions options;
    options.slots = 3;
    options.kvTokens = 400;
    options.queueLimit = 6;
    options.prefillTokensPerStep = 64;
    options.cache.capacity = 8;
    return options;
}

EnginePrompt promptOf(const std::string &id, std::uint32_t tokens, std::int32_t priority = 0, std::size_t padding = 0)
{
    AnswerMarker marker;
    marker.tokens = tokens;
    marker.id = id;
    return {id, std::string(padding, 'x') + markerText(marker), priority, maxAnswerTokens};
}

/** Runs the engine until it is idle; returns every token in order. */
std::vector<EngineToken> runUntilIdle(EngineModel &engine)
{
    std::vector<EngineToken> all;
    while (const std::optional<TimePoint> next = engine.nextEvent()) {
        for (const EngineToken &token : engine.advance(*next)) {
            all.push_back(token);
        }
    }
    return all;
}

} // namespace

TEST_CASE("every accepted run yields exactly its tokens, in order, in a batch within the slots", "[engine-model]")
{
    rc::prop("arbitrary submissions, cancels and pauses", []() {
        EngineModel engine(smallEngine(), {});
        TimePoint now = ManualClock::now();
        std::map<std::string, std::uint32_t> wanted;
        std::map<std::string, std::uint32_t> received;
        const auto take = [&](const std::vector<EngineToken> &tokens) {
            for (const EngineToken &token : tokens) {
                RC_ASSERT(token.number == ++received[token.id]);
                RC_ASSERT((!token.last || token.number == wanted[token.id]));
            }
        };
        const std::size_t steps = *rc::gen::inRange<std::size_t>(1, 40);
        for (std::size_t step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 120));
            take(engine.advance(now));
            const std::string id = std::to_string(*rc::gen::inRange(0, 20));
            if (*rc::gen::inRange(0, 4) == 0) {
                if (engine.cancel(id, now)) {
                    wanted[id] = received[id];
                }
            } else {
                const std::uint32_t tokens = *rc::gen::inRange<std::uint32_t>(1, 30);
                if (engine.submit(promptOf(id, tokens, *rc::gen::inRange(0, 3), *rc::gen::inRange<std::size_t>(0, 900)), now)) {
                    wanted[id] = tokens;
                }
            }
            RC_ASSERT(engine.running() <= smallEngine().slots);
            RC_ASSERT(engine.waiting() <= smallEngine().queueLimit + smallEngine().slots);
        }
        take(runUntilIdle(engine));
        for (const auto &[id, tokens] : wanted) {
            RC_ASSERT(received[id] == tokens);
        }
    });
}

TEST_CASE("waiting runs start in order of priority, then arrival", "[engine-model]")
{
    rc::prop("arbitrary priorities behind a full batch", []() {
        EngineOptions options = smallEngine();
        options.slots = 1;
        options.queueLimit = 20;
        EngineModel engine(options, {});
        const TimePoint now = ManualClock::now();
        RC_ASSERT(engine.submit(promptOf("first", 3), now).has_value());
        engine.takeStarted();
        const std::vector<int> priorities = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-2, 3));
        std::vector<std::pair<int, std::size_t>> order;
        for (std::size_t at = 0; at < std::min<std::size_t>(priorities.size(), 20); ++at) {
            RC_ASSERT(engine.submit(promptOf(std::to_string(at), 2, priorities[at]), now).has_value());
            order.emplace_back(priorities[at], at);
        }
        std::sort(order.begin(), order.end());
        runUntilIdle(engine);
        const std::vector<std::string> started = engine.takeStarted();
        RC_ASSERT(started.size() == order.size());
        for (std::size_t at = 0; at < order.size(); ++at) {
            RC_ASSERT(started[at] == std::to_string(order[at].second));
        }
    });
}

TEST_CASE("the time between tokens rises with the batch, with other runs' prompts and with the straggler fault", "[engine-model]")
{
    EngineOptions options;
    options.prefillTokensPerStep = 100;
    const TimePoint start = ManualClock::now();
    const auto stepOf = [&](std::size_t runs, std::size_t padding, double straggler) {
        EngineModel engine(options, {});
        engine.setFaults({straggler, false});
        engine.submit(promptOf("0", 5, 0, padding), start).value();
        const TimePoint first = *engine.nextEvent();
        for (std::size_t run = 1; run < runs; ++run) {
            engine.submit(promptOf(std::to_string(run), 5), start).value();
        }
        engine.advance(first);
        return *engine.nextEvent() - first;
    };
    const Duration alone = stepOf(1, 0, 1.0);
    CHECK(stepOf(8, 0, 1.0) > alone + 7 * options.perBatchToken - 1us);
    CHECK(stepOf(1, 4000, 1.0) > alone + 99 * options.prefillPerToken);
    CHECK(stepOf(1, 0, 3.0) > alone * 2);
}

TEST_CASE("a reused prefix is not computed again", "[engine-model]")
{
    EngineOptions options;
    EngineModel engine(options, {});
    engine.submit(promptOf("a", 1, 0, 1024), ManualClock::now()).value();
    runUntilIdle(engine);
    const TimePoint later = ManualClock::now() + 5s;
    engine.advance(later);
    engine.submit(promptOf("b", 1, 0, 1024), later).value();
    CHECK(engine.find("a")->cachedTokens == 0);
    CHECK(engine.find("b")->cachedTokens == 1024 / promptBytesPerToken);
}

TEST_CASE("cache events are delayed and may be lost, but are in order", "[engine-model]")
{
    PrefixCacheOptions options;
    options.capacity = 100;
    options.updateLoss = 0.3;
    PrefixCache cache(options, 7);
    const TimePoint start = ManualClock::now();
    for (std::uint64_t block = 1; block <= 200; ++block) {
        cache.store(std::vector<std::uint64_t>{block}, start);
    }
    CHECK(cache.updatesAfter(0, 1000, start + options.updateLag - 1us).empty());
    const std::vector<CacheUpdate> updates = cache.updatesAfter(0, 1000, start + options.updateLag);
    CHECK(updates.size() < 300);
    CHECK(updates.size() > 150);
    CHECK(std::is_sorted(updates.begin(), updates.end(), [](const CacheUpdate &left, const CacheUpdate &right) { return left.sequence < right.sequence; }));
    CHECK(cache.reuse(std::vector<std::uint64_t>{100}) == 0);
    CHECK(cache.reuse(std::vector<std::uint64_t>{101}) == 1);
}

TEST_CASE("load reports lag", "[engine-model]")
{
    EngineOptions options;
    EngineModel engine(options, {});
    const TimePoint start = ManualClock::now();
    engine.advance(start);
    engine.submit(promptOf("a", 5000), start).value();
    for (TimePoint now = start; now <= start + 900ms; now += 50ms) {
        engine.advance(now);
    }
    CHECK(engine.reportedLoad(start + 900ms).running == 0);
    engine.advance(start + 1500ms);
    CHECK(engine.reportedLoad(start + 1500ms).running == 1);
    CHECK(engine.reportedLoad(start + 1500ms).age >= options.loadLag);
}

TEST_CASE("orders: stale fencing numbers are refused only where they are checked", "[engine-model]")
{
    const bool checks = GENERATE(true, false);
    EngineOptions options;
    options.checksFencing = checks;
    EngineModel engine(options, {"m", "1", {}, "serve", 0});
    const TimePoint start = ManualClock::now();
    REQUIRE(engine.order({"m", "2", {}, "serve", 9}, start).has_value());
    CHECK(engine.isLoading());
    CHECK(engine.submit(promptOf("a", 1), start).error() == EngineRefusal::Loading);
    CHECK(engine.order({"m", "3", {}, "serve", 8}, start).has_value() == !checks);
    engine.advance(start + options.loadingTime);
    CHECK_FALSE(engine.isLoading());
    CHECK(engine.duty().version == (checks ? "2" : "3"));
}

TEST_CASE("an answer checker detects missing, foreign or spliced tokens", "[engine-model]")
{
    // Failure: if a caller does not detect a wrong answer, the load tool reports faults as successes.
    const std::string prompt = "question [[len=3 id=q]]";
    const AnswerMarker marker = readMarker(prompt);
    const AnswerKey one = answerKey(prompt, marker, "run1");
    const AnswerKey two = answerKey(prompt, marker, "run2");
    const AnswerKey other = answerKey("other [[len=3 id=q]]", marker, "run1");
    struct Row
    {
        std::string text;
        std::optional<AnswerFault> fault;
        bool whole;
    };
    const std::string all = answerToken(one, 1) + answerToken(one, 2) + answerToken(one, 3);
    const std::vector<Row> rows{
        {all, std::nullopt, true},
        {answerToken(one, 1) + answerToken(one, 2), std::nullopt, false},
        {all.substr(0, all.size() - 1), std::nullopt, false},
        {answerToken(one, 1) + answerToken(one, 3), AnswerFault::WrongNumber, false},
        {answerToken(one, 1) + answerToken(one, 1), AnswerFault::WrongNumber, false},
        {all + answerToken(one, 4), AnswerFault::WrongNumber, true},
        {answerToken(one, 1) + answerToken(two, 2), AnswerFault::OtherRun, false},
        {answerToken(other, 1), AnswerFault::OtherAnswer, false},
        {"hello ", AnswerFault::Malformed, false},
    };
    for (const Row &row : rows) {
        AnswerChecker checker(prompt);
        std::optional<AnswerFault> fault;
        for (const char letter : row.text) {
            const Result<void, AnswerFault> taken = checker.take(std::string_view(&letter, 1));
            fault = !fault && !taken ? std::optional(taken.error()) : fault;
        }
        INFO(row.text);
        CHECK(fault == row.fault);
        CHECK(checker.isWhole() == row.whole);
    }
}
