#include "relay/relaybench_test.h"

#include <boost/json.hpp>
#include <rapidcheck/catch.h>

namespace Rhubarbwind::RelayBench
{

namespace
{

std::string notStarted(const std::string &status)
{
    return plainAnswer(status, "X-Not-Started: true\r\nRetry-After: 4\r\n", "{}");
}
Script broken(const std::string &bytes)
{
    return {bytes, true};
}
Script silent(const std::string &bytes)
{
    return {bytes, false};
}
Script missing()
{
    return {plainAnswer("404 Not Found", "", "{}"), true};
}
Script whole(unsigned first, unsigned last)
{
    return {sseHead() + tokens(first, last) + doneEvent(), true};
}

/** What a caller gets when endpoints a and b answer with these scripts, and the first permit is for a, the next for b. */
struct FaultRow
{
    std::string name;
    std::string classId;
    bool stream;
    std::deque<Script> a; ///< empty: nothing listens
    std::deque<Script> b;
    unsigned status;
    std::string outcome;
    std::string error; ///< type; empty: none
    std::string content; ///< joined text of the tokens that the caller gets
    std::size_t sendsA;
    std::size_t sendsB;
};

// The tokens in the order in which the caller received them.
std::string contentOf(const std::string &body)
{
    const std::string mark = "\"content\":\"";
    std::string content;
    for (std::size_t at = body.find(mark); at != std::string::npos; at = body.find(mark, at + 1)) {
        const std::size_t start = at + mark.size();
        content += body.substr(start, body.find('"', start) - start);
    }
    return content;
}

std::string outcomeOf(const Caller &caller)
{
    std::string known = caller.header("X-Rhubarbwind-Outcome");
    if (!known.empty()) {
        return known;
    }
    const std::string body = caller.answer().body();
    const std::string mark = "event: outcome\ndata: ";
    const std::size_t at = body.find(mark);
    REQUIRE(at != std::string::npos);
    const boost::json::value data = boost::json::parse(body.substr(at + mark.size(), body.find('\n', at + mark.size()) - at - mark.size()));
    return std::string(data.at("outcome").as_string().c_str());
}

// Enough for one silence bound and the resumes after it.
constexpr Duration maxVirtualTime = 14s;

void checkRow(const FaultRow &row)
{
    CAPTURE(row.name);
    ManualClock::reset();
    Bench bench;
    std::map<std::string, std::unique_ptr<ScriptedEndpoint>> endpoints;
    for (const auto &[name, scripts] : {std::pair("a", row.a), std::pair("b", row.b)}) {
        endpoints[name] = std::make_unique<ScriptedEndpoint>(bench.io, scripts.empty() ? std::deque<Script>{missing()} : scripts);
        bench.endpoints[name] = endpoints[name]->port();
        if (scripts.empty()) {
            endpoints[name]->stopListening();
        }
    }
    bench.permits.answers = {grantOf("a"), grantOf("b")};
    const std::unique_ptr<Caller> caller = bench.callAdvancing(chatText({row.classId, row.stream, ""}), maxVirtualTime);
    CHECK(caller->answer().result_int() == row.status);
    CHECK(outcomeOf(*caller) == row.outcome);
    CHECK(contentOf(caller->answer().body()) == row.content);
    const std::string error = row.error.empty() ? "\"error\"" : "\"type\":\"" + row.error + "\"";
    const bool reported = caller->answer().body().find(error) != std::string::npos;
    CHECK(reported != row.error.empty());
    CHECK(endpoints["a"]->count("POST") == row.sendsA);
    CHECK(endpoints["b"]->count("POST") == row.sendsB);
    runUntilIdle(bench.io);
    CHECK(bench.permits.releases.size() == bench.permits.tickets.size());
    CHECK(bench.relay.stats().running == 0);
}

} // namespace

TEST_CASE("A stream is delivered to its caller and its result is reported to the arbiter", "[relay][whole-answer]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 3)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    const std::unique_ptr<Caller> caller = bench.call(chatText({}));
    CHECK(caller->answer().result_int() == 200);
    CHECK(contentOf(caller->answer().body()) == "t1t2t3");
    REQUIRE(bench.permits.releases.size() == 1);
    CHECK(bench.permits.releases[0].kind == ReleaseKind::Completed);
    CHECK(bench.permits.releases[0].tokens == 3);
    CHECK(bench.metrics.value("rhubarbwind_requests_total", {{"class", "quick"}, {"outcome", "completed"}}) == 1);
    CHECK(engine.requests()[0].find("\"priority\":3") != std::string::npos);
}

TEST_CASE("A caller that requested no stream gets one whole answer", "[relay][whole-answer]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 3)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    const std::unique_ptr<Caller> caller = bench.call(chatText({"quick", false, ""}));
    CHECK(caller->header("X-Rhubarbwind-Outcome") == "completed");
    CHECK(caller->answer().body().find("\"content\":\"t1t2t3\"") != std::string::npos);
    CHECK(caller->answer().body().find("\"role\":\"assistant\"") != std::string::npos);
}

// Guards against an answer that is truncated, has duplicates or is composed of two: the connection to the endpoint is refused, breaks, goes
// silent, overlaps or skips events, before or after the first token. The rest of the stream is requested over a new connection, and only
// what follows the last offset is used. A new run starts only if nothing was delivered or the class is declared reproducible.
TEST_CASE("Faults of an endpoint's connection leave a whole answer or a truthful error", "[relay][whole-answer]")
{
    const std::string head = sseHead();
    const std::vector<FaultRow> rows{
        {"silent in mid-stream, stream not resumed",
         "quick",
         true,
         {silent(head + tokens(1, 2)), silent("")},
         {whole(1, 4)},
         200,
         "failed-after-start",
         "endpoint_silent",
         "t1t2",
         1,
         0},
        {"silent in mid-stream, stream not resumed, nothing delivered yet",
         "quick",
         false,
         {silent(head + tokens(1, 2)), silent("")},
         {whole(1, 3)},
         200,
         "completed",
         "",
         "t1t2t3",
         1,
         1},
        {"nothing fails", "quick", true, {whole(1, 3)}, {}, 200, "completed", "", "t1t2t3", 1, 0},
        {"connection refused, then another endpoint", "quick", true, {}, {whole(1, 2)}, 200, "completed", "", "t1t2", 0, 1},
        {"broken in mid-stream, resumed", "quick", true, {broken(head + tokens(1, 2)), whole(3, 4)}, {}, 200, "completed", "", "t1t2t3t4", 1, 0},
        {"resumed with an overlap", "quick", true, {broken(head + tokens(1, 3)), whole(2, 4)}, {}, 200, "completed", "", "t1t2t3t4", 1, 0},
        {"resumed with a gap, then without",
         "quick",
         true,
         {broken(head + tokens(1, 2)), whole(4, 5), whole(3, 5)},
         {},
         200,
         "completed",
         "",
         "t1t2t3t4t5",
         1,
         0},
        {"duplicate events", "quick", true, {{head + tokens(1, 2) + tokens(2, 2) + tokens(1, 3) + doneEvent()}}, {}, 200, "completed", "", "t1t2t3", 1, 0},
        {"a truncated event is not passed on",
         "quick",
         true,
         {broken(head + tokens(1, 1) + "id: 2\ndata: {\"cho"), whole(2, 2)},
         {},
         200,
         "completed",
         "",
         "t1t2",
         1,
         0},
        {"silent in mid-stream, resumed", "quick", true, {silent(head + tokens(1, 2)), whole(3, 3)}, {}, 200, "completed", "", "t1t2t3", 1, 0},
        {"broken in mid-stream, stream not held",
         "quick",
         true,
         {broken(head + tokens(1, 2)), missing()},
         {whole(1, 4)},
         200,
         "failed-after-start",
         "endpoint_broken",
         "t1t2",
         1,
         0},
        {"broken in mid-stream, stream not held, nothing delivered yet",
         "quick",
         false,
         {broken(head + tokens(1, 2)), missing()},
         {whole(1, 3)},
         200,
         "completed",
         "",
         "t1t2t3",
         1,
         1},
        {"broken before the first token, stream not held", "quick", true, {broken(""), missing()}, {whole(1, 2)}, 200, "completed", "", "t1t2", 1, 1},
        {"stream not held, runs are equal: run again and compared",
         "same",
         true,
         {broken(head + tokens(1, 2)), missing()},
         {whole(1, 4)},
         200,
         "completed",
         "",
         "t1t2t3t4",
         1,
         1},
        {"stream not held, the second run differs",
         "same",
         true,
         {broken(head + tokens(1, 2)), missing()},
         {{head + "id: 1\ndata: {\"choices\":[]}\n\n" + doneEvent()}},
         200,
         "failed-after-start",
         "answer_diverged",
         "t1t2",
         1,
         1},
        {"stream not held, the second run is shorter",
         "same",
         true,
         {broken(head + tokens(1, 2)), missing()},
         {whole(1, 1)},
         200,
         "failed-after-start",
         "answer_diverged",
         "t1t2",
         1,
         1},
        {"refused, then another endpoint", "quick", true, {{notStarted("503 Busy")}}, {whole(1, 2)}, 200, "completed", "", "t1t2", 1, 1},
        {"the request itself is invalid",
         "quick",
         true,
         {{plainAnswer("400 Bad Request", "Content-Type: application/json\r\n", "{\"why\":1}")}},
         {whole(1, 1)},
         400,
         "unknown",
         "",
         "",
         1,
         0},
    };
    for (const FaultRow &row : rows) {
        checkRow(row);
    }
}

// Guards against a not-run answer for a request that ran, and against running it twice: the endpoint receives the bytes, then its
// connection breaks, goes silent or carries a failure that does not show whether the request ran. A request that may not be repeated is
// sent once. It is reported as not run only after a confirmed refusal, or if no byte was sent.
TEST_CASE("A request that may not be repeated is sent once and its outcome is what is known", "[relay][truthful-not-run][at-most-once]")
{
    const std::string head = sseHead();
    const std::vector<FaultRow> rows{
        {"completes", "quote", true, {whole(1, 1)}, {}, 200, "completed", "", "t1", 1, 0},
        {"no connection: nothing was sent, so another endpoint may get it", "quote", true, {}, {whole(1, 1)}, 200, "completed", "", "t1", 0, 1},
        {"no connection anywhere", "quote", true, {}, {}, 503, "not-run", "endpoint_unreachable", "", 0, 0},
        {"refused by contract", "quote", true, {{notStarted("429 Busy")}}, {whole(1, 1)}, 503, "not-run", "endpoint_refused", "", 1, 0},
        {"a refusal without X-Not-Started", "quote", true, {{plainAnswer("503 Busy", "", "{}")}}, {whole(1, 1)}, 502, "unknown", "endpoint_failed", "", 1, 0},
        {"broken before any answer", "quote", true, {broken(""), missing()}, {whole(1, 1)}, 502, "unknown", "endpoint_broken", "", 1, 0},
        {"broken before any answer, but the endpoint holds the stream", "quote", true, {broken(""), whole(1, 2)}, {}, 200, "completed", "", "t1t2", 1, 0},
        {"broken in mid-stream, stream not held",
         "quote",
         false,
         {broken(head + tokens(1, 2)), missing()},
         {whole(1, 2)},
         502,
         "failed-after-start",
         "endpoint_broken",
         "",
         1,
         0},
        {"the network duplicated our send: the first copy runs",
         "quote",
         true,
         {{notStarted("409 Conflict")}, whole(1, 2)},
         {},
         200,
         "completed",
         "",
         "t1t2",
         1,
         0},
        {"the network duplicated our send, and the first copy is lost",
         "quote",
         true,
         {{notStarted("409 Conflict")}, missing()},
         {whole(1, 1)},
         502,
         "unknown",
         "endpoint_broken",
         "",
         1,
         0},
    };
    for (const FaultRow &row : rows) {
        checkRow(row);
    }
}

// Guards against paying for tokens that nobody reads: the caller closes its connection in mid-stream and the engine would continue. The run
// is cancelled at the engine, the permit is released, and the generated tokens are counted as wasted.
TEST_CASE("A caller that disconnects cancels its run", "[relay]")
{
    ManualClock::reset();
    Bench bench;
    ScriptedEndpoint engine(bench.io, {silent(sseHead() + tokens(1, 2))});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    Caller caller(bench.io, bench.relay.port(), chatText({}));
    runUntil(bench.io, [&] { return caller.raw().find("\"t2\"") != std::string::npos; });
    caller.hangUp();
    runUntil(bench.io, [&] { return bench.metrics.value("rhubarbwind_wasted_tokens_total", {{"class", "quick"}}) > 0; });
    CHECK(engine.count("DELETE /v1/streams/") == 1);
    CHECK(bench.metrics.value("rhubarbwind_wasted_tokens_total", {{"class", "quick"}}) == 7);
    REQUIRE(bench.permits.releases.size() == 1);
    CHECK(bench.permits.releases[0].kind == ReleaseKind::Cancelled);
}

TEST_CASE("A caller that disconnects while queued leaves the queue", "[relay]")
{
    Bench bench;
    Caller caller(bench.io, bench.relay.port(), chatText({}));
    runUntil(bench.io, [&] { return bench.permits.tickets.size() == 1; });
    caller.hangUp();
    runUntil(bench.io, [&] { return bench.permits.cancelled.size() == 1; });
    CHECK(bench.relay.stats().running == 0);
    CHECK(bench.metrics.value("rhubarbwind_requests_total", {{"class", "quick"}, {"outcome", "not-run"}}) == 1);
}

TEST_CASE("Refusals are answered at once with their reason", "[relay][truthful-not-run]")
{
    struct Row
    {
        RefusalReason reason;
        unsigned status;
        std::string type;
    };
    const std::vector<Row> rows{{RefusalReason::QueueFull, 429, "queue_full"},
                                {RefusalReason::Hopeless, 429, "hopeless"},
                                {RefusalReason::DeadlinePassed, 503, "deadline_passed"},
                                {RefusalReason::NoEndpoint, 503, "no_endpoint"}};
    for (const Row &row : rows) {
        Bench bench;
        bench.permits.answers = {Refusal{{}, row.reason, 2500ms}};
        const std::unique_ptr<Caller> caller = bench.call(chatText({}));
        CHECK(caller->answer().result_int() == row.status);
        CHECK(caller->header("X-Rhubarbwind-Outcome") == "not-run");
        CHECK(caller->header("Retry-After") == "3");
        CHECK(caller->answer().body().find(row.type) != std::string::npos);
    }
}

TEST_CASE("The host enforces a queue deadline that the arbiter does not answer", "[relay][truthful-not-run]")
{
    ManualClock::reset();
    Bench bench;
    const std::unique_ptr<Caller> caller = bench.callAdvancing(chatText({}), 31s);
    CHECK(caller->answer().body().find("deadline_passed") != std::string::npos);
    CHECK(caller->header("X-Rhubarbwind-Outcome") == "not-run");
    CHECK(bench.permits.cancelled.size() == 1);
}

// Guards against running an order twice: the customer repeats the request with its key, because the first answer was slow or lost. The
// second request finds the claim of the first one and follows its answer, or gets its state.
TEST_CASE("A repeat with the same key never runs", "[relay][at-most-once]")
{
    ManualClock::reset();
    const std::string text = chatText({"quote", true, "Idempotency-Key: order-7\r\n"});
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 2)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    SECTION("joined if this host holds the answer")
    {
        const std::unique_ptr<Caller> first = bench.call(text);
        const std::unique_ptr<Caller> second = bench.call(text);
        CHECK(contentOf(second->answer().body()) == "t1t2");
        CHECK(second->header("X-Request-Id") == first->header("X-Request-Id"));
        CHECK(outcomeOf(*second) == "completed");
        CHECK(engine.count("POST") == 1);
        CHECK(bench.permits.releases.size() == 2);
    }
    SECTION("gets the state if another host holds it")
    {
        for (const auto &[state, outcome] : {std::pair(ClaimState::Completed, "completed"),
                                             std::pair(ClaimState::InProgress, "unknown"),
                                             std::pair(ClaimState::FailedAfterStart, "failed-after-start"),
                                             std::pair(ClaimState::Unknown, "unknown")}) {
            const ClaimKey key(sha256Hex("farm\norder-7"));
            bench.claims.holders[key] = RequestId("elsewhere");
            bench.claims.states[key] = state;
            const std::unique_ptr<Caller> caller = bench.call(text);
            CHECK(caller->answer().result_int() == 409);
            CHECK(caller->header("X-Rhubarbwind-Outcome") == outcome);
            CHECK(caller->header("X-Rhubarbwind-Earlier-Request") == "elsewhere");
        }
        CHECK(engine.count("POST") == 0);
    }
    SECTION("continues after its caller disconnects, and the repeat gets the answer")
    {
        ScriptedEndpoint slow(bench.io, {silent(sseHead() + tokens(1, 2)), whole(3, 3)});
        bench.endpoints["a"] = slow.port();
        std::unique_ptr<Caller> first = std::make_unique<Caller>(bench.io, bench.relay.port(), text);
        runUntil(bench.io, [&] { return first->raw().find("\"t2\"") != std::string::npos; });
        first->hangUp();
        runUntilIdle(bench.io);
        const std::unique_ptr<Caller> second = bench.callAdvancing(text, 12s);
        CHECK(contentOf(second->answer().body()) == "t1t2t3");
        CHECK(slow.count("POST") == 1);
        CHECK(slow.count("DELETE") == 0);
    }
}

// Guards against delivering the answer of another order: the customer uses an old key for a different request by mistake.
TEST_CASE("A key that was used for another request joins nothing", "[relay][whole-answer][at-most-once]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 2)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    bench.call(chatText({"quote", true, "Idempotency-Key: k\r\n"}));
    const std::unique_ptr<Caller> other = bench.call(chatText({"quote", false, "Idempotency-Key: k\r\n"}));
    CHECK(other->answer().result_int() == 409);
    CHECK(engine.count("POST") == 1);
}

// Guards against a key that is used up by a request that did not run: the first request claimed the key, then its endpoint refused. The
// caller repeats it with the same key after the not-run answer. The repeat may run, once.
TEST_CASE("A key is not used up by a request that did not run", "[relay][at-most-once][truthful-not-run]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {{notStarted("503 Busy")}, whole(1, 2)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    const std::string text = chatText({"quote", true, "Idempotency-Key: k\r\n"});
    CHECK(outcomeOf(*bench.call(text)) == "not-run");
    CHECK(outcomeOf(*bench.call(text)) == "completed");
    const std::unique_ptr<Caller> third = bench.call(text);
    CHECK(engine.count("POST") == 2);
    CHECK(contentOf(third->answer().body()) == "t1t2");
    CHECK(outcomeOf(*third) == "completed");
}

// The platform is down, so a request with a key cannot be claimed and must not run. It waits until its deadline without a permit and gets a
// not-run answer. Requests without a key continue.
TEST_CASE("Without claims a request with a key does not run and holds no permit", "[relay][at-most-once][truthful-not-run]")
{
    ManualClock::reset();
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 2)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    bench.claims.available = false;
    const std::unique_ptr<Caller> keyed = bench.call(chatText({"quote", true, "Idempotency-Key: k\r\n"}));
    CHECK(keyed->header("X-Rhubarbwind-Outcome") == "not-run");
    CHECK(keyed->answer().body().find("claim_unavailable") != std::string::npos);
    CHECK(bench.permits.releases.size() == 1);
    bench.call(chatText({"quote", true, "Idempotency-Key: l\r\n"}));
    CHECK(bench.permits.tickets.size() == 1);
    CHECK(outcomeOf(*bench.call(chatText({}))) == "completed");
    CHECK(engine.count("POST") == 1);
}

TEST_CASE("A plain service's answer is passed on with a truthful outcome", "[relay][truthful-not-run][at-most-once]")
{
    struct Row
    {
        std::string classId;
        std::deque<Script> scripts;
        unsigned status;
        std::string outcome;
        std::size_t sends;
    };
    const std::vector<Row> rows{
        {"quick", {{plainAnswer("201 Created", "Content-Type: text/x\r\n", "made")}}, 201, "completed", 1},
        {"quick", {{plainAnswer("404 Not Found", "", "no")}}, 404, "completed", 1},
        {"quick", {{plainAnswer("500 Oops", "", "")}, {plainAnswer("200 OK", "", "made")}}, 200, "completed", 2},
        {"quote", {{plainAnswer("500 Oops", "", "")}, {plainAnswer("200 OK", "", "made")}}, 502, "unknown", 1},
        {"quote", {{notStarted("503 Busy")}}, 503, "not-run", 1},
        {"quote", {{notStarted("409 Conflict")}}, 502, "unknown", 1},
        {"quote", {broken("")}, 502, "unknown", 1},
        {"quote", {broken("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nmad")}, 502, "failed-after-start", 1},
        {"quote", {broken("HTTP/1.1 200 OK\r\n\r\nmad")}, 502, "unknown", 1},
    };
    for (const Row &row : rows) {
        ManualClock::reset();
        Bench bench;
        ScriptedEndpoint service(bench.io, row.scripts);
        bench.endpoints["s"] = service.port();
        bench.permits.answers = {grantOf("s")};
        const std::unique_ptr<Caller> caller =
            bench.callAdvancing(httpText("POST /v1/services/quotes/draft?x=1", "X-Rhubarbwind-Class: " + row.classId + "\r\n", "body"), 2s);
        CAPTURE(row.classId, row.status, row.outcome);
        CHECK(caller->answer().result_int() == row.status);
        CHECK(caller->header("X-Rhubarbwind-Outcome") == row.outcome);
        CHECK(service.count("POST /draft?x=1") == row.sends);
        CHECK(bench.permits.tickets[0].classId.text() == row.classId);
    }
}

// Guards against losing the answer with the connection: the caller returns with the id of the last event it received, to this host or to
// another one while the endpoint still holds the stream.
TEST_CASE("A caller resumes its stream through any host", "[relay][whole-answer]")
{
    ManualClock::reset();
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 4)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    const std::unique_ptr<Caller> first = bench.call(chatText({}));
    const std::string id = first->header("X-Request-Id");
    const std::string label = "X-Rhubarbwind-Stream: " + first->header("X-Rhubarbwind-Stream") + "\r\n";
    SECTION("held by this host")
    {
        const std::unique_ptr<Caller> again = bench.call(httpText("GET /v1/streams/" + id, "Last-Event-ID: 2\r\n", ""));
        CHECK(contentOf(again->answer().body()) == "t3t4");
        CHECK(outcomeOf(*again) == "completed");
    }
    SECTION("held by the endpoint for another host's request")
    {
        ScriptedEndpoint holder(bench.io, {broken(sseHead() + tokens(3, 3)), whole(4, 4)});
        Bench other;
        ScriptedEndpoint otherHolder(other.io, {broken(sseHead() + tokens(3, 3)), whole(4, 4)});
        other.endpoints["a"] = otherHolder.port();
        const std::unique_ptr<Caller> again = other.call(httpText("GET /v1/streams/" + id, "Last-Event-ID: 2\r\n" + label, ""));
        CHECK(contentOf(again->answer().body()) == "t3t4");
        CHECK(outcomeOf(*again) == "completed");
        CHECK(otherHolder.count("GET /v1/streams/" + id + ".1") == 2);
        CHECK(other.permits.releases.empty());
    }
    SECTION("held by nobody")
    {
        Bench other;
        CHECK(other.call(httpText("GET /v1/streams/" + id, label, ""))->answer().result_int() == 404);
        CHECK(bench.call(httpText("GET /v1/streams/nosuch", "", ""))->answer().result_int() == 404);
    }
}

TEST_CASE("The run of a resumable caller is cancelled if the caller does not return", "[relay]")
{
    ManualClock::reset();
    Bench bench;
    ScriptedEndpoint engine(bench.io, {silent(sseHead() + tokens(1, 2)), whole(3, 3)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    Caller caller(bench.io, bench.relay.port(), chatText({"quick", true, "X-Rhubarbwind-Resumable: true\r\n"}));
    runUntil(bench.io, [&] { return caller.raw().find("\"t2\"") != std::string::npos; });
    caller.hangUp();
    runUntilIdle(bench.io);
    CHECK(bench.relay.stats().running == 1);
    ManualClock::advance(10s);
    runUntil(bench.io, [&] { return bench.relay.stats().running == 0; });
    CHECK(bench.permits.releases.size() == 1);
}

TEST_CASE("A preempted request runs again if it may, and otherwise continues", "[relay][whole-answer]")
{
    ManualClock::reset();
    Bench bench;
    ScriptedEndpoint engine(bench.io, {silent(sseHead() + tokens(1, 2)), whole(1, 3)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    const bool stream = GENERATE(false, true);
    Caller caller(bench.io, bench.relay.port(), chatText({"quick", stream, ""}));
    runUntil(bench.io, [&] { return engine.count("POST") == 1; });
    runUntilIdle(bench.io);
    bench.permits.preempt(bench.permits.tickets[0].id);
    if (stream) {
        runUntilIdle(bench.io);
        CHECK(bench.permits.releases.empty());
        return;
    }
    runUntil(bench.io, [&] { return caller.closed(); });
    CHECK(contentOf(caller.answer().body()) == "t1t2t3");
    REQUIRE(bench.permits.releases.size() == 2);
    CHECK(bench.permits.releases[0].kind == ReleaseKind::Cancelled);
    CHECK(bench.permits.tickets[1].id.attempt == 2);
}

TEST_CASE("Bad input gets a typed refusal and affects no other request", "[relay]")
{
    struct Row
    {
        std::string text;
        unsigned status;
        std::string type;
    };
    const std::string good = R"({"model":"m","messages":[{"role":"user","content":"x"}]})";
    const std::string classLine = "X-Rhubarbwind-Class: quick\r\n";
    const std::vector<Row> rows{
        {"no HTTP at all\r\n\r\n", 400, "bad_request"},
        {httpText("POST /v1/chat/completions", classLine, "{\"model\":"), 400, "bad_request"},
        {httpText("POST /v1/chat/completions", classLine, R"({"model":"../m","messages":[{}]})"), 400, "bad_request"},
        {httpText("POST /v1/chat/completions", "", good), 400, "class_missing"},
        {httpText("POST /v1/chat/completions", "X-Rhubarbwind-Class: nosuch\r\n", good), 400, "class_unknown"},
        {"POST /v1/chat/completions HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer wrong\r\nContent-Length: 0\r\n\r\n", 401, "unauthorized"},
        {"POST /v1/chat/completions HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 401, "unauthorized"},
        {httpText("POST /v1/services/quotes", classLine, ""), 404, "no_such_path"},
        {httpText("GET /nosuch", "", ""), 404, "no_such_path"},
        {httpText("GET /nosuch", "X-Long: " + std::string(20'000, 'a') + "\r\n", ""), 431, "header_too_large"},
        {httpText("POST /v1/chat/completions", classLine, std::string(1'100'000, 'a')), 413, "body_too_large"},
    };
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 1)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    for (const Row &row : rows) {
        const std::unique_ptr<Caller> caller = bench.call(row.text);
        CAPTURE(row.text.substr(0, 200));
        CHECK(caller->answer().result_int() == row.status);
        CHECK(caller->header("X-Rhubarbwind-Outcome") == "not-run");
        CHECK(caller->answer().body().find("\"type\":\"" + row.type + "\"") != std::string::npos);
    }
    CHECK(outcomeOf(*bench.call(chatText({}))) == "completed");
}

// Guards against one caller's input affecting another caller's answer: bytes that are not HTTP, or an engine that sends invalid data, only
// result in a typed answer of their own request.
TEST_CASE("Arbitrary bytes from callers stop nothing", "[relay]")
{
    ManualClock::reset();
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 1)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    rc::prop("any bytes, or a request that is cut", [&bench] {
        const std::string request = chatText({});
        const std::string rubbish = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const std::string cut = request.substr(0, *rc::gen::inRange<std::size_t>(0, request.size()));
        Caller caller(bench.io, bench.relay.port(), *rc::gen::element(rubbish, cut + rubbish, cut));
        runUntilIdle(bench.io);
        caller.hangUp();
        runUntilIdle(bench.io);
        RC_ASSERT(bench.relay.stats().running == 0U);
        RC_ASSERT(bench.relay.stats().connections == 0U);
    });
    CHECK(outcomeOf(*bench.call(chatText({}))) == "completed");
}

TEST_CASE("Arbitrary bytes from an endpoint end in one typed answer", "[relay][whole-answer]")
{
    rc::prop("after any part of a stream", [] {
        ManualClock::reset();
        const std::string stream = sseHead() + tokens(1, 3);
        const std::string rubbish = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        const std::string sent = stream.substr(0, *rc::gen::inRange<std::size_t>(0, stream.size())) + rubbish;
        Bench bench;
        ScriptedEndpoint engine(bench.io, {broken(sent), missing()});
        bench.endpoints["a"] = engine.port();
        bench.permits.answers = {grantOf("a")};
        const std::string classId = *rc::gen::element<std::string>("quick", "quote");
        const std::unique_ptr<Caller> caller = bench.callAdvancing(chatText({classId, true, ""}), 5s);
        RC_ASSERT(outcomeOf(*caller) != "completed");
        RC_ASSERT(outcomeOf(*caller) != "not-run");
        RC_ASSERT(bench.permits.releases.size() == bench.permits.tickets.size());
        RC_ASSERT((classId == "quick" || engine.count("POST") == 1));
    });
}

// Guards against unbounded memory: a caller stops reading while its engine continues. Reading from the engine pauses once the backlog of
// the caller is full, and the caller still gets every token when it reads again.
TEST_CASE("A caller that stops reading pauses its engine and loses nothing", "[relay][whole-answer]")
{
    ManualClock::reset();
    RelayOptions options;
    options.unsentBytes = std::size_t{64} * 1024;
    options.answer.maxBytes = std::size_t{256} * 1024;
    constexpr unsigned events = 8000;
    const std::string padding(2000, 'x');
    std::string stream = sseHead();
    for (unsigned offset = 1; offset <= events; ++offset) {
        stream += "id: " + std::to_string(offset) + "\ndata: {\"content\":\"" + padding + "\"}\n\n";
    }
    Bench bench(options);
    ScriptedEndpoint engine(bench.io, {{stream + doneEvent()}});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    Caller caller(bench.io, bench.relay.port(), chatText({}), false);
    runUntil(bench.io, [&] { return bench.relay.stats().memoryBytes > 0; });
    runUntilIdle(bench.io);
    CHECK(bench.relay.stats().running == 1);
    CHECK(bench.relay.stats().memoryBytes < std::size_t{300} * 1024);
    caller.startReading();
    runUntil(bench.io, [&] { return caller.closed(); });
    CHECK(contentOf(caller.answer().body()).size() == std::size_t{events} * padding.size());
    CHECK(outcomeOf(caller) == "completed");
}

TEST_CASE("A host over its budget refuses at once", "[relay]")
{
    RelayOptions options;
    options.requests = 1;
    Bench bench(options);
    Caller waiting(bench.io, bench.relay.port(), chatText({}));
    runUntil(bench.io, [&] { return bench.permits.tickets.size() == 1; });
    const std::unique_ptr<Caller> caller = bench.call(chatText({}));
    CHECK(caller->answer().result_int() == 503);
    CHECK(caller->answer().body().find("host_overloaded") != std::string::npos);
    CHECK(caller->header("Retry-After") == "1");
}

TEST_CASE("Bodies being received are bounded over all connections", "[relay]")
{
    RelayOptions options;
    options.http.arrivingBytes = 1000;
    Bench bench(options);
    const std::string classLine = "X-Rhubarbwind-Class: quick\r\n";
    Caller slow(bench.io, bench.relay.port(), "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 900\r\n\r\n");
    runUntilIdle(bench.io);
    CHECK(bench.call(httpText("POST /v1/chat/completions", classLine, std::string(200, 'a')))->answer().result_int() == 503);
    slow.hangUp();
    runUntilIdle(bench.io);
    CHECK(bench.call(httpText("POST /v1/chat/completions", classLine, std::string(200, 'a')))->answer().result_int() == 400);
}

// Guards against a planned stop that cuts off a running stream or a queued request: the listener closes while one request streams and one
// is queued. Both must finish before the host reports that it is empty, also if the drain is requested twice.
TEST_CASE("Drain finishes running and queued requests, then reports once", "[relay][graceful-shutdown]")
{
    ManualClock::reset();
    Bench bench;
    ScriptedEndpoint engine(bench.io, {silent(sseHead() + tokens(1, 1)), whole(2, 2), whole(1, 2)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    Caller running(bench.io, bench.relay.port(), chatText({}));
    runUntil(bench.io, [&] { return running.raw().find("\"t1\"") != std::string::npos; });
    bench.permits.answers.clear();
    Caller queued(bench.io, bench.relay.port(), chatText({}));
    runUntil(bench.io, [&] { return bench.permits.waiting.size() == 1; });
    // Completed in the kernel, not accepted yet.
    Caller arriving(bench.io, bench.relay.port(), chatText({}));
    int reports = 0;
    bench.relay.drain([&] { ++reports; });
    bench.relay.drain([] {});
    boost::system::error_code refused;
    Tcp::socket late(bench.io);
    late.connect(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), bench.relay.port()), refused);
    CHECK(refused);
    runUntil(bench.io, [&] { return bench.permits.waiting.size() == 2; });
    CHECK(reports == 0);
    runUntilAdvancing(bench.io, 12s, [&] { return running.closed(); });
    CHECK(contentOf(running.answer().body()) == "t1t2");
    CHECK(reports == 0);
    const std::map<AttemptId, PermitHandler> waiting = std::exchange(bench.permits.waiting, {});
    for (const auto &[id, handler] : waiting) {
        PermitAnswer grant = grantOf("a");
        std::get<Grant>(grant).id = id;
        handler(grant);
    }
    runUntil(bench.io, [&] { return queued.closed() && arriving.closed(); });
    CHECK(contentOf(queued.answer().body()) == "t1t2");
    CHECK(contentOf(arriving.answer().body()) == "t1t2");
    runUntilAdvancing(bench.io, 5s, [&] { return reports > 0; });
    CHECK(reports == 1);
}

TEST_CASE("An endpoint that announces its draining is reported", "[relay][endpoint-drain]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {{"HTTP/1.1 200 OK\r\nX-Draining: true\r\nConnection: close\r\n\r\n" + tokens(1, 1) + doneEvent()}});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    std::vector<EndpointId> leaving;
    bench.relay.onEndpointDraining([&](const EndpointId &id) { leaving.push_back(id); });
    bench.call(chatText({}));
    CHECK(leaving == std::vector<EndpointId>{EndpointId("a")});
}

TEST_CASE("A request records one span per hop in its caller's trace", "[relay]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {whole(1, 2)});
    bench.endpoints["a"] = engine.port();
    bench.permits.answers = {grantOf("a")};
    const std::string trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    const std::unique_ptr<Caller> caller = bench.call(chatText({"quick", true, "traceparent: 00-" + trace + "-00f067aa0ba902b7-01\r\n"}));
    CHECK(caller->header("traceparent").find(trace) != std::string::npos);
    CHECK(engine.requests()[0].find(trace) != std::string::npos);
    std::vector<Hop> hops;
    for (const Span &span : bench.spans.find(RequestId(caller->header("X-Request-Id")))) {
        CHECK(span.traceId == trace);
        hops.push_back(span.hop);
    }
    CHECK(hops == std::vector<Hop>{Hop::Accept, Hop::Queue, Hop::Connect, Hop::FirstToken, Hop::Stream, Hop::Answer});
}

TEST_CASE("What the relay does not serve goes to the fallback on the same port", "[relay]")
{
    Bench bench;
    bench.relay.setFallback([](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        if (request.target() != "/healthz") {
            return false;
        }
        HttpResponse response(http::status::ok, 11);
        response.body() = "live";
        exchange->respond(std::move(response));
        return true;
    });
    CHECK(bench.call(httpText("GET /healthz", "", ""))->answer().body() == "live");
    CHECK(bench.call(httpText("GET /other", "", ""))->answer().result_int() == 404);
}

} // namespace Rhubarbwind::RelayBench
