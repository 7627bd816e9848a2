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
