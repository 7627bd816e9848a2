#include "duties/usagecounter.h"

#include <xxhash.h>

namespace Rhubarbwind
{

std::uint64_t customerKey(const CustomerId &customer)
{
    return XXH3_64bits(customer.text().data(), customer.text().size());
}

void UsageCounter::began(const CustomerId &customer, std::uint64_t window)
{
    std::map<std::uint64_t, std::uint32_t> &counts = m_windows[window];
    if (m_windows.size() > maxWindows) {
        m_windows.erase(m_windows.begin());
    }
    const std::uint64_t key = customerKey(customer);
    if (!m_windows.contains(window) || (counts.size() >= maxCustomers && !counts.contains(key))) {
        ++m_uncounted;
        return;
    }
    ++counts[key];
}

std::vector<SharedUsage> UsageCounter::updates(std::uint64_t fromWindow) const
{
    std::vector<SharedUsage> parts;
    for (auto window = m_windows.lower_bound(fromWindow); window != m_windows.end(); ++window) {
        parts.push_back({m_life, window->first, {}});
        for (const auto &[customer, begun] : window->second) {
            if (parts.back().counts.size() == maxUsageCounts) {
                parts.push_back({m_life, window->first, {}});
            }
            parts.back().counts.push_back({customer, begun});
        }
    }
    return parts;
}

} // namespace Rhubarbwind
