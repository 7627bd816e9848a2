#include "quarantine/endinghistory.h"

#include <algorithm>

namespace Rhubarbwind
{

void CrashHistory::ended(std::uint64_t incarnationKey, TimePoint at)
{
    if (std::ranges::find(m_seen, incarnationKey, &SeenCrash::incarnationKey) != m_seen.end()) {
        return;
    }
    m_seen.push_back({incarnationKey, at});
    while (m_seen.size() > m_options.maxEntries || at - m_seen.front().at > m_options.window) {
        m_seen.pop_front();
    }
}

double CrashHistory::chanceOf(const InterruptedRun &run, std::span<const std::uint64_t> own, TimePoint now) const
{
    // If none was seen in the whole window, half a crash is expected, since one may still come.
    constexpr double expectedUnseen = 0.5;
    double recent = expectedUnseen;
    double concurrent = 0;
    for (const SeenCrash &seen : m_seen) {
        const bool isOwn = seen.incarnationKey == run.incarnationKey || std::ranges::find(own, seen.incarnationKey) != own.end();
        if (isOwn || now - seen.at > m_options.window) {
            continue;
        }
        recent += 1;
        const bool isConcurrent = seen.at >= run.began - m_options.timeTolerance && seen.at <= run.ended + m_options.timeTolerance;
        concurrent += isConcurrent ? 1 : 0;
    }
    const double rate = recent / toSeconds(m_options.window);
    const double expected = std::max(concurrent, rate * toSeconds(run.ended - run.began + m_options.timeTolerance));
    return std::min(1.0, expected / static_cast<double>(std::max<std::size_t>(run.endpoints, 1)));
}

} // namespace Rhubarbwind
