// What reaches endpoints of requests whose callers have left, over real sockets.

#include "gateway/cutlink_test.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

constexpr std::size_t largeBody = std::size_t{900} * 1024;

/** An endpoint whose kernel accepts connections and bytes, as long as its buffer has room, and that reads none until told to. */
class BusyEndpoint
{
public:
    explicit BusyEndpoint(asio::io_context &io)
        : m_acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_socket(io)
    {
        constexpr int smallBuffer = 8 * 1024;
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
        m_acceptor.async_accept(m_socket, [](boost::system::error_code) {});
    }
    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }
    std::size_t arrived() const
    {
        return m_socket.is_open() ? m_socket.available() : 0;
    }
    /** Reads until the connection ends, or nothing has arrived for a while. @return the number of bytes */
    std::size_t readRest()
    {
        constexpr Duration quietTime = 200ms;
        m_socket.non_blocking(true);
        std::vector<char> bytes(largeBody);
        std::size_t count = 0;
        for (TimePoint lastAt = SteadyClock::now(); SteadyClock::now() - lastAt < quietTime;) {
            boost::system::error_code error;
            const std::size_t size = m_socket.read_some(asio::buffer(bytes), error);
            if (error && error != asio::error::would_block) {
                break;
            }
            count += size;
            lastAt = size > 0 ? SteadyClock::now() : lastAt;
            std::this_thread::sleep_for(1ms);
        }
        return count;
    }

private:
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
};

SelectorEndpoint listed(const BusyEndpoint &endpoint)
{
    SelectorEndpoint entry;
    entry.id = EndpointId("busy");
    entry.service = ShardId("s");
    entry.ip = "127.0.0.1";
    entry.port = endpoint.port();
    entry.slots = 16;
    return entry;
}

} // namespace

TEST_CASE("no more bytes of a request reach an endpoint once its caller has left or its time is up", "[at-most-once]")
{
    // Guards against a plain close, after which the kernel goes on sending what it has buffered.
    const bool leaves = GENERATE(true, false);
    const bool isForwarded = GENERATE(false, true);
    INFO((leaves ? "leaves" : "time is up") << (isForwarded ? ", through a peer" : ""));
    CutScene scene(2, [](Peer &, const std::string &) {});
    BusyEndpoint endpoint(scene.io);
    for (const std::unique_ptr<FleetHost> &host : scene.hosts) {
        for (std::size_t i = 0; i < CutScene::endpointCount; ++i) {
            host->gateway.removeEndpoint(EndpointId("e" + std::to_string(i)));
        }
    }
    if (isForwarded) {
        SelectorEndpoint closed = listed(endpoint);
        closed.port = 1;
        scene.hosts[0]->gateway.putEndpoint(closed);
        scene.exchangeBeacons();
        scene.ask(0, "GET", "/safe/");
        scene.ask(0, "GET", "/safe/");
        REQUIRE_FALSE(scene.hosts[0]->gateway.unreachableServices().empty());
        scene.hosts[1]->gateway.putEndpoint(listed(endpoint));
        scene.pass(PeerSelectorOptions().rejectionPause + 100ms);
    } else {
        scene.hosts[0]->gateway.putEndpoint(listed(endpoint));
    }
    const std::shared_ptr<Peer> caller = scene.caller(0);
    caller->sendLarge(Scene::request("POST", "/unsafe/", "r1", leaves ? "" : "X-Time-Limit-Ms: 400\r\n", std::string(largeBody, 'x')), [] {});
    REQUIRE(scene.until([&] { return endpoint.arrived() > 0; }));
    scene.pass(200ms);
    if (leaves) {
        caller->close();
    }
    REQUIRE(scene.until([&] { return scene.hosts[0]->gateway.running() == 0 && scene.hosts[1]->gateway.running() == 0; }));
    scene.pass(20ms);
    const std::size_t arrived = endpoint.arrived();
    CHECK(endpoint.readRest() <= arrived);
}

TEST_CASE("no request is sent whose caller has left before the event loop sees it", "[at-most-once]")
{
    // Guards against events handled in the order of the loop: a late host sends a request while its kernel holds the close of the caller.
    const bool isPooled = GENERATE(true, false);
    const bool isHalfClose = GENERATE(true, false);
    INFO((isPooled ? "idle connection" : "new connection") << (isHalfClose ? ", half-closed" : ", closed"));
    Scene scene;
    FakeEndpoint &endpoint = scene.endpoint("e1", [](Peer &peer, const std::string &request) {
        if (request.starts_with("GET")) {
            peer.send(answerTo(request, 200, "ok", "Keep-Alive: timeout=5\r\n"));
        }
    });
    if (isPooled) {
        const std::shared_ptr<Peer> first = scene.caller();
        first->send(Scene::request("GET", "/safe/", "first"));
        REQUIRE(scene.until([&] { return contains(first->received, "ok"); }));
        endpoint.requests.clear();
    }
    const std::shared_ptr<Peer> caller = scene.caller();
    scene.pass(20ms);
    caller->send(Scene::request("POST", "/unsafe/", "r1", {}, "x"));
    while (!isPooled && scene.gateway.counters().connects == 0) {
        // One handler at a time, so that the connection is still being opened.
        scene.io.restart();
        scene.io.run_one();
    }
    isHalfClose ? caller->finish() : caller->close();
    std::this_thread::sleep_for(20ms);
    REQUIRE(scene.until([&] { return scene.gateway.counters().left == 1; }));
    scene.pass(50ms);
    CHECK(endpoint.requests.empty());
    CHECK(scene.gateway.running() == 0);
    const std::shared_ptr<Peer> next = scene.caller();
    next->send(Scene::request("GET", "/safe/", "r2"));
    CHECK(scene.until([&] { return contains(next->received, "ok"); }));
}
