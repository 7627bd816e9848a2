#include "gateway/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Rhubarbwind
{

namespace
{

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

Duration fromMilliseconds(double ms)
{
    return fromSeconds(ms / 1000);
}

// Time constant with which a difference between endpoints fades: six slots of 30 ms at 0.8 of their capacity forget a queue in some 450 ms, at less load
// sooner.
constexpr double relaxationMs = 400;

// Of the slots that become free at a full endpoint, the part that is still free when this host's request arrives; other hosts take the rest.
constexpr double freedShare = 0.5;

} // namespace

SlotQueue::Service &SlotQueue::service(const ShardId &id)
{
    const auto [entry, isNew] = m_services.try_emplace(id);
    if (isNew) {
        entry->second.slotMs = milliseconds(m_options.slotTime);
        entry->second.row.service = id;
    }
    return entry->second;
}

double SlotQueue::excessOf(const SlotRequest &request, TimePoint now) const
{
    return m_excess ? m_excess(request.service, request.customer, now) : 1.0;
}

bool SlotQueue::precedes(const Entry &left, const Entry &right)
{
    if (left.request.tier != right.request.tier) {
        return left.request.tier.isHigherThan(right.request.tier);
    }
    if (left.excess != right.excess) {
        return left.excess < right.excess;
    }
    return left.request.goalEnd < right.request.goalEnd;
}

std::vector<SlotQueue::Forecast> SlotQueue::forecast(const Service &service, std::span<const SlotCandidate> candidates, TimePoint now) const
{
    std::vector<Forecast> forecasts;
    forecasts.reserve(candidates.size());
    double mean = 0;
    for (const SlotCandidate &candidate : candidates) {
        Forecast made;
        made.candidate = &candidate;
        made.slots = std::max(1U, candidate.slots);
        const bool hasReport = candidate.reportAge < m_options.reportLifetime;
        const bool usesReport = hasReport && m_options.knowledge != SlotKnowledge::Peers
            && (m_options.knowledge == SlotKnowledge::Reports || candidate.reported >= candidate.peers);
        made.others = usesReport ? candidate.reported : candidate.peers;
        made.ageMs = milliseconds(usesReport ? candidate.reportAge + m_options.reportLag : m_options.beaconAge);
        mean += made.others / static_cast<double>(candidates.size());
        forecasts.push_back(made);
    }
    for (Forecast &made : forecasts) {
        made.load = made.candidate->own + mean + (made.others - mean) * std::exp(-made.ageMs / relaxationMs);
        made.limit = std::numeric_limits<double>::infinity();
        const auto known = service.endpoints.find(made.candidate->id);
        if (known == service.endpoints.end() || known->second.refusedAt == TimePoint()) {
            continue;
        }
        const double places = made.slots + known->second.mostWaiting;
        if (known->second.hasReported) {
            made.limit = places;
        }
        const double sinceMs = milliseconds(now - known->second.refusedAt);
        if (sinceMs < service.slotMs / freedShare) {
            made.limit = places;
            made.load = std::max(made.load, places - sinceMs / service.slotMs * made.slots * freedShare);
        }
    }
    return forecasts;
}

EndpointId SlotQueue::draw(const Service &service, std::span<const Forecast> eligible)
{
    const Forecast &least = *std::ranges::min_element(eligible, {}, [](const Forecast &one) { return one.load / one.slots; });
    double slots = 0;
    double load = 0;
    double others = 0;
    double busy = 0;
    double ageMs = 0;
    for (const Forecast &one : eligible) {
        slots += one.slots;
        load += one.load;
        others += one.others;
        busy += std::min(one.load, one.slots);
        ageMs += one.ageMs / static_cast<double>(eligible.size());
    }
    // Requests that the other hosts send until their knowledge contains those of now.
    const double arrivals = load > 0 ? busy / service.slotMs * ageMs * std::min(1.0, others / load) : 0;
    // The level per slot up to which these requests fill the endpoints, the least loaded ones first.
    std::vector<Forecast> sorted(eligible.begin(), eligible.end());
    std::ranges::sort(sorted, {}, [](const Forecast &one) { return one.load / one.slots; });
    double level = 0;
    double filled = arrivals;
    double width = 0;
    for (const Forecast &one : sorted) {
        if (width > 0 && level <= one.load / one.slots) {
            break;
        }
        filled += one.load;
        width += one.slots;
        level = filled / width;
    }
    double pick = m_random.uniform() * arrivals;
    for (const Forecast &one : eligible) {
        pick -= std::max(0.0, level * one.slots - one.load);
        if (pick < 0) {
            return one.candidate->id;
        }
    }
    return least.candidate->id;
}

SlotQueue::Search SlotQueue::search(const Service &service, std::span<const SlotCandidate> candidates, const Entry &entry, bool isLastChance, TimePoint now)
{
    const SlotRequest &request = entry.request;
    const bool isLowest = request.tier.level >= service.lowestTier;
    const double excess = isLowest ? std::max(1.0, entry.excess) : 1.0;
    const double remainingMs = std::min(milliseconds(request.goalEnd - now), milliseconds(request.goal) * m_options.goalShare);
    const double queueMs = std::max(0.0, remainingMs - service.slotMs) / excess;
    std::vector<Forecast> eligible;
    double freeMs = std::numeric_limits<double>::infinity();
    for (const Forecast &one : forecast(service, candidates, now)) {
        const double inTime = one.slots + queueMs / service.slotMs * one.slots;
        const double margin = isLastChance ? 0.0 : 1.0;
        const double excessLoad = one.load + margin - std::min(one.limit, inTime);
        if (isLastChance ? excessLoad < 0 : excessLoad <= 0) {
            eligible.push_back(one);
        }
        freeMs = std::min(freeMs, std::max(0.0, excessLoad) * service.slotMs / (one.slots * freedShare));
    }
    if (eligible.empty()) {
        constexpr double maxFreeMs = 10'000;
        return {std::nullopt, fromMilliseconds(std::min(freeMs, maxFreeMs))};
    }
    return {draw(service, eligible), Duration::zero()};
}

SlotDecision SlotQueue::refusal(const Service &service, const Entry &entry, Duration freeIn)
{
    // Spread over several slot times, so that the requests of a burst come back one by one.
    constexpr double spreadSlotTimes = 4;
    SlotDecision made;
    made.id = entry.request.id;
    made.action = SlotAction::Refuse;
    made.retryDelay = freeIn + fromMilliseconds(service.slotMs * (1 + spreadSlotTimes * m_random.uniform()));
    return made;
}

SlotDecision SlotQueue::arrive(const SlotRequest &request, std::span<const SlotCandidate> candidates, TimePoint now)
{
    Service &entry = service(request.service);
    entry.lowestTier = std::max(entry.lowestTier, request.tier.level);
    Entry made{request, now, now, excessOf(request, now), false};
    SlotDecision decision;
    decision.id = request.id;
    if (request.isFirstSend && !m_options.waitsBeforeFirstSend) {
        decision.action = SlotAction::Send;
        decision.endpoint = draw(entry, forecast(entry, candidates, now));
        return decision;
    }
    const bool isFirst = entry.waiting.empty() || precedes(made, entry.waiting.front());
    const Search found = search(entry, candidates, made, m_isStopping, now);
    if (found.endpoint && (isFirst || m_isStopping)) {
        decision.action = SlotAction::Send;
        decision.endpoint = *found.endpoint;
        return decision;
    }
    const Duration slotTime = fromMilliseconds(entry.slotMs);
    made.holdEnd = std::min(now + fromSeconds(toSeconds(request.goal) * m_options.holdShare), request.goalEnd - slotTime);
    if (m_isStopping || now + found.freeIn > made.holdEnd) {
        ++entry.row.refused;
        return refusal(entry, made, found.freeIn);
    }
    entry.waiting.insert(std::ranges::upper_bound(entry.waiting, made, precedes), made);
    if (entry.waiting.size() > m_options.maxWaiting) {
        const auto last = std::ranges::find_if(entry.waiting.rbegin(), entry.waiting.rend(), [](const Entry &one) { return !one.isDisplaced; });
        last->isDisplaced = true;
        if (last->request.id == request.id) {
            ++entry.row.refused;
            entry.waiting.erase(std::next(last).base());
            return refusal(entry, made, found.freeIn + slotTime);
        }
        entry.wakeAt = now;
    }
    entry.wakeAt = std::min({entry.wakeAt, now + std::max(found.freeIn, m_options.minWake), made.holdEnd});
    return decision;
}

std::optional<SlotDecision> SlotQueue::next(const ShardId &id, std::span<const SlotCandidate> candidates, TimePoint now)
{
    const auto known = m_services.find(id);
    if (known == m_services.end() || known->second.waiting.empty()) {
        return std::nullopt;
    }
    Service &entry = known->second;
    entry.wakeAt = TimePoint::max();
    bool isBlocked = candidates.empty();
    for (auto one = entry.waiting.begin(); one != entry.waiting.end(); ++one) {
        const bool isLastChance = m_isStopping || one->isDisplaced || now >= one->holdEnd;
        Search found;
        if (!isBlocked || isLastChance) {
            found = candidates.empty() ? Search{} : search(entry, candidates, *one, isLastChance, now);
        }
        const bool sends = found.endpoint && !one->isDisplaced && !isBlocked;
        if (sends || isLastChance) {
            SlotDecision decision = refusal(entry, *one, found.freeIn);
            if (sends) {
                decision.action = SlotAction::Send;
                decision.endpoint = *found.endpoint;
            }
            ++(sends ? entry.row.sent : entry.row.expired);
            entry.waiting.erase(one);
            entry.wakeAt = now;
            return decision;
        }
        if (!isBlocked) {
            entry.wakeAt = now + std::max(found.freeIn, m_options.minWake);
        }
        isBlocked = true;
        entry.wakeAt = std::min(entry.wakeAt, one->holdEnd);
    }
    return std::nullopt;
}

void SlotQueue::leave(const ShardId &id, std::uint64_t request)
{
    const auto known = m_services.find(id);
    if (known != m_services.end()) {
        std::erase_if(known->second.waiting, [request](const Entry &one) { return one.request.id == request; });
    }
}

void SlotQueue::endpointRefused(const ShardId &id, const EndpointId &endpoint, TimePoint now)
{
    service(id).endpoints[endpoint].refusedAt = now;
}

void SlotQueue::endpointReported(const ShardId &id, const EndpointId &endpoint, std::uint32_t waiting)
{
    Endpoint &known = service(id).endpoints[endpoint];
    known.hasReported = true;
    known.mostWaiting = std::max(known.mostWaiting, waiting);
}

void SlotQueue::answered(const ShardId &id, Duration time, std::uint32_t waiting)
{
    constexpr double weight = 0.05; // of the newest answer: the last twenty, some two seconds of a host's traffic
    Service &known = service(id);
    const double ms = milliseconds(time);
    // With a queue at the endpoint, the time is an upper bound of the time in a slot.
    if (waiting == 0 || ms < known.slotMs) {
        known.slotMs += weight * (ms - known.slotMs);
    }
}

void SlotQueue::endpointRemoved(const ShardId &id, const EndpointId &endpoint)
{
    const auto known = m_services.find(id);
    if (known != m_services.end()) {
        known->second.endpoints.erase(endpoint);
    }
}

std::optional<TimePoint> SlotQueue::wakeAt() const
{
    std::optional<TimePoint> first;
    for (const auto &[id, known] : m_services) {
        if (!known.waiting.empty()) {
            first = std::min(first.value_or(known.wakeAt), known.wakeAt);
        }
    }
    return first;
}

std::vector<ShardId> SlotQueue::waitingServices() const
{
    std::vector<ShardId> services;
    for (const auto &[id, known] : m_services) {
        if (!known.waiting.empty()) {
            services.push_back(id);
        }
    }
    return services;
}

std::size_t SlotQueue::waiting(const ShardId &id) const
{
    const auto known = m_services.find(id);
    return known == m_services.end() ? 0 : known->second.waiting.size();
}

std::vector<SlotWaitRow> SlotQueue::rows(TimePoint now) const
{
    std::vector<SlotWaitRow> rows;
    for (const auto &[id, known] : m_services) {
        SlotWaitRow row = known.row;
        row.waiting = known.waiting.size();
        for (const Entry &one : known.waiting) {
            row.longest = std::max(row.longest, now - one.since);
        }
        if (row.waiting + row.sent + row.refused + row.expired > 0) {
            rows.push_back(row);
        }
    }
    return rows;
}

} // namespace Rhubarbwind
