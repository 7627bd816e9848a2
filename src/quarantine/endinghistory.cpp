#include "quarantine/endinghistory.h"

#include <algorithm>

namespace Rhubarbwind
{

void CrashHistory::ended(std::uint64_t incarnationKey, TimePoint at)
{
    if (std::ranges::find(m_seen, incarnationKey, &Seen::incarnationKey) != m_seen.end()) {
        return;
    }
    m_seen.push_back({incarnationKey, at});
    while (m_seen.size() > m_options.mostKept || at - m_seen.front().at > m_options.window) {
        m_seen.pop_front();
    }
}

double CrashHistory::chanceOf(const InterruptedRun &run, std::span<const std::uint64_t> own, TimePoint now) const
{
    // Where none has been seen for the whole window, the next may still come: half a one is expected.
    constexpr double unseen = 0.5;
    double ofLate = unseen;
    double meanwhile = 0;
    for (const Seen &seen : m_seen) {
        const bool isOwn = seen.incarnationKey == run.incarnationKey || std::ranges::find(own, seen.incarnationKey) != own.end();
        if (isOwn || now - seen.at > m_options.window) {
            continue;
        }
        ofLate += 1;
        const bool isMeanwhile = seen.at >= run.began - m_options.blur && seen.at <= run.ended + m_options.blur;
        meanwhile += isMeanwhile ? 1 : 0;
    }
    const double rate = ofLate / toSeconds(m_options.window);
    const double expected = std::max(meanwhile, rate * toSeconds(run.ended - run.began + m_options.blur));
    return std::min(1.0, expected / static_cast<double>(std::max<std::size_t>(run.endpoints, 1)));
}

} // namespace Rhubarbwind
