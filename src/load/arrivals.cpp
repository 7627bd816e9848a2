#include "load/arrivals.h"

// Thinning (Lewis and Shedler, 1979): draw arrivals at the highest rate of the class and keep each with the
// chance rate(t) / highest rate. Simpler than one process for each stretch between burst edges, and exact.

#include "base/random.h"
#include "standins/answertext.h"

#include <algorithm>
#include <cmath>

namespace Rhubarbwind
{

namespace
{

/** Multiplier at a time, and the burst that an arrival owes itself to, if any. */
struct RateAt
{
    double factor = 1;
    const MixBurst *burst = nullptr;
};

class Planner
{
public:
    Planner(const Mix &mix, const ArrivalOptions &options)
        : m_mix(mix)
        , m_options(options)
        , m_random(options.seed)
    {
        for (const MixCustomer &customer : mix.customers) {
            m_weights.push_back(customer.weight);
        }
    }

    std::vector<PlannedRequest> plan()
    {
        for (std::size_t index = 0; index < m_mix.classes.size(); ++index) {
            planClass(index);
        }
        std::stable_sort(m_planned.begin(), m_planned.end(), [](const PlannedRequest &left, const PlannedRequest &right) { return left.at < right.at; });
        for (std::size_t number = 0; number < m_planned.size(); ++number) {
            finish(m_planned[number], number);
        }
        return std::move(m_planned);
    }

private:
    RateAt rateAt(const MixClass &rule, Duration at)
    {
        RateAt rate;
        for (const MixBurst &burst : m_mix.bursts) {
            const bool meant = burst.classes.empty() || std::find(burst.classes.begin(), burst.classes.end(), rule.name) != burst.classes.end();
            if (meant && at >= burst.at && at < burst.at + burst.lasts && burst.factor > rate.factor) {
                rate = {burst.factor, &burst};
            }
        }
        return rate;
    }

    double highestFactor(const MixClass &rule)
    {
        double highest = 1;
        for (const MixBurst &burst : m_mix.bursts) {
            highest = std::max(highest, rateAt(rule, burst.at).factor);
        }
        return highest;
    }

    void planClass(std::size_t index)
    {
        const MixClass &rule = m_mix.classes[index];
        const double highest = highestFactor(rule) * rule.ratePerSecond * m_options.rateFactor;
        if (highest <= 0) {
            return;
        }
        std::exponential_distribution<double> gap(highest);
        for (Duration at = fromSeconds(gap(m_random.engine())); at < m_options.duration; at += fromSeconds(gap(m_random.engine()))) {
            const RateAt rate = rateAt(rule, at);
            const double kept = m_random.uniform() * highest / (rule.ratePerSecond * m_options.rateFactor);
            if (kept >= rate.factor || m_planned.size() >= maxPlannedRequests) {
                continue;
            }
            PlannedRequest request;
            request.at = at;
            request.classIndex = index;
            // Of a burst's arrivals, the part above the ordinary rate is the burst's own.
            const bool added = kept >= 1 && rate.burst != nullptr && !rate.burst->customer.empty();
            request.customerIndex = added ? customerNamed(rate.burst->customer) : drawCustomer();
            m_planned.push_back(std::move(request));
        }
    }

    std::size_t customerNamed(const std::string &name) const
    {
        const auto found = std::find_if(m_mix.customers.begin(), m_mix.customers.end(), [&](const MixCustomer &customer) { return customer.name == name; });
        return static_cast<std::size_t>(found - m_mix.customers.begin());
    }

    std::size_t drawCustomer()
    {
        return std::discrete_distribution<std::size_t>(m_weights.begin(), m_weights.end())(m_random.engine());
    }

    std::uint32_t drawLength(const LengthRule &rule)
    {
        const double drawn = std::lognormal_distribution<double>(std::log(rule.median), rule.sigma)(m_random.engine());
        return static_cast<std::uint32_t>(std::clamp(drawn, 1.0, rule.most));
    }

    void finish(PlannedRequest &request, std::size_t number)
    {
        const MixClass &rule = m_mix.classes[request.classIndex];
        const std::string &customer = m_mix.customers[request.customerIndex].name;
        request.id = m_options.label + "-" + std::to_string(number);
        request.answerTokens = rule.kind == RequestKind::Stream ? drawLength(rule.answerTokens) : 1;
        request.doubled = m_random.uniform() < rule.doubleShare;
        if (m_random.uniform() < rule.leaveShare) {
            request.leaveAfter = std::max<std::uint32_t>(1, request.answerTokens / 2);
        }
        AnswerMarker marker;
        marker.tokens = request.answerTokens;
        marker.id = request.id;
        marker.reproducible = rule.reproducible;
        request.system = filler(rule.name + " for " + customer + ". ", rule.sharedPrefixBytes);
        request.user = filler(request.id + " asks. ", drawLength(rule.promptBytes)) + markerText(marker);
    }

    static std::string filler(const std::string &phrase, std::size_t bytes)
    {
        std::string text;
        text.reserve(bytes + phrase.size());
        while (text.size() < bytes) {
            text += phrase;
        }
        text.resize(bytes);
        return text;
    }

    const Mix &m_mix;
    const ArrivalOptions &m_options;
    Random m_random;
    std::vector<double> m_weights;
    std::vector<PlannedRequest> m_planned;
};

} // namespace

std::vector<PlannedRequest> planArrivals(const Mix &mix, const ArrivalOptions &options)
{
    return Planner(mix, options).plan();
}

} // namespace Rhubarbwind
