#include "fleet/fleetclock.h"

#include <algorithm>
#include <vector>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t mostPeers = 2048;
// Several intervals of beacons from far failure domains.
constexpr Duration longestSilence = 10s;

std::int64_t steadyMs(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

} // namespace

void FleetClock::heard(const PeerAddress &peer, std::int64_t wallMs, TimePoint now)
{
    if (wallMs <= 0) {
        return;
    }
    if (m_told.size() >= mostPeers && !m_told.contains(peer)) {
        std::erase_if(m_told, [now](const auto &entry) { return now - entry.second.at > longestSilence; });
    }
    if (m_told.size() < mostPeers || m_told.contains(peer)) {
        m_told[peer] = {wallMs - steadyMs(now), now};
    }
}

std::int64_t FleetClock::milliseconds(std::int64_t ownWallMs, TimePoint now) const
{
    std::vector<std::int64_t> offsets{ownWallMs - steadyMs(now)};
    for (const auto &[peer, told] : m_told) {
        if (now - told.at <= longestSilence) {
            offsets.push_back(told.offsetMs);
        }
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    return steadyMs(now) + *middle;
}

} // namespace Rhubarbwind
