#include "duties/usagebook.h"

#include <algorithm>

namespace Rhubarbwind
{

void UsageBook::heard(const SharedUsage &usage)
{
    if (m_windows.size() >= windowsKept && usage.window < m_windows.begin()->first) {
        return;
    }
    std::map<std::uint64_t, Counts> &lives = m_windows[usage.window];
    if (m_entries >= mostEntries && !lives.contains(usage.incarnation)) {
        return;
    }
    Counts &counts = lives[usage.incarnation];
    const std::size_t before = counts.size();
    for (const SharedCount &count : usage.counts) {
        std::uint32_t &known = counts[count.customer];
        known = std::max(known, count.begun);
    }
    m_entries += counts.size() - before;
    while (m_windows.size() > windowsKept) {
        for (const auto &[incarnation, gone] : m_windows.begin()->second) {
            m_entries -= gone.size();
        }
        m_windows.erase(m_windows.begin());
    }
}

std::map<std::uint64_t, std::uint64_t> UsageBook::totals(std::uint64_t window) const
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

std::size_t UsageBook::tellers(std::uint64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? 0 : found->second.size();
}

} // namespace Rhubarbwind
