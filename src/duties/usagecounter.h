#pragma once

// Counts, on one host, the requests of each customer that began at endpoints in each window of true time. Pure decision logic; performs no I/O.
//
// A request counts once, in the window in which its first bytes arrived, however it ends: the platform bills by that. Counts of a window only grow,
// so they may be sent any number of times (usagetotals.h).
//
// Limits: maxWindows windows with maxCustomers customers each; requests beyond that are not counted but reported by uncounted().

#include "base/ids.h"
#include "fleet/fleetmessage.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Rhubarbwind
{

/** Number of the window since 1970, in windows of this length. */
constexpr std::uint64_t windowAt(std::int64_t unixMs, Duration length)
{
    return static_cast<std::uint64_t>(unixMs / std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

std::uint64_t customerKey(const CustomerId &customer);

class UsageCounter
{
public:
    explicit UsageCounter(std::uint64_t incarnation)
        : m_incarnation(incarnation)
    {
    }

    void began(const CustomerId &customer, std::uint64_t window);
    /** All counts from a window on, in parts that each fit one datagram. */
    std::vector<SharedUsage> updates(std::uint64_t fromWindow) const;
    std::uint64_t uncounted() const
    {
        return m_uncounted;
    }

    static constexpr std::size_t maxWindows = 4;
    static constexpr std::size_t maxCustomers = 20'000;

private:
    std::uint64_t m_incarnation;
    std::map<std::uint64_t, std::map<std::uint64_t, std::uint32_t>> m_windows; ///< counts by customer, by window
    std::uint64_t m_uncounted = 0;
};

} // namespace Rhubarbwind
