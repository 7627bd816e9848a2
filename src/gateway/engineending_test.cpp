// Requests that end the endpoints that run them, over real sockets.

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

// Between attempts: a break is looked at in a third of it, and two of them are two moments.
constexpr Duration between = 150ms;

GatewayOptions quickOptions()
{
    GatewayOptions options;
    options.suspects.sameMoment = 100ms;
    return options;
}

constexpr std::string_view fatalBody = "ends whoever runs it";
constexpr std::string_view slowBody = "is not begun yet";
constexpr std::string_view streamingBody = "is begun and goes on";

/** Endpoints that end when they begin to run the fatal body, keep two others waiting, and answer everything else. */
class FragileScene : public Scene
{
public:
    explicit FragileScene(int count, int logDescriptor = open("/dev/null", O_WRONLY))
        : Scene(quickOptions(), logDescriptor)
    {
        for (int i = 1; i <= count; ++i) {
            add(i);
        }
    }

    std::ptrdiff_t ended() const
    {
        return std::ranges::count_if(endpoints, [](const std::unique_ptr<FakeEndpoint> &each) { return each->hasEnded(); });
    }

    /** @return the whole answer, or what came of it before the connection ended */
    std::string ask(const std::string &target, const std::string &id, std::string_view body)
    {
        const std::shared_ptr<Peer> asking = caller();
        asking->send(request("POST", target, id, {}, std::string(body)));
        until([&] { return asking->closed || wholeMessage(asking->received) > 0; });
        return asking->received;
    }

    /** Sends without waiting for the answer. */
    std::shared_ptr<Peer> begin(const std::string &target, const std::string &id, std::string_view body)
    {
        std::shared_ptr<Peer> asking = caller();
        asking->send(request("POST", target, id, {}, std::string(body)));
        return asking;
    }
    std::size_t arrived(std::string_view body) const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<FakeEndpoint> &each : endpoints) {
            count += static_cast<std::size_t>(std::ranges::count_if(each->requests, [body](const std::string &request) { return request.ends_with(body); }));
        }
        return count;
    }
    /** An ending that another host tells of, so long ago. */
    SharedEnding told(std::string_view target, std::string_view body, std::uint64_t life, Duration age) const
    {
        const RequestContent content{"acme", "POST", "site.example", target, body};
        const RequestIdentity identity = identityOf(content);
        return {identity.high, identity.low, shapeOf(content), life, customerKey("acme"), static_cast<std::uint32_t>(life), age};
    }
    void tellHeld(std::string_view target, std::string_view body)
    {
        gateway.heardSuspects({{told(target, body, 1, 3s), told(target, body, 2, 2s), told(target, body, 3, 1s)}, {}});
    }

private:
    void add(int number)
    {
        const std::size_t index = endpoints.size();
        endpoint("e" + std::to_string(number), [this, index](Peer &peer, const std::string &request) {
            if (request.ends_with(fatalBody)) {
                endpoints[index]->end();
                return;
            }
            if (request.ends_with(slowBody)) {
                return;
            }
            if (request.ends_with(streamingBody)) {
                peer.send(streamTo(request) + chunk(event(1)));
                return;
            }
            peer.send(answerTo(request, 200, "data: fine\n\n"));
        });
    }
};

} // namespace

TEST_CASE("a request that ends each endpoint that runs it is not sent to more than three", "[quarantine]")
{
    // A caller sends a request that crashes whatever runs it, gets a 502, and sends it again: with the same customer, target and body under
    // a new id. Each time the host put it to work at the next endpoint within a ms, as it keeps nothing of a request beyond its one
    // attempt; every stream that ran there broke off with it. Its lines showed the same route, customer and prompt size at an endpoint that ended,
    // every 1.1 to 1.6 s: "status":502,"sends":1,"took_ms":97, then 139, 142, 132, 122, and 19 endpoints were gone.
    FragileScene scene(10);
    const std::string target = GENERATE(std::string("/stream/"), std::string("/unsafe/"), std::string("/resumable/"), std::string("/safe/"));
    for (int i = 0; i < 10; ++i) {
        const std::string answer = scene.ask(target, "r" + std::to_string(i), fatalBody);
        CHECK(contains(answer, "HTTP/1.1 50"));
        scene.pass(between);
    }
    CHECK(scene.ended() == 3);
    const std::string other = scene.ask(target, "other", "any other body");
    INFO(target << ": " << other);
    CHECK(contains(other, "fine"));
}

TEST_CASE("a held request is turned away without an invitation, and says that it has not run", "[quarantine][truthful-not-run]")
{
    // The word has come from other hosts. A 503 would let callers' libraries send it again at once, or after the time it names, for
    // nothing; a 4xx would say that the request is wrong, which nobody knows.
    FragileScene scene(3);
    const std::string target = GENERATE(std::string("/stream/"), std::string("/unsafe/"), std::string("/safe/"));
    scene.tellHeld(target, "ordinary");
    const std::string answer = scene.ask(target, "r1", "ordinary");
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(headerOf(answer, "Retry-After").empty());
    CHECK(contains(answer, "not run"));
    CHECK(scene.arrived("ordinary") == 0);
    CHECK(scene.metrics.value("rhubarbwind_turned_away_total", {}) == 1);
    // Another customer's request with the same body is another request.
    const std::shared_ptr<Peer> other = scene.caller();
    other->send("POST " + target
                + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r2\r\nAuthorization: Bearer first-key\r\nContent-Length: 8\r\n\r\nordinary");
    CHECK(scene.until([&] { return contains(other->received, "fine"); }));
}

TEST_CASE("the word that comes after the request ends what no endpoint has begun, and leaves what one has", "[quarantine]")
{
    // A copy of the request waits at an endpoint while the third ending is told. Left there, it ends that endpoint too. One whose
    // answer comes already does not crash what runs it at its beginning; it is its completion that will clear the request.
    FragileScene scene(3);
    const std::string_view body = GENERATE(slowBody, streamingBody);
    const std::shared_ptr<Peer> asking = scene.begin("/stream/", "r1", body);
    REQUIRE(scene.until([&] { return scene.arrived(body) == 1; }));
    scene.pass(50ms);
    scene.tellHeld("/stream/", body);
    scene.pass(50ms);
    if (body == slowBody) {
        CHECK(asking->received.starts_with("HTTP/1.1 502"));
        CHECK_FALSE(contains(asking->received, "not run"));
        CHECK(scene.gateway.running() == 0);
    } else {
        CHECK(asking->received.starts_with("HTTP/1.1 200"));
        CHECK_FALSE(asking->closed);
        CHECK(scene.gateway.running() == 1);
    }
}

TEST_CASE("a suspect runs once at a time on a host, and its copies are told when to come back", "[quarantine][truthful-not-run]")
{
    // A caller sends ten copies at once. Each ends another endpoint before the first ending is told, if all are sent.
    FragileScene scene(5);
    scene.gateway.heardSuspects({{scene.told("/stream/", slowBody, 1, 1s)}, {}});
    const std::shared_ptr<Peer> first = scene.begin("/stream/", "r1", slowBody);
    REQUIRE(scene.until([&] { return scene.arrived(slowBody) == 1; }));
    const std::string second = scene.ask("/stream/", "r2", slowBody);
    CHECK(second.starts_with("HTTP/1.1 503"));
    CHECK_FALSE(headerOf(second, "Retry-After").empty());
    CHECK(scene.arrived(slowBody) == 1);
    first->close();
    REQUIRE(scene.until([&] { return scene.gateway.running() == 0; }));
    const std::shared_ptr<Peer> third = scene.begin("/stream/", "r3", slowBody);
    CHECK(scene.until([&] { return scene.arrived(slowBody) == 2; }));
}

TEST_CASE("a request that was held is cleared everywhere by one that is well answered", "[quarantine]")
{
    // Crashes that hit one request three times by chance, or an engine that was mended: one run that ends well says so, and all hosts
    // must hear it, or they go on refusing what a caller is owed.
    FragileScene scene(3);
    std::vector<SuspectNews> told;
    scene.gateway.shareSuspects(
        [](const SuspectNews &) {}, [&told](const SuspectNews &news) { told.push_back(news); }, [](const RequestIdentity &) { return true; });
    scene.gateway.heardSuspects({{scene.told("/stream/", "ordinary", 1, 3s), scene.told("/stream/", "ordinary", 2, 2s)}, {}});
    CHECK(contains(scene.ask("/stream/", "r1", "ordinary"), "fine"));
    REQUIRE(told.size() == 1);
    REQUIRE(told.front().clearings.size() == 1);
    CHECK(told.front().endings.empty());
    // An ending from before, told late.
    scene.gateway.heardSuspects({{scene.told("/stream/", "ordinary", 3, 1s)}, {}});
    REQUIRE(scene.gateway.suspects().size() == 1);
    CHECK(scene.gateway.suspects().front().endings.empty());
    SECTION("the word of it lifts a hold at another host")
    {
        FragileScene other(3);
        other.tellHeld("/stream/", "ordinary");
        other.gateway.heardSuspects(told.front());
        CHECK(contains(other.ask("/stream/", "r2", "ordinary"), "fine"));
    }
    SECTION("so does on-call")
    {
        scene.tellHeld("/unsafe/", "ordinary");
        const RequestIdentity identity = identityOf({"acme", "POST", "site.example", "/unsafe/", "ordinary"});
        told.clear();
        CHECK(scene.gateway.liftSuspect(identity));
        CHECK_FALSE(scene.gateway.liftSuspect(identity));
        CHECK(told.size() == 1);
        CHECK(contains(scene.ask("/unsafe/", "r3", "ordinary"), "fine"));
    }
}

TEST_CASE("a request that was well answered of late is not blamed for the endpoints that end with it", "[quarantine]")
{
    // Many callers send the same popular request. Endpoints crash one after the other for a reason of their own; the request
    // runs on each of them, and its callers would be refused for minutes.
    FragileScene scene(6);
    CHECK(contains(scene.ask("/stream/", "r0", streamingBody.substr(0, 5)), "fine"));
    for (int i = 0; i < 4; ++i) {
        CHECK(contains(scene.ask("/unsafe/", "w" + std::to_string(i), "popular"), "fine"));
    }
    const RequestIdentity identity = identityOf({"acme", "POST", "site.example", "/unsafe/", "popular"});
    const auto isSuspected = [&] {
        const std::vector<SuspectRow> rows = scene.gateway.suspects();
        return std::ranges::any_of(rows, [&](const SuspectRow &row) { return row.suspect.identity == identity; });
    };
    // The next three endpoints that get it end, with it.
    int left = 3;
    for (std::size_t i = 0; i < scene.endpoints.size(); ++i) {
        scene.endpoints[i]->setScript([&scene, &left, i](Peer &peer, const std::string &request) {
            if (left > 0) {
                --left;
                scene.endpoints[i]->end();
            } else {
                peer.send(answerTo(request, 200, "data: fine\n\n"));
            }
        });
    }
    for (int i = 0; i < 3; ++i) {
        scene.ask("/unsafe/", "x" + std::to_string(i), "popular");
        scene.pass(between);
    }
    REQUIRE(scene.ended() == 3);
    CHECK_FALSE(isSuspected());
    CHECK(contains(scene.ask("/unsafe/", "y", "popular"), "fine"));
}

namespace
{

/** Hosts before the same endpoints, which tell each other what they learn. */
class FragileFleet
{
public:
    FragileFleet(std::size_t hosts, std::size_t count)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_scenes.push_back(std::make_unique<FleetHost>(m_io, quickOptions()));
        }
        for (std::size_t i = 0; i < count; ++i) {
            m_endpoints.push_back(std::make_unique<FakeEndpoint>(m_io, [this, i](Peer &, const std::string &) { m_endpoints[i]->end(); }));
            BoardEndpoint listed;
            listed.id = EndpointId("e" + std::to_string(i));
            listed.service = ShardId("s");
            listed.ip = "127.0.0.1";
            listed.port = m_endpoints.back()->port();
            for (const std::unique_ptr<FleetHost> &host : m_scenes) {
                host->gateway.putEndpoint(listed);
            }
        }
        for (const std::unique_ptr<FleetHost> &host : m_scenes) {
            const auto tell = [this, from = host.get()](const SuspectNews &news) { tellOthers(from, news); };
            host->gateway.shareSuspects(tell, tell, [](const RequestIdentity &) { return true; });
        }
    }

    std::string ask(std::size_t host, const std::string &id)
    {
        tcp::socket socket(m_io);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_scenes[host]->gateway.port()});
        const std::shared_ptr<Peer> asking = std::make_shared<Peer>(std::move(socket));
        asking->read();
        asking->send(Scene::request("POST", "/stream/", id, {}, std::string(fatalBody)));
        pass([&] { return asking->closed || wholeMessage(asking->received) > 0; }, 4s);
        return asking->received;
    }
    void pass(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint end = SteadyClock::now() + limit;
        while (!condition() && SteadyClock::now() < end) {
            m_io.restart();
            m_io.run_for(std::chrono::milliseconds(2));
        }
    }
    std::ptrdiff_t ended() const
    {
        return std::ranges::count_if(m_endpoints, [](const std::unique_ptr<FakeEndpoint> &each) { return each->hasEnded(); });
    }

    std::size_t deafHost = 99; ///< hears nothing

private:
    void tellOthers(const FleetHost *from, const SuspectNews &news)
    {
        for (std::size_t i = 0; i < m_scenes.size(); ++i) {
            if (m_scenes[i].get() != from && i != deafHost) {
                asio::post(m_io, [host = m_scenes[i].get(), news] { host->gateway.heardSuspects(news); });
            }
        }
    }

    asio::io_context m_io;
    std::vector<std::unique_ptr<FakeEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<FleetHost>> m_scenes;
};

} // namespace

TEST_CASE("what three hosts saw of one request, a fourth acts on", "[quarantine]")
{
    // The caller's request comes to another host each time, as the balancer chooses. Each host alone sees one ending, which proves nothing.
    FragileFleet fleet(5, 10);
    for (std::size_t i = 0; i < 10; ++i) {
        const std::string answer = fleet.ask(i % 5, "r" + std::to_string(i));
        CHECK(contains(answer, "HTTP/1.1 502"));
        fleet.pass([] { return false; }, between);
    }
    CHECK(fleet.ended() == 3);
}

TEST_CASE("a host that hears nothing is told no more than its own endings", "[quarantine]")
{
    // It can't know, and refuses nobody for what it can't know; what it learns by itself, the others hear.
    FragileFleet fleet(3, 10);
    fleet.deafHost = 2;
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.ask(i % 3, "r" + std::to_string(i));
        fleet.pass([] { return false; }, between);
    }
    CHECK(fleet.ended() <= 3 + 2);
}
