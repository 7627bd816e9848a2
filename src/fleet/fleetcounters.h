#pragma once

// What a host's part in the fleet has sent and heard since its start.

#include <cstdint>

namespace Rhubarbwind
{

struct FleetCounters
{
    std::uint64_t datagramsIn = 0;
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t digestsOut = 0; ///< made here, as a relay
    std::uint64_t refused = 0; ///< untagged, malformed or out of bounds
    std::uint64_t unsent = 0;
    std::uint64_t changeRequestsOut = 0; ///< for changes that peers know
    std::uint64_t changeRequestsAnswered = 0;
};

} // namespace Rhubarbwind
