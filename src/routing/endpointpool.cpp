// A full scan with a score for each endpoint, rather than the power of two choices: a shard has about 50 endpoints and one arbiter that knows its own load
// exactly, so the scan is cheap and finds the best one. Two random choices pay off if the load is stale and shared by many choosers; neither is so here.

#include "routing/endpointpool.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Rhubarbwind
{

namespace
{

// Approximate number of finished pieces of work that a fitted line covers.
constexpr double lineMemory = 200;
// Weight of a new reservation in the mean size.
constexpr double sizeGain = 0.05;
// Bounds the marks for endpoints that were never listed; more of them would be a fault of the sender.
constexpr std::size_t maxMembers = 1024;

std::uint64_t tokensOf(std::uint32_t promptTokens, std::uint32_t estimatedTokens)
{
    return std::uint64_t{promptTokens} + estimatedTokens;
}

double slotsOf(const Endpoint &endpoint)
{
    return std::max<std::uint32_t>(endpoint.slots, 1);
}

} // namespace

Duration HopCosts::cost(const FailureDomain &from, const FailureDomain &to) const
{
    if (const auto found = named.find({from, to}); found != named.end()) {
        return found->second;
    }
    if (const auto found = named.find({to, from}); found != named.end()) {
        return found->second;
    }
    return from == to ? within : between;
}

EndpointPool::EndpointPool(EndpointPoolOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_start(now)
    , m_lastEvent(now)
    , m_index(m_options.prefix, now)
    , m_tokenLine(lineMemory, toSeconds(m_options.batchRise))
    , m_answerLine(lineMemory, toSeconds(m_options.serviceRise))
    , m_prefillLine(lineMemory, toSeconds(m_options.prefillPerToken))
{
}

EndpointPool::Member *EndpointPool::find(const EndpointId &id)
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

EndpointPool::Member &EndpointPool::member(TimePoint now, const EndpointId &id)
{
    if (Member *known = find(id)) {
        return *known;
    }
    Endpoint endpoint;
    endpoint.id = id;
    Member fresh{endpoint,
                 false,
                 {},
                 EndpointLoad(m_options.reportWindow, now),
                 AdaptiveLimit(m_options.limit, endpoint.slots),
                 EndpointSpeed(m_options.speed),
                 FailureWait(m_options.firstFailureWait, m_options.maxFailureWait),
                 {},
                 {},
                 now};
    return m_members.emplace(id, std::move(fresh)).first->second;
}

void EndpointPool::update(TimePoint now, std::span<const Endpoint> endpoints)
{
    m_lastEvent = now;
    std::map<EndpointId, Endpoint> listed;
    for (const Endpoint &endpoint : endpoints) {
        const auto [entry, isNew] = listed.emplace(endpoint.id, endpoint);
        // An endpoint may be listed twice during a handover of the list; the later state counts.
        if (!isNew && entry->second.state < endpoint.state) {
            entry->second = endpoint;
        }
    }
    for (auto &[id, member] : m_members) {
        const auto found = listed.find(id);
        if (found == listed.end() || found->second.state == EndpointState::Removed) {
            unlist(member);
        }
    }
    for (const auto &[id, endpoint] : listed) {
        if (endpoint.state != EndpointState::Removed) {
            list(now, endpoint);
        }
    }
    eraseForgotten(now);
    refreshMedian(now);
}

void EndpointPool::unlist(Member &member)
{
    member.mark.onList(ListedAs::Absent);
    member.listed = false;
    if (member.holder) {
        m_index.drop(*member.holder);
        m_freeHolders |= std::uint64_t{1} << *member.holder;
        member.holder.reset();
    }
}

void EndpointPool::list(TimePoint now, const Endpoint &endpoint)
{
    Member &member = this->member(now, endpoint.id);
    member.mark.onList(endpoint.state == EndpointState::Live ? ListedAs::Live : ListedAs::Leaving);
    const bool isNew = !member.listed;
    const bool isBack = member.listed && member.endpoint.state == EndpointState::Leaving && endpoint.state == EndpointState::Live;
    const bool isOther = member.endpoint.slots != endpoint.slots || member.endpoint.kind != endpoint.kind;
    member.endpoint = endpoint;
    member.listed = true;
    if (isNew || isOther) {
        resetLearned(member);
    }
    const bool atStart = now - m_start <= m_options.startGrace;
    if (isBack || (isNew && !atStart)) {
        member.coldSince = now;
    }
    if (!member.holder && m_freeHolders != 0) {
        member.holder = static_cast<PrefixIndex::Holder>(std::countr_zero(m_freeHolders));
        m_freeHolders &= m_freeHolders - 1;
    }
}

void EndpointPool::resetLearned(Member &member)
{
    member.limit = AdaptiveLimit(m_options.limit, member.endpoint.slots);
    member.speed = EndpointSpeed(m_options.speed);
    member.failures = FailureWait(m_options.firstFailureWait, m_options.maxFailureWait);
    member.reportsReuse = false;
}

void EndpointPool::eraseForgotten(TimePoint now)
{
    std::erase_if(m_members, [now](const auto &entry) {
        const Member &member = entry.second;
        return !member.listed && member.load.inFlight() == 0 && !member.mark.inForce(now);
    });
}

void EndpointPool::markLeaving(TimePoint now, const EndpointId &endpoint)
{
    m_lastEvent = now;
    if (find(endpoint) == nullptr && m_members.size() >= maxMembers) {
        return;
    }
    member(now, endpoint).mark.mark(now + m_options.leavingMemory);
}

EndpointState EndpointPool::stateOf(TimePoint now, const Member &member) const
{
    if (!member.listed) {
        return EndpointState::Removed;
    }
    return member.mark.inForce(now) ? EndpointState::Leaving : member.endpoint.state;
}

std::uint32_t EndpointPool::limitInForce(TimePoint now, const Member &member) const
{
    double limit = member.limit.limit();
    if (member.coldSince) {
        const double warmth = std::min(1.0, toSeconds(now - *member.coldSince) / toSeconds(m_options.warmUp));
        limit *= m_options.coldShare + (1 - m_options.coldShare) * warmth;
    }
    if (member.speed.straggler()) {
        limit = std::min(limit, slotsOf(member.endpoint) * member.speed.speed(now, m_medianSlowdown));
    }
    if (member.failures.onTrial()) {
        const bool isUp = member.load.hasRunSince(member.failures.resumeAt(), m_options.trialAge, now);
        limit = isUp ? limit * m_options.coldShare : 1;
    }
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

std::uint32_t EndpointPool::loadOf(TimePoint now, const Member &member) const
{
    return member.load.inFlight() + member.load.externalLoad(now);
}

EndpointObstacle EndpointPool::obstacle(TimePoint now, const Member &member, std::uint64_t neededTokens) const
{
    const EndpointState state = stateOf(now, member);
    if (state != EndpointState::Live) {
        return state == EndpointState::Removed ? EndpointObstacle::Removed : EndpointObstacle::Leaving;
    }
    if (member.failures.waiting(now)) {
        return EndpointObstacle::Failing;
    }
    if (loadOf(now, member) >= limitInForce(now, member)) {
        return EndpointObstacle::AtLimit;
    }
    const std::uint64_t memory = member.endpoint.kvTokens;
    const bool fits = memory == 0 || member.load.inFlight() == 0 || member.load.reservedTokens() + neededTokens <= memory;
    return fits ? EndpointObstacle::None : EndpointObstacle::MemoryFull;
}

std::span<const std::uint64_t> EndpointPool::leading(std::span<const std::uint64_t> digests) const
{
    return digests.first(std::min(digests.size(), m_options.maxDigests));
}

std::optional<EndpointChoice> EndpointPool::choose(TimePoint now, const EndpointQuery &query) const
{
    const PrefixIndex::Match match = m_index.match(now, leading(query.prefixDigests));
    const std::uint64_t neededTokens = tokensOf(query.promptTokens, query.estimatedTokens);
    std::optional<Candidate> best;
    for (const auto &[id, member] : m_members) {
        if (obstacle(now, member, neededTokens) != EndpointObstacle::None) {
            continue;
        }
        Candidate candidate = evaluate(now, query, member, match);
        if (!best || ranksBefore(candidate, *best)) {
            best = std::move(candidate);
        }
    }
    return best ? std::optional(best->choice) : std::nullopt;
}

EndpointPool::Candidate EndpointPool::evaluate(TimePoint now, const EndpointQuery &query, const Member &member, const PrefixIndex::Match &match) const
{
    Candidate candidate;
    EndpointChoice &choice = candidate.choice;
    choice.endpoint = member.endpoint.id;
    choice.expectedWait = fromSeconds(expectedWait(now, query, member));
    choice.hopCost = m_options.hops.cost(query.entryDomain, member.endpoint.domain);
    choice.reusedTokens = reusedTokens(query, member, match);
    if (member.endpoint.kind == EndpointKind::Engine) {
        choice.expectedPrefill = fromSeconds(m_prefillLine.slope() * (query.promptTokens - choice.reusedTokens));
    }
    choice.speed = member.speed.speed(now, m_medianSlowdown);
    candidate.score = toSeconds(choice.expectedWait + choice.hopCost + choice.expectedPrefill) / choice.speed;
    candidate.use = static_cast<double>(loadOf(now, member)) / limitInForce(now, member);
    candidate.lastReservationNumber = member.lastReservationNumber;
    candidate.avoided = std::find(query.avoid.begin(), query.avoid.end(), member.endpoint.id) != query.avoid.end();
    candidate.probe = member.speed.straggler() && member.load.inFlight() == 0 && now - member.lastTaken >= m_options.speed.probeInterval;
    return candidate;
}

bool EndpointPool::ranksBefore(const Candidate &left, const Candidate &right)
{
    if (left.avoided != right.avoided) {
        return right.avoided;
    }
    if (left.probe != right.probe) {
        return left.probe;
    }
    if (left.score != right.score) {
        return left.score < right.score;
    }
    if (left.use != right.use) {
        return left.use < right.use;
    }
    return left.lastReservationNumber < right.lastReservationNumber;
}

double EndpointPool::expectedWait(TimePoint now, const EndpointQuery &query, const Member &member) const
{
    const double load = loadOf(now, member);
    const double slots = slotsOf(member.endpoint);
    if (member.endpoint.kind == EndpointKind::Service) {
        const double usual = m_answerLine.known() ? m_answerLine.at(0) : toSeconds(m_options.serviceRise);
        return usual * (load + 1) / slots;
    }
    const double tokens = std::max<std::uint32_t>(query.estimatedTokens, 1);
    return m_options.streamWeight * tokens * m_tokenLine.slope() * load / slots;
}

std::uint32_t EndpointPool::reusedTokens(const EndpointQuery &query, const Member &member, const PrefixIndex::Match &match) const
{
    if (!member.holder) {
        return 0;
    }
    const float tokens = match[*member.holder] * static_cast<float>(m_options.blockTokens);
    return std::min(query.promptTokens, static_cast<std::uint32_t>(tokens));
}

void EndpointPool::reserve(TimePoint now, const Reservation &reservation, std::span<const std::uint64_t> prefixDigests)
{
    m_lastEvent = now;
    Member &member = this->member(now, reservation.endpoint);
    const std::span<const std::uint64_t> digests = leading(prefixDigests);
    float expectedBlocks = 0;
    if (member.holder) {
        expectedBlocks = m_index.match(now, digests)[*member.holder];
        m_index.learn(now, *member.holder, digests);
    }
    member.load.begin(now, reservation, {digests.begin(), digests.end()}, expectedBlocks);
    member.lastTaken = now;
    member.lastReservationNumber = ++m_reservationCount;
    const auto tokens = static_cast<double>(tokensOf(reservation.promptTokens, reservation.estimatedTokens));
    m_meanTokens = m_reservationCount == 1 ? tokens : m_meanTokens + sizeGain * (tokens - m_meanTokens);
}

void EndpointPool::free(TimePoint now, const Reservation &reservation, const ServiceSample &sample)
{
    m_lastEvent = now;
    Member *member = find(reservation.endpoint);
    const std::optional<FinishedWork> work = member == nullptr ? std::nullopt : member->load.end(now, reservation);
    if (!work) {
        ++m_unmatchedFrees;
        return;
    }
    if (sample.failed) {
        learnFailure(now, *member, *work);
    } else {
        learn(now, *member, reservation, sample, *work);
    }
    eraseForgotten(now);
}

void EndpointPool::freeUnused(TimePoint now, const Reservation &reservation)
{
    m_lastEvent = now;
    Member *member = find(reservation.endpoint);
    const std::optional<FinishedWork> work = member == nullptr ? std::nullopt : member->load.end(now, reservation);
    if (!work) {
        ++m_unmatchedFrees;
        return;
    }
    // Nothing was sent, so the endpoint holds no more of the prompt than before.
    if (member->holder && work->expectedBlocks <= 0) {
        m_index.forget(*member->holder, work->digests);
    }
    eraseForgotten(now);
}

void EndpointPool::learnFailure(TimePoint now, Member &member, const FinishedWork &work)
{
    member.failures.onFailure(now);
    if (member.holder) {
        m_index.forget(*member.holder, work.digests);
    }
}

void EndpointPool::learn(TimePoint now, Member &member, const Reservation &reservation, const ServiceSample &sample, const FinishedWork &work)
{
    const bool isService = member.endpoint.kind == EndpointKind::Service;
    if (!isService && sample.firstToken <= Duration::zero()) {
        return; // cancelled before the first token, so there is nothing to learn
    }
    if (member.failures.onSuccess(work.start)) {
        member.coldSince = now;
    }
    if (isService) {
        learnSpeed(now, member, m_answerLine, work.meanBatch, sample.firstToken, m_options.speed.serviceGain);
        return;
    }
    const std::uint32_t computed = reservation.promptTokens - std::min(reservation.promptTokens, sample.reusedPromptTokens);
    if (!member.speed.straggler()) {
        m_prefillLine.observe(computed, toSeconds(sample.firstToken));
    }
    const Duration prefill = fromSeconds(m_prefillLine.slope() * computed);
    const Duration interToken = sample.slowInterToken > Duration::zero() ? sample.slowInterToken : sample.meanInterToken;
    member.limit.observe({work.meanBatch, interToken, sample.firstToken - prefill});
    learnSpeed(now, member, m_tokenLine, work.meanBatch, sample.meanInterToken, tokenGain(sample.tokens));
    learnPrefix(now, member, sample, work);
}

double EndpointPool::tokenGain(std::uint32_t tokens) const
{
    const std::uint32_t full = std::max<std::uint32_t>(m_options.speed.fullTokens, 1);
    return m_options.speed.gain * std::min(tokens, full) / full;
}

void EndpointPool::progress(TimePoint now, const EndpointId &endpoint, Duration interToken, std::uint32_t tokens)
{
    m_lastEvent = now;
    Member *member = find(endpoint);
    if (member == nullptr || member->load.inFlight() == 0) {
        return;
    }
    learnSpeed(now, *member, m_tokenLine, member->load.inFlight(), interToken, tokenGain(tokens));
}

void EndpointPool::learnSpeed(TimePoint now, Member &member, DecayedLine &line, double batch, Duration seen, double gain)
{
    if (seen <= Duration::zero()) {
        return;
    }
    const double use = batch / slotsOf(member.endpoint);
    if (!member.speed.straggler()) {
        line.observe(use, toSeconds(seen));
    }
    const double expected = line.at(use);
    if (expected > 0) {
        member.speed.observe(now, toSeconds(seen) / expected, gain);
    }
    refreshMedian(now);
}

void EndpointPool::learnPrefix(TimePoint now, Member &member, const ServiceSample &sample, const FinishedWork &work)
{
    if (!member.holder) {
        return;
    }
    // An engine that never reports reuse always states zero, which is no evidence against the index.
    member.reportsReuse = member.reportsReuse || sample.reusedPromptTokens > 0;
    if (member.reportsReuse) {
        m_index.correct(*member.holder, work.expectedBlocks, static_cast<double>(sample.reusedPromptTokens) / m_options.blockTokens);
    }
    m_index.learn(now, *member.holder, work.digests);
}

void EndpointPool::refreshMedian(TimePoint now)
{
    std::vector<double> slowdowns;
    slowdowns.reserve(m_members.size());
    for (const auto &[id, member] : m_members) {
        if (member.listed && member.speed.hasSamples()) {
            slowdowns.push_back(member.speed.slowdown(now));
        }
    }
    m_medianSlowdown = lowerMedian(slowdowns);
    for (auto &[id, member] : m_members) {
        member.speed.updateFlag(now, m_medianSlowdown);
    }
}

std::size_t EndpointPool::freeSlotsOf(TimePoint now, const Member &member) const
{
    if (obstacle(now, member, 0) != EndpointObstacle::None) {
        return 0;
    }
    const std::size_t slots = limitInForce(now, member) - loadOf(now, member);
    const std::uint64_t memory = member.endpoint.kvTokens;
    if (memory == 0 || m_meanTokens <= 0) {
        return slots;
    }
    const auto remaining = static_cast<double>(memory - std::min(memory, member.load.reservedTokens()));
    return std::clamp<std::size_t>(static_cast<std::size_t>(remaining / m_meanTokens), 1, slots);
}

std::size_t EndpointPool::freeSlots(TimePoint now) const
{
    std::size_t slots = 0;
    for (const auto &[id, member] : m_members) {
        slots += freeSlotsOf(now, member);
    }
    return slots;
}

bool EndpointPool::hasActiveEndpoints() const
{
    return std::any_of(m_members.begin(), m_members.end(), [this](const auto &entry) { return stateOf(m_lastEvent, entry.second) == EndpointState::Live; });
}

void EndpointPool::loadReport(TimePoint now, const LoadReport &report)
{
    m_lastEvent = now;
    Member *member = find(report.endpoint);
    if (member == nullptr) {
        return;
    }
    member->load.report(now, report);
    if (report.waiting > 0 && report.age <= m_options.reportWindow) {
        member->limit.reportEngineQueue(report.running);
    }
}

void EndpointPool::cacheEvent(TimePoint now, const CacheEvent &event)
{
    m_lastEvent = now;
    Member *member = find(event.endpoint);
    if (member != nullptr && member->holder) {
        m_index.apply(now, *member->holder, event);
    }
}

std::vector<EndpointStatus> EndpointPool::status(TimePoint now) const
{
    std::vector<EndpointStatus> all;
    all.reserve(m_members.size());
    for (const auto &[id, member] : m_members) {
        EndpointStatus one;
        one.endpoint = id;
        one.state = stateOf(now, member);
        one.limit = limitInForce(now, member);
        one.inFlight = member.load.inFlight();
        one.externalLoad = member.load.externalLoad(now);
        one.reservedTokens = member.load.reservedTokens();
        one.speed = member.speed.speed(now, m_medianSlowdown);
        one.straggler = member.speed.straggler();
        one.obstacle = obstacle(now, member, 0);
        all.push_back(std::move(one));
    }
    return all;
}

} // namespace Rhubarbwind
