// What a broken connection proves about its endpoint, over real sockets.

#include "gateway/crashdetector.h"

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

/** A detector for one listening port, with a simulated clock for its delays. */
class DetectorScene
{
public:
    DetectorScene()
        : listener(io, [](Peer &, const std::string &) {})
    {
        detector.onResult([this](const EndpointBreak &seen) { results.push_back(seen); });
    }

    SelectorEndpoint endpoint() const
    {
        SelectorEndpoint listed;
        listed.id = EndpointId("e1");
        listed.ip = "127.0.0.1";
        listed.port = m_port;
        return listed;
    }
    void reportBreak(const std::string &attempt)
    {
        detector.reportBreak(endpoint(), 12, {RequestId(attempt), CustomerId("acme"), {1, 2}, 3, now}, now);
    }
    void pass(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 5ms) {
            now += 5ms;
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            detector.tick(now, pool);
        }
    }

    asio::io_context io;
    FakeEndpoint listener;
    ConnectionPool pool{PoolOptions()};
    CrashDetector detector{io};
    std::vector<EndpointBreak> results;
    TimePoint now = SteadyClock::now();

private:
    std::uint16_t m_port = listener.port();
};

} // namespace

TEST_CASE("an endpoint that refuses connections after a break has ended; all its requests are reported together", "[quarantine]")
{
    DetectorScene scene;
    scene.listener.end();
    scene.reportBreak("r1");
    scene.pass(10ms);
    scene.reportBreak("r2");
    CHECK(scene.results.empty());
    scene.pass(100ms);
    REQUIRE(scene.results.size() == 1);
    CHECK(scene.results.front().result == BreakResult::Ended);
    CHECK(scene.results.front().sends.size() == 2);
    CHECK(scene.detector.size() == 0);
}

TEST_CASE("an endpoint that drops one request is alive, and the probe connection goes to the pool", "[quarantine]")
{
    // An engine breaks off some of its answers on purpose, or a host's own connections are reset. If this counted as a crash, each such request would be
    // suspected of crashing an engine that is still running.
    DetectorScene scene;
    scene.reportBreak("r1");
    scene.pass(100ms);
    REQUIRE(scene.results.size() == 1);
    CHECK(scene.results.front().result == BreakResult::Lives);
    CHECK(scene.pool.size() == 1);
}

TEST_CASE("if another connection is still open, the endpoint is alive and no probe is sent", "[quarantine]")
{
    DetectorScene scene;
    scene.detector.setAliveCheck([&](const EndpointId &endpoint, TimePoint) { return endpoint == EndpointId("e1"); });
    scene.reportBreak("r1");
    scene.pass(100ms);
    REQUIRE(scene.results.size() == 1);
    CHECK(scene.results.front().result == BreakResult::Lives);
    CHECK(scene.listener.peers.empty());
}

TEST_CASE("a connection that is not read does not hide the end of its endpoint", "[quarantine]")
{
    // A caller receives its stream slowly, so the host stops reading from the endpoint. The endpoint crashes, and only that connection still looks open.
    // A host with a slow caller would then never attribute the crash to the request that caused it.
    asio::io_context io;
    FakeEndpoint endpoint(io, [](Peer &peer, const std::string &request) { peer.send(streamTo(request) + chunk(event(1))); });
    const std::shared_ptr<EndpointConnection> connection = std::make_shared<EndpointConnection>(io);
    const auto pass = [&io] {
        io.restart();
        io.run_for(30ms);
    };
    connection->connect("127.0.0.1", endpoint.port(), [](ConnectEnd) {});
    pass();
    bool hasEnded = false;
    ReplyEvents events;
    events.onHead = [](const EndpointResponse &) {};
    events.onBody = [&connection](std::string_view) { connection->pause(); };
    events.onEnd = [&hasEnded](ReplyEnd) { hasEnded = true; };
    connection->send(Scene::request("POST", "/stream/", "r1", {}, "body"), {"X-Request-Id", "r1", false}, events);
    pass();
    endpoint.peers.front()->send(chunk(event(2)));
    pass();
    CHECK(connection->isConnected());
    SECTION("reset")
    {
        endpoint.end();
        CHECK_FALSE(connection->isConnected());
    }
    SECTION("closed in order")
    {
        endpoint.peers.front()->finish();
        CHECK_FALSE(connection->isConnected());
    }
    CHECK_FALSE(hasEnded);
    connection->cancel();
}

TEST_CASE("without an answer to the probe the result is unknown", "[quarantine]")
{
    // The listener's queue is full, so a connection gets no answer, as from a machine without power. No request may then be suspected.
    DetectorScene scene;
    asio::io_context idle;
    tcp::acceptor full(idle, tcp::v4());
    full.bind({asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0);
    std::vector<std::unique_ptr<tcp::socket>> queued;
    for (int i = 0; i < 4; ++i) {
        queued.push_back(std::make_unique<tcp::socket>(idle));
        queued.back()->async_connect(full.local_endpoint(), [](boost::system::error_code) {});
    }
    idle.run_for(50ms);
    SelectorEndpoint unresponsive = scene.endpoint();
    unresponsive.port = full.local_endpoint().port();
    scene.detector.reportBreak(unresponsive, 12, {RequestId("r1"), CustomerId("acme"), {1, 2}, 3, scene.now}, scene.now);
    scene.pass(600ms);
    REQUIRE(scene.results.size() == 1);
    CHECK(scene.results.front().result == BreakResult::Unknown);
}

TEST_CASE("log lines distinguish a crashed endpoint from a broken connection and identify the request", "[quarantine]")
{
    // Failure: an operator sees requests break off and engines come and go, but can't tell whether it is the same request each time, nor whether the
    // engine crashed or dropped the request.
    std::FILE *lines = std::tmpfile();
    Scene scene({}, fileno(lines));
    scene.endpoint("e1", [&scene](Peer &, const std::string &) { scene.endpoints[0]->end(); });
    const std::shared_ptr<Peer> caller = scene.caller();
    caller->send(Scene::request("POST", "/stream/", "r1", {}, "body"));
    REQUIRE(scene.until([&] { return contains(caller->received, "502"); }));
    scene.pass(200ms);
    std::string text(8192, '\0');
    std::rewind(lines);
    text.resize(std::fread(text.data(), 1, text.size(), lines));
    std::fclose(lines);
    CHECK(contains(text, R"("event":"connections-broke","endpoint":"e1","verdict":"ended","evidence":"refuses connections","requests":1)"));
    const RequestIdentity identity = identityOf({"acme", "POST", "site.example", "/stream/", "body"});
    CHECK(contains(text, R"("event":"broke-with-endpoint","request":"r1","identity":")" + textOf(identity) + R"(","customer":"acme","endpoint":"e1")"));
}
