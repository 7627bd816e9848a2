#pragma once

// Real hosts before scripted endpoints, with a stand-in platform on the test's event loop.

#include "gateway/gatewayfakes_test.h"
#include "gateway/nativesite.h"
#include "platform/objectclient.h"
#include "soak/soakhosts.h"
#include "standins/platformserver.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace Rhubarbwind::Soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using GatewayTest::FakeEndpoint;
using GatewayTest::Peer;

struct FleetSettings
{
    int hosts = 3;
    std::string gateway; ///< further members of the settings' object, each after a comma
    boost::json::object limits; ///< of the configuration
};

/** Hosts, a platform, and two endpoints of one service. */
class Fleet
{
public:
    explicit Fleet(const FleetSettings &settings = {})
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
        put(std::string(nativeTableKey), {{"version", 1}, {"routes", boost::json::array{route}}, {"limits", settings.limits}});
        for (int number = 1; number <= settings.hosts; ++number) {
            HostPlan plan{RHUBARBWIND_HOST_PROGRAM, m_folder.string(), number, port(), m_platform.port()};
            plan.gateway = settings.gateway;
            hosts.push_back(std::make_unique<HostProcess>(plan));
            hosts.back()->start();
        }
    }
    ~Fleet()
    {
        hosts.clear();
        std::filesystem::remove_all(m_folder);
    }

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    bool areReady()
    {
        return until([&] { return std::ranges::all_of(hosts, [](const auto &host) { return isReady(host->ip(), host->readyPort()); }); }, 9s);
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
        boost::system::error_code ignored;
        socket.connect({asio::ip::make_address(host.ip()), host.callersPort()}, ignored);
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
        peer.send(GatewayTest::answerTo(request, 200, "done"));
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

} // namespace Rhubarbwind::Soak
