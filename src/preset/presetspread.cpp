// The state holds, for each kind of call, its due time and whether a call is in progress. Events change the due times; advance() returns the
// actions that are due. At most one call of each kind is in progress, so the cost per host is bounded whatever it receives.
//
// Waits after a failure double with full jitter (AWS Architecture Blog, "Exponential Backoff and Jitter", 2015), so that the hosts of a fleet
// do not all call the platform at the same moment after an outage.

#include "preset/presetspread.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Rhubarbwind
{

PresetSpread::PresetSpread(PresetSpreadOptions options, std::uint64_t seed, TimePoint now)
    : m_options(options)
    , m_random(seed)
    , m_readAt(now)
    , m_readBackoff(options.firstRetry, options.longestRetry)
    , m_requestAt(now)
    , m_requestBackoff(options.firstRetry, options.longestRetry)
    , m_watchAt(now)
    , m_watchBackoff(options.firstRetry, options.longestRetry)
    , m_lastContact(now)
    , m_settleBy(now + options.settleLimit)
{
}

void PresetSpread::setHosts(const HostId &self, std::span<const PresetPeer> live, TimePoint now)
{
    m_self = self;
    m_peers.clear();
    std::map<FailureDomain, std::vector<HostId>> domains;
    for (const PresetPeer &peer : live) {
        domains[peer.domain].push_back(peer.host);
        if (peer.host != self) {
            m_peers.push_back(peer.host);
        }
    }
    m_isWatcher = false;
    for (const auto &[domain, hosts] : domains) {
        const std::vector<HostId> watchers = rendezvousRank(hosts, "preset-watch/" + domain.text(), m_options.watchersPerDomain);
        m_isWatcher = m_isWatcher || std::ranges::find(watchers, self) != watchers.end();
    }
    std::erase_if(m_peerVersions,
                  [this](const std::pair<const HostId, PresetVersion> &entry) { return std::ranges::find(m_peers, entry.first) == m_peers.end(); });
    if (m_held == 0) {
        m_requestAt = std::min(m_requestAt, now);
    }
}

void PresetSpread::onPeerVersion(const HostId &host, PresetVersion version, TimePoint now)
{
    if (host == m_self) {
        return;
    }
    m_lastContact = std::max(m_lastContact, now);
    if (m_peerVersions.size() >= maxPeerVersions && !m_peerVersions.contains(host)) {
        return;
    }
    const bool isNewer = version > newestKnown() && version > m_held;
    m_peerVersions[host] = version;
    if (isNewer) {
        m_requestAt = now;
        m_requestBackoff.reset();
        m_readAt = std::min(m_readAt, now + m_options.peerTimeout);
    }
}

void PresetSpread::adopted(PresetVersion version, TimePoint now)
{
    m_held = version;
    m_toAnnounce = true;
    if (!isBehind() && m_platformAvailable) {
        m_readAt = now + jitteredPoll();
        m_requestAt = m_readAt;
    }
}

void PresetSpread::onPlatformRead(std::optional<ObjectVersion> revision, TimePoint now)
{
    m_reading = false;
    if (!revision) {
        onPlatformUnavailable(now);
        return;
    }
    m_platformAvailable = true;
    m_lastContact = std::max(m_lastContact, now);
    m_watchAfter = std::max(m_watchAfter, *revision);
    m_peeks = 0;
    if (m_readWanted) {
        m_readAt = now;
        return;
    }
    if (m_held == 0 || isBehind()) {
        m_readAt = now + m_readBackoff.next(m_random);
        return;
    }
    m_readBackoff.reset();
    m_readAt = now + jitteredPoll();
}

void PresetSpread::onPeek(const PlatformResult<WatchBatch> &result, TimePoint now)
{
    m_reading = false;
    if (result.has_error()) {
        onPlatformUnavailable(now);
        return;
    }
    m_platformAvailable = true;
    m_readBackoff.reset();
    m_readAt = m_readWanted ? now : now + jitteredPoll();
    applyWatchBatch(result.value(), now);
}

void PresetSpread::onPlatformUnavailable(TimePoint now)
{
    const bool wasAvailable = std::exchange(m_platformAvailable, false);
    m_readAt = now + m_readBackoff.next(m_random);
    m_requestAt = wasAvailable ? now : m_requestAt; // the first failure makes a request to a peer due at once; later ones leave its schedule unchanged
}

void PresetSpread::applyWatchBatch(const WatchBatch &batch, TimePoint now)
{
    m_lastContact = std::max(m_lastContact, now);
    m_watchAfter = batch.next;
    if (!batch.events.empty()) {
        m_readWanted = true;
        m_readAt = now;
    }
}

void PresetSpread::onPeerAnswer(const HostId &host, PresetVersion peerVersion, TimePoint now)
{
    onPeerVersion(host, peerVersion, now);
    if (m_requestedPeer != host) {
        return;
    }
    m_requestedPeer.reset();
    if (isBehind() || m_held == 0) {
        m_requestAt = now + m_requestBackoff.next(m_random);
        return;
    }
    m_requestBackoff.reset();
    m_requestAt = now + jitteredPoll();
}

void PresetSpread::onWatch(const PlatformResult<WatchBatch> &result, TimePoint now)
{
    m_watching = false;
    if (result.has_error()) {
        // The watch may have been silent although the preset changed: read over another connection at once.
        m_watchAt = now + m_watchBackoff.next(m_random);
        m_readWanted = true;
        m_readAt = std::min(m_readAt, now);
        return;
    }
    m_watchBackoff.reset();
    m_watchAt = now;
    applyWatchBatch(result.value(), now);
}

SpreadActions PresetSpread::advance(TimePoint now)
{
    SpreadActions actions;
    m_settled = m_settled || (m_held != 0 && !isBehind());
    expirePeerRequest(now);
    advanceAnnouncements(actions);
    advanceRead(now, actions);
    advancePeer(now, actions);
    advanceWatch(now, actions);
    return actions;
}

TimePoint PresetSpread::nextTick() const
{
    TimePoint next = m_reading ? TimePoint::max() : m_readAt;
    next = std::min(next, m_requestedPeer ? m_requestExpires : m_requestAt);
    if (m_isWatcher && !m_watching) {
        next = std::min(next, m_watchAt);
    }
    return next;
}

bool PresetSpread::isReady(TimePoint now) const
{
    const bool settled = m_settled || now >= m_settleBy;
    return m_held != 0 && settled && now - m_lastContact <= m_options.isolationLimit;
}

PresetVersion PresetSpread::newestKnown() const
{
    PresetVersion newest = 0;
    for (const auto &[host, version] : m_peerVersions) {
        newest = std::max(newest, version);
    }
    return newest;
}

bool PresetSpread::isBehind() const
{
    return newestKnown() > m_held;
}

void PresetSpread::expirePeerRequest(TimePoint now)
{
    if (m_requestedPeer && now >= m_requestExpires) {
        m_requestedPeer.reset();
        m_requestAt = now + m_requestBackoff.next(m_random);
    }
}

void PresetSpread::advanceRead(TimePoint now, SpreadActions &actions)
{
    if (m_reading || now < m_readAt) {
        return;
    }
    m_reading = true;
    const bool quietPoll = m_platformAvailable && m_held != 0 && !isBehind() && !m_readWanted;
    if (quietPoll && !m_isWatcher && m_peeks < m_options.peeksPerRead) {
        ++m_peeks;
        actions.push_back({SpreadAction::Kind::Peek, HostId(), m_watchAfter});
        return;
    }
    m_readWanted = false;
    actions.push_back({SpreadAction::Kind::ReadPlatform, HostId(), 0});
}

void PresetSpread::advancePeer(TimePoint now, SpreadActions &actions)
{
    if (m_requestedPeer || now < m_requestAt) {
        return;
    }
    const bool urgent = isBehind() || m_held == 0;
    const std::optional<HostId> peer = urgent || !m_platformAvailable ? choosePeer() : std::nullopt;
    if (!peer) {
        m_requestAt = now + (urgent ? m_requestBackoff.next(m_random) : jitteredPoll());
        return;
    }
    m_requestedPeer = peer;
    m_requestExpires = now + m_options.peerTimeout;
    actions.push_back({SpreadAction::Kind::RequestFromPeer, *peer, 0});
}

void PresetSpread::advanceWatch(TimePoint now, SpreadActions &actions)
{
    if (!m_isWatcher || m_watching || now < m_watchAt) {
        return;
    }
    m_watching = true;
    actions.push_back({SpreadAction::Kind::Watch, HostId(), m_watchAfter});
}

void PresetSpread::advanceAnnouncements(SpreadActions &actions)
{
    if (!m_toAnnounce) {
        return;
    }
    m_toAnnounce = false;
    std::vector<HostId> chosen;
    std::ranges::sample(m_peers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(m_options.announceTo), m_random.engine());
    for (const HostId &peer : chosen) {
        actions.push_back({SpreadAction::Kind::Announce, peer, 0});
    }
}

/** A random peer that holds a newer version; if there is none, any peer, for a host that holds no preset or cannot reach the platform. */
std::optional<HostId> PresetSpread::choosePeer()
{
    std::vector<HostId> newer;
    for (const auto &[host, version] : m_peerVersions) {
        if (version > m_held) {
            newer.push_back(host);
        }
    }
    const std::vector<HostId> &from = newer.empty() ? m_peers : newer;
    if (from.empty()) {
        return std::nullopt;
    }
    return from[m_random.below(from.size())];
}

Duration PresetSpread::jitteredPoll()
{
    return fromSeconds(toSeconds(m_options.pollInterval) * (0.5 + m_random.uniform()));
}

} // namespace Rhubarbwind
