#include "fleet/trafficmonitor.h"

namespace Rhubarbwind
{

std::optional<FleetTrafficBytes> TrafficMonitor::tick(const FleetCounters &counters, TimePoint now)
{
    const Duration elapsed = now - m_lastAt;
    if (elapsed < interval) {
        return std::nullopt;
    }
    const FleetCounters last = m_last;
    const bool isFirst = m_lastAt == TimePoint();
    m_last = counters;
    m_lastAt = now;
    const double bytesPerSecond = static_cast<double>(counters.bytesOut - last.bytesOut) / toSeconds(elapsed);
    if (isFirst || bytesPerSecond <= static_cast<double>(maxBytesPerSecond)) {
        return std::nullopt;
    }
    FleetTrafficBytes sent{};
    for (std::size_t i = 0; i < sent.size(); ++i) {
        sent.at(i) = counters.bytesOutByTraffic.at(i) - last.bytesOutByTraffic.at(i);
    }
    return sent;
}

} // namespace Rhubarbwind
