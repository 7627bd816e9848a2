#pragma once

// How many pieces of work one engine may run at once, found from the token times it delivers.
//
// A batch that is too large shows as inter-token time above its target; one that is too small wastes bought
// capacity. Each finished stream tells the batch it ran in (its mean over the stream) and the 95th
// percentile of its inter-token times, which is what targets are about: other callers' prompts are prefilled
// between tokens, and with means the limit settled where every twentieth gap was late. From them follows the
// batch at which the time would meet the target, if it were proportional; the limit moves a step towards that
// batch, about the whole way in one limit's worth of samples. The step is a gradient step; the endpoint's real line has a positive offset, so the
// proportional guess errs to the safe side of each move and the fixed point is exact.
//
// Why not additive increase with multiplicative decrease: see routingmeasure_test.cpp, which runs both on
// the same engine model; docs/MEASUREMENTS.md holds the figures.
//
// The first-token time is a second sign: what exceeds the prompt's own prefill was spent waiting inside the
// engine, where our order of classes has no say. A late first token lowers the limit like a slow token does,
// and an engine that reports such a queue sets a ceiling.
// A plain service has no tokens: its limit stays at its slots.
//
// Bounds: the limit stays in [1, mostPerSlot x slots]; constant memory and time.

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace Rhubarbwind
{

struct AdaptiveLimitOptions
{
    Duration interTokenTarget = 76ms;
    double aim = 0.95; ///< part of the target aimed at: the batch goes on moving while a stream runs
    Duration firstTokenSlack = 480ms; ///< first-token time beyond prefill that counts as a queue in the engine
    double mostPerSlot = 1.5; ///< upper bound relative to the nominal slots
};

/** One finished stream, as far as the limit is concerned. */
struct LimitSample
{
    double batch = 0; ///< mean work in flight at the endpoint while it ran, itself included
    Duration interToken{}; ///< 95th percentile, or the mean where that is not told; zero: none seen
    Duration firstTokenDelay{}; ///< first-token time without the prompt's own prefill
};

class AdaptiveLimit
{
public:
    AdaptiveLimit(const AdaptiveLimitOptions &options, std::uint32_t slots)
        : m_options(options)
        , m_slots(std::max<std::uint32_t>(slots, 1))
        , m_limit(m_slots)
        , m_ceiling(options.mostPerSlot * m_slots)
    {
    }

    void observe(const LimitSample &sample)
    {
        const double room = std::min(interTokenRoom(sample), firstTokenRoom(sample));
        const double wanted = sample.batch * std::clamp(room, leastRoom, mostRoom);
        const double goal = room < 1 ? std::min(m_limit, wanted) : std::max(m_limit, wanted);
        m_limit += (goal - m_limit) / std::max(m_limit, slowestStep);
        m_ceiling = std::min(m_ceiling + ceilingGrowth, m_options.mostPerSlot * m_slots);
        m_limit = std::clamp(m_limit, 1.0, m_ceiling);
    }

    /**
     * The engine reports work waiting inside it while it runs a full batch. More is of no use, however good the
     * token times are, and waits where our order of classes does not reach; without this, the token times would
     * draw the limit up again at once. A smaller batch with work waiting is only between two steps.
     */
    void engineQueues(std::uint32_t running)
    {
        if (running >= m_slots) {
            m_ceiling = std::min(m_ceiling, static_cast<double>(running));
            m_limit = std::min(m_limit, m_ceiling);
        }
    }

    std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(m_limit);
    }

private:
    // One sample never asks for less than half or more than double the batch it ran in.
    static constexpr double leastRoom = 0.5;
    static constexpr double mostRoom = 2.0;
    // At small limits a sample still moves the limit by no more than a quarter of the way.
    static constexpr double slowestStep = 4.0;
    // A ceiling is tried again by one place after a thousand samples: an engine may have been changed.
    static constexpr double ceilingGrowth = 0.001;

    double interTokenRoom(const LimitSample &sample) const
    {
        if (sample.interToken <= Duration::zero()) {
            return 1.0;
        }
        return m_options.aim * toSeconds(m_options.interTokenTarget) / toSeconds(sample.interToken);
    }

    double firstTokenRoom(const LimitSample &sample) const
    {
        if (sample.firstTokenDelay <= m_options.firstTokenSlack) {
            return mostRoom;
        }
        return toSeconds(m_options.firstTokenSlack) / toSeconds(sample.firstTokenDelay);
    }

    AdaptiveLimitOptions m_options;
    std::uint32_t m_slots;
    double m_limit;
    double m_ceiling; ///< the batch at which the engine was seen to queue
};

} // namespace Rhubarbwind
