#pragma once

// The time of day as the fleet has it. A decision without I/O.
//
// Any host's time of day may jump by seconds. Each beacon tells its sender's; the median of all, own included, is right while
// fewer than half of them are wrong. Between beacons the steady clock carries it on, which jumps nowhere but stands still in a suspended
// host: there the next beacons put it right.
//
// Limits: datagrams' one-way time is not made good (milliseconds); a host that hears nobody has its own time.

#include "base/time.h"
#include "wire/peernetwork.h"

#include <cstdint>
#include <map>

namespace Rhubarbwind
{

class FleetClock
{
public:
    /** @param wallMs what the peer told, Unix milliseconds; zero: it does not tell */
    void heard(const PeerAddress &peer, std::int64_t wallMs, TimePoint now);
    /** Unix milliseconds. @param ownWallMs this host's own time of day now */
    std::int64_t milliseconds(std::int64_t ownWallMs, TimePoint now) const;

private:
    struct Told
    {
        std::int64_t offsetMs = 0; ///< of the time of day against the steady clock
        TimePoint at{};
    };

    std::map<PeerAddress, Told> m_told; ///< bounded by mostPeers
};

} // namespace Rhubarbwind
