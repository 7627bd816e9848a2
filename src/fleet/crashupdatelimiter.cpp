#include "fleet/crashupdatelimiter.h"

#include <vector>

namespace Rhubarbwind
{

namespace
{

constexpr std::uint64_t oddFactor = 0x9e3779b97f4a7c15;

std::uint64_t keyOf(const SharedCrash &crash)
{
    return (crash.identityLow * oddFactor + crash.incarnationKey) * oddFactor;
}

/** Differs for a later report that changes what the crash proves. */
std::uint64_t keyOf(const SharedPartCrash &crash)
{
    const std::uint64_t state = (crash.chance >= 1 ? 2U : 0U) + (crash.isEarly ? 1U : 0U);
    return ((crash.identityLow * oddFactor + crash.incarnationKey) * oddFactor + crash.customer) * oddFactor + state;
}

} // namespace

bool CrashUpdateLimiter::admit(SuspectUpdate &update, std::size_t datagrams, TimePoint now)
{
    std::vector<std::uint64_t> keys;
    const auto isSent = [&](const auto &crash) {
        const std::uint64_t key = keyOf(crash);
        const bool isKnown = m_sent.contains(key);
        if (!isKnown) {
            keys.push_back(key);
        }
        return isKnown;
    };
    std::erase_if(update.crashes, isSent);
    std::erase_if(update.partCrashes, isSent);
    if (!keys.empty() && !m_datagrams.tryTake(static_cast<double>(datagrams), now)) {
        update.crashes.clear();
        update.partCrashes.clear();
        keys.clear();
    }
    for (const std::uint64_t key : keys) {
        if (m_sent.insert(key).second) {
            m_order.push_back(key);
        }
    }
    while (m_order.size() > maxEntries) {
        m_sent.erase(m_order.front());
        m_order.pop_front();
    }
    return !update.empty();
}

} // namespace Rhubarbwind
