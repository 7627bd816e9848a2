#pragma once

// Limits what a host sends to all others about requests and prompt parts that crash endpoints, as the sender and as a relay. Pure decision logic; performs
// no I/O.
//
// Hosts that see the same crashes send the same entries, and each of their updates repeats the earlier ones. So each crash is sent once, and as long as the
// budget lasts: after a failure of many endpoints the updates would otherwise fill a relay's link for seconds. Hosts repeat what they know every second, so a
// crash that was dropped, or lost, still reaches the others. What clears a request or part is always sent, since without it the others would blame it.
//
// Memory: a key of 8 bytes for each of the last maxEntries entries. Cost: a hash lookup for each entry.

#include "base/tokenbucket.h"
#include "fleet/fleetmessage.h"

#include <cstddef>
#include <deque>
#include <unordered_set>

namespace Rhubarbwind
{

class CrashUpdateLimiter
{
public:
    explicit CrashUpdateLimiter(TimePoint now)
        : m_datagrams(datagramsPerSecond, burst, now)
    {
    }

    /** Removes the crashes that must not be sent. @param datagrams it takes to send the rest  @return false if nothing remains */
    bool admit(SuspectUpdate &update, std::size_t datagrams, TimePoint now);

    // Datagrams with crashes. They have at most 1.2 KB, so in no second these take more than a quarter of a link of 10 Mbit/s.
    static constexpr double datagramsPerSecond = 150;
    static constexpr double burst = 100;

private:
    static constexpr std::size_t maxEntries = 8192;

    TokenBucket m_datagrams;
    std::unordered_set<std::uint64_t> m_sent;
    std::deque<std::uint64_t> m_order; ///< of m_sent, oldest first
};

} // namespace Rhubarbwind
