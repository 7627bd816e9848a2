// Final refusals (3xx and 4xx after which callers don't retry) follow only from what the host knows for certain, over real sockets.

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

const FakeEndpoint::Script answersOk = [](Peer &peer, const std::string &request) { peer.send(answerTo(request, 200, "served")); };

ConfigurationStatus behind()
{
    ConfigurationStatus status;
    status.missing = 700ms;
    return status;
}

ConfigurationStatus unconfirmed()
{
    ConfigurationStatus status;
    status.unconfirmed = 9s;
    status.maxUnconfirmed = 5s;
    return status;
}

/** The table of the scene with one more route, and one more key of the same customer. */
std::shared_ptr<const RouteTable> newerTable()
{
    std::vector<Route> routes{Scene::route("/safe/", RouteKind::Safe, 2), Scene::route("/new/", RouteKind::Safe, 2)};
    const std::shared_ptr<RouteTable> made = std::make_shared<RouteTable>(2, routes, std::vector<RouteService>(), RouteLimits());
    made->addCustomer({CustomerId("acme"), std::nullopt}, {"key", "new-key"});
    return made;
}

std::string withKey(const std::string &target, const std::string &key)
{
    return "GET " + target + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\nAuthorization: Bearer " + key + "\r\n\r\n";
}

struct RefusalScene : Scene
{
    RefusalScene()
    {
        gateway.setConfigurationStatus([this] { return status; });
    }
    std::string ask(const std::string &request)
    {
        const std::shared_ptr<Peer> peer = caller();
        peer->send(request);
        REQUIRE(until([&] { return wholeMessage(peer->received) > 0; }));
        return peer->received;
    }
    ConfigurationStatus status;
};

} // namespace

TEST_CASE("a host that may lack the newest configuration refuses no unknown route or key for good", "[config-monotonic]")
{
    // Guards against 401 and 404 for keys and routes of a configuration that peers have announced and this host does not have yet.
    RefusalScene scene;
    scene.endpoint("e1", answersOk);
    const bool isBehind = GENERATE(true, false);
    const std::string request = GENERATE(withKey("/new/", "key"), withKey("/safe/", "new-key"));
    scene.status = isBehind ? behind() : unconfirmed();
    const TimePoint askedAt = SteadyClock::now();
    const std::string answer = scene.ask(request);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK_FALSE(headerOf(answer, "Retry-After").empty());
    CHECK(SteadyClock::now() - askedAt < 1s);
}

TEST_CASE("a request for an unknown route or key is served by the configuration that arrives within its wait", "[config-monotonic]")
{
    // Guards against refusing what the next configuration allows, a moment before it arrives.
    RefusalScene scene;
    scene.endpoint("e1", answersOk);
    scene.status = behind();
    const std::string request = GENERATE(withKey("/new/", "key"), withKey("/safe/", "new-key"));
    const std::shared_ptr<Peer> caller = scene.caller();
    caller->send(request);
    scene.pass(100ms);
    CHECK(caller->received.empty());
    scene.gateway.setTable(newerTable());
    scene.status = {};
    REQUIRE(scene.until([&] { return wholeMessage(caller->received) > 0; }));
    CHECK(contains(caller->received, "served"));
}

TEST_CASE("a host with the newest configuration refuses unknown routes and keys at once, also keys that were taken away", "[config-monotonic]")
{
    // Guards against improper requests that are served, or held, because the configuration might be outdated.
    RefusalScene scene;
    FakeEndpoint &endpoint = scene.endpoint("e1", answersOk);
    CHECK(scene.ask(withKey("/new/", "key")).starts_with("HTTP/1.1 404"));
    CHECK(scene.ask(withKey("/safe/", "other")).starts_with("HTTP/1.1 401"));
    scene.gateway.setTable(newerTable());
    CHECK(scene.ask(withKey("/safe/", "first-key")).starts_with("HTTP/1.1 401"));
    CHECK(scene.ask(withKey("/unsafe/", "key")).starts_with("HTTP/1.1 404"));
    CHECK(endpoint.requests.empty());
    const Labels labels{{"status", "401"}, {"cause", "unknown key"}, {"configuration", "current"}};
    CHECK(scene.metrics.value("rhubarbwind_final_refusals_total", labels) == 2);
}

TEST_CASE("a removed key that waits for a configuration is refused by it, not served", "[config-monotonic]")
{
    // Guards against a wait that decides by the older of two configurations.
    RefusalScene scene;
    FakeEndpoint &endpoint = scene.endpoint("e1", answersOk);
    scene.status = behind();
    const std::shared_ptr<Peer> caller = scene.caller();
    caller->send(withKey("/safe/", "never-valid"));
    scene.pass(50ms);
    scene.gateway.setTable(newerTable());
    scene.status = {};
    REQUIRE(scene.until([&] { return wholeMessage(caller->received) > 0; }));
    CHECK(caller->received.starts_with("HTTP/1.1 401"));
    CHECK(endpoint.requests.empty());
}

TEST_CASE("unknown keys in great number occupy a bounded number of waiting requests", "[config-monotonic]")
{
    // Guards against an attacker who makes a host hold any number of requests while its configuration is behind.
    RefusalScene scene;
    scene.endpoint("e1", answersOk);
    scene.status = behind();
    std::vector<std::shared_ptr<Peer>> callers;
    for (int i = 0; i < 200; ++i) {
        callers.push_back(scene.caller());
        callers.back()->send(withKey("/safe/", "guess-" + std::to_string(i)));
    }
    scene.pass(150ms);
    const std::ptrdiff_t waiting = std::ranges::count_if(callers, [](const std::shared_ptr<Peer> &peer) { return peer->received.empty(); });
    CHECK(waiting <= 64);
    REQUIRE(scene.until([&] { return std::ranges::all_of(callers, [](const std::shared_ptr<Peer> &peer) { return wholeMessage(peer->received) > 0; }); }));
    CHECK(std::ranges::all_of(callers, [](const std::shared_ptr<Peer> &peer) { return peer->received.starts_with("HTTP/1.1 503"); }));
    CHECK(scene.gateway.running() == 0);
}

TEST_CASE("an unsigned 4xx of an endpoint is not passed on as an answer of this host", "[truthful-not-run]")
{
    // Guards against a stale or reused address whose process knows nothing of the request and turns it down.
    RefusalScene scene;
    const std::string notStarted = GENERATE(std::string("X-Not-Started: 1\r\n"), std::string());
    const unsigned status = GENERATE(301U, 400U, 401U, 404U, 413U);
    const auto refuses = [&](Peer &peer, const std::string &request) {
        peer.send("HTTP/1.1 " + std::to_string(status) + " No\r\nX-Request-Id: " + headerOf(request, "X-Request-Id") + "\r\n" + notStarted
                  + "Content-Length: 0\r\n\r\n");
    };
    INFO(status << " " << notStarted);
    scene.endpoint("e1", refuses);
    SECTION("another endpoint serves the request")
    {
        scene.endpoint("e2", answersOk);
        CHECK(contains(scene.ask(Scene::request("GET", "/safe/", "r1")), "served"));
    }
    SECTION("there is no other")
    {
        const std::string answer = scene.ask(Scene::request("POST", "/unsafe/", "r1", {}, "x"));
        CHECK(answer.starts_with(notStarted.empty() ? "HTTP/1.1 502" : "HTTP/1.1 503"));
    }
}

TEST_CASE("a signed 4xx of an endpoint reaches the caller as it is", "[whole-answer]")
{
    // Guards against replacing an endpoint's own answer.
    RefusalScene scene;
    const std::string notStarted = GENERATE(std::string("X-Not-Started: 1\r\n"), std::string());
    scene.endpoint("e1", [&](Peer &peer, const std::string &request) { peer.send(answerTo(request, 404, "no such document", notStarted)); });
    const std::string answer = scene.ask(Scene::request("GET", "/safe/", "r1"));
    CHECK(answer.starts_with("HTTP/1.1 404"));
    CHECK(headerOf(answer, "X-Endpoint") == "sealed");
    CHECK(contains(answer, "no such document"));
}
