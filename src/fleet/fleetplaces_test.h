#pragma once

// Hosts of a fleet that is not there, for tests of decisions.

#include "base/random.h"
#include "base/time.h"
#include "wire/peernetwork.h"

#include <string>
#include <string_view>

namespace Rhubarbwind::FleetTest
{

inline const TimePoint start = TimePoint(1h);
inline constexpr std::string_view secret = "a secret of the fleet";

inline PeerAddress placeOf(int number)
{
    return {"10.0.0." + std::to_string(number), 7300};
}

inline constexpr int largeFleetDomains = 5;

/** Of a fleet of up to thousands, in as many failure domains. */
inline PeerAddress largePlace(int number)
{
    return {"10." + std::to_string(number % largeFleetDomains) + "." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250), 7300};
}

inline std::string largeDomain(int number)
{
    return "domain-" + std::to_string(number % largeFleetDomains);
}

/** Content that can't be made smaller. */
inline std::string incompressible(std::size_t size, std::uint64_t seed)
{
    Random random(seed);
    std::string text(size, 'x');
    for (char &letter : text) {
        letter = static_cast<char>(random.below(256));
    }
    return text;
}

} // namespace Rhubarbwind::FleetTest
