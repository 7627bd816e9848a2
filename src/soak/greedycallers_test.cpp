// Real hosts before callers that keep to no limit.

#include "soak/realfleet_test.h"

using namespace Rhubarbwind;
using namespace Rhubarbwind::Soak;

namespace
{

constexpr std::size_t memoryMb = 48;
constexpr std::size_t descriptors = 400;
constexpr std::size_t crowd = 96;
constexpr std::size_t bodyLimit = std::size_t{1024} * 1024;
constexpr std::size_t shortOfLimit = bodyLimit - 1024;

std::string chunkOf(std::size_t bytes)
{
    return GatewayTest::chunk(std::string(bytes, 'x'));
}

std::string headWith(const std::string &fields, std::size_t caller)
{
    return "POST /safe/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: crowd-" + std::to_string(caller) + "\r\n" + fields + "\r\n";
}

/** @param end of the body; empty: it lacks its last chunk */
std::string chunked(std::size_t caller, std::size_t chunkBytes, std::size_t bodyBytes, const std::string &end = {})
{
    const std::string chunk = chunkOf(chunkBytes);
    std::string request = headWith("Transfer-Encoding: chunked\r\n", caller);
    for (std::size_t sent = 0; sent + chunkBytes <= bodyBytes; sent += chunkBytes) {
        request += chunk;
    }
    return request + end;
}

std::string announced(std::size_t caller, const std::string &length, std::size_t bodyBytes)
{
    return headWith("Content-Length: " + length + "\r\n", caller) + std::string(bodyBytes, 'x');
}

/** What one kind of callers sends; all leave their connections open. */
struct GreedyKind
{
    std::string name;
    std::string (*request)(std::size_t caller) = nullptr;
};

std::vector<GreedyKind> greedyKinds()
{
    return {
        {"large chunks, most without an end", [](std::size_t caller) { return chunked(caller, 64'000, shortOfLimit, caller % 4 == 0 ? "0\r\n\r\n" : ""); }},
        {"small chunks without an end", [](std::size_t caller) { return chunked(caller, 16, shortOfLimit); }},
        {"bodies that lack a byte", [](std::size_t caller) { return announced(caller, std::to_string(shortOfLimit + 1), shortOfLimit); }},
        {"bodies above the limit",
         [](std::size_t caller) { return caller % 2 == 0 ? chunked(caller, 64'000, 4 * bodyLimit) : announced(caller, "1000000000", 4 * bodyLimit); }},
        {"whole bodies at once", [](std::size_t caller) { return announced(caller, std::to_string(shortOfLimit), shortOfLimit); }},
    };
}

} // namespace

TEST_CASE("a host before callers that keep to no limit stays within its memory and answers another one", "[callers-limits]")
{
    // Failure: each connection held a body up to its own limit, and the host ran out of memory.
    const GreedyKind kind = GENERATE(from_range(greedyKinds()));
    INFO(kind.name);
    FleetSettings settings;
    settings.hosts = 1;
    settings.gateway = ", \"memory_mb\": " + std::to_string(memoryMb) + ", \"descriptors\": " + std::to_string(descriptors);
    settings.limits["body_bytes"] = bodyLimit;
    Fleet fleet(settings);
    REQUIRE(fleet.areReady());
    HostProcess &host = *fleet.hosts.front();
    std::vector<std::shared_ptr<Peer>> callers;
    std::size_t done = 0;
    for (std::size_t i = 0; i < crowd; ++i) {
        callers.push_back(fleet.caller(host));
        callers.back()->sendLarge(kind.request(i), [&done] { ++done; });
    }
    // A host that reads no further leaves the rest in the callers' sockets.
    fleet.until([&] { return done == crowd || host.hasEnded(); }, 10s);
    fleet.pass(1s);
    CHECK_FALSE(host.hasEnded());
    CHECK(host.peakResidentMb() < memoryMb);
    CHECK(host.descriptors() < descriptors);
    const std::shared_ptr<Peer> ordinary = fleet.caller(host);
    ordinary->send(GatewayTest::Scene::request("POST", "/safe/x", "ordinary", {}, "body"));
    CHECK(fleet.until([&] { return GatewayTest::contains(ordinary->received, "done"); }, 10s));
}

TEST_CASE("a host whose connections are all taken by callers that send no whole request answers another one", "[callers-limits]")
{
    // Failure: as many connections as the host accepts stayed open without a request, and all further ones were closed unread.
    constexpr std::size_t fewDescriptors = 64;
    const std::string bytes = GENERATE(std::string(), std::string("POST /safe/x HT"), headWith("Transfer-Encoding: chunked\r\n", 1) + chunkOf(10));
    INFO(bytes);
    FleetSettings settings;
    settings.hosts = 1;
    settings.gateway = ", \"descriptors\": " + std::to_string(fewDescriptors);
    Fleet fleet(settings);
    REQUIRE(fleet.areReady());
    HostProcess &host = *fleet.hosts.front();
    std::vector<std::shared_ptr<Peer>> callers;
    for (std::size_t i = 0; i < fewDescriptors; ++i) {
        callers.push_back(fleet.caller(host));
        callers.back()->sendLarge(bytes, [] {});
    }
    fleet.pass(2s);
    const std::shared_ptr<Peer> ordinary = fleet.caller(host);
    ordinary->sendLarge(GatewayTest::Scene::request("POST", "/safe/x", "ordinary", {}, "body"), [] {});
    CHECK(fleet.until([&] { return GatewayTest::contains(ordinary->received, "done"); }, 10s));
    CHECK_FALSE(host.hasEnded());
    CHECK(host.descriptors() < fewDescriptors);
}
