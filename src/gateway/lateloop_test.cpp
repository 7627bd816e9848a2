#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

constexpr Duration stall = 700ms;

/** A gateway whose endpoint "leaves" leaves as soon as waiting datagrams are read. */
struct LateScene : Scene
{
    LateScene()
    {
        LateLoopPorts ports;
        ports.readWaiting = [this] { onRead(); };
        ports.confirmedBy = [this](TimePoint) { return confirmedBy; };
        gateway.setLateLoopPorts(std::move(ports));
        pass(100ms);
    }
    static void answer(Peer &peer, const std::string &request)
    {
        peer.send(answerTo(request, 200, "done"));
    }

    FakeEndpoint &leaves = endpoint("leaves", answer);
    std::function<void()> onRead = [this] { gateway.removeEndpoint(EndpointId("leaves")); };
    std::string_view confirmedBy;
};

} // namespace

TEST_CASE("requests wait after a stall of the event loop until what the host knows is confirmed", "[drain]")
{
    // Failure: a request that waited in a socket was sent by what the host knew before the stall.
    LateScene scene;
    const std::shared_ptr<Peer> waiting = scene.caller();
    const std::shared_ptr<Peer> connecting = scene.caller();
    scene.pass(50ms);
    connecting->send(Scene::request("GET", "/safe/x", "r1"));
    while (scene.gateway.counters().connects == 0) {
        scene.io.poll_one();
    }
    waiting->send(Scene::request("GET", "/safe/x", "r2"));
    std::this_thread::sleep_for(stall);
    scene.pass(200ms);
    CHECK(scene.leaves.requests.empty());
    const FakeEndpoint &stays = scene.endpoint("stays", LateScene::answer);
    scene.pass(100ms);
    CHECK(stays.requests.empty());
    scene.confirmedBy = "peer";
    CHECK(scene.until([&] { return contains(waiting->received, "done") && contains(connecting->received, "done"); }));
    CHECK(scene.leaves.requests.empty());
    CHECK(contains(scene.metrics.exposition(), "rhubarbwind_late_loop_holds_total{ended_by=\"peer\"} 1"));
}

TEST_CASE("a request that waited during a stall of the event loop is decided by the configuration that arrived meanwhile", "[config-monotonic]")
{
    // Failure: a route that the operator had added seconds before was refused, because the request was read before the new configuration.
    LateScene scene;
    scene.endpoint("stays", LateScene::answer);
    const std::vector<Route> routes{Scene::route("/new/", RouteKind::Safe, 2)};
    scene.onRead = [&] { scene.gateway.setTable(std::make_shared<RouteTable>(2, routes, std::vector<RouteService>(), RouteLimits())); };
    scene.confirmedBy = "peer";
    const std::shared_ptr<Peer> caller = scene.caller();
    scene.pass(50ms);
    caller->send(Scene::request("GET", "/new/x", "r1"));
    std::this_thread::sleep_for(stall);
    CHECK(scene.until([&] { return !caller->received.empty(); }));
    CHECK(contains(caller->received, "done"));
}

TEST_CASE("a host that nobody confirms anything to holds requests for a second after a stall", "[drain]")
{
    TimePoint now{1h};
    std::vector<TimePoint> reads;
    LateLoop loop;
    CHECK_FALSE(loop.holds(now));
    CHECK_FALSE(loop.tick(now));
    CHECK_FALSE(loop.holds(now + 1h)); // without ports
    loop.setPorts({[&] { reads.push_back(now); }, [](TimePoint) { return std::string_view(); }});
    CHECK_FALSE(loop.tick(now));
    CHECK_FALSE(loop.holds(now += 400ms));
    CHECK_FALSE(loop.tick(now));
    CHECK(loop.holds(now += 600ms));
    loop.requestHeld();
    CHECK_FALSE(loop.tick(now));
    CHECK_FALSE(loop.tick(now += 400ms));
    CHECK(reads.size() == 1);
    // What arrived during a second stall has to be read as well.
    CHECK_FALSE(loop.tick(now += 900ms));
    CHECK(reads.size() == 2);
    std::optional<LateLoopHold> hold;
    while (!hold && loop.holds(now)) {
        hold = loop.tick(now += 100ms);
    }
    REQUIRE(hold);
    CHECK(now == reads.back() + 1s);
    CHECK(hold->late == 900ms);
    CHECK(hold->requests == 1);
    CHECK(hold->endedBy == "time");
    CHECK_FALSE(loop.holds(now));
}
