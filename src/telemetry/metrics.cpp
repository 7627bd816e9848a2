// Series live in ordered maps keyed by name, then by their printed labels, so the exposition is sorted and
// each family's TYPE line is printed once.

#include "telemetry/metrics.h"

#include <array>
#include <map>
#include <sstream>
#include <variant>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace Rhubarbwind
{

namespace
{

namespace Acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};
// P-square keeps 2 * quantiles + 3 markers and reads as zero until each has a value.
constexpr std::size_t leastForQuantiles = 2 * quantiles.size() + 3;
constexpr std::string_view droppedName = "rhubarbwind_metrics_dropped_total";

using SumSet = Acc::accumulator_set<double, Acc::stats<Acc::tag::sum>>;
using SummarySet = Acc::accumulator_set<double, Acc::stats<Acc::tag::count, Acc::tag::sum, Acc::tag::extended_p_square_quantile>>;

struct Counter
{
    SumSet sum;
};
struct Gauge
{
    double value = 0;
};
struct Summary
{
    SummarySet set{Acc::extended_p_square_probabilities = quantiles};
};
using Series = std::variant<Counter, Gauge, Summary>;

std::string escaped(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (c == '\\' || c == '"') {
            out.push_back('\\');
            out.push_back(c);
        } else if (c == '\n') {
            out.append("\\n");
        } else {
            out.push_back(c);
        }
    }
    return out;
}

std::string printedLabels(const Labels &labels)
{
    std::string out;
    for (const Labels::value_type &label : labels) {
        if (!out.empty()) {
            out.push_back(',');
        }
        out.append(label.first).append("=\"").append(escaped(label.second)).append("\"");
    }
    return out;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string_view typeName(const Series &series)
{
    static constexpr std::array<std::string_view, 3> names{"counter", "gauge", "summary"};
    return names.at(series.index());
}

void print(std::ostream &out, const std::string &name, const std::string &labels, const Series &series)
{
    if (const Counter *counter = std::get_if<Counter>(&series)) {
        out << name << braced(labels) << ' ' << Acc::sum(counter->sum) << '\n';
        return;
    }
    if (const Gauge *gauge = std::get_if<Gauge>(&series)) {
        out << name << braced(labels) << ' ' << gauge->value << '\n';
        return;
    }
    const SummarySet &set = std::get<Summary>(series).set;
    const std::string prefix = labels.empty() ? "" : labels + ",";
    const bool enough = Acc::count(set) >= leastForQuantiles;
    for (const double quantile : quantiles) {
        if (!enough) {
            break;
        }
        out << name << '{' << prefix << "quantile=\"" << quantile << "\"} " << Acc::quantile(set, Acc::quantile_probability = quantile) << '\n';
    }
    out << name << "_sum" << braced(labels) << ' ' << Acc::sum(set) << '\n';
    out << name << "_count" << braced(labels) << ' ' << Acc::count(set) << '\n';
}

} // namespace

struct Metrics::Registry
{
    std::map<std::string, std::map<std::string, Series>, std::less<>> families;
    std::size_t seriesCount = 0;
    double dropped = 0;

    /** The series of that kind, made on first use; null when the bound is reached or the name is of another kind. */
    template <class Kind>
    Kind *find(std::string_view name, const Labels &labels)
    {
        std::map<std::string, Series> &family = families.try_emplace(std::string(name)).first->second;
        const std::string key = printedLabels(labels);
        auto found = family.find(key);
        if (found == family.end()) {
            if (seriesCount >= maxSeries) {
                ++dropped;
                return nullptr;
            }
            ++seriesCount;
            found = family.emplace(key, Kind()).first;
        }
        return std::get_if<Kind>(&found->second);
    }
};

Metrics::Metrics()
    : m_registry(std::make_unique<Registry>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, const Labels &labels, double amount)
{
    if (Counter *counter = m_registry->find<Counter>(name, labels)) {
        counter->sum(amount);
    }
}

void Metrics::set(std::string_view name, const Labels &labels, double value)
{
    if (Gauge *gauge = m_registry->find<Gauge>(name, labels)) {
        gauge->value = value;
    }
}

void Metrics::observe(std::string_view name, const Labels &labels, double value)
{
    if (Summary *summary = m_registry->find<Summary>(name, labels)) {
        summary->set(value);
    }
}

double Metrics::value(std::string_view name, const Labels &labels) const
{
    const auto family = m_registry->families.find(name);
    if (family == m_registry->families.end()) {
        return 0;
    }
    const auto found = family->second.find(printedLabels(labels));
    if (found == family->second.end()) {
        return 0;
    }
    if (const Counter *counter = std::get_if<Counter>(&found->second)) {
        return Acc::sum(counter->sum);
    }
    if (const Gauge *gauge = std::get_if<Gauge>(&found->second)) {
        return gauge->value;
    }
    return static_cast<double>(Acc::count(std::get<Summary>(found->second).set));
}

std::string Metrics::exposition() const
{
    std::ostringstream out;
    for (const auto &[name, family] : m_registry->families) {
        if (family.empty()) {
            continue;
        }
        out << "# TYPE " << name << ' ' << typeName(family.begin()->second) << '\n';
        for (const auto &[labels, series] : family) {
            print(out, name, labels, series);
        }
    }
    out << "# TYPE " << droppedName << " counter\n" << droppedName << ' ' << m_registry->dropped << '\n';
    return out.str();
}

} // namespace Rhubarbwind
