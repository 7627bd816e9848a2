#pragma once

// Models an engine without sockets: continuous batching, prefix cache, memory, orders and load reports.
//
// The engine works in steps. Each step takes a base time, plus time for every run in the batch and for the prompt tokens that it prefills, and
// produces one token for every run whose prompt is done. The time between tokens therefore rises with the batch and with other callers' prompts.
// Waiting runs enter the batch at the start of a step by priority, then arrival, while a slot and memory are free; the first that does not fit
// blocks those behind it. When memory runs out during a step, the last run in that order is preempted: it returns to the queue and prefills again,
// but keeps the tokens that it has produced.
//
// Usage: call advance(now) before any other call at `now`, and again at nextEvent().
// Limits: queueLimit waiting runs, `slots` running ones, and maxRetainedRuns ended ones that can still be resumed.

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "standins/answertext.h"
#include "standins/prefixcache.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxRetainedRuns = 20'000;

struct EngineOptions
{
    std::uint32_t slots = 16;
    Duration baseToken = 20ms; ///< a step with an empty batch
    Duration perBatchToken = 2ms; ///< added for each run in the batch
    Duration prefillPerToken = 60us;
    std::uint32_t prefillTokensPerStep = 512; ///< maximum of prompt tokens per step
    double speed = 1.0; ///< 2.0 halves every step
    std::uint64_t kvTokens = 65'536;
    std::size_t queueLimit = 64;
    Duration retentionTime = 30s;
    Duration loadLag = 1s;
    Duration loadInterval = 250ms; ///< between samples of the load report
    Duration loadingTime = 2s; ///< of a model, version or adapter
    bool checksFencing = false;
    PrefixCacheOptions cache;
    std::uint64_t seed = 1;
};

struct EnginePrompt
{
    std::string id; ///< X-Request-Id; identifies the stream
    std::string text;
    std::int32_t priority = 0; ///< smaller runs first
    std::uint32_t maxTokens = maxAnswerTokens;
};

/** Why the engine refused a run. The run has not started in any of these cases. */
enum class EngineRefusal : std::uint8_t {
    DuplicateId, ///< a run with this id waits, runs or is retained
    QueueFull,
    Draining,
    Loading,
    Refusing, ///< the fault `refuse` is set
    PromptTooLong, ///< does not fit in the engine's memory
};

enum class EngineRunState : std::uint8_t {
    Waiting,
    Running,
    Finished,
    Cancelled,
};

struct EngineRun
{
    std::string id;
    std::string markerId;
    AnswerKey answer;
    std::int32_t priority = 0;
    std::uint64_t arrival = 0;
    EngineRunState state = EngineRunState::Waiting;
    bool started = false; ///< was in the batch at least once
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t prefillRemaining = 0;
    std::uint32_t prefillNow = 0; ///< prefilled in the current step
    std::uint32_t answerTokens = 0;
    std::uint32_t generated = 0;
    std::vector<std::uint64_t> blocks;
    TimePoint ended;

    bool hasEnded() const
    {
        return state == EngineRunState::Finished || state == EngineRunState::Cancelled;
    }
    std::uint64_t memoryTokens() const
    {
        return std::uint64_t{promptTokens} + generated;
    }
};

/** One token that a step produced. */
struct EngineToken
{
    std::string id;
    std::uint32_t number = 0; ///< from 1
    bool last = false;
};

enum class CancelState : std::uint8_t {
    NotStarted,
    Cancelled,
    Finished,
};

struct CancelAnswer
{
    CancelState state = CancelState::NotStarted;
    std::uint32_t tokens = 0;
};

struct EngineLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kvTokensUsed = 0;
    bool draining = false;
    Duration age{};
};

/** What an order requests and the state reports. */
struct EngineDuty
{
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role = "serve";
    std::uint64_t fencing = 0;
};

enum class OrderError : std::uint8_t {
    StaleFencing,
};

struct EngineFaults
{
    double straggler = 1.0; ///< factor on every step
    bool refuse = false;
};

class EngineModel
{
public:
    EngineModel(const EngineOptions &options, EngineDuty duty);

    /** Runs the model up to `now`. @return the tokens produced, in order */
    std::vector<EngineToken> advance(TimePoint now);
    /** Time of the next change that advance() has to process; none while idle. */
    std::optional<TimePoint> nextEvent() const;

    /** Ids of the runs that entered the batch for the first time since the last call. */
    std::vector<std::string> takeStarted();

    Result<void, EngineRefusal> submit(const EnginePrompt &prompt, TimePoint now);
    /** @return none if the id is unknown */
    std::optional<CancelAnswer> cancel(const std::string &id, TimePoint now);
    /** A run that waits, runs or is still retained; null otherwise. */
    const EngineRun *find(const std::string &id) const;

    Result<void, OrderError> order(const EngineDuty &duty, TimePoint now);
    const EngineDuty &duty() const
    {
        return m_duty;
    }
    bool isLoading() const
    {
        return m_loadingEnds.has_value();
    }

    void setDraining(bool draining)
    {
        m_draining = draining;
    }
    bool isDraining() const
    {
        return m_draining;
    }
    void setFaults(const EngineFaults &faults)
    {
        m_faults = faults;
    }
    const EngineFaults &faults() const
    {
        return m_faults;
    }

    /** The load as sampled about loadLag ago. */
    EngineLoad reportedLoad(TimePoint now) const;
    const PrefixCache &cache() const
    {
        return m_cache;
    }
    std::size_t running() const
    {
        return m_batch.size();
    }
    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    struct QueueKey
    {
        std::int32_t priority;
        std::uint64_t arrival;
        EngineRun *run;
        bool operator<(const QueueKey &other) const
        {
            return priority != other.priority ? priority < other.priority : arrival < other.arrival;
        }
    };
    struct LoadSample
    {
        TimePoint taken;
        EngineLoad load;
    };

    static QueueKey keyOf(EngineRun &run);
    std::uint64_t memoryUsed() const;
    void beginStep(TimePoint start);
    void admit();
    Duration planPrefill();
    void endStep(TimePoint end, std::vector<EngineToken> &tokens);
    void emitToken(EngineRun &run, TimePoint now, std::vector<EngineToken> &tokens);
    void preemptForMemory();
    void endRun(EngineRun &run, EngineRunState state, TimePoint now);
    void finishLoading();
    void evictEnded(TimePoint now);
    void sampleLoad(TimePoint now);

    EngineOptions m_options;
    EngineDuty m_duty;
    std::optional<EngineDuty> m_nextDuty;
    std::optional<TimePoint> m_loadingEnds;
    EngineFaults m_faults;
    bool m_draining = false;
    PrefixCache m_cache;
    std::unordered_map<std::string, EngineRun> m_runs;
    std::set<QueueKey> m_waiting;
    std::vector<EngineRun *> m_batch;
    std::deque<std::string> m_ended;
    std::vector<std::string> m_started;
    std::optional<TimePoint> m_stepEnd;
    std::uint64_t m_arrivals = 0;
    std::deque<LoadSample> m_samples;
};

} // namespace Rhubarbwind
