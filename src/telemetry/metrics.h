#pragma once

// Metrics: counters, gauges and summaries by name and labels, printed in the published text exposition format.
//
// Values are kept in Boost.Accumulators: a summary holds count, sum and the 0.5, 0.95 and 0.99 quantiles by
// the P-square algorithm in constant memory. Bound: at most maxSeries series; further ones are dropped and
// counted in rhubarbwind_metrics_dropped_total, so that a caller-made label cannot grow memory.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxSeries = 20'000;

/** Label names and values, in the order they are to be printed. */
using Labels = std::vector<std::pair<std::string, std::string>>;

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Adds to a counter; names end in _total. */
    void add(std::string_view name, const Labels &labels, double amount = 1.0);
    void set(std::string_view name, const Labels &labels, double value);
    /** Records one observation of a summary; seconds for durations. */
    void observe(std::string_view name, const Labels &labels, double value);

    /** A counter's or gauge's value, or a summary's count; zero when the series does not exist. */
    double value(std::string_view name, const Labels &labels) const;

    std::string exposition() const;

private:
    struct Registry;
    std::unique_ptr<Registry> m_registry;
};

} // namespace Rhubarbwind
