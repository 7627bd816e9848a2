// Real hosts whose event loops stood still.

#include "gateway/gatewayfakes_test.h"
#include "gateway/nativesite.h"
#include "platform/objectclient.h"
#include "soak/soakhosts.h"
#include "standins/platformserver.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Rhubarbwind;
using namespace Rhubarbwind::Soak;
using namespace Rhubarbwind::GatewayTest;

namespace
{

/** Three hosts, a platform, and two endpoints of one service. */
class Fleet
{
public:
    Fleet()
        : m_platform(m_io, PlatformServerOptions())
        , m_objects(std::make_shared<PlatformConnections<SteadyClock>>(m_io.get_executor(), platformOptions()))
        , m_folder(std::filesystem::temp_directory_path() / ("rhubarbwind-late-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
        putEndpoint("stays", stays, false);
        putEndpoint("leaves", leaves, false);
        const boost::json::array targets{boost::json::object{{"service", "s"}}};
        const boost::json::object route{{"name", "safe"},
                                        {"host", "site.example"},
                                        {"prefix", "/safe/"},
                                        {"kind", "safe"},
                                        {"targets", targets},
                                        {"timeout_ms", 9000},
                                        {"goal_ms", 4000},
                                        {"max_attempts", 2},
                                        {"public", true}};
        put(std::string(nativeTableKey), {{"version", 1}, {"routes", boost::json::array{route}}});
        for (int number = 1; number <= 3; ++number) {
            HostPlan plan{RHUBARBWIND_HOST_PROGRAM, m_folder.string(), number, port(), m_platform.port()};
            hosts.push_back(std::make_unique<HostProcess>(plan));
            hosts.back()->start();
        }
    }
    ~Fleet()
    {
        hosts.clear();
        std::filesystem::remove_all(m_folder);
    }

    bool until(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint end = SteadyClock::now() + limit;
        while (!condition() && SteadyClock::now() < end) {
            m_io.restart();
            m_io.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }
    void pass(Duration time)
    {
        until([] { return false; }, time);
    }
    void put(const std::string &key, const boost::json::object &value)
    {
        const auto old = m_versions.find(key);
        bool isDone = false;
        const WriteCondition condition = old == m_versions.end() ? WriteCondition::absent() : WriteCondition::atVersion(old->second);
        m_objects.put(key, boost::json::serialize(value), condition, [&](const PlatformResult<ObjectVersion> &written) {
            isDone = true;
            m_versions[key] = written.value();
        });
        REQUIRE(until([&] { return isDone; }, 5s));
    }
    void putEndpoint(const std::string &name, const FakeEndpoint &endpoint, bool leaving)
    {
        put(std::string(nativeEndpointPrefix) + name,
            {{"service", "s"}, {"ip", "127.0.0.1"}, {"port", endpoint.port()}, {"domain", "d"}, {"slots", 32}, {"leaving", leaving}});
    }
    std::shared_ptr<Peer> caller(const HostProcess &host)
    {
        tcp::socket socket(m_io);
        socket.connect({asio::ip::make_address(host.ip()), host.callersPort()});
        std::shared_ptr<Peer> made = std::make_shared<Peer>(std::move(socket));
        made->read();
        return made;
    }
    std::string linesOf(int number) const
    {
        std::ostringstream lines;
        for (const std::filesystem::directory_entry &file : std::filesystem::directory_iterator(m_folder)) {
            if (file.path().filename().string().starts_with("host-" + std::to_string(number) + ".") && file.path().extension() == ".log") {
                lines << std::ifstream(file.path()).rdbuf();
            }
        }
        return lines.str();
    }

private:
    static std::uint16_t port()
    {
        return static_cast<std::uint16_t>(22'000 + ::getpid() % 2'000 * 4);
    }
    PlatformOptions platformOptions() const
    {
        PlatformOptions options;
        options.port = m_platform.port();
        return options;
    }
    static void answer(Peer &peer, const std::string &request)
    {
        peer.send(answerTo(request, 200, "done"));
    }

    asio::io_context m_io;
    PlatformServer m_platform;
    ObjectClient<SteadyClock> m_objects;
    std::map<std::string, ObjectVersion> m_versions;
    std::filesystem::path m_folder;

public:
    FakeEndpoint stays{m_io, answer};
    FakeEndpoint leaves{m_io, answer};
    std::vector<std::unique_ptr<HostProcess>> hosts;
};

} // namespace

TEST_CASE("a host that stood still sends no request to an endpoint that left meanwhile", "[drain]")
{
    // Failure: the host read callers' requests before the news in its other sockets, and sent them to an endpoint whose leaving was seconds old.
    Fleet fleet;
    REQUIRE(fleet.until([&] { return std::ranges::all_of(fleet.hosts, [](const auto &host) { return isReady(host->ip(), host->readyPort()); }); }, 9s));
    fleet.pass(2s);
    HostProcess &late = *fleet.hosts[1];
    std::vector<std::shared_ptr<Peer>> callers;
    const auto send = [&](std::size_t caller) { callers[caller]->send(Scene::request("POST", "/safe/x", "r" + std::to_string(caller), {}, "body")); };
    for (std::size_t i = 0; i < 8; ++i) {
        callers.push_back(fleet.caller(late));
    }
    fleet.pass(100ms);
    late.signal(SIGSTOP);
    fleet.pass(3s);
    // Behind the datagrams of three seconds.
    fleet.putEndpoint("leaves", fleet.leaves, true);
    fleet.pass(2500ms);
    for (std::size_t i = 0; i < 16; ++i) {
        if (i == callers.size()) {
            callers.push_back(fleet.caller(late));
        }
        send(i);
    }
    fleet.pass(50ms);
    late.signal(SIGCONT);
    CHECK(fleet.until([&] { return std::ranges::all_of(callers, [](const auto &caller) { return contains(caller->received, "done"); }); }, 4s));
    CHECK(fleet.leaves.requests.empty());
    CHECK(fleet.stays.requests.size() == 16);
    fleet.pass(500ms);
    CHECK(contains(fleet.linesOf(2), "late-loop-caught-up"));
    // Failure: the host took the time in which it had read nothing for its peers' silence.
    CHECK_FALSE(contains(fleet.linesOf(2), "peer-silent"));
}
