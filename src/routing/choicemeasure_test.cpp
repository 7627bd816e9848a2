// One experiment in virtual time: how long callers wait for the first token when 12 engines of 16 slots, of which one becomes a straggler, are chosen by
// the pool's score, by least load on lagged reports at 8 hosts that do not know of each other, or in turn. The engine model is the smallest one that has
// the effects under test: a batch whose step grows with its size, prefill that delays the batch, a prefix cache, and a queue of its own beyond its slots.

#include "base/random.h"
#include "routing/endpointpool.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <list>
#include <vector>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

constexpr std::size_t engineCount = 12;
constexpr std::size_t hostCount = 8;
constexpr std::uint32_t engineSlots = 16;
constexpr std::uint32_t sharedTokens = 2048; ///< of a prompt, the same for all requests of one kind
constexpr std::uint32_t blockTokens = 64;
constexpr std::size_t promptKinds = 40;
constexpr std::size_t cachedKinds = 12; ///< capacity of one engine's cache
constexpr double idleStep = 0.020; ///< seconds
constexpr double stepRise = 0.003; ///< seconds per stream of the batch
constexpr double prefillToken = 0.0002; ///< seconds
constexpr std::uint32_t prefillChunk = 512; ///< tokens a step
constexpr double reportInterval = 1.0; ///< seconds between load reports
constexpr double interTokenTarget = 0.076; ///< seconds
constexpr double runLength = 900; ///< seconds
constexpr double stragglerAt = 120; ///< seconds
constexpr double stragglerFactor = 3;

struct Work
{
    double arrived = 0;
    double sent = 0;
    double firstToken = -1;
    std::size_t kind = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t toCompute = 0; ///< prompt tokens that remain to be prefilled
    std::uint32_t reused = 0;
    std::uint32_t length = 0;
    std::uint32_t done = 0;
};

class ModelEngine
{
public:
    void send(double now, Work work)
    {
        work.sent = now;
        m_queue.push_back(work);
        if (!busy()) {
            begin(now);
        }
    }
    bool busy() const
    {
        return !m_running.empty();
    }
    double stepEnd() const
    {
        return m_stepEnd;
    }
    std::size_t load() const
    {
        return m_running.size() + m_queue.size();
    }
    void slowDown(double factor)
    {
        m_factor = factor;
    }

    /** Ends the step that is due. @return the finished work */
    std::vector<Work> step(double now)
    {
        std::vector<Work> finished;
        std::uint32_t chunk = prefillChunk;
        for (Work &work : m_running) {
            const std::uint32_t computed = std::min(chunk, work.toCompute);
            chunk -= computed;
            work.toCompute -= computed;
            if (work.toCompute > 0) {
                continue;
            }
            work.firstToken = work.done == 0 ? now : work.firstToken;
            if (++work.done >= work.length) {
                finished.push_back(work);
            }
        }
        std::erase_if(m_running, [](const Work &work) { return work.done >= work.length; });
        begin(now);
        return finished;
    }

private:
    void begin(double now)
    {
        while (m_running.size() < engineSlots && !m_queue.empty()) {
            Work work = m_queue.front();
            m_queue.pop_front();
            work.reused = useCache(work.kind) ? sharedTokens : 0;
            work.toCompute = work.promptTokens - work.reused;
            m_running.push_back(work);
        }
        std::uint32_t compute = 0;
        for (const Work &work : m_running) {
            compute += work.toCompute;
        }
        const double prefill = prefillToken * std::min(compute, prefillChunk);
        m_stepEnd = now + m_factor * (idleStep + stepRise * static_cast<double>(m_running.size()) + prefill);
    }

    bool useCache(std::size_t kind)
    {
        const auto found = std::find(m_cache.begin(), m_cache.end(), kind);
        const bool hit = found != m_cache.end();
        if (hit) {
            m_cache.erase(found);
        }
        m_cache.push_front(kind);
        if (m_cache.size() > cachedKinds) {
            m_cache.pop_back();
        }
        return hit;
    }

    std::vector<Work> m_running;
    std::deque<Work> m_queue;
    std::list<std::size_t> m_cache;
    double m_factor = 1;
    double m_stepEnd = 0;
};

using Engines = std::vector<ModelEngine>;

std::size_t leastLoaded(const std::vector<double> &loads, Random &random)
{
    const double least = *std::min_element(loads.begin(), loads.end());
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        if (loads[i] <= least) {
            best.push_back(i);
        }
    }
    return best[random.below(best.size())];
}

/** Each host sends at once, to the engine with the least load by the last report and the host's own sends since. */
class ReportChoice
{
public:
    void arrive(double now, const Work &work, Engines &engines)
    {
        refresh(now, engines);
        std::vector<double> &seen = m_seen[m_random.below(hostCount)];
        const std::size_t chosen = leastLoaded(seen, m_random);
        seen[chosen] += 1;
        engines[chosen].send(now, work);
    }
    void finish(double, std::size_t, const Work &, Engines &)
    {
    }

private:
    void refresh(double now, const Engines &engines)
    {
        if (now < m_nextReport) {
            return;
        }
        m_nextReport = now + reportInterval;
        std::vector<double> loads;
        for (const ModelEngine &engine : engines) {
            loads.push_back(static_cast<double>(engine.load()));
        }
        m_seen.assign(hostCount, loads);
    }

    Random m_random{3};
    double m_nextReport = 0;
    std::vector<std::vector<double>> m_seen;
};

class TurnChoice
{
public:
    void arrive(double now, const Work &work, Engines &engines)
    {
        engines[m_reservationCount++ % engines.size()].send(now, work);
    }
    void finish(double, std::size_t, const Work &, Engines &)
    {
    }

private:
    std::size_t m_reservationCount = 0;
};

/** One queue in order of arrival in front of the pool. */
class PoolChoice
{
public:
    explicit PoolChoice(const EndpointPoolOptions &options = {})
        : m_pool(options, TimePoint(1h))
    {
        std::vector<Endpoint> listed;
        for (std::size_t i = 0; i < engineCount; ++i) {
            Endpoint endpoint;
            endpoint.id = idOf(i);
            endpoint.slots = engineSlots;
            listed.push_back(endpoint);
        }
        m_pool.update(TimePoint(1h), listed);
    }

    void arrive(double now, const Work &work, Engines &engines)
    {
        m_waiting.push_back(work);
        serve(now, engines);
    }

    void finish(double now, std::size_t engine, const Work &work, Engines &engines)
    {
        ServiceSample sample;
        sample.firstToken = fromSeconds(work.firstToken - work.sent);
        sample.meanInterToken = work.length < 2 ? Duration::zero() : fromSeconds((now - work.firstToken) / (work.length - 1));
        sample.tokens = work.length;
        sample.reusedPromptTokens = work.reused;
        m_pool.free(at(now), {idOf(engine), work.promptTokens, estimate}, sample);
        serve(now, engines);
    }

private:
    static constexpr std::uint32_t estimate = 200;

    static EndpointId idOf(std::size_t index)
    {
        return EndpointId("e" + std::to_string(100 + index));
    }
    static TimePoint at(double seconds)
    {
        return TimePoint(1h) + fromSeconds(seconds);
    }

    void serve(double now, Engines &engines)
    {
        while (!m_waiting.empty()) {
            const Work work = m_waiting.front();
            std::vector<std::uint64_t> digests;
            for (std::uint64_t block = 0; block < sharedTokens / blockTokens; ++block) {
                digests.push_back(work.kind * 1000 + block + 1);
            }
            EndpointQuery query;
            query.promptTokens = work.promptTokens;
            query.estimatedTokens = estimate;
            query.prefixDigests = digests;
            const std::optional<EndpointChoice> choice = m_pool.choose(at(now), query);
            if (!choice) {
                return;
            }
            m_waiting.pop_front();
            m_pool.reserve(at(now), {choice->endpoint, work.promptTokens, estimate}, digests);
            engines[std::stoul(choice->endpoint.text().substr(1)) - 100].send(now, work);
        }
    }

    EndpointPool m_pool;
    std::deque<Work> m_waiting;
};

class Arrivals
{
public:
    explicit Arrivals(double rate)
        : m_rate(rate)
    {
        for (std::size_t kind = 0; kind < promptKinds; ++kind) {
            m_weights.push_back(1.0 / static_cast<double>(kind + 1));
        }
    }

    Work next()
    {
        m_now += std::exponential_distribution<double>(m_rate)(m_random.engine());
        Work work;
        work.arrived = m_now;
        work.kind = std::discrete_distribution<std::size_t>(m_weights.begin(), m_weights.end())(m_random.engine());
        work.promptTokens = sharedTokens + 200 + static_cast<std::uint32_t>(m_random.below(200));
        work.length = 2 + static_cast<std::uint32_t>(std::min(2000.0, std::lognormal_distribution<double>(5.0, 0.8)(m_random.engine())));
        return work;
    }

private:
    double m_rate;
    Random m_random{42};
    double m_now = 0;
    std::vector<double> m_weights;
};

struct Sums
{
    std::vector<double> firstTokens; ///< seconds from arrival, for work that arrived after the slowdown began
    double reused = 0;
    double tokens = 0;
    double tokensInTime = 0; ///< of streams whose mean inter-token time met the target
};

template <class Choice>
Sums run(Choice choice, double rate, double length)
{
    Engines engines(engineCount);
    Arrivals arrivals(rate);
    Work next = arrivals.next();
    Sums sums;
    double now = 0;
    while (now < length) {
        std::size_t due = engineCount;
        now = next.arrived;
        for (std::size_t i = 0; i < engineCount; ++i) {
            if (engines[i].busy() && engines[i].stepEnd() < now) {
                now = engines[i].stepEnd();
                due = i;
            }
        }
        if (now >= stragglerAt) {
            engines[0].slowDown(stragglerFactor);
        }
        if (due == engineCount) {
            choice.arrive(now, next, engines);
            next = arrivals.next();
            continue;
        }
        for (const Work &work : engines[due].step(now)) {
            choice.finish(now, due, work, engines);
            if (work.arrived >= stragglerAt) {
                sums.firstTokens.push_back(work.firstToken - work.arrived);
                sums.reused += work.reused > 0 ? 1 : 0;
                sums.tokens += work.length;
                sums.tokensInTime += now - work.firstToken <= interTokenTarget * (work.length - 1) ? work.length : 0;
            }
        }
    }
    return sums;
}

template <class Choice>
void printRow(const char *name, double rate, Choice choice)
{
    Sums sums = run(std::move(choice), rate, runLength);
    std::sort(sums.firstTokens.begin(), sums.firstTokens.end());
    const double done = static_cast<double>(sums.firstTokens.size());
    const auto quantile = [&sums, done](double part) { return 1000 * sums.firstTokens[static_cast<std::size_t>(part * (done - 1))]; };
    const auto within = std::upper_bound(sums.firstTokens.begin(), sums.firstTokens.end(), 0.96) - sums.firstTokens.begin();
    std::printf("| %4.1f | %-24s | %6.0f | %7.0f | %5.1f%% | %5.1f%% | %6.0f | %6.0f |\n",
                rate,
                name,
                quantile(0.5),
                quantile(0.95),
                100 * static_cast<double>(within) / done,
                100 * sums.reused / done,
                sums.tokens / (runLength - stragglerAt),
                sums.tokensInTime / (runLength - stragglerAt));
}

EndpointPoolOptions withoutSpeeds()
{
    EndpointPoolOptions options;
    options.speed.gain = 0;
    return options;
}

EndpointPoolOptions withoutPrefixes()
{
    EndpointPoolOptions options;
    options.maxDigests = 0;
    return options;
}

EndpointPoolOptions withFixedLimit()
{
    EndpointPoolOptions options;
    options.limit.interTokenTarget = 10s;
    options.limit.firstTokenSlack = 1h;
    options.limit.maxPerSlot = 1;
    return options;
}

EndpointPoolOptions withFixedLimitAndNoSpeeds()
{
    EndpointPoolOptions options = withFixedLimit();
    options.speed.gain = 0;
    return options;
}

} // namespace

TEST_CASE("measure: score against least load on late reports and turns", "[.measure]")
{
    std::printf("| req/s | choice | median ms | p95 ms | within 960 ms | prefix reused | tokens/s | tokens/s in streams within 76 ms |\n");
    for (const double rate : {6.0, 9.0, 10.0, 12.0}) {
        printRow("score", rate, PoolChoice());
        printRow("score, no speeds", rate, PoolChoice(withoutSpeeds()));
        printRow("score, no prefixes", rate, PoolChoice(withoutPrefixes()));
        printRow("score, limit of 16", rate, PoolChoice(withFixedLimit()));
        printRow("score, 16, no speeds", rate, PoolChoice(withFixedLimitAndNoSpeeds()));
        printRow("least load, late reports", rate, ReportChoice());
        printRow("turns", rate, TurnChoice());
    }
}
