#pragma once

// Reports seconds in which a host sends so many bytes to other hosts that a small link is full of them.

#include "base/time.h"
#include "fleet/fleetcounters.h"

#include <optional>

namespace Rhubarbwind
{

class TrafficMonitor
{
public:
    /** @return the bytes sent by content since the last report, once a second, if their sum is above the limit */
    std::optional<FleetTrafficBytes> tick(const FleetCounters &counters, TimePoint now);

    /** Half of a link of 10 Mbit/s. A relay's sums of loads take up to that at their peak. */
    static constexpr std::uint64_t maxBytesPerSecond = 625'000;

private:
    static constexpr Duration interval = 1s;

    FleetCounters m_last;
    TimePoint m_lastAt{};
};

} // namespace Rhubarbwind
