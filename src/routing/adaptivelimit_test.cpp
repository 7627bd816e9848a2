#include "routing/adaptivelimit.h"

#include "base/random.h"

#include <cmath>
#include <cstdio>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

/** Every step takes `idle + rise x batch` and yields one token for each stream of the batch. */
struct StepTime
{
    Duration idle = 20ms;
    Duration rise = 3ms;

    double batchAt(Duration interToken) const
    {
        return toSeconds(interToken - idle) / toSeconds(rise);
    }
};

struct RunFigures
{
    double tokensPerSecond = 0;
    double lateTokens = 0; ///< fraction of the tokens whose inter-token time exceeded the target
    double settledAfter = -1; ///< seconds until the limit stayed within a fifth of the best one
};

/** An engine that always has as much work as the limit admits; lengths are log-normal with a median of 150 tokens. */
template <class Limit>
class BusyEngine
{
public:
    BusyEngine(Limit limit, std::uint64_t seed)
        : m_limit(std::move(limit))
        , m_random(seed)
    {
    }

    RunFigures run(const StepTime &step, Duration length, Duration target, double best)
    {
        RunFigures figures;
        double elapsed = 0;
        double tokens = 0;
        double late = 0;
        while (elapsed < toSeconds(length)) {
            while (m_streams.size() < m_limit.limit()) {
                m_streams.push_back({std::lognormal_distribution<double>(5.0, 1.0)(m_random.engine()) + 2});
            }
            const double batch = static_cast<double>(m_streams.size());
            const double noise = std::normal_distribution<double>(1.0, 0.08)(m_random.engine());
            const double took = (toSeconds(step.idle) + toSeconds(step.rise) * batch) * std::max(noise, 0.5);
            elapsed += took;
            tokens += batch;
            late += took > toSeconds(target) ? batch : 0;
            advance(batch, took);
            const bool near = std::abs(m_limit.limit() - best) <= std::max(1.0, best / 5);
            figures.settledAfter = !near ? -1 : (figures.settledAfter < 0 ? elapsed : figures.settledAfter);
        }
        figures.tokensPerSecond = tokens / elapsed;
        figures.lateTokens = late / tokens;
        return figures;
    }

    std::uint32_t limit() const
    {
        return m_limit.limit();
    }

private:
    struct Stream
    {
        double tokensRemaining = 0;
        double tokens = 0;
        double seconds = 0;
        double batchSum = 0;
    };

    void advance(double batch, double took)
    {
        for (Stream &stream : m_streams) {
            stream.tokensRemaining -= 1;
            stream.tokens += 1;
            stream.seconds += took;
            stream.batchSum += batch;
            if (stream.tokensRemaining <= 0) {
                m_limit.observe({stream.batchSum / stream.tokens, fromSeconds(stream.seconds / stream.tokens), {}});
            }
        }
        std::erase_if(m_streams, [](const Stream &stream) { return stream.tokensRemaining <= 0; });
    }

    Limit m_limit;
    Random m_random;
    std::vector<Stream> m_streams;
};

/** The alternative: additive increase by one per `limit` good samples, decrease by a tenth at a late one, at most once per `limit` samples. */
class AdditiveLimit
{
public:
    AdditiveLimit(const AdaptiveLimitOptions &options, std::uint32_t slots)
        : m_options(options)
        , m_slots(slots)
        , m_limit(slots)
    {
    }

    void observe(const LimitSample &sample)
    {
        m_sinceCut += 1;
        if (sample.interToken <= fromSeconds(m_options.aim * toSeconds(m_options.interTokenTarget))) {
            m_limit = std::min(m_limit + 1 / m_limit, m_options.maxPerSlot * m_slots);
        } else if (m_sinceCut >= m_limit) {
            m_limit = std::max(1.0, m_limit * 0.9);
            m_sinceCut = 0;
        }
    }

    std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(m_limit);
    }

private:
    AdaptiveLimitOptions m_options;
    double m_slots;
    double m_limit;
    double m_sinceCut = 0;
};

template <class Limit>
void printRow(const char *policy, const char *engine, const StepTime &step)
{
    const AdaptiveLimitOptions options;
    const Duration aim = fromSeconds(options.aim * toSeconds(options.interTokenTarget));
    const StepTime hurt{step.idle * 2, step.rise * 2};
    const double best = std::clamp(step.batchAt(aim), 1.0, 24.0);
    const double bestHurt = std::clamp(hurt.batchAt(aim), 1.0, 24.0);
    BusyEngine<Limit> busy(Limit(options, 16), 7);
    busy.run(step, 300s, options.interTokenTarget, best);
    const RunFigures steady = busy.run(step, 600s, options.interTokenTarget, best);
    const RunFigures slowed = busy.run(hurt, 600s, options.interTokenTarget, bestHurt);
    const RunFigures healed = busy.run(step, 600s, options.interTokenTarget, best);
    std::printf("| %-8s | %-10s | %4.1f | %5.0f | %4.1f%% | %5.0f | %5.0f |\n",
                policy,
                engine,
                best,
                steady.tokensPerSecond,
                100 * steady.lateTokens,
                slowed.settledAfter,
                healed.settledAfter);
}

} // namespace

// Guards against tokens later than the target: the engine gets a batch that its hardware can't sustain, as large as its nominal slots, and every token of
// every stream is late. Without feedback all later work joins the same batch; with it the batch shrinks to what the target allows.
TEST_CASE("the limit settles where the engine meets the target, from above and from below")
{
    const AdaptiveLimitOptions options;
    const Duration aim = fromSeconds(options.aim * toSeconds(options.interTokenTarget));
    for (const Duration rise : {2500us, 3500us, 6000us, 12000us}) {
        const StepTime step{20ms, rise};
        BusyEngine<AdaptiveLimit> busy(AdaptiveLimit(options, 16), 11);
        busy.run(step, 600s, options.interTokenTarget, 0);
        const double best = std::min(step.batchAt(aim), options.maxPerSlot * 16);
        CAPTURE(toSeconds(rise), best, busy.limit());
        REQUIRE(busy.limit() >= 0.75 * best - 1);
        REQUIRE(busy.limit() <= 1.25 * best + 1);
    }
}

// Guards against late first tokens while token times are good: the engine queues work internally, where the order of classes does not apply. The limit must
// fall, or the queue stays inside the engine.
TEST_CASE("first tokens late beyond the prompt's own prefill lower the limit")
{
    AdaptiveLimit limit(AdaptiveLimitOptions{}, 16);
    for (int i = 0; i < 64; ++i) {
        limit.observe({16, 40ms, 1500ms});
    }
    REQUIRE(limit.limit() < 12);
}

TEST_CASE("the limit stays within its bounds and moves by bounded steps")
{
    rc::prop("any samples", [] {
        const AdaptiveLimitOptions options;
        const std::uint32_t slots = *rc::gen::inRange<std::uint32_t>(1, 65);
        AdaptiveLimit limit(options, slots);
        for (int i = 0; i < 50; ++i) {
            const std::uint32_t before = limit.limit();
            limit.observe({*rc::gen::inRange(0, 200) / 2.0, Duration(*rc::gen::inRange<std::int64_t>(0, 2'000'000'000)), 1ms * *rc::gen::inRange(0, 9000)});
            RC_ASSERT(limit.limit() >= 1U);
            RC_ASSERT(limit.limit() <= options.maxPerSlot * slots);
            // A sample aims at no more than double a batch of 100, and covers 1 / limit of the distance.
            RC_ASSERT((limit.limit() + 1 >= before - before / 4 && limit.limit() <= before + 200 / before + 1));
        }
    });
}

// Guards against callers of a higher tier waiting behind lower ones inside an engine whose slots are full while token times are good. Good token times raise
// the limit, then the engine reports waiting work. Without a ceiling the next good samples would raise the limit again at once.
TEST_CASE("an engine that queues bounds the limit to what it runs")
{
    AdaptiveLimit limit(AdaptiveLimitOptions{}, 16);
    const auto observeGood = [&limit](int samples) {
        for (int i = 0; i < samples; ++i) {
            limit.observe({24, 30ms, 0ms});
        }
    };
    observeGood(400);
    REQUIRE(limit.limit() == 24);
    limit.reportEngineQueue(18);
    REQUIRE(limit.limit() == 18);
    limit.reportEngineQueue(3);
    REQUIRE(limit.limit() == 18);
    observeGood(400);
    REQUIRE(limit.limit() == 18);
    observeGood(2000);
    REQUIRE(limit.limit() == 20);
}

TEST_CASE("measure: gradient against additive limit", "[.measure]")
{
    std::printf("| policy   | engine     | best | tok/s | late  | settles s, slowed | healed |\n");
    const struct
    {
        const char *name;
        StepTime step;
    } engines[] = {{"even", {20ms, 3000us}}, {"steep", {10ms, 6000us}}, {"roomy", {20ms, 2200us}}, {"flat", {50ms, 1200us}}};
    for (const auto &engine : engines) {
        printRow<AdaptiveLimit>("gradient", engine.name, engine.step);
        printRow<AdditiveLimit>("additive", engine.name, engine.step);
    }
}
