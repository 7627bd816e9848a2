// Requests that meet a planned stop, over real sockets.

#include "gateway/gatewayfakes_test.h"
#include "gateway/stopdeadline.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

/** As many as an estimate of the route's durations needs, each answered with "ok". */
void answerEarlierRequests(Scene &scene, const std::string &target)
{
    const std::shared_ptr<Peer> caller = scene.caller();
    for (std::size_t i = 0; i < StopDeadline::minAnswers; ++i) {
        caller->received.clear();
        caller->send(Scene::request("POST", target, "earlier-" + std::to_string(i), {}, "x"));
        REQUIRE(scene.until([&] { return contains(caller->received, "ok"); }));
    }
}

} // namespace

TEST_CASE("a request whose last byte arrives late in a planned stop is refused", "[graceful-shutdown][truthful-not-run]")
{
    // Guards against a request that is passed on and cut off when the process ends.
    Scene scene;
    FakeEndpoint &endpoint = scene.endpoint("e1", [](Peer &, const std::string &) {});
    const std::string target = GENERATE("/unsafe/", "/safe/", "/resumable/");
    const std::shared_ptr<Peer> caller = scene.caller();
    const std::string whole = Scene::request("POST", target, "r1", {}, "0123456789");
    caller->send(whole.substr(0, whole.size() - 4));
    scene.pass(50ms);
    scene.gateway.stop({SteadyClock::now() + 500ms, {}});
    scene.gateway.closeListener();
    scene.pass(50ms);
    CHECK_FALSE(caller->closed);
    SECTION("before the deadline, when it might take longer")
    {
        caller->send(whole.substr(whole.size() - 4));
    }
    SECTION("not at all")
    {
        scene.gateway.endRequests();
    }
    REQUIRE(scene.until([&] { return wholeMessage(caller->received) > 0; }));
    CHECK(caller->received.starts_with("HTTP/1.1 503"));
    CHECK_FALSE(headerOf(caller->received, "Retry-After").empty());
    CHECK(headerOf(caller->received, "Connection") == "close");
    CHECK(endpoint.requests.empty());
}

TEST_CASE("a request that arrives late in a planned stop is not passed on because earlier answers were short", "[graceful-shutdown][truthful-not-run]")
{
    // Guards against a stream that is cut off at the stop's deadline because it takes longer than those before it.
    Scene scene;
    FakeEndpoint &endpoint = scene.endpoint("e1", [](Peer &peer, const std::string &request) {
        const bool isStream = contains(request, "/resumable/");
        peer.send(isStream ? streamTo(request) + chunk("id: 1\ndata: ok\n\n") + "0\r\n\r\n" : answerTo(request, 200, "ok"));
    });
    const std::string target = GENERATE("/unsafe/", "/safe/", "/resumable/");
    answerEarlierRequests(scene, target);
    const std::size_t earlier = endpoint.requests.size();
    const std::shared_ptr<Peer> caller = scene.caller();
    const std::string whole = Scene::request("POST", target, "r1", {}, "0123456789");
    caller->send(whole.substr(0, whole.size() - 4));
    scene.pass(20ms);
    scene.gateway.stop({SteadyClock::now() + 1s, SteadyClock::now() + 10ms});
    scene.pass(30ms);
    caller->send(whole.substr(whole.size() - 4));
    REQUIRE(scene.until([&] { return wholeMessage(caller->received) > 0; }));
    CHECK(caller->received.starts_with("HTTP/1.1 503"));
    CHECK_FALSE(headerOf(caller->received, "Retry-After").empty());
    CHECK(endpoint.requests.size() == earlier);
    CHECK(scene.gateway.stopCounts().refused == 1);
}

TEST_CASE("a request that ends before the deadline of a planned stop is answered", "[graceful-shutdown]")
{
    // Guards against refusing all that arrives after the order to stop.
    Scene scene;
    scene.endpoint("e1", [](Peer &peer, const std::string &request) { peer.send(answerTo(request, 200, "ok")); });
    const std::shared_ptr<Peer> caller = scene.caller();
    SECTION("by its own time limit")
    {
        scene.gateway.stop({SteadyClock::now() + 1s, {}});
        caller->send(Scene::request("POST", "/unsafe/", "r1", "X-Time-Limit-Ms: 500\r\n", "x"));
    }
    SECTION("by the durations of earlier answers")
    {
        answerEarlierRequests(scene, "/unsafe/");
        scene.gateway.stop({SteadyClock::now() + 1s, SteadyClock::now() + 1s});
        caller->send(Scene::request("POST", "/unsafe/", "r1", {}, "x"));
    }
    SECTION("its bytes have arrived, but were not read when the idle connections are closed")
    {
        scene.gateway.stop({SteadyClock::now() + 3s, {}});
        caller->send(Scene::request("POST", "/unsafe/", "r1", {}, "x"));
        scene.gateway.closeListener();
    }
    REQUIRE(scene.until([&] { return caller->closed; }));
    CHECK(contains(caller->received, "ok"));
}

TEST_CASE("at the deadline of a planned stop every request gets the truth", "[graceful-shutdown][truthful-not-run]")
{
    // Guards against connections that end without an answer, after which the caller of an unsafe request knows nothing.
    Scene scene;
    scene.endpoint("e1", [](Peer &peer, const std::string &request) {
        if (contains(request, "/stream/")) {
            peer.send(streamTo(request) + chunk(event(1)));
        }
    });
    const std::shared_ptr<Peer> unsafe = scene.caller();
    const std::shared_ptr<Peer> stream = scene.caller();
    unsafe->send(Scene::request("POST", "/unsafe/", "r1", {}, "x"));
    stream->send(Scene::request("POST", "/stream/", "r2", {}, "x"));
    REQUIRE(scene.until([&] { return contains(stream->received, "data: 1") && scene.gateway.counters().sends == 2; }));
    scene.gateway.stop({SteadyClock::now(), {}});
    scene.gateway.closeListener();
    scene.gateway.endRequests();
    REQUIRE(scene.until([&] { return unsafe->closed && stream->closed; }));
    CHECK(unsafe->received.starts_with("HTTP/1.1 502"));
    CHECK_FALSE(stream->received.ends_with("0\r\n\r\n"));
    CHECK(scene.gateway.stopCounts().unknown == 1);
    CHECK(scene.gateway.stopCounts().cut == 1);
}

TEST_CASE("a request that arrives after the deadline of a planned stop and waits is answered before the process ends", "[graceful-shutdown]")
{
    // Guards against requests that end with the process because the deadline was looked at once.
    Scene scene;
    AttemptPorts ports;
    ports.hostsToAsk = [](std::uint64_t) { return std::vector<PeerAddress>{{"10.0.0.2", 1}}; };
    ports.holders = ports.hostsToAsk;
    ports.send = [](const AttemptUpdate &, std::span<const PeerAddress>) {};
    scene.gateway.shareAttempts(std::move(ports));
    const std::shared_ptr<Peer> caller = scene.caller();
    scene.pass(5ms);
    scene.gateway.stop({SteadyClock::now(), {}});
    scene.gateway.endRequests();
    caller->send(Scene::request("POST", "/resumable/", "r1", "Last-Event-ID: 2\r\nX-Resumes-Request: r0\r\n", "x"));
    REQUIRE(scene.until([&] { return scene.gateway.running() == 1; }, 100ms));
    scene.gateway.endRequests();
    REQUIRE(scene.until([&] { return caller->closed; }, 100ms));
    CHECK(caller->received.starts_with("HTTP/1.1 503"));
    CHECK(scene.gateway.stopCounts().unanswered == 1);
}

TEST_CASE("what may outlive a planned stop is judged by time limits and the longest of the latest answers")
{
    const TimePoint now(1h);
    const TimePoint deadline = now + 4s;
    const StopPlan plan{deadline, now};
    const auto request = [now](std::string_view route, bool mayRepeat, TimePoint limit) { return StopRequest{route, mayRepeat, now, limit}; };
    StopDeadline stop;
    const auto answerMany = [&stop](Duration duration) {
        for (std::size_t i = 0; i < StopDeadline::minAnswers; ++i) {
            stop.answered("a", duration);
        }
    };
    answerMany(3s);
    CHECK_FALSE(stop.mayOutlive(request("a", true, now + 1h), now));
    stop.begin(plan);
    CHECK_FALSE(stop.mayOutlive(request("a", true, now + 1h), now));
    CHECK(stop.mayOutlive(request("a", false, now + 1h), now));
    CHECK_FALSE(stop.mayOutlive(request("a", false, deadline), now));
    CHECK(stop.mayOutlive(request("a", true, now + 1h), now + 1500ms));
    // One slow answer of many counts for requests that must not be repeated.
    StopDeadline spread;
    spread.begin(plan);
    for (std::size_t i = 0; i < StopDeadline::keptAnswers; ++i) {
        spread.answered("a", i == 0 ? 3500ms : 100ms);
    }
    CHECK_FALSE(spread.mayOutlive(request("a", true, now + 1h), now + 1s));
    CHECK(spread.mayOutlive(request("a", false, now + 1h), now));
    CHECK(stop.mayOutlive(request("unknown", true, now + 1h), now));
    CHECK_FALSE(stop.mayOutlive(request("unknown", true, deadline), now));
    for (std::size_t i = 0; i < StopDeadline::keptAnswers; ++i) {
        stop.answered("a", 10ms);
    }
    CHECK_FALSE(stop.mayOutlive(request("a", false, now + 1h), deadline - 20ms));
    StopDeadline unlimited;
    unlimited.begin({});
    CHECK_FALSE(unlimited.mayOutlive(request("unknown", false, now + 1h), now));
}

TEST_CASE("after the time for estimates a planned stop passes on only what ends before its deadline by its own limit", "[graceful-shutdown]")
{
    // Guards against a cut that the platform does not tolerate, whatever earlier answers took.
    rc::prop("for any durations, limits and times of arrival", [] {
        const TimePoint start(1h);
        const auto within = [](int most) { return std::chrono::milliseconds(*rc::gen::inRange(0, most)); };
        const StopPlan plan{start + within(10'000), start + within(4'000)};
        StopDeadline stop;
        stop.begin(plan);
        for (std::size_t i = 0; i < StopDeadline::keptAnswers; ++i) {
            stop.answered("a", within(50));
        }
        const TimePoint receivedAt = start + within(10'000);
        const TimePoint now = receivedAt + within(1'000);
        const StopRequest request{"a", *rc::gen::arbitrary<bool>(), receivedAt, receivedAt + within(20'000)};
        const bool isCertain = request.limit <= *plan.deadline;
        const bool isTolerated = receivedAt <= plan.estimateUntil;
        RC_ASSERT((isCertain || isTolerated || stop.mayOutlive(request, now)));
        RC_ASSERT((!isCertain || !stop.mayOutlive(request, now)));
    });
}

TEST_CASE("in planned stops with slow senders no request is passed on and left without an answer", "[graceful-shutdown]")
{
    // Guards against any moment of the grace period at which a request slips through.
    rc::prop("with callers that send as they like", [] {
        Scene scene;
        scene.endpoint("e1", [](Peer &peer, const std::string &request) {
            if (*rc::gen::inRange(0, 2) == 0) {
                peer.send(answerTo(request, 200, "ok"));
            }
        });
        struct Sender
        {
            std::shared_ptr<Peer> peer;
            std::string rest;
            int at = 0;
        };
        std::vector<Sender> senders;
        constexpr int steps = 8;
        const int orderedAt = *rc::gen::inRange(0, 3);
        for (int i = 0; i < 6; ++i) {
            const std::string target = *rc::gen::element(std::string("/unsafe/"), std::string("/safe/"));
            const std::string whole = Scene::request("POST", target, "r" + std::to_string(i), "X-Time-Limit-Ms: 40\r\n", "0123456789");
            const std::size_t first = *rc::gen::inRange<std::size_t>(1, whole.size());
            senders.push_back({scene.caller(), whole.substr(first), *rc::gen::inRange(0, steps)});
            senders.back().peer->send(whole.substr(0, first));
        }
        const TimePoint deadline = SteadyClock::now() + 80ms;
        for (int step = 0; step < steps; ++step) {
            if (step == orderedAt) {
                scene.gateway.stop({deadline, {}});
                scene.gateway.closeListener();
            }
            for (const Sender &sender : senders) {
                if (sender.at == step && !sender.peer->closed) {
                    sender.peer->send(sender.rest);
                }
            }
            scene.pass(10ms);
        }
        scene.gateway.endRequests();
        RC_ASSERT(scene.until([&] { return scene.gateway.running() == 0; }));
        scene.pass(10ms);
        for (const Sender &sender : senders) {
            RC_ASSERT(wholeMessage(sender.peer->received) > 0);
        }
    });
}
