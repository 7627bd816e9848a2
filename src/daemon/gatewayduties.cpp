#include "daemon/gatewayduties.h"

#include "base/requestid.h"
#include "base/suspendclock.h"
#include "base/walltime.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

// A host that dies loses what it counted since: of a window of five seconds one part in seventeen.
constexpr Duration tellInterval = 300ms;
// After a window's end, in which its counts are still told: above some lost datagrams, below the time after which a report is fixed.
constexpr Duration lateTelling = 1500ms;
constexpr Duration apiTimeout = 500ms;
// Names that no configuration holds any more are forgotten beyond it.
constexpr std::size_t mostNames = 100'000;

PlatformOptions apiOptions(const SocketAddress &address)
{
    PlatformOptions options;
    options.ip = address.ip;
    options.port = address.port;
    options.callTimeout = apiTimeout;
    options.bodyTimeout = apiTimeout;
    return options;
}

DutyOptions dutyOptions(const Settings &settings, const DutyCodec &codec)
{
    const DutySettings &duties = *settings.gateway->duties;
    DutyOptions options;
    options.host = settings.host;
    options.process = freshId();
    options.lease = duties.lease;
    options.isFirstStart = duties.isFirstStart;
    options.callTimeout = apiTimeout;
    options.usage.window = duties.usageWindow;
    options.usage.due = duties.usageDue;
    options.reportsUsage = std::ranges::find(duties.kinds, codec.usageKind) != duties.kinds.end();
    options.ordersEngines = std::ranges::find(duties.kinds, codec.engineKind) != duties.kinds.end();
    options.seed = std::hash<std::string>()(options.process);
    return options;
}

} // namespace

GatewayDuties::GatewayDuties(boost::asio::io_context &context, const Settings &settings, const SiteAdapter &adapter, GatewayDutyParts parts)
    : m_settings(*settings.gateway->duties)
    , m_parts(std::move(parts))
    , m_counter(std::hash<std::string>()(freshId()))
    , m_api(std::make_shared<PlatformConnections<SteadyClock>>(context.get_executor(), apiOptions(m_settings.address)))
{
    DutyPorts ports;
    ports.suspendClock = &suspendClockNow;
    ports.trueTimeMs = [this] { return trueTimeMs(); };
    ports.customerName = [this](std::uint64_t key) {
        const auto found = m_names.find(key);
        return found == m_names.end() ? std::string() : found->second;
    };
    ports.scaledServices = [this] { return m_scaled; };
    ports.engines = m_parts.engines;
    ports.tell = m_parts.tell;
    const ObjectSession<SteadyClock> store(m_parts.store, adapter.objects, "rhubarbwind-duties");
    m_session = std::make_shared<DutySession<SteadyClock>>(store, m_api, adapter.duties, dutyOptions(settings, adapter.duties), std::move(ports));
}

void GatewayDuties::began(const CustomerId &customer)
{
    learn(customer);
    m_counter.began(customer, windowAt(trueTimeMs(), m_settings.usageWindow));
}

void GatewayDuties::heardTime(const PeerAddress &peer, std::int64_t wallMs)
{
    m_clock.heard(peer, wallMs, SteadyClock::now());
}

void GatewayDuties::heardUsage(const SharedUsage &usage)
{
    m_session->heard(usage);
}

void GatewayDuties::setTable(const RouteTable &table)
{
    if (m_names.size() > mostNames) {
        m_names.clear();
    }
    for (const CustomerId &customer : table.customers()) {
        learn(customer);
    }
    m_scaled = table.scaledServices();
}

void GatewayDuties::learn(const CustomerId &customer)
{
    m_names.try_emplace(customerKey(customer), customer.text());
}

std::int64_t GatewayDuties::trueTimeMs() const
{
    return m_clock.milliseconds(unixMilliseconds(), SteadyClock::now());
}

void GatewayDuties::tellUsage(TimePoint now)
{
    if (now - m_toldAt < tellInterval) {
        return;
    }
    m_toldAt = now;
    const std::vector<PeerAddress> places = m_parts.fleet.view().dutyPlaces(now);
    const std::int64_t trueMs = trueTimeMs();
    const std::int64_t lateMs = std::chrono::duration_cast<std::chrono::milliseconds>(lateTelling).count();
    // Whoever has just come into the duties' places has heard nothing.
    const bool isNewPlace = std::exchange(m_toldTo, places) != places;
    const std::vector<SharedUsage> parts = m_counter.tellings(isNewPlace ? 0 : windowAt(trueMs - lateMs, m_settings.usageWindow));
    m_parts.fleet.tellUsage(parts, places);
    for (const SharedUsage &part : parts) {
        m_session->heard(part);
    }
}

void GatewayDuties::tick(TimePoint now)
{
    tellUsage(now);
    m_session->setWanted(m_parts.fleet.view().wantsDuty(now));
    m_session->tick();
    const LeaseView lease = m_session->lease();
    m_parts.fleet.view().setDuty(lease.held ? lease.fencing : 0);
}

void GatewayDuties::stop()
{
    m_session->stop();
    m_api->close();
}

void GatewayDuties::measure()
{
    m_parts.metrics.set("rhubarbwind_duties_held", {}, m_session->lease().held ? 1.0 : 0.0);
    m_parts.metrics.set("rhubarbwind_usage_last_window", {}, static_cast<double>(m_session->lastReported()));
    m_parts.metrics.set("rhubarbwind_usage_uncounted", {}, static_cast<double>(m_counter.uncounted()));
}

} // namespace Rhubarbwind
