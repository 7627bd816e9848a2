// Failing answers of endpoints, of any size and framing, over real sockets.

#include "gateway/gatewayfakes_test.h"
#include "gateway/sendrecord.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

struct Failure
{
    unsigned status = 500;
    std::size_t size = 0; ///< of the body
    bool isChunked = false;
};

std::ostream &operator<<(std::ostream &out, const Failure &failure)
{
    return out << failure.status << ", " << failure.size << " bytes" << (failure.isChunked ? " in chunks" : "");
}

/** What callers are told, and what it cost. */
struct Outcome
{
    std::string status;
    bool isOfEndpoint = false; ///< the answer's body
    std::size_t sends = 0;
    friend bool operator==(const Outcome &, const Outcome &) = default;
};

std::ostream &operator<<(std::ostream &out, const Outcome &outcome)
{
    return out << outcome.status << (outcome.isOfEndpoint ? " of the endpoint, " : ", ") << outcome.sends << " sends";
}

std::string answerOf(const Failure &failure, const std::string &request)
{
    const std::string body(failure.size, 'f');
    if (!failure.isChunked) {
        return answerTo(request, failure.status, body);
    }
    return "HTTP/1.1 " + std::to_string(failure.status) + " Status\r\nX-Request-Id: " + headerOf(request, "X-Request-Id")
        + "\r\nX-Endpoint: sealed\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n";
}

bool isComplete(const std::string &answer)
{
    return wholeMessage(answer) > 0 && (headerOf(answer, "Transfer-Encoding").empty() || answer.ends_with("0\r\n\r\n"));
}

/** Two endpoints, of which the one that gets the request first fails. */
Outcome outcomeOf(const Failure &failure, const std::string &target, const GatewayOptions &options = {})
{
    Scene scene(options);
    std::size_t sends = 0;
    const auto script = [&](Peer &peer, const std::string &request) {
        ++sends == 1 ? peer.sendLarge(answerOf(failure, request), [] {}) : peer.send(answerTo(request, 200, "ok"));
    };
    scene.endpoint("e1", script);
    scene.endpoint("e2", script);
    const std::shared_ptr<Peer> caller = scene.caller();
    caller->send(Scene::request("POST", target, "r1", {}, "x"));
    const bool isAnswered = scene.until([&] { return isComplete(caller->received); });
    const std::string status = isAnswered ? caller->received.substr(0, caller->received.find(' ', 9)) : "none";
    return {status, contains(caller->received, "fffff"), sends};
}

} // namespace

TEST_CASE("what a caller is told of a failing answer does not depend on its size", "[truthful-not-run]")
{
    // Guards against a false promise that a request has not run, and against large failures that are not sent again.
    rc::prop("over statuses, sizes, framings and routes", [] {
        const std::string target = *rc::gen::element(std::string("/unsafe/"), std::string("/safe/"), std::string("/stream/"));
        const unsigned status = *rc::gen::element(408U, 421U, 429U, 500U, 502U, 503U);
        GatewayOptions options;
        options.heldBytes = *rc::gen::element(options.heldBytes, std::size_t{1});
        const Failure large{status, *rc::gen::element(std::size_t{20} * 1024, std::size_t{1200} * 1024), *rc::gen::arbitrary<bool>()};
        const Outcome expected = outcomeOf({status, 10}, target);
        RC_LOG() << target << " " << large << ", expected " << expected << "\n";
        RC_ASSERT(outcomeOf(large, target, options) == expected);
        const unsigned told = static_cast<unsigned>(std::stoi(expected.status.substr(9)));
        RC_ASSERT(!promisesNotRun(told));
    });
}

TEST_CASE("a 503 without confirmation is not passed on though it outgrows the buffer", "[truthful-not-run]")
{
    // Guards against a caller that sends an unsafe request again because a failing endpoint's page promises that it has not run.
    const Failure failure{503, std::size_t{1200} * 1024, GENERATE(false, true)};
    CHECK(outcomeOf(failure, "/unsafe/").status == "HTTP/1.1 502");
    CHECK(outcomeOf(failure, "/safe/") == Outcome{"HTTP/1.1 200", false, 2});
}

TEST_CASE("a large failure of an unsafe request is passed on whole", "[whole-answer]")
{
    Scene scene;
    const Failure failure{500, std::size_t{1200} * 1024, false};
    scene.endpoint("e1", [&](Peer &peer, const std::string &request) { peer.sendLarge(answerOf(failure, request), [] {}); });
    const std::shared_ptr<Peer> caller = scene.caller();
    caller->send(Scene::request("POST", "/unsafe/", "r1", {}, "x"));
    REQUIRE(scene.until([&] { return isComplete(caller->received); }));
    CHECK(caller->received.starts_with("HTTP/1.1 500"));
    CHECK(static_cast<std::size_t>(std::ranges::count(caller->received, 'f')) >= failure.size);
}
