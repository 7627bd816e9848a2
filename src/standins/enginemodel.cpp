#include "standins/enginemodel.h"

// Continuous batching with chunked prefill, as published for Orca and Sarathi: iteration-level scheduling keeps runs independent, and the bounded share
// of prompts in each step lets all runs progress. A model with one fixed time per run would be simpler, but would hide that the router's choices
// change the speed of every run.

#include <algorithm>
#include <utility>

namespace Rhubarbwind
{

namespace
{

/** After a pause of the process, at most this time is caught up; no tokens are produced for the rest of the pause. */
constexpr Duration maxCatchUp = 1s;
/** Memory reserved at admission, so that a new run does not preempt another at once. */
constexpr std::uint64_t memoryHeadroomTokens = 64;

std::uint32_t promptTokensOf(std::string_view text)
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>((text.size() + promptBytesPerToken - 1) / promptBytesPerToken));
}

} // namespace

EngineModel::EngineModel(const EngineOptions &options, EngineDuty duty)
    : m_options(options)
    , m_duty(std::move(duty))
    , m_cache(options.cache, options.seed)
{
}

std::vector<EngineToken> EngineModel::advance(TimePoint now)
{
    std::vector<EngineToken> tokens;
    if (m_loadingEnds && *m_loadingEnds <= now) {
        finishLoading();
    }
    while (m_stepEnd && *m_stepEnd <= now) {
        const TimePoint end = std::max(*m_stepEnd, now - maxCatchUp);
        m_stepEnd.reset();
        endStep(end, tokens);
        beginStep(end);
    }
    evictEnded(now);
    sampleLoad(now);
    return tokens;
}

std::optional<TimePoint> EngineModel::nextEvent() const
{
    if (m_stepEnd && m_loadingEnds) {
        return std::min(*m_stepEnd, *m_loadingEnds);
    }
    return m_stepEnd ? m_stepEnd : m_loadingEnds;
}

std::vector<std::string> EngineModel::takeStarted()
{
    return std::exchange(m_started, {});
}

Result<void, EngineRefusal> EngineModel::submit(const EnginePrompt &prompt, TimePoint now)
{
    if (m_runs.contains(prompt.id)) {
        return EngineRefusal::DuplicateId;
    }
    if (m_draining) {
        return EngineRefusal::Draining;
    }
    if (m_faults.refuse) {
        return EngineRefusal::Refusing;
    }
    if (m_loadingEnds) {
        return EngineRefusal::Loading;
    }
    if (m_waiting.size() >= m_options.queueLimit) {
        return EngineRefusal::QueueFull;
    }
    const std::uint32_t promptTokens = promptTokensOf(prompt.text);
    if (promptTokens + memoryHeadroomTokens >= m_options.kvTokens) {
        return EngineRefusal::PromptTooLong;
    }
    const AnswerMarker marker = readMarker(prompt.text);
    EngineRun &run = m_runs[prompt.id];
    run.id = prompt.id;
    run.markerId = marker.id;
    run.answer = answerKey(prompt.text, marker, prompt.id);
    run.priority = prompt.priority;
    run.arrival = ++m_arrivals;
    run.promptTokens = promptTokens;
    run.prefillRemaining = promptTokens;
    const std::uint64_t available = m_options.kvTokens - promptTokens;
    run.answerTokens = static_cast<std::uint32_t>(std::min<std::uint64_t>({marker.tokens, prompt.maxTokens, available}));
    run.blocks = cacheBlocks(prompt.text);
    m_waiting.insert(keyOf(run));
    if (!m_stepEnd) {
        beginStep(now);
    }
    return success();
}

std::optional<CancelAnswer> EngineModel::cancel(const std::string &id, TimePoint now)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return std::nullopt;
    }
    EngineRun &run = found->second;
    if (run.state == EngineRunState::Finished) {
        return CancelAnswer{CancelState::Finished, run.generated};
    }
    if (run.state == EngineRunState::Waiting) {
        m_waiting.erase(keyOf(run));
    }
    if (run.state == EngineRunState::Running) {
        std::erase(m_batch, &run);
    }
    if (run.state != EngineRunState::Cancelled) {
        endRun(run, EngineRunState::Cancelled, now);
    }
    return CancelAnswer{run.started ? CancelState::Cancelled : CancelState::NotStarted, run.generated};
}

const EngineRun *EngineModel::find(const std::string &id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? nullptr : &found->second;
}

Result<void, OrderError> EngineModel::order(const EngineDuty &duty, TimePoint now)
{
    const std::uint64_t newest = m_nextDuty ? m_nextDuty->fencing : m_duty.fencing;
    if (m_options.checksFencing && duty.fencing < newest) {
        return OrderError::StaleFencing;
    }
    const EngineDuty &wanted = m_nextDuty ? *m_nextDuty : m_duty;
    const bool loads = wanted.model != duty.model || wanted.version != duty.version || wanted.adapters != duty.adapters;
    if (loads) {
        m_loadingEnds = now + m_options.loadingTime;
        m_nextDuty = duty;
        return success();
    }
    (m_nextDuty ? *m_nextDuty : m_duty) = duty;
    return success();
}

EngineLoad EngineModel::reportedLoad(TimePoint now) const
{
    EngineLoad report;
    for (const LoadSample &sample : m_samples) {
        if (sample.taken + m_options.loadLag > now) {
            break;
        }
        report = sample.load;
        report.age = now - sample.taken;
    }
    report.draining = m_draining;
    return report;
}

EngineModel::QueueKey EngineModel::keyOf(EngineRun &run)
{
    return {run.priority, run.arrival, &run};
}

std::uint64_t EngineModel::memoryUsed() const
{
    std::uint64_t used = 0;
    for (const EngineRun *run : m_batch) {
        used += run->memoryTokens();
    }
    return used;
}

void EngineModel::beginStep(TimePoint start)
{
    admit();
    if (m_batch.empty()) {
        return;
    }
    const Duration prefill = planPrefill();
    const Duration decode = m_options.baseToken + m_options.perBatchToken * m_batch.size();
    m_stepEnd = start + fromSeconds(toSeconds(prefill + decode) * m_faults.straggler / m_options.speed);
}

void EngineModel::admit()
{
    std::uint64_t used = memoryUsed();
    while (!m_waiting.empty() && m_batch.size() < m_options.slots) {
        EngineRun &run = *m_waiting.begin()->run;
        if (!m_batch.empty() && used + run.memoryTokens() + memoryHeadroomTokens > m_options.kvTokens) {
            return;
        }
        used += run.memoryTokens();
        m_waiting.erase(m_waiting.begin());
        const std::size_t reused = m_cache.reuse(run.blocks) * cacheBlockBytes / promptBytesPerToken;
        // At least one prompt token must be computed, since it yields the first answer token.
        const std::uint32_t reusedTokens = std::min<std::uint32_t>(static_cast<std::uint32_t>(reused), run.prefillRemaining - 1);
        run.prefillRemaining -= reusedTokens;
        run.cachedTokens = run.started ? run.cachedTokens : reusedTokens;
        if (!run.started) {
            m_started.push_back(run.id);
        }
        run.started = true;
        run.state = EngineRunState::Running;
        m_batch.push_back(&run);
    }
}

Duration EngineModel::planPrefill()
{
    std::uint32_t budget = m_options.prefillTokensPerStep;
    std::uint32_t total = 0;
    for (EngineRun *run : m_batch) {
        run->prefillNow = std::min(run->prefillRemaining, budget);
        budget -= run->prefillNow;
        total += run->prefillNow;
    }
    return m_options.prefillPerToken * total;
}

void EngineModel::endStep(TimePoint end, std::vector<EngineToken> &tokens)
{
    for (EngineRun *run : m_batch) {
        const bool wasPrefilling = run->prefillRemaining > 0;
        run->prefillRemaining -= run->prefillNow;
        run->prefillNow = 0;
        if (run->prefillRemaining > 0) {
            continue;
        }
        if (wasPrefilling) {
            m_cache.store(run->blocks, end);
        }
        emitToken(*run, end, tokens);
    }
    std::erase_if(m_batch, [](const EngineRun *run) { return run->hasEnded(); });
    preemptForMemory();
}

void EngineModel::emitToken(EngineRun &run, TimePoint now, std::vector<EngineToken> &tokens)
{
    ++run.generated;
    const bool last = run.generated == run.answerTokens;
    tokens.push_back({run.id, run.generated, last});
    if (last) {
        endRun(run, EngineRunState::Finished, now);
    }
}

void EngineModel::preemptForMemory()
{
    while (m_batch.size() > 1 && memoryUsed() > m_options.kvTokens) {
        const auto last = std::max_element(m_batch.begin(), m_batch.end(), [](EngineRun *left, EngineRun *right) { return keyOf(*left) < keyOf(*right); });
        EngineRun &run = **last;
        m_batch.erase(last);
        run.state = EngineRunState::Waiting;
        run.prefillRemaining = run.promptTokens + run.generated;
        m_waiting.insert(keyOf(run));
    }
}

void EngineModel::endRun(EngineRun &run, EngineRunState state, TimePoint now)
{
    run.state = state;
    run.ended = now;
    run.blocks.clear();
    m_ended.push_back(run.id);
}

void EngineModel::finishLoading()
{
    const TimePoint loaded = *m_loadingEnds;
    m_loadingEnds.reset();
    m_duty = *m_nextDuty;
    m_nextDuty.reset();
    m_cache.clear(loaded);
}

void EngineModel::evictEnded(TimePoint now)
{
    while (!m_ended.empty()) {
        const auto found = m_runs.find(m_ended.front());
        if (m_ended.size() <= maxRetainedRuns && found->second.ended + m_options.retentionTime > now) {
            return;
        }
        m_runs.erase(found);
        m_ended.pop_front();
    }
}

void EngineModel::sampleLoad(TimePoint now)
{
    if (!m_samples.empty() && m_samples.back().taken + m_options.loadInterval > now) {
        return;
    }
    EngineLoad load;
    load.running = static_cast<std::uint32_t>(m_batch.size());
    load.waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.kvTokensUsed = memoryUsed();
    m_samples.push_back({now, load});
    while (m_samples.size() > 1 && m_samples[1].taken + m_options.loadLag <= now) {
        m_samples.pop_front();
    }
}

} // namespace Rhubarbwind
