#pragma once

// How many requests of each customer endpoints began in each window of true time, as one host saw them. A decision without I/O.
//
// A request counts once, in the window in which its first bytes came, whatever becomes of it: that is what the platform is owed. Counts of
// a window only grow, so they may be told any number of times (usagetotals.h).
//
// Bounds: maxWindows windows, maxCustomers in each; what is beyond is not counted, and said so by uncounted().

#include "base/ids.h"
#include "fleet/fleetmessage.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Rhubarbwind
{

/** Of window lengths: number of the window since 1970. */
constexpr std::uint64_t windowAt(std::int64_t unixMs, Duration length)
{
    return static_cast<std::uint64_t>(unixMs / std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

std::uint64_t customerKey(const CustomerId &customer);

class UsageCounter
{
public:
    explicit UsageCounter(std::uint64_t life)
        : m_life(life)
    {
    }

    void began(const CustomerId &customer, std::uint64_t window);
    /** All that is known from a window on, in parts that each fit one datagram. */
    std::vector<SharedUsage> updates(std::uint64_t fromWindow) const;
    std::uint64_t uncounted() const
    {
        return m_uncounted;
    }

    static constexpr std::size_t maxWindows = 4;
    static constexpr std::size_t maxCustomers = 20'000;

private:
    std::uint64_t m_life;
    std::map<std::uint64_t, std::map<std::uint64_t, std::uint32_t>> m_windows; ///< counts by customer, by window
    std::uint64_t m_uncounted = 0;
};

} // namespace Rhubarbwind
