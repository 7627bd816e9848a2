#pragma once

// A gateway host's part in what one host at a time does for the fleet: it counts, tells what it counted, and holds the duties in its turn.
//
// Only wiring lives here: counts (duties/usagecounter.h) go to the hosts that hold the duties or may hold them next, several times a
// second while they grow, and for some seconds after their window has ended. Who is to hold them says FleetView; DutySession holds them.
//
// Cost of telling: a datagram of 16 bytes a customer each tellInterval to at most three hosts; to the holder, as many as there are hosts.

#include "base/clock.h"
#include "duties/dutysession.h"
#include "duties/usagecounter.h"
#include "fleet/fleetclock.h"
#include "fleet/fleetservice.h"
#include "gateway/siteadapter.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace Rhubarbwind
{

struct GatewayDutyParts
{
    FleetService<SteadyClock> &fleet;
    std::shared_ptr<PlatformConnections<SteadyClock>> store;
    Metrics &metrics;
    std::function<std::vector<EngineCount>()> engines;
    std::function<void(std::string_view event, const LogFields &fields)> tell;
};

class GatewayDuties
{
public:
    /** @param settings with duties, which outlive this as the parts do */
    GatewayDuties(boost::asio::io_context &context, const Settings &settings, const SiteAdapter &adapter, GatewayDutyParts parts);

    void began(const CustomerId &customer);
    void heardTime(const PeerAddress &peer, std::int64_t wallMs);
    void heardUsage(const SharedUsage &usage);
    void setTable(const RouteTable &table);
    void tick(TimePoint now);
    void stop();
    /** Sets the gauges of what is so now. */
    void measure();

private:
    void tellUsage(TimePoint now);
    std::int64_t trueTimeMs() const;
    void learn(const CustomerId &customer);

    DutySettings m_settings;
    GatewayDutyParts m_parts;
    FleetClock m_clock;
    UsageCounter m_counter;
    std::shared_ptr<PlatformConnections<SteadyClock>> m_api;
    std::shared_ptr<DutySession<SteadyClock>> m_session;
    std::unordered_map<std::uint64_t, std::string> m_names; ///< of customers, by their key; bounded
    std::vector<ScaledService> m_scaled; ///< of the configuration in force
    std::vector<PeerAddress> m_toldTo;
    TimePoint m_toldAt{};
};

} // namespace Rhubarbwind
