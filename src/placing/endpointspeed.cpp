#include "placing/endpointspeed.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

namespace
{

// A read that arrives in two pieces looks like a pause near zero, and a stall of the caller or the host like one of seconds.
constexpr double minEventMs = 0.5;
constexpr double maxEventMs = 600;
constexpr std::uint32_t minStatedPercent = 10;
constexpr std::uint32_t maxStatedPercent = 2000;
constexpr std::size_t minSamples = 4; ///< of pauses for an estimate
constexpr double usualShare = 0.42; ///< of the pauses, that are free of chunks and spells even in the shortest streams
constexpr double lengthenedShare = 0.2; ///< of pauses that are most likely too long
constexpr double maxLengthened = 2.2; ///< of the service's mean; a chunk lengthens a pause by more
// While an endpoint states a slowdown its pauses count only if there are no others. A spell has fewer of them.
constexpr std::size_t minDoubtful = 16;
constexpr std::size_t minLengthened = 6;
constexpr double peerQuantile = 0.25;
constexpr double maxWeight = 16; ///< samples for which one host's figure counts, since those of one stream tell the same
constexpr Duration slowdownLifetime = 450ms; ///< a report is 150 ms old when it arrives, and a spell lasts 600 ms
constexpr Duration peerReportAge = 300ms; ///< since it arrived at the peer
constexpr double notableSlowdown = 0.2; ///< on a logarithmic scale

/** @param values not empty; reordered */
template <class Values>
double quantileOf(Values &values, std::size_t count, double quantile)
{
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(count - 1));
    std::nth_element(values.begin(), at, values.begin() + static_cast<std::ptrdiff_t>(count));
    return *at;
}

/**
 * The lowest value around which a share of the values lies. Unlike a quantile it is not biased by the scatter of arrival times, and unlike a mean or a
 * median it ignores pauses that are longer than usual, as long as they are fewer than the rest.
 * @param values reordered
 */
template <class Values>
double lowestCluster(Values &values, std::size_t count, double share)
{
    constexpr double width = 1.6; // between the shortest and the longest
    const auto end = values.begin() + static_cast<std::ptrdiff_t>(count);
    std::sort(values.begin(), end);
    const auto needed = static_cast<std::size_t>(std::max<double>(minSamples, std::ceil(share * static_cast<double>(count))));
    for (auto first = values.begin(); first != end; ++first) {
        const auto last = std::upper_bound(first, end, *first * width);
        if (static_cast<std::size_t>(last - first) >= needed) {
            return first[(last - first) / 2];
        }
    }
    return values[static_cast<std::size_t>(share * static_cast<double>(count - 1))];
}

/** Mean on a logarithmic scale. */
double blend(double left, double leftWeight, double right, double rightWeight)
{
    return std::exp((std::log(left) * leftWeight + std::log(right) * rightWeight) / (leftWeight + rightWeight));
}

std::uint16_t toUnits(double value)
{
    return static_cast<std::uint16_t>(std::clamp(std::round(value), 0.0, 65535.0));
}

} // namespace

// SlowdownShares.

std::size_t SlowdownShares::binOf(double slowdown)
{
    constexpr double last = 16;
    return static_cast<std::size_t>(std::clamp(std::floor(slowdown / binWidth), 0.0, last));
}

void SlowdownShares::observe(double slowdown)
{
    constexpr double retention = 1 - 1 / memory;
    for (double &weight : m_weights) {
        weight *= retention;
    }
    m_total = m_total * retention + 1;
    m_weights[binOf(slowdown)] += 1;
}

double SlowdownShares::shareAbove(double slowdown) const
{
    double above = 0;
    for (std::size_t bin = binOf(slowdown) + 1; bin < m_weights.size(); ++bin) {
        above += m_weights[bin];
    }
    return m_total > 0 ? above / m_total : 0.0;
}

// ServiceSpeedEstimator.

void ServiceSpeedEstimator::observeReport(double slowdown, TimePoint now)
{
    m_slowdowns.observe(slowdown);
    m_reportedAt = now;
}

bool ServiceSpeedEstimator::isInForce(TimePoint now) const
{
    constexpr Duration lifetime = 5s; // a host receives a few answers a second, from a service in light use fewer
    return m_reportedAt && now - *m_reportedAt < lifetime;
}

void ServiceSpeedEstimator::observeRead(double tokensPerMs, double eventMs)
{
    // Waits are lengthened by prompts of other hosts more often than shortened by cached parts that this host does not know of.
    constexpr double quantile = 0.8;
    m_tokensPerEventTime.add(static_cast<float>(tokensPerMs * eventMs));
    std::array<float, 32> values{};
    std::ranges::copy(m_tokensPerEventTime, values.begin());
    m_usualTokensPerEventTime = quantileOf(values, m_tokensPerEventTime.count(), quantile);
}

double ServiceSpeedEstimator::tokensPerMs(double eventMs) const
{
    constexpr double statedWeight = 5; // samples that outweigh the stated rate
    constexpr double maxFactor = 8; // an engine of 25 or of 250 tokens per ms is within it of the default of 60
    const double mean = m_meanEventMs > 0 ? m_meanEventMs : eventMs;
    if (mean <= 0) {
        return m_statedTokensPerMs;
    }
    double tokensPerEventTime = m_statedTokensPerMs * mean;
    if (m_usualTokensPerEventTime > 0) {
        const double weight = static_cast<double>(m_tokensPerEventTime.count());
        tokensPerEventTime = blend(tokensPerEventTime, statedWeight, m_usualTokensPerEventTime, weight);
    }
    const double rate = tokensPerEventTime / (eventMs > 0 ? eventMs : mean);
    return std::clamp(rate, m_statedTokensPerMs / maxFactor, m_statedTokensPerMs * maxFactor);
}

// EndpointSpeedEstimator.

double EndpointSpeedEstimator::ownEventMs() const
{
    std::array<float, 32> values{};
    if (m_pauses.count() >= minSamples) {
        std::ranges::copy(m_pauses, values.begin());
        return lowestCluster(values, m_pauses.count(), usualShare);
    }
    if (m_doubtful.count() >= minDoubtful) {
        std::ranges::copy(m_doubtful, values.begin());
        return lowestCluster(values, m_doubtful.count(), usualShare);
    }
    const std::size_t count = m_lengthened.count() + m_pauses.count();
    if (count >= minLengthened) {
        std::ranges::copy(m_pauses, std::ranges::copy(m_lengthened, values.begin()).out);
        const double found = lowestCluster(values, count, lengthenedShare);
        return found <= m_maxLengthenedMs ? found : 0.0;
    }
    return 0;
}

double EndpointSpeedEstimator::ownWeight() const
{
    constexpr double doubtfulWeight = 2;
    return m_pauses.count() >= minSamples ? static_cast<double>(m_pauses.count()) : doubtfulWeight;
}

void EndpointSpeedEstimator::merge()
{
    std::array<std::pair<double, double>, 9> figures; // event time and weight
    std::size_t count = 0;
    m_peerWeight = 0;
    for (const PeerFigure &peer : m_peers) {
        const double weight = std::min<double>(peer.samples, maxWeight);
        figures[count++] = {peer.eventMs, weight};
        m_peerWeight += weight;
    }
    const auto quantile = [&figures, &count](double total) {
        std::sort(figures.begin(), figures.begin() + static_cast<std::ptrdiff_t>(count));
        double left = total * peerQuantile;
        for (std::size_t i = 0; i < count; ++i) {
            left -= figures[i].second;
            if (left <= 0) {
                return figures[i].first;
            }
        }
        return 0.0;
    };
    m_peerEventMs = quantile(m_peerWeight);
    if (const double own = ownEventMs(); own > 0) {
        figures[count++] = {own, ownWeight()};
        m_eventMs = quantile(m_peerWeight + ownWeight());
    } else {
        m_eventMs = m_peerEventMs;
    }
}

std::optional<double> EndpointSpeedEstimator::recentSlowdown(TimePoint now) const
{
    return m_statedAt && now - *m_statedAt < slowdownLifetime ? std::optional(m_stated) : std::nullopt;
}

double EndpointSpeedEstimator::fading(TimePoint now) const
{
    return m_statedAt ? std::clamp(1 - toSeconds(now - *m_statedAt) / toSeconds(slowdownLifetime), 0.0, 1.0) : 0.0;
}

double EndpointSpeedEstimator::slowdown(TimePoint now) const
{
    const std::optional<double> stated = recentSlowdown(now);
    return stated && *stated != 1 ? std::pow(*stated, fading(now) * std::min(1.0, m_realShare)) : 1.0;
}

void EndpointSpeedEstimator::observePause(const ObservedPause &pause, const ServiceSpeedEstimator &service, TimePoint now)
{
    const double doubling = std::max(1.0, pause.doublingStreams);
    const double ms = pause.ms * (doubling + 1) / (doubling + std::max(1.0, pause.running));
    if (!(ms >= minEventMs) || !(ms <= maxEventMs)) {
        return;
    }
    const double stated = std::log(recentSlowdown(now).value_or(1));
    const bool statesChange = std::abs(stated) > notableSlowdown;
    constexpr double minFading = 0.5; // later the slowdown has probably ended
    const double expected = stated * fading(now);
    if (statesChange && !pause.hasUnreadTokens && m_eventMs > 0 && expected / stated >= minFading) {
        constexpr double weight = 0.06; // some tens of pauses decide, about one stream
        const double real = std::clamp(std::log(ms / m_eventMs) / expected, 0.0, 1 / minFading);
        m_realShare += weight * (real - m_realShare);
    }
    m_maxLengthenedMs = maxLengthened * service.meanEventMs();
    if (pause.hasUnreadTokens) {
        m_lengthened.add(static_cast<float>(ms));
    } else if (statesChange) {
        m_doubtful.add(static_cast<float>(ms));
    } else {
        m_pauses.add(static_cast<float>(ms));
    }
    ++m_ownSamples;
    m_learnedAt = now;
    merge();
}

void EndpointSpeedEstimator::addRate(double tokensPerMs, ServiceSpeedEstimator &service)
{
    constexpr double quantile = 0.8; // as in ServiceSpeedEstimator
    m_rates.add(static_cast<float>(tokensPerMs));
    std::array<float, 8> values{};
    std::ranges::copy(m_rates, values.begin());
    m_usualRate = quantileOf(values, m_rates.count(), quantile);
    if (m_eventMs > 0) {
        service.observeRead(tokensPerMs, m_eventMs);
    } else {
        m_unpairedRate = tokensPerMs;
    }
}

void EndpointSpeedEstimator::observeFirstEvent(const ObservedFirstEvent &event, ServiceSpeedEstimator &service, TimePoint now)
{
    if (m_unpairedRate > 0 && m_eventMs > 0) {
        service.observeRead(std::exchange(m_unpairedRate, 0), m_eventMs);
    }
    constexpr std::uint32_t minTokens = 1024; // shorter prompts wait mostly for other things
    constexpr double maxPredictedShare = 0.05; // beyond it the wait says more of other prompts
    constexpr double networkMs = 3;
    if (event.readTokens < minTokens || !(event.predictedMs <= maxPredictedShare * event.waitMs)) {
        return;
    }
    // On average half an event time passes until the step that was running has ended.
    const double eventMs = m_eventMs > 0 ? m_eventMs : service.meanEventMs();
    const double readMs = event.waitMs / slowdown(now) - event.predictedMs - networkMs - eventMs / 2;
    constexpr double maxFactor = 4; // faster than that: the endpoint held a part that this host did not know of
    const double rate = event.readTokens / std::max(1e-3, readMs);
    if (readMs <= 0 || rate > maxFactor * service.tokensPerMs(m_eventMs)) {
        return;
    }
    m_ownRate = rate;
    m_learnedAt = now;
    addRate(rate, service);
}

void EndpointSpeedEstimator::observeReport(std::uint32_t slowdownPercent, ServiceSpeedEstimator &service, TimePoint now)
{
    if (slowdownPercent < minStatedPercent || slowdownPercent > maxStatedPercent) {
        return;
    }
    constexpr double percent = 100;
    m_stated = std::clamp(slowdownPercent / percent, minSlowdown, maxSlowdown);
    m_statedAt = now;
    service.observeReport(m_stated, now);
}

void EndpointSpeedEstimator::addPeer(const SharedSpeed &speed, ServiceSpeedEstimator &service, TimePoint now)
{
    constexpr double unitsPerMs = 100;
    constexpr double unitsPerToken = 10;
    const double eventMs = speed.event10us / unitsPerMs;
    const auto isSame = [&](const PeerFigure &known) { return known.samples == speed.samples && known.eventMs == static_cast<float>(eventMs); };
    const bool isKnown = std::ranges::any_of(m_peers, isSame); // forwarded by a second relay
    if (eventMs >= minEventMs && speed.samples > 0 && !isKnown) {
        m_peers.add({static_cast<float>(std::min(eventMs, maxEventMs)), speed.samples});
        m_learnedAt = now;
        merge();
        if (speed.tokensPer10Ms > 0) {
            addRate(speed.tokensPer10Ms / unitsPerToken, service);
        }
    }
    const TimePoint statedAt = now - peerReportAge;
    if (!isKnown && speed.slowdownPercent >= minStatedPercent && speed.slowdownPercent <= maxStatedPercent) {
        constexpr double percent = 100;
        const double stated = std::clamp(speed.slowdownPercent / percent, minSlowdown, maxSlowdown);
        service.observeReport(stated, now);
        if (!m_statedAt || *m_statedAt < statedAt) {
            m_stated = stated;
            m_statedAt = statedAt;
        }
    }
}

SpeedEstimate EndpointSpeedEstimator::estimate(const ServiceSpeedEstimator &service, TimePoint now) const
{
    SpeedEstimate found;
    found.eventMs = m_eventMs > 0 ? m_eventMs : service.meanEventMs();
    found.promptTokensPerMs = service.tokensPerMs(m_eventMs);
    if (m_usualRate > 0) {
        constexpr double inferredWeight = 6; // in waits; each of them has an error of a few ten percent
        constexpr double maxFactor = 1.6;
        const double rate = std::clamp(m_usualRate, found.promptTokensPerMs / maxFactor, found.promptTokensPerMs * maxFactor);
        found.promptTokensPerMs = blend(found.promptTokensPerMs, inferredWeight, rate, static_cast<double>(m_rates.count()));
    }
    found.slowdown = slowdown(now);
    found.isMeasured = m_eventMs > 0;
    return found;
}

double EndpointSpeedEstimator::novelty() const
{
    constexpr std::size_t minAnnounced = 4; // pauses
    constexpr double notable = 0.15; // of the event time, on a logarithmic scale
    constexpr double enoughPeerWeight = 3 * maxWeight;
    const double own = ownEventMs();
    const bool isClean = m_pauses.count() >= minAnnounced;
    if (own <= 0) {
        return 0;
    }
    if (m_peerWeight <= 0 && m_announcedSamples == 0) {
        return isClean ? 4.0 : 1.0;
    }
    const double peerDifference = m_peerWeight > 0 ? std::abs(std::log(own / m_peerEventMs)) : 0.0;
    if (m_announcedSamples > 0) {
        const double difference = std::abs(std::log(own / m_announcedEventMs));
        const bool agreesWithPeers = m_peerWeight >= enoughPeerWeight && peerDifference <= notable;
        const bool hasMore = m_ownSamples >= m_announcedSamples + maxWeight;
        return isClean && hasMore && difference > notable && !agreesWithPeers ? difference : 0.0;
    }
    const bool isNews = isClean && (m_peerWeight < enoughPeerWeight || peerDifference > notable);
    return isNews ? peerDifference + maxWeight / (maxWeight + m_peerWeight) : 0.0;
}

SharedSpeed EndpointSpeedEstimator::announce(std::uint32_t key, TimePoint now)
{
    constexpr double unitsPerMs = 100;
    constexpr double unitsPerToken = 10;
    constexpr double percent = 100;
    m_announcedSamples = m_ownSamples;
    m_announcedEventMs = ownEventMs();
    SharedSpeed speed;
    speed.endpoint = key;
    speed.event10us = toUnits(m_announcedEventMs * unitsPerMs);
    speed.tokensPer10Ms = toUnits(m_ownRate * unitsPerToken);
    speed.slowdownPercent = toUnits(recentSlowdown(now).value_or(0) * percent);
    speed.samples = toUnits(ownWeight());
    return speed;
}

} // namespace Rhubarbwind
