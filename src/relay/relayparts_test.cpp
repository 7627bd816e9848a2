#include "base/digest.h"
#include "relay/chatshape.h"
#include "relay/customerlookup.h"
#include "relay/retrybudget.h"
#include "relay/sseparser.h"
#include "relay/streambuffer.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

namespace Rhubarbwind
{

namespace
{

std::vector<SseEvent> parseAll(std::string_view text)
{
    SseParser parser;
    std::vector<SseEvent> events;
    REQUIRE(parser.feed(text, events));
    return events;
}

// Pieces that have a meaning in the format, so that fields, comments and truncated lines are frequent, mixed with other bytes.
rc::Gen<std::string> sseLikeText()
{
    const rc::Gen<std::string> piece =
        rc::gen::oneOf(rc::gen::element<std::string>("data: a", "data:b", "data", "id: 7", "event: x", ": c", "\n", "\r", "\r\n", "\n\n", "\r\n\r\n"),
                       rc::gen::container<std::string>(2, rc::gen::arbitrary<char>()));
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece), [](const std::vector<std::string> &pieces) {
        std::string text;
        for (const std::string &each : pieces) {
            text += each;
        }
        return text;
    });
}

} // namespace

// Guards against duplicate, lost or truncated tokens: the network splits the bytes of the endpoint anywhere, also inside a CRLF or a field
// name.
TEST_CASE("Events do not depend on how their bytes are split", "[relay][whole-answer]")
{
    rc::prop("any bytes, any split", [] {
        const std::string text = *sseLikeText();
        SseParser parser;
        std::vector<SseEvent> events;
        std::string_view rest = text;
        while (!rest.empty()) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
            RC_ASSERT(parser.feed(rest.substr(0, size), events).has_value());
            rest.remove_prefix(size);
        }
        RC_ASSERT(events == parseAll(text));
    });
}

TEST_CASE("An event that is written is read back", "[relay]")
{
    rc::prop("any data without carriage returns", [] {
        SseEvent event;
        event.data = *rc::gen::container<std::string>(rc::gen::suchThat(rc::gen::arbitrary<char>(), [](char c) { return c != '\r'; }));
        event.id = std::to_string(*rc::gen::arbitrary<unsigned>());
        event.type = *rc::gen::element<std::string>("", "outcome");
        RC_ASSERT(parseAll(encodeSse(event)) == std::vector<SseEvent>{event});
    });
}

TEST_CASE("The event stream format is read as published", "[relay]")
{
    struct Row
    {
        std::string_view text;
        std::vector<SseEvent> events;
    };
    const std::vector<Row> rows{
        {"data: a\n\n", {{"", "", "a"}}},
        {"data:a\ndata: b\n\n", {{"", "", "a\nb"}}},
        {"id: 3\r\nevent: x\r\ndata: a\r\n\r\n", {{"3", "x", "a"}}},
        {"data: a\r\rdata: b\r\r", {{"", "", "a"}, {"", "", "b"}}},
        {": comment\ndata: a\n\n", {{"", "", "a"}}},
        {"id: 1\n\ndata: a\n\n", {{"", "", "a"}}},
        {"data\n\n", {{"", "", ""}}},
        {"data: cut off", {}},
        {"data: cut off\n", {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        CHECK(parseAll(row.text) == row.events);
    }
}

TEST_CASE("An event over the budget is an error and stays one", "[relay]")
{
    SseParser parser(16);
    std::vector<SseEvent> events;
    REQUIRE_FALSE(parser.feed("data: 01234567890123456789\n\n", events));
    CHECK_FALSE(parser.feed("\n\ndata: a\n\n", events));
    CHECK(events.empty());
}

// Guards against duplicate or missing tokens: the endpoint sends events twice, late and with jumps, over connections that overlap.
TEST_CASE("A stream's events are kept once each and without a hole", "[relay][whole-answer]")
{
    rc::prop("against a map", [] {
        StreamBuffer buffer({200, 1000});
        std::map<StreamOffset, std::uint64_t> expected;
        const auto offers = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(rc::gen::pair(rc::gen::inRange(0U, 8U), rc::gen::inRange(0U, 3U)));
        for (const auto &[back, digest] : offers) {
            const StreamOffset offset =
                static_cast<StreamOffset>(expected.size()) + 3 - std::min<StreamOffset>(back, static_cast<StreamOffset>(expected.size()) + 3);
            const bool next = offset == expected.size() + 1;
            const bool held = expected.count(offset) == 1;
            const OfferResult result = buffer.offer(offset, "12345", digest);
            if (next && expected.size() < 40) {
                RC_ASSERT(result == OfferResult::Appended);
                expected[offset] = digest;
            } else if (held) {
                RC_ASSERT(result == (expected[offset] == digest ? OfferResult::Duplicate : OfferResult::Diverged));
            } else {
                RC_ASSERT(result == (next ? OfferResult::Full : OfferResult::Gap));
            }
            RC_ASSERT(buffer.last() == expected.size());
            RC_ASSERT(buffer.bytes() <= 200U);
        }
    });
}

TEST_CASE("Only events that every reader has consumed are evicted", "[relay]")
{
    StreamBuffer buffer({10, 1000});
    REQUIRE(buffer.offer(1, "12345", 1) == OfferResult::Appended);
    REQUIRE(buffer.offer(2, "12345", 2) == OfferResult::Appended);
    CHECK(buffer.offer(3, "12345", 3) == OfferResult::Full);
    buffer.consumed(1);
    CHECK(buffer.offer(3, "12345", 3) == OfferResult::Appended);
    CHECK(buffer.evicted() == 1);
    CHECK(buffer.find(1) == nullptr);
    CHECK(buffer.offer(1, "other", 9) == OfferResult::Diverged);
}

// Guards against overloading an endpoint during an outage: each of many requests fails and would be retried up to the limit per request,
// which is three times the load for as long as the outage lasts.
TEST_CASE("Retries in an outage stay under a fraction of earlier successes", "[relay][retry]")
{
    rc::prop("any successes, then an outage", [] {
        RetryBudget budget(RetryBudgetOptions{0.1, 3.0, 10.0, 8});
        const RetryAccount account{CustomerId("c"), ShardId("s")};
        const unsigned successes = *rc::gen::inRange(0U, 200U);
        const unsigned failures = *rc::gen::inRange(0U, 500U);
        for (unsigned i = 0; i < successes; ++i) {
            budget.succeeded(account);
        }
        unsigned retries = 0;
        for (unsigned i = 0; i < failures; ++i) {
            retries += budget.tryTake(account) ? 1 : 0;
        }
        RC_ASSERT(retries <= 3 + successes / 10);
        RC_ASSERT(retries <= 10U);
    });
}

TEST_CASE("One customer's failures take no retry from another, and accounts are bounded", "[relay][retry]")
{
    RetryBudget budget(RetryBudgetOptions{0.1, 1.0, 10.0, 4});
    const ShardId shard("s");
    CHECK(budget.tryTake({CustomerId("a"), shard}));
    CHECK_FALSE(budget.tryTake({CustomerId("a"), shard}));
    CHECK(budget.tryTake({CustomerId("b"), shard}));
    for (int i = 0; i < 100; ++i) {
        budget.succeeded({CustomerId(std::to_string(i)), shard});
    }
    CHECK(budget.size() == 4);
}

TEST_CASE("Chat bodies are checked before they cost anything", "[relay]")
{
    CHECK(readChatRequest("{").error() == ChatError::NotJson);
    CHECK(readChatRequest("[]").error() == ChatError::NotJson);
    CHECK(readChatRequest(R"({"messages":[{}]})").error() == ChatError::NoModel);
    CHECK(readChatRequest(R"({"model":7,"messages":[{}]})").error() == ChatError::NoModel);
    CHECK(readChatRequest(R"({"model":"m","messages":[]})").error() == ChatError::NoMessages);
    CHECK(readChatRequest(std::string(10'000, '[')).error() == ChatError::NotJson);
    rc::prop("any bytes give a result", [] {
        (void)readChatRequest(*sseLikeText()).has_value();
        (void)choicesDigest(*sseLikeText());
        (void)cachedTokens(*sseLikeText());
    });
}

TEST_CASE("Joined chunks hold text, tool calls and usage of every choice", "[relay]")
{
    const std::vector<std::string_view> chunks{
        R"({"id":"i","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"a"}}]})",
        R"({"id":"i","choices":[{"index":0,"delta":{"content":"b","tool_calls":[{"index":0,"id":"c1","function":{"name":"f","arguments":"{\"x\""}}]}}]})",
        R"({"id":"i","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"stop"}],"usage":{"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":5}}})",
    };
    const std::string whole = joinChunks(chunks);
    CHECK(whole.find(R"("content":"ab")") != std::string::npos);
    CHECK(whole.find(R"("arguments":"{\"x\":1}")") != std::string::npos);
    CHECK(whole.find(R"("finish_reason":"stop")") != std::string::npos);
    CHECK(whole.find(R"("object":"chat.completion")") != std::string::npos);
    CHECK(cachedTokens(chunks.back()) == 5);
}

TEST_CASE("A key belongs to its customer under the preset in force", "[relay]")
{
    const std::shared_ptr<PresetInForce> preset = std::make_shared<PresetInForce>();
    preset->preset.customers = {{CustomerId("farm"), 1.0, sha256Hex("k1")}, {CustomerId("none"), 1.0, ""}};
    CustomerLookup lookup;
    CHECK(lookup.find(preset, "k1") == CustomerId("farm"));
    CHECK_FALSE(lookup.find(preset, "k2"));
    CHECK_FALSE(lookup.find(preset, ""));
    const std::shared_ptr<PresetInForce> next = std::make_shared<PresetInForce>();
    CHECK_FALSE(lookup.find(next, "k1"));
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

} // namespace Rhubarbwind
