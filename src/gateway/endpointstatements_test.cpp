// Endpoints that state a rate limit, that they leave, or how long they want no requests, over real sockets.

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

/** Hosts before the same endpoints. */
class HostGroup
{
public:
    HostGroup(std::size_t hosts, std::size_t endpoints)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_hosts.push_back(std::make_unique<Host>(m_io));
        }
        for (std::size_t i = 0; i < endpoints; ++i) {
            m_endpoints.push_back(std::make_unique<FakeEndpoint>(m_io, [this, i](Peer &peer, const std::string &request) {
                m_arrivals[i].push_back(SteadyClock::now());
                peer.send(answerTo(request, 200, "served", headers[i]));
            }));
            BoardEndpoint listed;
            listed.id = EndpointId("e" + std::to_string(i));
            listed.service = ShardId("s");
            listed.ip = "127.0.0.1";
            listed.port = m_endpoints.back()->port();
            listed.slots = 4;
            for (const std::unique_ptr<Host> &host : m_hosts) {
                host->gateway.putEndpoint(listed);
            }
        }
        headers.resize(endpoints);
        m_arrivals.resize(endpoints);
    }

    void pass(Duration time)
    {
        const TimePoint end = SteadyClock::now() + time;
        while (SteadyClock::now() < end) {
            m_io.restart();
            m_io.run_for(std::chrono::milliseconds(2));
        }
    }
    /** One request at each host. */
    void askAll()
    {
        for (const std::unique_ptr<Host> &host : m_hosts) {
            tcp::socket socket(m_io);
            socket.connect({asio::ip::make_address("127.0.0.1"), host->gateway.port()});
            m_callers.push_back(std::make_shared<Peer>(std::move(socket)));
            m_callers.back()->read();
            m_callers.back()->send(Scene::request("POST", "/unsafe/", "r" + std::to_string(m_callers.size()), {}, "x"));
        }
    }
    std::ptrdiff_t served() const
    {
        return std::ranges::count_if(m_callers, [](const std::shared_ptr<Peer> &caller) { return contains(caller->received, "served"); });
    }
    std::size_t asked() const
    {
        return m_callers.size();
    }
    std::ptrdiff_t arrivals(std::size_t endpoint, TimePoint since) const
    {
        return std::ranges::count_if(m_arrivals[endpoint], [since](TimePoint at) { return at >= since; });
    }

    std::vector<std::string> headers; ///< further headers of each endpoint's answers

private:
    struct Host
    {
        explicit Host(asio::io_context &io)
            : log(std::make_shared<DecisionLog>("host", 1, open("/dev/null", O_WRONLY), WriterBounds(), SteadyClock::now()))
            , gateway(io, {}, nativeDialect(), log, metrics)
        {
            static_cast<void>(gateway.listen());
            gateway.setTable(Scene::table(1));
            gateway.endpointsListed();
        }
        std::shared_ptr<DecisionLog> log;
        Metrics metrics;
        Gateway<SteadyClock> gateway;
    };

    asio::io_context m_io;
    std::vector<std::vector<TimePoint>> m_arrivals;
    std::vector<std::unique_ptr<FakeEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::shared_ptr<Peer>> m_callers;
};

} // namespace

TEST_CASE("an advertised rate limit is kept by all hosts together", "[endpoint-limit]")
{
    // An engine short of capacity advertised a limit of 1 request a second in every answer, and went on receiving 2.2 a second: 12 in 4 s from
    // hosts that had forwarded the header, of 11 allowed.
    const std::size_t hosts = GENERATE(std::size_t{1}, std::size_t{5});
    HostGroup group(hosts, 3);
    group.headers[0] = "X-Rate-Limit: 1\r\n";
    for (int i = 0; i < 20; ++i) {
        group.askAll();
        group.pass(10ms);
    }
    group.pass(500ms);
    const TimePoint bound = SteadyClock::now();
    for (int i = 0; i < 80; ++i) {
        group.askAll();
        group.pass(25ms);
    }
    group.pass(100ms);
    constexpr std::ptrdiff_t allowed = 11; // 1.5 x the limit x 4 s + 5; the requests take 2 s
    CHECK(group.arrivals(0, bound) <= allowed);
    // The other endpoints have room for all of them.
    CHECK(group.served() == static_cast<std::ptrdiff_t>(group.asked()));
}
