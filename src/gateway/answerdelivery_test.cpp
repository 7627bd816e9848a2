// Whole answers on their way to callers that read slowly, over real sockets.

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

constexpr std::size_t answerBytes = std::size_t{1000} * 1024;

/** A caller whose small window leaves most of an answer at the host until it reads. */
std::shared_ptr<Peer> callerWithSmallWindow(Scene &scene)
{
    constexpr int windowBytes = 4096;
    constexpr int segmentBytes = 1460;
    tcp::socket socket(scene.io);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(windowBytes));
    const int segment = segmentBytes;
    REQUIRE(setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment)) == 0);
    socket.connect({asio::ip::make_address("127.0.0.1"), scene.gateway.port()});
    return std::make_shared<Peer>(std::move(socket));
}

/** Sends a request and waits until its whole answer has been made. */
std::shared_ptr<Peer> callerWithWaitingAnswer(Scene &scene, const std::string &fields = {})
{
    scene.endpoint("e1", [](Peer &peer, const std::string &request) { peer.sendLarge(answerTo(request, 200, std::string(answerBytes, 'a')), [] {}); });
    std::shared_ptr<Peer> caller = callerWithSmallWindow(scene);
    caller->send(Scene::request("POST", "/unsafe/", "r1", fields, "x"));
    REQUIRE(scene.until([&] { return scene.gateway.counters().answered == 1; }));
    return caller;
}

} // namespace

TEST_CASE("a connection whose caller is still receiving a whole answer is not closed as unused", "[whole-answer][graceful-shutdown]")
{
    // Guards against answers that are cut because their connection has no request.
    GatewayOptions options;
    options.connections = 1;
    Scene scene(options);
    RouteLimits limits;
    limits.idleTimeout = 300ms;
    scene.gateway.setTable(std::make_shared<RouteTable>(2, std::vector{Scene::route("/unsafe/", RouteKind::Unsafe, 2)}, std::vector<RouteService>(), limits));
    const std::shared_ptr<Peer> caller = callerWithWaitingAnswer(scene);
    SECTION("by a planned stop")
    {
        scene.gateway.stop();
        scene.gateway.closeListener();
        scene.pass(50ms);
        CHECK(scene.gateway.callers() == 1);
    }
    SECTION("by the idle timeout")
    {
        scene.pass(800ms);
    }
    SECTION("for another caller at the limit of connections")
    {
        limits.idleTimeout = 15s;
        scene.gateway.setTable(
            std::make_shared<RouteTable>(3, std::vector{Scene::route("/unsafe/", RouteKind::Unsafe, 2)}, std::vector<RouteService>(), limits));
        scene.pass(1500ms);
        const std::shared_ptr<Peer> other = scene.caller();
        REQUIRE(scene.until([&] { return other->closed; }));
    }
    caller->read();
    REQUIRE(scene.until([&] { return wholeMessage(caller->received) > 0 || caller->closed; }));
    CHECK(static_cast<std::size_t>(std::ranges::count(caller->received, 'a')) >= answerBytes);
}

TEST_CASE("after a stop's last answer has been received its connection closes", "[graceful-shutdown]")
{
    // Guards against a stop that waits for its deadline though nothing is under way.
    Scene scene;
    const std::shared_ptr<Peer> caller = callerWithWaitingAnswer(scene);
    scene.gateway.stop();
    scene.gateway.closeListener();
    caller->read();
    REQUIRE(scene.until([&] { return caller->closed; }));
    CHECK_FALSE(caller->wasReset);
    caller->close();
    CHECK(scene.until([&] { return scene.gateway.callers() == 0; }));
}

TEST_CASE("an answer that its caller receives slowly but steadily is not given up", "[whole-answer]")
{
    // Guards against a limit on the time of the whole delivery, which ends the answers of slow callers.
    Scene scene;
    const std::shared_ptr<Peer> caller = callerWithWaitingAnswer(scene, "Connection: close\r\n");
    const TimePoint end = SteadyClock::now() + 11s;
    while (SteadyClock::now() < end) {
        caller->readOnce();
        scene.pass(250ms);
    }
    caller->read();
    REQUIRE(scene.until([&] { return caller->closed; }));
    CHECK(static_cast<std::size_t>(std::ranges::count(caller->received, 'a')) >= answerBytes);
}

TEST_CASE("answers that callers have not received at the deadline of a stop are counted", "[graceful-shutdown]")
{
    Scene scene;
    const std::shared_ptr<Peer> caller = callerWithWaitingAnswer(scene);
    scene.gateway.stop({SteadyClock::now(), {}});
    scene.gateway.closeListener();
    scene.pass(10ms);
    scene.gateway.endRequests();
    CHECK(scene.gateway.stopCounts().undelivered == 1);
    CHECK(scene.gateway.stopCounts().cut == 0);
}
