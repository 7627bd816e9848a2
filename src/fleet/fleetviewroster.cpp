// The part of FleetView that serves fleets in which hosts don't hear each other directly.

#include "fleet/fleetview.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Rhubarbwind
{

namespace
{

// What is heard over other hosts is older by their ways and the rounding of ages: less than this is no younger knowledge.
constexpr Duration ageTolerance = 300ms;
// Of one change by one host. Relays of several ranks and random peers tell of it too, so the loss of some is made good.
constexpr std::uint8_t mostTellings = 4;
// A size that nobody tells any more is not believed for longer.
constexpr Duration toldHostsLife = 10s;
constexpr std::size_t mostRostersAtOnce = 4;
// Hosts that missed the word that another is gone hear it in turn, as they do of those that live.
constexpr Duration toldGoneLife = 30s;

} // namespace

bool FleetView::usesRosters(TimePoint now) const
{
    const std::size_t told = now - m_toldHostsAt <= toldHostsLife ? m_toldHosts : 0;
    return std::max(m_peers.size(), told) > m_options.directFleet;
}

Duration FleetView::rosterInterval() const
{
    return std::max(m_options.shortestInterval, fromSeconds(static_cast<double>(m_nearCount) / m_options.rosterDatagramsPerSecond));
}

bool FleetView::isStarting(TimePoint now) const
{
    return m_startedAt == TimePoint() || now - m_startedAt < m_options.rosterStart;
}

bool FleetView::isRosterDue(TimePoint now) const
{
    return m_isRelay && (usesRosters(now) || m_peers.size() > m_options.rosterFleet);
}

// Relays declare those gone that die, so this is for what relays can't tell, and above four turns of a relay through all hosts.
Duration FleetView::rosterLife() const
{
    constexpr Duration leastLife = 60s;
    constexpr double turns = 4.0;
    const double rosters = static_cast<double>(m_peers.size()) / static_cast<double>(maxRosterEntries);
    return std::max(leastLife, fromSeconds(toSeconds(rosterInterval()) * rosters * turns));
}

// Failure: a failure domain loses power, its relays with it, so nobody declares its hosts gone. Their relays' rosters come each interval, and any host of
// the domain that lives is heard of by them or by the peers that it draws.
std::set<std::string_view> FleetView::domainsOfSilence(TimePoint now) const
{
    std::map<std::string_view, TimePoint> heardAt;
    for (const auto &[key, peer] : m_peers) {
        if (peer.heardAt != TimePoint() && peer.last.domain != m_options.domain) {
            TimePoint &last = heardAt[peer.last.domain];
            last = std::max(last, peer.heardAt);
        }
    }
    const Duration silence = rosterInterval() * static_cast<int>(m_options.lostBeacons * 2);
    std::set<std::string_view> silent;
    for (const auto &[domain, last] : heardAt) {
        if (now - last > silence) {
            silent.insert(domain);
        }
    }
    return silent;
}

void FleetView::rememberRelays(TimePoint now)
{
    const bool wasRelay = std::exchange(m_isRelay, isRelay());
    const std::vector<PeerAddress> before = std::exchange(m_nearRelays, {});
    std::vector<const Peer *> near;
    for (const auto &[key, peer] : m_peers) {
        if (peer.isAlive && !peer.last.leaving && peer.last.domain == m_options.domain) {
            near.push_back(&peer);
        }
    }
    std::ranges::sort(near, std::ranges::greater(), [this](const Peer *peer) { return rankOfRelay(peer->last.place); });
    const Duration freshTime = rosterInterval() * 2 + m_options.shortestInterval;
    std::size_t fresh = 0;
    for (const Peer *peer : near) {
        if (fresh == m_options.relays || m_nearRelays.size() == m_options.relays + m_options.spareRelays) {
            break;
        }
        m_nearRelays.push_back(peer->last.place);
        fresh += now - peer->heardAt <= freshTime ? 1 : 0;
    }
    if (m_isRelay != wasRelay || (!m_isRelay && m_nearRelays != before)) {
        m_relaySince = now;
    }
}

bool FleetView::isDirectlyHeard(const Peer &peer) const
{
    if (peer.last.domain != m_options.domain) {
        return false;
    }
    return m_isRelay || std::ranges::find(m_nearRelays, peer.last.place) != m_nearRelays.end();
}

std::vector<PeerAddress> FleetView::rosterTargets(TimePoint now)
{
    const bool isSpecial = m_isRelay || m_duty != 0 || std::ranges::any_of(m_topics, [](const Topic &topic) { return topic.own.watching; });
    std::vector<PeerAddress> targets = isSpecial ? otherRelays(now) : m_nearRelays;
    for (const PeerAddress &place : someKnown(m_options.randomTargets)) {
        if (std::ranges::find(targets, place) == targets.end()) {
            targets.push_back(place);
        }
    }
    return targets;
}

std::vector<PeerAddress> FleetView::someKnown(std::size_t most)
{
    std::vector<Peers::value_type> drawn;
    std::ranges::sample(m_peers, std::back_inserter(drawn), static_cast<std::ptrdiff_t>(most), m_random.engine());
    std::vector<PeerAddress> places;
    for (const auto &[key, peer] : drawn) {
        places.push_back(peer.last.place);
    }
    return places;
}

void FleetView::changed(Peer &peer, TimePoint now)
{
    peer.changedAt = now;
    peer.tellings = 0;
}

std::vector<const FleetView::Peer *> FleetView::firstRelays(std::size_t count) const
{
    std::map<std::string_view, std::vector<const Peer *>> domains;
    for (const auto &[key, peer] : m_peers) {
        if (peer.isAlive && !peer.last.leaving && !peer.last.domain.empty()) {
            domains[peer.last.domain].push_back(&peer);
        }
    }
    std::vector<const Peer *> relays;
    for (auto &[domain, peers] : domains) {
        const std::size_t few = std::min(count, peers.size());
        std::ranges::partial_sort(peers, peers.begin() + static_cast<std::ptrdiff_t>(few), std::ranges::greater(), [this](const Peer *peer) {
            return rankOfRelay(peer->last.place);
        });
        relays.insert(relays.end(), peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(few));
    }
    return relays;
}

/** Of whose change too few rosters have told, those first of whom the fewest have. */
std::vector<FleetView::Peer *> FleetView::peersToTell(std::size_t most, TimePoint now)
{
    std::vector<Peer *> peers;
    const Duration changeLife = rosterInterval() * 8 + m_options.rosterStart;
    for (auto &[key, peer] : m_peers) {
        const bool isTold = peer.isAlive || peer.isGone;
        if (isTold && peer.changedAt != TimePoint() && peer.tellings < mostTellings && now - peer.changedAt <= changeLife) {
            peers.push_back(&peer);
        }
    }
    std::ranges::sort(peers, {}, &Peer::tellings);
    peers.resize(std::min(peers.size(), most));
    return peers;
}

std::vector<PeerRoster> FleetView::rosters(std::size_t most, TimePoint now)
{
    std::vector<const Peer *> told = firstRelays(m_options.relays);
    told.resize(std::min(told.size(), most / 2));
    const std::size_t room = most - told.size();
    const std::vector<Peer *> changes = peersToTell(room * mostRostersAtOnce * 3 / 4, now);
    for (Peer *peer : changes) {
        ++peer->tellings;
        told.push_back(peer);
    }
    // In turn, from where the last roster ended; a quarter of the room at least.
    const std::size_t whole = std::max(most, told.size() + room / 4);
    Peers::const_iterator next = m_peers.upper_bound(m_toldUpTo);
    for (std::size_t i = 0; i < m_peers.size() && told.size() < whole; ++i, ++next) {
        next = next == m_peers.end() ? m_peers.begin() : next;
        const bool isGoneOfLate = next->second.isGone && now - next->second.changedAt <= toldGoneLife;
        if (next->second.isAlive || isGoneOfLate) {
            told.push_back(&next->second);
        }
        m_toldUpTo = next->first;
    }
    return rostersOf(told, most, now);
}

std::vector<PeerRoster> FleetView::wholeRoster(std::size_t most, TimePoint now) const
{
    std::vector<const Peer *> live;
    for (const auto &[key, peer] : m_peers) {
        if (peer.isAlive) {
            live.push_back(&peer);
        }
    }
    return rostersOf(live, most, now);
}

PeerRoster FleetView::sampleRoster(std::size_t most, TimePoint now)
{
    std::vector<const Peer *> live;
    for (const auto &[key, peer] : m_peers) {
        if (peer.isAlive) {
            live.push_back(&peer);
        }
    }
    std::vector<const Peer *> drawn;
    std::ranges::sample(live, std::back_inserter(drawn), static_cast<std::ptrdiff_t>(most), m_random.engine());
    return rostersOf(drawn, most, now).front();
}

std::vector<PeerRoster> FleetView::domainRoster(std::size_t most, TimePoint now) const
{
    std::vector<const Peer *> live;
    for (const auto &[key, peer] : m_peers) {
        if (peer.isAlive && peer.last.domain == m_options.domain) {
            live.push_back(&peer);
        }
    }
    return rostersOf(live, most, now);
}

std::vector<PeerAddress> FleetView::otherRelays(TimePoint now) const
{
    std::vector<PeerAddress> relays = m_nearRelays;
    const std::vector<PeerAddress> far = farRelays(now);
    relays.insert(relays.end(), far.begin(), far.end());
    return relays;
}

std::vector<PeerRoster> FleetView::rostersOf(std::span<const Peer *const> peers, std::size_t most, TimePoint now) const
{
    std::vector<PeerRoster> made;
    for (const Peer *peer : peers) {
        if (made.empty() || made.back().entries.size() == most) {
            made.push_back(emptyRoster(now));
        }
        PeerRoster &roster = made.back();
        const std::size_t domain = static_cast<std::size_t>(std::ranges::find(roster.domains, peer->last.domain) - roster.domains.begin());
        if (domain == maxRosterDomains) {
            continue;
        }
        if (domain == roster.domains.size()) {
            roster.domains.push_back(peer->last.domain);
        }
        const bool isGone = peer->isGone && !peer->isAlive;
        const Duration age = now - (isGone ? peer->silentSince : peer->heardAt);
        roster.entries.push_back({peer->last.place, peer->life, age, static_cast<std::uint8_t>(domain), peer->last.leaving, isGone});
    }
    if (made.empty()) {
        made.push_back(emptyRoster(now));
    }
    return made;
}

PeerRoster FleetView::emptyRoster(TimePoint now) const
{
    PeerRoster roster;
    roster.hosts = static_cast<std::uint32_t>(alive() + 1);
    for (const Topic &topic : m_topics) {
        const Duration age = topic.freshWatcherAt == TimePoint() ? WatchAge().age : now - topic.freshWatcherAt;
        roster.watches.push_back({topic.newest, age});
    }
    if (m_duty != 0 && !m_leaving) {
        roster.duty = DutyClaim{m_options.self, m_duty, Duration::zero()};
    } else if (m_claim) {
        roster.duty = DutyClaim{m_claim->place, m_claim->number, m_claim->age + (now - m_claimAt)};
    }
    return roster;
}

bool FleetView::receiveRoster(const PeerRoster &roster, TimePoint now)
{
    bool isDoubted = false;
    if (roster.hosts >= m_toldHosts || now - m_toldHostsAt > toldHostsLife) {
        m_toldHosts = std::min<std::size_t>(roster.hosts, mostPeers);
        m_toldHostsAt = now;
    }
    const std::size_t known = m_peers.size();
    for (const RosterEntry &entry : roster.entries) {
        if (entry.place == m_options.self) {
            isDoubted = isDoubted || (entry.gone && entry.life == static_cast<std::uint32_t>(m_options.life));
        } else {
            takeEntry(entry, roster.domains[entry.domain], now);
        }
    }
    if (m_peers.size() != known) {
        recount();
    }
    takeWatches(roster, now);
    if (roster.duty && !(roster.duty->place == m_options.self)) {
        takeDuty(*roster.duty, now);
    }
    return isDoubted;
}

/** What is known of a host that was not heard directly. */
Beacon FleetView::indirectBeacon(const PeerAddress &place, std::string_view domain) const
{
    Beacon beacon;
    beacon.place = place;
    beacon.domain = domain;
    beacon.topics.resize(m_topics.size());
    return beacon;
}

void FleetView::takeEntry(const RosterEntry &entry, const std::string &domain, TimePoint now)
{
    const std::pair<std::string, std::uint16_t> key(entry.place.ip, entry.place.port);
    Peers::iterator found = m_peers.find(key);
    if (found == m_peers.end()) {
        if (entry.gone || m_peers.size() >= mostPeers) {
            return;
        }
        found = m_peers.try_emplace(key).first;
        m_newPeerAt = now;
    }
    Peer &peer = found->second;
    if (peer.last.domain.empty()) {
        peer.last = indirectBeacon(entry.place, domain);
    }
    const TimePoint seenAt = now - entry.age;
    if (entry.gone) {
        takeGone(peer, entry, seenAt, now);
    } else {
        takeAlive(peer, entry, seenAt, now);
    }
}

// A host's last word to others may have come an interval after the last that came to its relay, and one may have been lost there.
Duration FleetView::silenceTolerance() const
{
    return rosterInterval() * 2 + ageTolerance;
}

// Failure: a host is declared gone though it lives, and the word goes round. Were its beginning moved to what was heard since, each beacon of the host would
// renew it. So it keeps the time at which the silence began, and falls to whatever is heard clearly later.
void FleetView::takeGone(Peer &peer, const RosterEntry &entry, TimePoint seenAt, TimePoint now)
{
    if (!peer.isAlive || peer.life != entry.life || peer.heardAt > seenAt + silenceTolerance()) {
        return;
    }
    peer.isAlive = false;
    peer.isGone = true;
    peer.silentSince = seenAt;
    changed(peer, now);
    m_declaredGone.push_back(peer.last.place);
}

void FleetView::takeAlive(Peer &peer, const RosterEntry &entry, TimePoint seenAt, TimePoint now)
{
    const bool isFirst = peer.heardAt == TimePoint();
    const bool isNewLife = !isFirst && peer.life != entry.life;
    if (!isFirst && seenAt <= peer.heardAt + ((isNewLife || !peer.isAlive) ? ageTolerance : Duration::zero())) {
        return;
    }
    if (peer.isGone && !isNewLife && seenAt <= peer.silentSince + silenceTolerance()) {
        return;
    }
    const bool wasAlive = peer.isAlive && !isNewLife;
    const bool startsLeaving = entry.leaving && !peer.last.leaving;
    if (isNewLife) {
        peer.last = indirectBeacon(entry.place, peer.last.domain);
    }
    peer.life = entry.life;
    peer.heardAt = seenAt;
    peer.last.leaving = peer.last.leaving || entry.leaving;
    // Younger, but not young, knowledge of a host that is awaited directly does not end it: its relay's silence does.
    peer.isAlive = wasAlive || now - seenAt <= lifeTime(peer, now);
    peer.isGone = false;
    if ((peer.isAlive && !wasAlive) || startsLeaving) {
        changed(peer, now);
    }
}

void FleetView::takeWatches(const PeerRoster &roster, TimePoint now)
{
    for (std::size_t i = 0; i < std::min(m_topics.size(), roster.watches.size()); ++i) {
        Topic &topic = m_topics[i];
        const WatchAge &told = roster.watches[i];
        if (told.newest > topic.known() && topic.newest <= topic.known()) {
            topic.newestAt = now;
        }
        topic.newest = std::max(topic.newest, told.newest);
        topic.freshWatcherAt = std::max(topic.freshWatcherAt, now - told.age);
    }
}

// Failure: a holder that was replaced is still told of by hosts that have not heard so. The higher fencing number wins, whatever its age; the age
// of the same claim only falls with what is heard later.
void FleetView::takeDuty(const DutyClaim &claim, TimePoint now)
{
    const bool isNewer = !m_claim || claim.number > m_claim->number;
    const bool isYounger = m_claim && claim.number == m_claim->number && claim.age < m_claim->age + (now - m_claimAt);
    if (isNewer || isYounger) {
        m_claim = claim;
        m_claimAt = now;
    }
}

} // namespace Rhubarbwind
