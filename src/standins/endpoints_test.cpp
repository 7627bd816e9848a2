#include "standins/engineserver.h"
#include "standins/serviceserver.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

namespace Http = boost::beast::http;
using boost::asio::ip::tcp;

/** Only a hang reaches this limit. */
constexpr Duration hangLimit = 20s;
const tcp::endpoint anyPort(boost::asio::ip::make_address("127.0.0.1"), 0);

struct Exchange
{
    Http::response<Http::string_body> response;
    bool done = false;
    bool broken = false;
};

/** One engine, one service and a caller in the same io_context; the servers use ports chosen by the system. */
class EndpointFixture
{
public:
    EndpointFixture()
    {
        EngineServerOptions engine;
        engine.listen = anyPort;
        engine.engine = engineOptions();
        engine.duty.model = "m";
        engine.crash = [this] { m_crashed = true; };
        m_engine = std::make_shared<EngineServer<SteadyClock>>(m_context, engine);
        m_engine->start();
        ServiceOptions service;
        service.listen = anyPort;
        service.meanWork = 1ms;
        m_service = std::make_shared<ServiceServer<SteadyClock>>(m_context, service);
        m_service->start();
    }

    static EngineOptions engineOptions()
    {
        EngineOptions options;
        options.slots = 2;
        options.queueLimit = 1;
        options.baseToken = 1ms;
        options.perBatchToken = 0ms;
        options.prefillPerToken = 0us;
        options.checksFencing = true;
        return options;
    }

    /** Sends without waiting for the answer. */
    std::shared_ptr<Exchange> send(std::uint16_t port, Http::verb verb, const std::string &target, std::string body = {}, const StandinHeaders &headers = {})
    {
        struct Call
        {
            explicit Call(boost::asio::io_context &context)
                : stream(context)
            {
            }
            boost::beast::tcp_stream stream;
            boost::beast::flat_buffer buffer;
            Http::request<Http::string_body> request;
        };
        const std::shared_ptr<Call> call = std::make_shared<Call>(m_context);
        std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
        call->request = Http::request<Http::string_body>(verb, target, 11, std::move(body));
        for (const auto &[name, value] : headers) {
            call->request.set(name, value);
        }
        call->request.prepare_payload();
        call->stream.connect(tcp::endpoint(anyPort.address(), port));
        Http::write(call->stream, call->request);
        Http::async_read(call->stream, call->buffer, exchange->response, [call, exchange](const boost::system::error_code &error, std::size_t) {
            exchange->broken = error.failed();
            exchange->done = true;
        });
        return exchange;
    }

    std::shared_ptr<Exchange> engine(Http::verb verb, const std::string &target, std::string body = {}, const StandinHeaders &headers = {})
    {
        return finish(send(m_engine->port(), verb, target, std::move(body), headers));
    }
    std::shared_ptr<Exchange> service(Http::verb verb, const std::string &target, std::string body = {})
    {
        return finish(send(m_service->port(), verb, target, std::move(body)));
    }
    std::shared_ptr<Exchange> startRun(const std::string &id, std::uint32_t tokens)
    {
        return send(m_engine->port(), Http::verb::post, "/v1/chat/completions", runBody(id, tokens), {{"X-Request-Id", id}});
    }

    std::shared_ptr<Exchange> finish(const std::shared_ptr<Exchange> &exchange)
    {
        const TimePoint limit = SteadyClock::now() + hangLimit;
        while (!exchange->done && SteadyClock::now() < limit) {
            m_context.run_one_for(100ms);
        }
        REQUIRE(exchange->done);
        return exchange;
    }
    /** Waits until the given numbers of runs are in the batch and in the queue. */
    void awaitRuns(std::uint64_t running, std::uint64_t waiting)
    {
        const TimePoint limit = SteadyClock::now() + hangLimit;
        boost::json::object counters;
        do {
            counters = parseObject(engine(Http::verb::get, "/standin/counters")->response.body()).value();
        } while ((counters.at("running").to_number<std::uint64_t>() != running || counters.at("waiting").to_number<std::uint64_t>() != waiting)
                 && SteadyClock::now() < limit);
        REQUIRE(counters.at("running").to_number<std::uint64_t>() == running);
        REQUIRE(counters.at("waiting").to_number<std::uint64_t>() == waiting);
    }

    static std::string runBody(const std::string &id, std::uint32_t tokens)
    {
        const std::string content = "p [[len=" + std::to_string(tokens) + " id=" + id + " reproducible]]";
        return boost::json::serialize(
            boost::json::object{{"stream", true}, {"messages", boost::json::array{boost::json::object{{"role", "user"}, {"content", content}}}}});
    }

    bool crashed() const
    {
        return m_crashed;
    }

private:
    boost::asio::io_context m_context;
    std::shared_ptr<EngineServer<SteadyClock>> m_engine;
    std::shared_ptr<ServiceServer<SteadyClock>> m_service;
    bool m_crashed = false;
};

std::string header(const std::shared_ptr<Exchange> &exchange, const char *name)
{
    return std::string(exchange->response[name]);
}

boost::json::object jsonOf(const std::shared_ptr<Exchange> &exchange)
{
    return parseObject(exchange->response.body()).value_or(boost::json::object());
}

constexpr std::uint32_t endless = 30'000;

} // namespace

TEST_CASE_METHOD(EndpointFixture, "engine: a stream counts its tokens and ends with usage and [DONE]", "[endpoint-contract]")
{
    const std::shared_ptr<Exchange> answer = finish(startRun("r.1", 3));
    const std::string &text = answer->response.body();
    CHECK(answer->response.result_int() == 200);
    CHECK(header(answer, "Content-Type") == "text/event-stream");
    CHECK(text.find("id: 1\ndata: {") == 0);
    CHECK(text.find("id: 3\ndata: {") != std::string::npos);
    CHECK(text.find("id: 4") == std::string::npos);
    CHECK(text.find("\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":") != std::string::npos);
    CHECK(text.find("\"cached_tokens\":0") != std::string::npos);
    CHECK(text.ends_with("data: [DONE]\n\n"));
}

TEST_CASE_METHOD(EndpointFixture, "engine: a stream resumes after any event with the same bytes as the original", "[endpoint-contract]")
{
    // The connection breaks during a stream; the router opens another and sends the id of the last event it received. Failure: a token that the engine
    // skips or sends twice changes the caller's answer.
    const std::string whole = finish(startRun("r.1", 9))->response.body();
    for (std::uint32_t after = 0; after <= 9; ++after) {
        const std::shared_ptr<Exchange> resumed = engine(Http::verb::get, "/v1/streams/r.1", {}, {{"Last-Event-ID", std::to_string(after)}});
        const std::size_t rest = after == 9 ? whole.find("data: [DONE]") : whole.find("id: " + std::to_string(after + 1) + "\n");
        CHECK(resumed->response.body() == whole.substr(rest));
    }
    CHECK(engine(Http::verb::get, "/v1/streams/other")->response.result_int() == 404);
}

TEST_CASE_METHOD(EndpointFixture, "engine: whole answers hold the same text as streams", "[endpoint-contract]")
{
    const std::string body = R"({"messages":[{"role":"user","content":"q [[len=2 id=a reproducible]]"}]})";
    const std::shared_ptr<Exchange> answer = engine(Http::verb::post, "/v1/chat/completions", body);
    AnswerChecker checker("q [[len=2 id=a reproducible]]");
    const boost::json::value json = boost::json::parse(answer->response.body());
    CHECK(checker.take(std::string(json.at("choices").at(0).at("message").at("content").as_string())).has_value());
    CHECK(checker.isWhole());
}

TEST_CASE_METHOD(EndpointFixture, "engine: refusals state that nothing was started", "[endpoint-contract]")
{
    startRun("a.1", endless);
    awaitRuns(1, 0);
    startRun("b.1", endless);
    awaitRuns(2, 0);
    startRun("waits.1", endless);
    awaitRuns(2, 1);
    struct Row
    {
        std::string what;
        std::string id;
        std::string fault;
        unsigned status;
    };
    const std::vector<Row> rows{
        {"a held id", "a.1", "{}", 409},
        {"a full queue", "c.1", "{}", 429},
        {"the fault `refuse`", "d.1", R"({"refuse":true})", 503},
        {"draining", "e.1", R"({"refuse":false,"draining":true})", 503},
    };
    for (const Row &row : rows) {
        INFO(row.what);
        REQUIRE(engine(Http::verb::post, "/standin/faults", row.fault)->response.result_int() == 200);
        const std::shared_ptr<Exchange> answer = finish(startRun(row.id, 1));
        CHECK(answer->response.result_int() == row.status);
        CHECK(header(answer, "X-Not-Started") == "true");
        CHECK(header(answer, "X-Draining") == (row.what == "draining" ? "true" : ""));
    }
    CHECK(jsonOf(engine(Http::verb::get, "/standin/counters")).at("runs").to_number<int>() == 2);
}

TEST_CASE_METHOD(EndpointFixture, "engine: cancel reports whether the run had started", "[endpoint-contract]")
{
    const std::shared_ptr<Exchange> stream = startRun("a.1", endless);
    awaitRuns(1, 0);
    startRun("b.1", endless);
    awaitRuns(2, 0);
    startRun("waits.1", endless);
    awaitRuns(2, 1);
    const boost::json::object waiting = jsonOf(engine(Http::verb::delete_, "/v1/streams/waits.1"));
    CHECK(textMember(waiting, "state") == "not-started");
    CHECK(numberMember(waiting, "tokens", -1) == 0);
    const boost::json::object running = jsonOf(engine(Http::verb::delete_, "/v1/streams/a.1"));
    CHECK(textMember(running, "state") == "cancelled");
    CHECK(finish(stream)->broken);
    finish(startRun("short.1", 1));
    CHECK(textMember(jsonOf(engine(Http::verb::delete_, "/v1/streams/short.1")), "state") == "finished");
    CHECK(engine(Http::verb::delete_, "/v1/streams/unknown")->response.result_int() == 404);
}

TEST_CASE_METHOD(EndpointFixture, "engine: orders, state and load have the published formats", "[endpoint-contract]")
{
    const auto order = [this](int fencing) {
        return engine(
            Http::verb::post, "/v1/orders", R"({"fencing":)" + std::to_string(fencing) + R"(,"model":"m","version":"","adapters":[],"role":"decode"})");
    };
    CHECK(order(5)->response.result_int() == 202);
    const std::shared_ptr<Exchange> stale = order(4);
    CHECK(stale->response.result_int() == 409);
    CHECK(textMember(jsonOf(stale), "error") == "stale fencing number");
    const boost::json::object state = jsonOf(engine(Http::verb::get, "/v1/state"));
    CHECK(textMember(state, "role") == "decode");
    CHECK(numberMember(state, "fencing", 0) == 5);
    CHECK_FALSE(flagMember(state, "loading", true));
    const boost::json::object load = jsonOf(engine(Http::verb::get, "/v1/load"));
    for (const char *member : {"running", "waiting", "kv_tokens_used", "kv_tokens", "draining", "age_ms"}) {
        CHECK(load.contains(member));
    }
    const boost::json::object events = jsonOf(engine(Http::verb::get, "/v1/cache-events?after=3"));
    CHECK(events.at("events").is_array());
    CHECK(numberMember(events, "next", 0) == 3);
}

TEST_CASE_METHOD(EndpointFixture, "engine: bad requests run nothing and do not affect other requests", "[endpoint-contract]")
{
    const std::shared_ptr<Exchange> stream = startRun("a.1", 50);
    for (const char *body : {"", "{", "[]", "{}", R"({"messages":{}})", R"({"messages":[1]})"}) {
        CHECK(engine(Http::verb::post, "/v1/chat/completions", body)->response.result_int() == 400);
    }
    CHECK(engine(Http::verb::post, "/v1/chat/completions", runBody("x", 1), {{"X-Request-Id", "a\"b"}})->response.result_int() == 400);
    CHECK(engine(Http::verb::get, "/nowhere")->response.result_int() == 404);
    CHECK(finish(stream)->response.body().ends_with("[DONE]\n\n"));
    CHECK(jsonOf(engine(Http::verb::get, "/standin/counters")).at("runs").to_number<int>() == 1);
}

TEST_CASE_METHOD(EndpointFixture, "engine faults: silent connections stay open while new ones work", "[endpoint-contract]")
{
    const std::shared_ptr<Exchange> silent = startRun("a.1", 200);
    awaitRuns(1, 0);
    CHECK(numberMember(jsonOf(engine(Http::verb::post, "/standin/faults", R"({"silence":true})")), "silenced", 0) >= 1);
    const std::string resumed = engine(Http::verb::get, "/v1/streams/a.1")->response.body();
    CHECK(resumed.ends_with("[DONE]\n\n"));
    CHECK_FALSE(silent->done);
}

TEST_CASE_METHOD(EndpointFixture, "engine faults: lost answers, and a crash in mid-stream", "[endpoint-contract]")
{
    engine(Http::verb::post, "/standin/faults", R"({"lose_answers":1,"crash_after_tokens":4})");
    CHECK(finish(startRun("lost.1", 1))->broken);
    CHECK_FALSE(crashed());
    finish(startRun("a.1", 10));
    CHECK(crashed());
    const boost::json::object counters = jsonOf(engine(Http::verb::get, "/standin/counters"));
    CHECK(counters.at("ids").at("lost.1").at(0).to_number<int>() == 1);
}

TEST_CASE_METHOD(EndpointFixture, "engine faults: a prompt that crashes the engine that starts to run it", "[endpoint-contract]")
{
    engine(Http::verb::post, "/standin/faults", R"({"crash_on_start_of":"fatal"})");
    CHECK_FALSE(finish(startRun("harmless", 3))->broken);
    CHECK_FALSE(crashed());
    startRun("fatal", 3);
    awaitRuns(1, 0);
    CHECK(crashed());
}

TEST_CASE_METHOD(EndpointFixture, "service: answers, refusals, lost answers and counters", "[endpoint-contract]")
{
    const std::shared_ptr<Exchange> answer = service(Http::verb::post, "/quotes", "q [[len=1 id=q1]]");
    CHECK(answer->response.result_int() == 200);
    CHECK(textMember(jsonOf(answer), "id") == "q1");
    service(Http::verb::post, "/standin/faults", R"({"lose_answers":1})");
    CHECK(service(Http::verb::post, "/quotes", "q [[len=1 id=q2]]")->broken);
    service(Http::verb::post, "/standin/faults", R"({"draining":true})");
    const std::shared_ptr<Exchange> refused = service(Http::verb::post, "/quotes", "q [[len=1 id=q3]]");
    CHECK(refused->response.result_int() == 503);
    CHECK(header(refused, "X-Not-Started") == "true");
    CHECK(header(refused, "X-Draining") == "true");
    CHECK(flagMember(jsonOf(service(Http::verb::get, "/v1/load")), "draining", false));
    const boost::json::value counters = jsonOf(service(Http::verb::get, "/standin/counters"));
    CHECK(counters.at("ids").at("q2").at(0).to_number<int>() == 1);
    CHECK(counters.at("ids").as_object().if_contains("q3") == nullptr);
}
