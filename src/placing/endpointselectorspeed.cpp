// The selector's use of learned speeds: observations in, announcements for peers and figures for forecasts out.

#include "placing/endpointselector.h"

#include <algorithm>
#include <utility>

namespace Rhubarbwind
{

namespace
{

// One entry takes 12 bytes. At this rate a host's beacons and the digests that forward them grow by less than 2% (docs/design/endpoint-speed.md), and each
// engine of a fleet with about as many hosts is announced every other second.
constexpr double announcementsPerSecond = 0.2;
constexpr double maxSpeedAllowance = 6; ///< the first figures of a host that has just seen its first traffic

} // namespace

EndpointSpeedEstimator *EndpointSelector::learnedSpeed(State &state) const
{
    if (m_options.learnsSpeed && !state.speed) {
        state.speed = std::make_unique<EndpointSpeedEstimator>();
    }
    return state.speed.get();
}

SpeedEstimate EndpointSelector::speedOf(const State &state, const Service &service, TimePoint now) const
{
    return state.speed ? state.speed->estimate(service.speed, now) : EndpointSpeedEstimator().estimate(service.speed, now);
}

void EndpointSelector::useSpeed(State &state, const Service &service, TimePoint now) const
{
    if (!service.usesSpeed) {
        return;
    }
    const SpeedEstimate speed = speedOf(state, service, now);
    const double mean = service.speed.meanEventMs();
    state.promptTokensPerMs = speed.promptTokensPerMs / speed.slowdown;
    state.estimate = speed;
    state.relativeEventTime = (mean > 0 ? speed.eventMs / mean : 1.0) * speed.slowdown;
}

void EndpointSelector::refreshSpeeds(Service &service, TimePoint now) const
{
    // A pass over the endpoints costs as much as a choice. Reports take effect at once, and the rest changes slowly.
    constexpr Duration interval = 20ms;
    if (!m_options.learnsSpeed || now - service.speedsRefreshedAt < interval) {
        return;
    }
    service.speedsRefreshedAt = now;
    const bool usedSpeed = std::exchange(service.usesSpeed, service.speed.isInForce(now));
    if (!service.usesSpeed && !usedSpeed) {
        return;
    }
    double total = 0;
    double count = 0;
    for (State *state : service.byLowLatencyRank) {
        state->promptTokensPerMs = m_options.promptTokensPerMs;
        state->relativeEventTime = 1;
        if (state->speed && state->speed->eventMs() > 0) {
            total += state->speed->eventMs();
            ++count;
        }
    }
    service.speed.setMeanEventMs(count > 0 ? total / count : 0.0);
    for (State *state : service.byLowLatencyRank) {
        useSpeed(*state, service, now);
    }
}

void EndpointSelector::paused(const EndpointIncarnation &at, const RequestWork &work, Duration pause, TimePoint now)
{
    if (work.isLowLatency) {
        paused(at, pause);
    }
    State *entry = state(at);
    EndpointSpeedEstimator *speed = entry && work.promptTokens > 0 ? learnedSpeed(*entry) : nullptr;
    if (!speed) {
        return;
    }
    ObservedPause observed;
    observed.ms = toSeconds(pause) * 1000;
    observed.running = entry->running();
    const Service &service = m_services[entry->endpoint.service];
    observed.doublingStreams = service.pace.doublingStreams();
    observed.hasUnreadTokens = entry->unreadTokens + entry->peersUnread > 0;
    speed->observePause(observed, service.speed, now);
    if (speed->novelty() > 0) {
        m_speedNews.insert(at.id);
    }
}

void EndpointSelector::waited(
    const EndpointIncarnation &at, const RequestWork &work, double predictedMs, Duration wait, std::uint32_t readTokens, TimePoint now)
{
    waited(at, work, predictedMs, wait);
    State *entry = state(at);
    if (EndpointSpeedEstimator *speed = entry ? learnedSpeed(*entry) : nullptr) {
        speed->observeFirstEvent({readTokens, predictedMs, toSeconds(wait) * 1000}, m_services[entry->endpoint.service].speed, now);
    }
}

std::vector<SharedSpeed> EndpointSelector::takeNewSpeeds(std::size_t maxCount, TimePoint now)
{
    const double earned = m_speedAllowanceAt == TimePoint() ? maxSpeedAllowance : toSeconds(now - m_speedAllowanceAt) * announcementsPerSecond;
    m_speedAllowance = std::min(maxSpeedAllowance, m_speedAllowance + earned);
    m_speedAllowanceAt = now;
    std::vector<std::pair<double, State *>> news;
    std::erase_if(m_speedNews, [&](const EndpointId &id) {
        State *entry = state(id);
        const double novelty = entry && entry->speed ? entry->speed->novelty() : 0.0; // zero also if it ended, or a new incarnation began
        if (novelty > 0 && m_services[entry->endpoint.service].speed.isInForce(now)) {
            news.emplace_back(novelty, entry);
        }
        return novelty <= 0;
    });
    const std::size_t count = std::min({maxCount, news.size(), static_cast<std::size_t>(m_speedAllowance)});
    std::ranges::sort(news, std::ranges::greater());
    m_speedAllowance -= static_cast<double>(count);
    std::vector<SharedSpeed> taken;
    for (std::size_t i = 0; i < count; ++i) {
        State &from = *news[i].second;
        taken.push_back(from.speed->announce(loadKey(from.endpoint.id.text(), from.endpoint.incarnation), now));
    }
    return taken;
}

void EndpointSelector::addPeerSpeeds(std::span<const SharedSpeed> speeds, TimePoint now)
{
    for (const SharedSpeed &speed : speeds) {
        State *entry = stateOf(speed.endpoint);
        if (EndpointSpeedEstimator *learned = entry ? learnedSpeed(*entry) : nullptr) {
            learned->addPeer(speed, m_services[entry->endpoint.service].speed, now);
        }
    }
}

bool EndpointSelector::usesSpeed(const ShardId &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    return m_options.learnsSpeed && found != m_services.end() && found->second.speed.isInForce(now);
}

SpeedEstimate EndpointSelector::speedOf(const EndpointIncarnation &at, TimePoint now) const
{
    const auto entry = m_states.find(at.id);
    const bool isCurrent = entry != m_states.end() && at.isOf(entry->second.incarnationNumber);
    const auto service = isCurrent ? m_services.find(entry->second.endpoint.service) : m_services.end();
    if (service == m_services.end() || !usesSpeed(service->first, now)) {
        SpeedEstimate stated;
        stated.promptTokensPerMs = m_options.promptTokensPerMs;
        return stated;
    }
    return speedOf(entry->second, service->second, now);
}

double EndpointSelector::shareSlowerThan(const ShardId &service, double slowdown) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0.0 : found->second.speed.shareSlowerThan(slowdown);
}

std::vector<SpeedRow> EndpointSelector::speeds(TimePoint now) const
{
    std::vector<SpeedRow> rows;
    for (const auto &[id, state] : m_states) {
        const auto service = m_services.find(state.endpoint.service);
        if (service == m_services.end() || !usesSpeed(service->first, now)) {
            continue;
        }
        SpeedRow &row = rows.emplace_back();
        row.endpoint = id;
        row.service = state.endpoint.service;
        row.estimate = speedOf(state, service->second, now);
        if (state.speed) {
            row.ownSamples = state.speed->ownSamples();
            const std::optional<TimePoint> learnedAt = state.speed->learnedAt();
            row.age = learnedAt ? std::optional(now - *learnedAt) : std::nullopt;
        }
    }
    return rows;
}

} // namespace Rhubarbwind
