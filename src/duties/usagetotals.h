#pragma once

// What all hosts counted, as whoever may report it hears it. A decision without I/O.
//
// Tellings are merged by the maximum for each host's life, window and customer, so lost, doubled and old ones do no harm, and a host
// that dies loses at most what it counted since it last told.
//
// Bounds: maxWindows windows, maxEntries counts; beyond it tellings of hosts not heard before are dropped.

#include "fleet/fleetmessage.h"

#include <cstdint>
#include <map>

namespace Rhubarbwind
{

class UsageTotals
{
public:
    void receive(const SharedUsage &usage);
    /** Requests begun in a window by customer's key. */
    std::map<std::uint64_t, std::uint64_t> totals(std::uint64_t window) const;
    /** Hosts' lives that told of a window. */
    std::size_t reporters(std::uint64_t window) const;

    static constexpr std::size_t maxWindows = 8;
    static constexpr std::size_t maxEntries = 400'000;

private:
    using Counts = std::map<std::uint64_t, std::uint32_t>; ///< by customer
    std::map<std::uint64_t, std::map<std::uint64_t, Counts>> m_windows; ///< by host's life, by window
    std::size_t m_entries = 0;
};

} // namespace Rhubarbwind
