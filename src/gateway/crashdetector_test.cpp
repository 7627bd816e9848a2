// What a broken connection proves of its endpoint, over real sockets.

#include "gateway/crashdetector.h"

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

/** A watch over one listening port, with a clock of the test's own for its pauses. */
class Watched
{
public:
    Watched()
        : listener(io, [](Peer &, const std::string &) {})
    {
        watch.onVerdict([this](const EndpointBreak &seen) { verdicts.push_back(seen); });
    }

    BoardEndpoint endpoint() const
    {
        BoardEndpoint listed;
        listed.id = EndpointId("e1");
        listed.ip = "127.0.0.1";
        listed.port = m_port;
        return listed;
    }
    void broke(const std::string &attempt)
    {
        watch.broke(endpoint(), 12, {RequestId(attempt), CustomerId("acme"), {1, 2}, 3, now}, now);
    }
    void pass(Duration time)
    {
        for (Duration passed{}; passed < time; passed += 5ms) {
            now += 5ms;
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
            watch.tick(now, pool);
        }
    }

    asio::io_context io;
    FakeEndpoint listener;
    ConnectionPool pool{PoolOptions()};
    CrashDetector watch{io};
    std::vector<EndpointBreak> verdicts;
    TimePoint now = SteadyClock::now();

private:
    std::uint16_t m_port = listener.port();
};

} // namespace

TEST_CASE("an endpoint that refuses connections after a break has ended; all its requests are told together", "[quarantine]")
{
    Watched watched;
    watched.listener.end();
    watched.broke("r1");
    watched.pass(10ms);
    watched.broke("r2");
    CHECK(watched.verdicts.empty());
    watched.pass(100ms);
    REQUIRE(watched.verdicts.size() == 1);
    CHECK(watched.verdicts.front().verdict == BreakResult::Ended);
    CHECK(watched.verdicts.front().sends.size() == 2);
    CHECK(watched.watch.size() == 0);
}

TEST_CASE("an endpoint that hangs up on one request lives, and the question's connection is kept", "[quarantine]")
{
    // An engine breaks off a share of its answers on purpose, or a host's own connections are reset. Taken for an end, each
    // such request would be blamed for an engine that runs on.
    Watched watched;
    watched.broke("r1");
    watched.pass(100ms);
    REQUIRE(watched.verdicts.size() == 1);
    CHECK(watched.verdicts.front().verdict == BreakResult::Lives);
    CHECK(watched.pool.size() == 1);
}

TEST_CASE("where another connection still stands, the endpoint lives and nothing is opened", "[quarantine]")
{
    Watched watched;
    watched.watch.setSeenAlive([&](const EndpointId &endpoint, TimePoint) { return endpoint == EndpointId("e1"); });
    watched.broke("r1");
    watched.pass(100ms);
    REQUIRE(watched.verdicts.size() == 1);
    CHECK(watched.verdicts.front().verdict == BreakResult::Lives);
    CHECK(watched.listener.peers.empty());
}

TEST_CASE("a connection that nobody reads does not speak for an endpoint that has ended", "[quarantine]")
{
    // A caller takes its stream slowly, so the host stops reading it. The endpoint ends, and that connection alone seems to stand: the
    // request that ended it would never be blamed on a host with a slow caller.
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
    CHECK(connection->stands());
    SECTION("reset")
    {
        endpoint.end();
        CHECK_FALSE(connection->stands());
    }
    SECTION("closed in order")
    {
        endpoint.peers.front()->finish();
        CHECK_FALSE(connection->stands());
    }
    CHECK_FALSE(hasEnded);
    connection->cancel();
}

TEST_CASE("without an answer the host can't tell, and nobody is blamed", "[quarantine]")
{
    // The listener's queue is full, so that a connection gets no answer, as from a machine without power.
    Watched watched;
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
    BoardEndpoint dark = watched.endpoint();
    dark.port = full.local_endpoint().port();
    watched.watch.broke(dark, 12, {RequestId("r1"), CustomerId("acme"), {1, 2}, 3, watched.now}, watched.now);
    watched.pass(600ms);
    REQUIRE(watched.verdicts.size() == 1);
    CHECK(watched.verdicts.front().verdict == BreakResult::Unknown);
}

TEST_CASE("the lines tell an endpoint that ended from a connection that broke, and which requests are the same one", "[quarantine]")
{
    // On-call sees requests break off and engines come and go. Without these lines nobody can say whether the
    // request is the same one each time, nor whether the engine ended under it or hung up on it.
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
