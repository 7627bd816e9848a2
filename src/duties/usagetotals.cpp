#include "duties/usagetotals.h"

#include <algorithm>

namespace Rhubarbwind
{

void UsageTotals::receive(const SharedUsage &usage)
{
    if (m_windows.size() >= maxWindows && usage.window < m_windows.begin()->first) {
        return;
    }
    std::map<std::uint64_t, Counts> &incarnations = m_windows[usage.window];
    if (m_entries >= maxEntries && !incarnations.contains(usage.life)) {
        return;
    }
    Counts &counts = incarnations[usage.life];
    const std::size_t before = counts.size();
    for (const SharedCount &count : usage.counts) {
        std::uint32_t &known = counts[count.customer];
        known = std::max(known, count.begun);
    }
    m_entries += counts.size() - before;
    while (m_windows.size() > maxWindows) {
        for (const auto &[incarnation, removed] : m_windows.begin()->second) {
            m_entries -= removed.size();
        }
        m_windows.erase(m_windows.begin());
    }
}

std::map<std::uint64_t, std::uint64_t> UsageTotals::totals(std::uint64_t window) const
{
    std::map<std::uint64_t, std::uint64_t> sums;
    const auto found = m_windows.find(window);
    if (found == m_windows.end()) {
        return sums;
    }
    for (const auto &[incarnation, counts] : found->second) {
        for (const auto &[customer, begun] : counts) {
            sums[customer] += begun;
        }
    }
    return sums;
}

std::size_t UsageTotals::reporters(std::uint64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? 0 : found->second.size();
}

} // namespace Rhubarbwind
