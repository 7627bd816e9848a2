// The common limit of held bytes, and answers while it is exceeded, over real sockets.

#include "gateway/heldbytes.h"

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

TEST_CASE("shares add up and end with their holders", "[held-bytes]")
{
    // Guards against a sum that drifts, which would hold answers back or let them grow for ever.
    const std::shared_ptr<HeldBytes> sum = std::make_shared<HeldBytes>(1000);
    HeldShare first(sum);
    first.set(600);
    {
        HeldShare second(sum);
        second.set(400);
        CHECK(!sum->isExceeded());
        CHECK(sum->limitFor(1'000'000) == 1'000'000);
        second.set(401);
        CHECK(sum->isExceeded());
        CHECK(sum->limitFor(1'000'000) == HeldBytes::heldWhileExceeded);
        CHECK(sum->limitFor(10) == 10);
    }
    CHECK(sum->held() == 600);
    CHECK(!sum->isExceeded());
    first.set(1001);
    CHECK(sum->exceedances() == 1);
    first.set(499);
    first.set(1001);
    CHECK(sum->exceedances() == 2);
    HeldShare uncounted(nullptr);
    uncounted.set(5);
    CHECK(sum->held() == 1001);
}

TEST_CASE("above the limit at most one request may grow, and a single one always may", "[held-bytes]")
{
    // Guards against a request within its own limits that is never read, and against several that grow beyond the limit together.
    const std::shared_ptr<HeldBytes> sum = std::make_shared<HeldBytes>(100'000);
    HeldShare first(sum);
    HeldShare second(sum);
    HeldShare small(sum);
    first.set(300'000);
    CHECK(first.mayGrow());
    small.set(HeldBytes::heldWhileExceeded);
    CHECK(small.mayGrow());
    second.set(55'000);
    CHECK_FALSE(first.mayGrow());
    CHECK_FALSE(second.mayGrow());
    CHECK(small.mayGrow());
    first.set(0);
    CHECK(second.mayGrow());
    CHECK(HeldShare(nullptr).mayGrow());
}

TEST_CASE("a request larger than the limit of all requests is served alone, and beside others refused as not run", "[held-bytes][truthful-not-run]")
{
    // Failure: a request within its own limit was held back for ever, or its connection was closed without an answer.
    GatewayOptions options;
    options.heldRequestBytes = std::size_t{256} * 1024;
    Scene scene(options);
    FakeEndpoint &endpoint = scene.endpoint("e1", [](Peer &peer, const std::string &request) { peer.send(answerTo(request, 200, "done")); });
    const std::string large = Scene::request("POST", "/unsafe/", "large", {}, std::string(std::size_t{1024} * 1024, 'x'));
    const std::shared_ptr<Peer> alone = scene.caller();
    alone->sendLarge(large, [] {});
    CHECK(scene.until([&] { return contains(alone->received, "done"); }));
    std::vector<std::shared_ptr<Peer>> incomplete;
    for (int i = 0; i < 8; ++i) {
        incomplete.push_back(scene.caller());
        incomplete.back()->sendLarge(large.substr(0, large.size() - 1), [] {});
    }
    const std::shared_ptr<Peer> ordinary = scene.caller();
    ordinary->send(Scene::request("POST", "/unsafe/", "small", {}, "x"));
    CHECK(scene.until([&] { return contains(ordinary->received, "done"); }));
    const auto refused = [&] { return std::ranges::count_if(incomplete, [](const auto &caller) { return wholeMessage(caller->received) > 0; }); };
    CHECK(scene.until([&] { return refused() == 7; }));
    for (const std::shared_ptr<Peer> &caller : incomplete) {
        CHECK((caller->received.empty() || (caller->received.starts_with("HTTP/1.1 503") && !headerOf(caller->received, "Retry-After").empty())));
    }
    CHECK(endpoint.requests.size() == 2);
}

TEST_CASE("requests that callers send ahead of their answers take bounded memory together", "[held-bytes]")
{
    // Failure: each connection kept 80 KB of the requests behind one that was being answered, and nothing bounded the sum.
    constexpr std::size_t connections = 128;
    constexpr std::size_t limit = std::size_t{1024} * 1024;
    // Above the limit, a connection may keep what is allowed then and one read, in a buffer that doubles.
    constexpr std::size_t maxMemory = limit + connections * 4 * HeldBytes::heldWhileExceeded;
    GatewayOptions options;
    options.heldRequestBytes = limit;
    Scene scene(options);
    FakeEndpoint &endpoint = scene.endpoint("e1", [](Peer &, const std::string &) {});
    const std::string first = Scene::request("POST", "/unsafe/", "first", {}, "x");
    const std::string ahead = Scene::request("POST", "/unsafe/", "ahead", {}, std::string(std::size_t{200} * 1024, 'x'));
    std::vector<std::shared_ptr<Peer>> callers;
    for (std::size_t i = 0; i < connections; ++i) {
        callers.push_back(scene.caller());
        callers.back()->send(first);
    }
    REQUIRE(scene.until([&] { return endpoint.requests.size() == connections; }));
    const std::size_t before = usedMemory();
    for (const std::shared_ptr<Peer> &caller : callers) {
        caller->sendRepeated(ahead, ahead.size());
    }
    scene.pass(300ms);
    CHECK(usedMemory() - before < maxMemory);
}

TEST_CASE("an answer above the common limit is passed on whole", "[held-bytes]")
{
    // Guards against answers that are lost, cut or out of order because they were not held until complete.
    GatewayOptions options;
    options.heldBytes = 0;
    Scene scene(options);
    const std::size_t size = GENERATE(std::size_t{100}, std::size_t{20'000}, std::size_t{3'000'000});
    INFO(size << " bytes");
    std::string body;
    while (body.size() < size) {
        body += std::to_string(body.size()) + ' ';
    }
    scene.endpoint("e1", [&](Peer &peer, const std::string &request) { peer.sendLarge(answerTo(request, 200, body), [] {}); });
    const std::shared_ptr<Peer> caller = scene.caller();
    caller->send(Scene::request("GET", "/safe/", "r1"));
    const auto isWhole = [&] {
        return caller->received.ends_with("0\r\n\r\n") || (contains(caller->received, "Content-Length") && wholeMessage(caller->received) > 0);
    };
    REQUIRE(scene.until(isWhole));
    CHECK(scene.until([&] { return scene.gateway.running() == 0; }));
    CHECK(caller->received.starts_with("HTTP/1.1 200"));
    CHECK(contains(caller->received, "Content-Length") == (size < HeldBytes::heldWhileExceeded));
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    boost::system::error_code error;
    std::size_t at = 0;
    while (!error && !parser.is_done()) {
        at += parser.put(asio::buffer(caller->received) + at, error);
    }
    CHECK(!error);
    CHECK(parser.is_done());
    CHECK((parser.get().body() == body));
}

TEST_CASE("an answer above the common limit that breaks off does not look complete", "[held-bytes]")
{
    // Guards against a cut answer that a caller takes for a whole one.
    GatewayOptions options;
    options.heldBytes = 0;
    Scene scene(options);
    FakeEndpoint &endpoint = scene.endpoint("e1", [&](Peer &peer, const std::string &request) {
        const std::string whole = answerTo(request, 200, std::string(100'000, 'x'));
        peer.send(whole.substr(0, whole.size() / 2));
        peer.finish();
    });
    const std::shared_ptr<Peer> caller = scene.caller();
    caller->send(Scene::request("GET", "/safe/", "r1"));
    CHECK(scene.until([&] { return caller->closed; }));
    CHECK(scene.gateway.running() == 0);
    CHECK(caller->received.starts_with("HTTP/1.1 200"));
    CHECK(!caller->received.ends_with("0\r\n\r\n"));
    CHECK(!contains(caller->received, "Content-Length"));
    CHECK(endpoint.requests.size() == 1);
}
