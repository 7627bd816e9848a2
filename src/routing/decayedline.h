#pragma once

// A straight line through noisy samples, where older samples count less: least squares with exponential
// forgetting (recursive least squares for one variable, in its sufficient-statistics form).
//
// A sample far above the line is cut to `outlierFactor` times the line before it is taken in, so that one
// stalled stream or one straggler does not bend what is held to be normal. Constant memory and time.

#include <algorithm>
#include <cstdint>

namespace Rhubarbwind
{

class DecayedLine
{
public:
    /** @param memory about how many samples count  @param slope taken until enough samples came, and the yardstick of its bounds */
    DecayedLine(double memory, double slope)
        : m_keep(1.0 - 1.0 / memory)
        , m_defaultSlope(slope)
    {
    }

    void observe(double x, double y)
    {
        const double cut = m_samples < enoughSamples ? y : std::min(y, outlierFactor * at(x));
        m_weight = m_weight * m_keep + 1;
        m_sumX = m_sumX * m_keep + x;
        m_sumY = m_sumY * m_keep + cut;
        m_sumXX = m_sumXX * m_keep + x * x;
        m_sumXY = m_sumXY * m_keep + x * cut;
        ++m_samples;
    }

    /** Samples seen; below enoughSamples the line is not to be trusted. */
    bool known() const
    {
        return m_samples >= enoughSamples;
    }

    /** Bounded to a factor of slopeBound around the default, so that samples without spread in x cannot make it absurd. */
    double slope() const
    {
        const double spread = m_weight * m_sumXX - m_sumX * m_sumX;
        if (!known() || spread <= leastRelativeSpread * m_weight * m_sumXX) {
            return m_defaultSlope;
        }
        const double fitted = (m_weight * m_sumXY - m_sumX * m_sumY) / spread;
        return std::clamp(fitted, m_defaultSlope / slopeBound, m_defaultSlope * slopeBound);
    }

    /** The expected y at x; never below a hundredth of the mean y, zero before the first sample. */
    double at(double x) const
    {
        if (m_weight <= 0) {
            return 0;
        }
        const double mean = m_sumY / m_weight;
        return std::max(mean + slope() * (x - m_sumX / m_weight), mean / 100);
    }

private:
    static constexpr std::uint64_t enoughSamples = 8;
    static constexpr double outlierFactor = 2.0;
    static constexpr double slopeBound = 5.0;
    static constexpr double leastRelativeSpread = 1e-3;

    double m_keep;
    double m_defaultSlope;
    double m_weight = 0;
    double m_sumX = 0;
    double m_sumY = 0;
    double m_sumXX = 0;
    double m_sumXY = 0;
    std::uint64_t m_samples = 0;
};

} // namespace Rhubarbwind
