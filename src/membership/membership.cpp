// SWIM (Das, Gupta and Motivala, 2002): probe one host a period in a shuffled round, ask others to probe before
// suspecting, suspect before declaring dead, refute by incarnation numbers, and let news ride on the probes.
// Preferred to all-to-all heartbeats (cost grows with the square of the hosts) and to heartbeats through the
// platform (its call rates grow more slowly than the fleet, and it has outages).
//
// Beyond the paper, each for a failure that our hosts meet:
//  - from Lifeguard (Dadgar, Phillips and Currey, 2017): a suspect is told of its suspicion by every datagram
//    it is sent, and a host that was itself stalled or hears nobody withholds accusations
//  - dead and listed-but-unheard hosts are probed now and then, so the halves of a healed partition meet
//  - views are compared by digest with a random host, so that a telling that was lost for good is repaired
//  - news is also gossiped between probes, since a preset must be in force everywhere within seconds

#include "membership/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include <xxhash.h>

namespace Rhubarbwind
{

namespace
{

// A host list entry is asked this often at once when nobody is known yet.
constexpr std::size_t joinFanout = 3;
// Ticks this many periods late mean that the process stood still.
constexpr int stallPeriods = 2;
// Probes made for others at one time; more are dropped, and the asker has two other hosts to ask.
constexpr std::size_t maxRelays = 256;
// Answers with the whole view, at most one each.
constexpr Duration syncAnswerInterval = 1s;
// A process this young that meets a greater start under its own name has a clock behind its predecessor's.
constexpr Duration adoptStartWithin = 30s;

std::size_t log2Ceil(std::size_t count)
{
    return static_cast<std::size_t>(std::bit_width(count));
}

class ViewHasher
{
public:
    void add(std::string_view text)
    {
        m_hash = XXH3_64bits_withSeed(text.data(), text.size(), m_hash);
    }
    void add(std::uint64_t number)
    {
        m_hash = XXH3_64bits_withSeed(&number, sizeof(number), m_hash);
    }
    void add(const Member &member)
    {
        add(member.host.text());
        add(member.incarnation.start);
        add(member.incarnation.refutations);
        add(member.leaving ? 1 : 0);
    }
    std::uint64_t value() const
    {
        return m_hash;
    }

private:
    std::uint64_t m_hash = 0;
};

bool sameFor(const Member &left, const Member &right)
{
    return left.state == right.state && left.leaving == right.leaving && left.address == right.address && left.incarnation.start == right.incarnation.start;
}

} // namespace

Membership::Membership(MembershipSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

MembershipActions Membership::takeActions()
{
    return std::exchange(m_actions, {});
}

// Events.

MembershipActions Membership::start(TimePoint now, Member self, std::span<const SeedHost> seeds)
{
    m_self = std::move(self);
    m_self.state = MemberState::Alive;
    m_started = true;
    m_startedAt = now;
    m_lastTick = now;
    m_lastHeard = now;
    m_nextPeriod = now + fromSeconds(m_random.uniform() * toSeconds(m_settings.period));
    m_nextSync = now + fromSeconds(m_random.uniform() * toSeconds(m_settings.syncInterval));
    m_memberNews[m_self.host] = News();
    return hostList(now, seeds);
}

MembershipActions Membership::hostList(TimePoint now, std::span<const SeedHost> list)
{
    m_listed.clear();
    for (auto &[host, known] : m_members) {
        known.listedLeaving = false;
    }
    for (const SeedHost &listed : list.first(std::min(list.size(), maxMembers))) {
        if (listed.host == m_self.host) {
            continue;
        }
        m_listed.insert_or_assign(listed.host, listed);
        const auto found = m_members.find(listed.host);
        if (found != m_members.end()) {
            // Held apart from the host's own telling: the list lags, and may still show a former life as leaving.
            found->second.listedLeaving = listed.leaving;
        }
    }
    if (active()) {
        rejoin(now);
    }
    return takeActions();
}

MembershipActions Membership::datagram(TimePoint now, const MembershipMessage &message)
{
    if (!active() || message.sender.host == m_self.host) {
        return {};
    }
    m_lastHeard = now;
    hearMember(now, message.sender);
    const auto sender = m_members.find(message.sender.host);
    // A host that was cut off took everybody else for dead meanwhile. Until it has refuted its own death, what it
    // says against others is news of the cut, and would make every live host refute. What it holds of this host
    // counts: only a refutation lets it see this host again.
    const bool heldDead = sender != m_members.end() && sender->second.member.state == MemberState::Dead;
    for (const Member &telling : message.members) {
        if (!heldDead || telling.state == MemberState::Alive || telling.host == m_self.host) {
            hearMember(now, telling);
        }
    }
    for (const EndpointFact &fact : message.endpoints) {
        hearEndpoint(fact);
    }
    for (const VersionTelling &telling : message.versions) {
        hearVersion(now, telling);
    }
    if (active()) {
        answer(now, message);
    }
    return takeActions();
}

MembershipActions Membership::tick(TimePoint now)
{
    if (!active()) {
        return {};
    }
    noteStall(now);
    finishProbe(now);
    expireSuspicions(now);
    if (now >= m_nextPeriod) {
        m_nextPeriod = now + m_settings.period;
        startProbe(now);
    }
    gossip(now);
    if (now >= m_nextRejoin) {
        rejoin(now);
    }
    if (now >= m_nextSync) {
        sync(now);
    }
    forgetDead(now);
    return takeActions();
}

MembershipActions Membership::leave(TimePoint now)
{
    m_self.leaving = true;
    m_memberNews[m_self.host] = News();
    m_nextGossip = now;
    gossip(now);
    return takeActions();
}

MembershipActions Membership::farewell(TimePoint now)
{
    if (!active()) {
        return {};
    }
    Member last = m_self;
    last.state = MemberState::Dead;
    last.leaving = true;
    for (const Known *known : randomLive(transmissionLimit(), m_self.host)) {
        MembershipMessage gossiped = message(MembershipMessageKind::Gossip);
        gossiped.members.push_back(last);
        send(known->member.address, known->member.host, std::move(gossiped));
    }
    m_lastTick = now;
    m_started = false;
    return takeActions();
}

MembershipActions Membership::setPresetVersion(TimePoint now, std::uint64_t version)
{
    if (version > m_self.presetVersion) {
        m_self.presetVersion = version;
        m_memberNews[m_self.host] = News();
        gossip(now);
    }
    return takeActions();
}

MembershipActions Membership::endpointLeaving(TimePoint now, const EndpointId &endpoint, std::uint64_t version)
{
    hearEndpoint({endpoint, version, true});
    gossip(now);
    return takeActions();
}

MembershipActions Membership::endpointReturned(TimePoint now, const EndpointId &endpoint, std::uint64_t version)
{
    hearEndpoint({endpoint, version, false});
    gossip(now);
    return takeActions();
}

// Views.

std::vector<Member> Membership::members() const
{
    std::vector<Member> members;
    for (const auto &[host, known] : m_members) {
        members.push_back(known.member);
    }
    return members;
}

std::vector<HostId> Membership::aliveHosts() const
{
    std::vector<HostId> live;
    std::vector<HostId> eligible;
    const auto add = [&](const HostId &host, bool leaving) {
        live.push_back(host);
        if (!leaving) {
            eligible.push_back(host);
        }
    };
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead) {
            add(host, known.member.leaving || known.listedLeaving);
        }
    }
    add(m_self.host, m_self.leaving);
    std::vector<HostId> &result = eligible.empty() ? live : eligible;
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<EndpointFact> Membership::endpointFacts() const
{
    std::vector<EndpointFact> facts;
    for (const auto &[endpoint, fact] : m_endpoints) {
        facts.push_back(fact);
    }
    return facts;
}

bool Membership::endpointIsLeaving(const EndpointId &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && found->second.leaving;
}

bool Membership::hearsPeers(TimePoint now) const
{
    const bool alone = m_members.empty() && m_listed.empty();
    return alone || now - m_lastHeard < m_settings.deafGrace;
}

Duration Membership::detectionBound(std::size_t hosts) const
{
    const std::size_t others = hosts > 1 ? hosts - 1 : 1;
    const std::size_t periods = 2 * others + 1 + m_settings.suspicionPeriods + log2Ceil(hosts);
    // Ticks quantize each period, and a host that hears nobody waits out its grace first.
    const Duration probing = (m_settings.period + m_settings.tickInterval) * static_cast<Duration::rep>(periods);
    return hosts <= 2 ? probing + m_settings.deafGrace : probing;
}

// Hearing.

void Membership::hearMember(TimePoint now, const Member &telling)
{
    if (telling.host == m_self.host) {
        hearAboutSelf(now, telling);
    } else {
        learn(now, telling);
    }
}

void Membership::hearAboutSelf(TimePoint now, const Member &telling)
{
    if (telling.incarnation.start > m_self.incarnation.start) {
        if (now - m_startedAt < adoptStartWithin) {
            m_self.incarnation = {telling.incarnation.start + 1, 0};
            m_memberNews[m_self.host] = News();
            return;
        }
        // This process was frozen, was replaced under its name, and woke. Its successor holds the name now; two
        // hosts that refute each other under one name would flap for ever.
        m_superseded = true;
        m_actions.emplace_back(Superseded());
        return;
    }
    const bool sameLife = telling.incarnation.start == m_self.incarnation.start;
    if (sameLife && telling.state != MemberState::Alive && telling.incarnation.refutations >= m_self.incarnation.refutations) {
        m_self.incarnation.refutations = telling.incarnation.refutations + 1;
        m_memberNews[m_self.host] = News();
    }
}

void Membership::learn(TimePoint now, const Member &telling)
{
    const auto found = m_members.find(telling.host);
    if (found == m_members.end()) {
        makeRoom();
        Known known;
        known.member = telling;
        const auto listed = m_listed.find(telling.host);
        known.listedLeaving = listed != m_listed.end() && listed->second.leaving;
        Known &added = m_members.emplace(telling.host, known).first->second;
        setState(now, added);
        m_lives[lifeKey(telling)] = telling.host;
        m_memberNews[telling.host] = News();
        m_actions.emplace_back(MemberChanged{telling});
        notePresetVersion(telling);
        return;
    }
    Known &known = found->second;
    const Member before = known.member;
    known.member = joined(before, telling);
    notePresetVersion(known.member);
    if (known.member == before) {
        return;
    }
    Member atOldVersion = known.member;
    atOldVersion.presetVersion = before.presetVersion;
    const auto pending = m_memberNews.find(telling.host);
    const bool wholePending = pending != m_memberNews.end() && !pending->second.versionOnly;
    m_memberNews[telling.host] = News{0, atOldVersion == before && !wholePending};
    if (known.member.incarnation.start != before.incarnation.start) {
        m_lives.erase(lifeKey(before));
        m_lives[lifeKey(known.member)] = telling.host;
    }
    if (known.member.state != before.state || known.member.incarnation != before.incarnation) {
        setState(now, known);
    }
    if (!sameFor(known.member, before)) {
        m_actions.emplace_back(MemberChanged{known.member});
    }
}

void Membership::hearVersion(TimePoint now, const VersionTelling &telling)
{
    const auto life = m_lives.find(telling.life);
    if (life == m_lives.end()) {
        return; // Of this host itself, or of one not known yet: its own datagrams carry the version too.
    }
    Member member = m_members.at(life->second).member;
    member.presetVersion = telling.version;
    learn(now, member);
}

void Membership::setState(TimePoint now, Known &known)
{
    known.suspectUntil.reset();
    if (known.member.state == MemberState::Suspect) {
        known.suspectUntil = now + suspicionTime();
    }
    if (known.member.state == MemberState::Dead) {
        known.diedAt = now;
    }
}

void Membership::hearEndpoint(const EndpointFact &fact)
{
    const auto found = m_endpoints.find(fact.endpoint);
    if (found != m_endpoints.end()) {
        if (!supersedes(fact, found->second)) {
            return;
        }
        found->second = fact;
    } else {
        m_endpoints.emplace(fact.endpoint, fact);
        if (m_endpoints.size() > maxEndpointFacts) {
            // Every host drops by the same order, so a full table is the same table everywhere.
            const auto oldest = std::min_element(m_endpoints.begin(), m_endpoints.end(), [](const auto &left, const auto &right) {
                return std::tie(left.second.version, left.first) < std::tie(right.second.version, right.first);
            });
            const EndpointId dropped = oldest->first;
            m_endpoints.erase(oldest);
            m_endpointNews.erase(dropped);
            if (dropped == fact.endpoint) {
                return;
            }
        }
    }
    m_endpointNews[fact.endpoint] = News();
    m_actions.emplace_back(EndpointFactChanged{fact});
}

void Membership::notePresetVersion(const Member &member)
{
    if (member.presetVersion > m_self.presetVersion && member.state != MemberState::Dead) {
        m_actions.emplace_back(PresetVersionSeen{member.host, member.presetVersion});
    }
}

void Membership::makeRoom()
{
    if (m_members.size() < maxMembers) {
        return;
    }
    // The longest dead goes first; a live host only when all are, and then its next datagram brings it back.
    const auto first = std::min_element(m_members.begin(), m_members.end(), [](const auto &left, const auto &right) {
        const bool leftLives = left.second.member.state != MemberState::Dead;
        const bool rightLives = right.second.member.state != MemberState::Dead;
        return std::tie(leftLives, left.second.diedAt) < std::tie(rightLives, right.second.diedAt);
    });
    const HostId host = first->first;
    forget(host);
}

void Membership::forget(const HostId &host)
{
    const auto found = m_members.find(host);
    m_lives.erase(lifeKey(found->second.member));
    m_members.erase(found);
    m_memberNews.erase(host);
    m_actions.emplace_back(MemberForgotten{host});
}

void Membership::answer(TimePoint now, const MembershipMessage &message)
{
    switch (message.kind) {
    case MembershipMessageKind::Ping:
        answerPing(message);
        return;
    case MembershipMessageKind::Ack:
        answerAck(message);
        return;
    case MembershipMessageKind::PingRequest:
        answerPingRequest(now, message);
        return;
    case MembershipMessageKind::SyncRequest:
        answerSync(now, message);
        return;
    case MembershipMessageKind::Gossip:
        return;
    }
}

void Membership::answerPing(const MembershipMessage &message)
{
    // A ping for the former host of this address must not keep that host alive; but the pinger may learn of us.
    const bool meant = message.target == m_self.host;
    MembershipMessage answer = this->message(meant ? MembershipMessageKind::Ack : MembershipMessageKind::Gossip);
    answer.sequence = message.sequence;
    answer.target = m_self.host;
    send(message.sender.address, message.sender.host, std::move(answer));
}

void Membership::answerAck(const MembershipMessage &message)
{
    if (m_probe && message.sequence == m_probe->sequence && message.target == m_probe->target) {
        m_probe.reset();
    }
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay &candidate) { return candidate.sequence == message.sequence; });
    if (relay == m_relays.end() || message.sequence == 0) {
        return;
    }
    MembershipMessage passedOn = this->message(MembershipMessageKind::Ack);
    passedOn.sequence = relay->requesterSequence;
    passedOn.target = message.target;
    const PeerAddress requester = relay->requester;
    const HostId requesterHost = relay->requesterHost;
    m_relays.erase(relay);
    send(requester, requesterHost, std::move(passedOn));
}

void Membership::answerPingRequest(TimePoint now, const MembershipMessage &message)
{
    std::erase_if(m_relays, [&](const Relay &relay) { return relay.expires <= now; });
    if (m_relays.size() >= maxRelays || message.target.empty() || message.targetAddress.port == 0) {
        return;
    }
    ++m_sequence;
    m_relays.push_back({message.sender.address, message.sender.host, message.sequence, m_sequence, now + m_settings.period});
    MembershipMessage ping = this->message(MembershipMessageKind::Ping);
    ping.sequence = m_sequence;
    ping.target = message.target;
    send(message.targetAddress, message.target, std::move(ping));
}

void Membership::answerSync(TimePoint now, const MembershipMessage &message)
{
    if (message.digest == viewDigest() || now < m_nextSyncAnswer) {
        return;
    }
    m_nextSyncAnswer = now + syncAnswerInterval;
    // The dead are left out: told again and again, they would outlive every host's retention.
    std::vector<Member> members;
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead && host != message.sender.host) {
            members.push_back(known.member);
        }
    }
    const std::vector<EndpointFact> facts = endpointFacts();
    std::size_t nextMember = 0;
    std::size_t nextFact = 0;
    while (nextMember < members.size() || nextFact < facts.size()) {
        MembershipMessage part = this->message(MembershipMessageKind::Gossip);
        std::size_t bytes = encodedBytesBound(part);
        while (nextMember < members.size() && bytes + encodedBytesBound(members[nextMember]) <= maxDatagramBytes) {
            bytes += encodedBytesBound(members[nextMember]);
            part.members.push_back(members[nextMember++]);
        }
        while (nextFact < facts.size() && bytes + encodedBytesBound(facts[nextFact]) <= maxDatagramBytes) {
            bytes += encodedBytesBound(facts[nextFact]);
            part.endpoints.push_back(facts[nextFact++]);
        }
        m_actions.emplace_back(SendDatagram{message.sender.address, std::move(part)});
    }
}

// Probing.

void Membership::noteStall(TimePoint now)
{
    const Duration gap = now - m_lastTick;
    m_lastTick = now;
    if (gap <= stallPeriods * m_settings.period) {
        return;
    }
    // The process was frozen or starved: answers wait unread, and every deadline ran out meanwhile. Judged now,
    // all hosts would be dead to this one at once, and its duties would move to itself.
    m_probe.reset();
    m_relays.clear();
    m_lastHeard = std::max(m_lastHeard, now - m_settings.period);
    m_nextPeriod = now + m_settings.period;
    for (auto &[host, known] : m_members) {
        if (known.suspectUntil) {
            known.suspectUntil = now + suspicionTime();
        }
    }
}

void Membership::finishProbe(TimePoint now)
{
    if (!m_probe) {
        return;
    }
    if (now >= m_nextPeriod) {
        const HostId target = m_probe->target;
        m_probe.reset();
        suspect(now, target);
        return;
    }
    if (!m_probe->indirect && now - m_probe->sent >= m_settings.directTimeout) {
        m_probe->indirect = true;
        askOthers(*m_probe);
    }
}

void Membership::askOthers(const Probe &probe)
{
    const auto target = m_members.find(probe.target);
    if (target == m_members.end()) {
        return;
    }
    for (const Known *helper : randomLive(m_settings.indirectProbes, probe.target)) {
        MembershipMessage request = message(MembershipMessageKind::PingRequest);
        request.sequence = probe.sequence;
        request.target = probe.target;
        request.targetAddress = target->second.member.address;
        send(helper->member.address, helper->member.host, std::move(request));
    }
}

void Membership::startProbe(TimePoint now)
{
    const std::optional<HostId> target = nextProbeTarget();
    if (!target) {
        return;
    }
    ++m_sequence;
    m_probe = Probe{*target, m_sequence, now, false};
    MembershipMessage ping = message(MembershipMessageKind::Ping);
    ping.sequence = m_sequence;
    ping.target = *target;
    const PeerAddress address = m_members.at(*target).member.address;
    send(address, *target, std::move(ping));
}

std::optional<HostId> Membership::nextProbeTarget()
{
    // A shuffled round rather than a draw each time: it bounds how long a host can go unprobed.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const HostId host = m_probeOrder.back();
            m_probeOrder.pop_back();
            const auto found = m_members.find(host);
            if (found != m_members.end() && found->second.member.state != MemberState::Dead) {
                return host;
            }
        }
        for (const auto &[host, known] : m_members) {
            if (known.member.state != MemberState::Dead) {
                m_probeOrder.push_back(host);
            }
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random.engine());
    }
    return std::nullopt;
}

bool Membership::withholdsAccusations(TimePoint now) const
{
    // A host that can send but not receive finds every peer silent. It can't tell that from their deaths, so it
    // waits until its peers have found it dead and ignore what it says; then it may judge for itself.
    const Duration silence = now - m_lastHeard;
    return silence > stallPeriods * m_settings.period && silence < m_settings.deafGrace;
}

void Membership::suspect(TimePoint now, const HostId &host)
{
    const auto found = m_members.find(host);
    if (found == m_members.end() || found->second.member.state != MemberState::Alive || withholdsAccusations(now)) {
        return;
    }
    Member accused = found->second.member;
    accused.state = MemberState::Suspect;
    learn(now, accused);
}

void Membership::expireSuspicions(TimePoint now)
{
    if (withholdsAccusations(now)) {
        return;
    }
    std::vector<Member> expired;
    for (const auto &[host, known] : m_members) {
        if (known.suspectUntil && *known.suspectUntil <= now) {
            expired.push_back(known.member);
        }
    }
    for (Member &member : expired) {
        member.state = MemberState::Dead;
        learn(now, member);
    }
}

void Membership::forgetDead(TimePoint now)
{
    std::vector<HostId> expired;
    for (const auto &[host, known] : m_members) {
        if (known.member.state == MemberState::Dead && now - known.diedAt >= m_settings.deadRetention) {
            expired.push_back(host);
        }
    }
    for (const HostId &host : expired) {
        forget(host);
    }
}

Duration Membership::suspicionTime() const
{
    const std::size_t periods = m_settings.suspicionPeriods + log2Ceil(liveCount());
    return m_settings.period * static_cast<Duration::rep>(periods);
}

// Spreading.

void Membership::gossip(TimePoint now)
{
    if (!active() || now < m_nextGossip || (m_memberNews.empty() && m_endpointNews.empty())) {
        return;
    }
    m_nextGossip = now + m_settings.gossipInterval;
    for (const Known *known : randomLive(m_settings.gossipFanout, m_self.host)) {
        send(known->member.address, known->member.host, message(MembershipMessageKind::Gossip));
    }
}

std::vector<SeedHost> Membership::unreachedHosts() const
{
    std::set<PeerAddress, bool (*)(const PeerAddress &, const PeerAddress &)> taken(
        [](const PeerAddress &left, const PeerAddress &right) { return std::tie(left.ip, left.port) < std::tie(right.ip, right.port); });
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead) {
            taken.insert(known.member.address);
        }
    }
    std::vector<SeedHost> unreached;
    for (const auto &[host, known] : m_members) {
        const bool mayReturn = known.member.state == MemberState::Dead && !known.member.leaving;
        if (mayReturn && !taken.contains(known.member.address)) {
            unreached.push_back({host, known.member.address, known.member.domain, false});
        }
    }
    for (const auto &[host, listed] : m_listed) {
        if (!m_members.contains(host) && !taken.contains(listed.address)) {
            unreached.push_back(listed);
        }
    }
    return unreached;
}

void Membership::rejoin(TimePoint now)
{
    m_nextRejoin = now + m_settings.rejoinInterval;
    std::vector<SeedHost> unreached = unreachedHosts();
    std::shuffle(unreached.begin(), unreached.end(), m_random.engine());
    const bool alone = liveCount() == 1;
    unreached.resize(std::min(unreached.size(), alone ? joinFanout : std::size_t(1)));
    for (const SeedHost &host : unreached) {
        MembershipMessage ping = message(MembershipMessageKind::Ping);
        ping.target = host.host;
        send(host.address, host.host, std::move(ping));
        if (alone) {
            MembershipMessage request = message(MembershipMessageKind::SyncRequest);
            request.digest = viewDigest();
            send(host.address, host.host, std::move(request));
        }
    }
}

void Membership::sync(TimePoint now)
{
    m_nextSync = now + m_settings.syncInterval;
    for (const Known *known : randomLive(1, m_self.host)) {
        MembershipMessage request = message(MembershipMessageKind::SyncRequest);
        request.digest = viewDigest();
        send(known->member.address, known->member.host, std::move(request));
    }
}

MembershipMessage Membership::message(MembershipMessageKind kind) const
{
    MembershipMessage message;
    message.kind = kind;
    message.sender = m_self;
    return message;
}

void Membership::send(const PeerAddress &to, const HostId &host, MembershipMessage message)
{
    addNews(host, message);
    m_actions.emplace_back(SendDatagram{to, std::move(message)});
}

void Membership::addNews(const HostId &recipient, MembershipMessage &message)
{
    std::size_t bytes = encodedBytesBound(message);
    for (const Member &member : message.members) {
        bytes += encodedBytesBound(member);
    }
    const auto add = [&](auto &list, const auto &telling) {
        const std::size_t added = encodedBytesBound(telling);
        const bool fits =
            bytes + added <= maxDatagramBytes && message.members.size() + message.endpoints.size() + message.versions.size() < maxTellingsPerDatagram;
        if (fits) {
            bytes += added;
            list.push_back(telling);
        }
        return fits;
    };
    // Whoever is taken for suspect or dead hears it from everybody who speaks to it, so that it can refute.
    const auto accused = m_members.find(recipient);
    const bool tellAccused = accused != m_members.end() && accused->second.member.state != MemberState::Alive;
    if (tellAccused) {
        add(message.members, accused->second.member);
    }
    const std::size_t limit = transmissionLimit();
    for (auto it = m_endpointNews.begin(); it != m_endpointNews.end();) {
        if (!add(message.endpoints, m_endpoints.at(it->first))) {
            break;
        }
        it = ++it->second.sent >= limit ? m_endpointNews.erase(it) : std::next(it);
    }
    // The least told first: fresh news overtakes what has nearly run its course.
    std::vector<std::pair<std::size_t, HostId>> order;
    for (const auto &[host, news] : m_memberNews) {
        order.emplace_back(news.sent, host);
    }
    std::sort(order.begin(), order.end());
    for (const auto &[sent, host] : order) {
        const bool carriedAnyway = host == m_self.host || (tellAccused && host == recipient);
        News &news = m_memberNews.at(host);
        const Member &member = host == m_self.host ? m_self : m_members.at(host).member;
        const bool added =
            carriedAnyway || (news.versionOnly ? add(message.versions, VersionTelling{lifeKey(member), member.presetVersion}) : add(message.members, member));
        if (!added) {
            break;
        }
        if (++news.sent >= limit) {
            m_memberNews.erase(host);
        }
    }
}

std::size_t Membership::transmissionLimit() const
{
    return m_settings.extraTransmissions + log2Ceil(liveCount());
}

std::size_t Membership::liveCount() const
{
    const auto live = std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) { return entry.second.member.state != MemberState::Dead; });
    return static_cast<std::size_t>(live) + 1;
}

std::vector<const Membership::Known *> Membership::randomLive(std::size_t count, const HostId &except)
{
    std::vector<const Known *> live;
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead && host != except) {
            live.push_back(&known);
        }
    }
    std::shuffle(live.begin(), live.end(), m_random.engine());
    live.resize(std::min(live.size(), count));
    return live;
}

std::uint64_t Membership::viewDigest() const
{
    std::map<HostId, const Member *> view{{m_self.host, &m_self}};
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead) {
            view.emplace(host, &known.member);
        }
    }
    ViewHasher hasher;
    for (const auto &[host, member] : view) {
        hasher.add(*member);
    }
    for (const auto &[endpoint, fact] : m_endpoints) {
        hasher.add(endpoint.text());
        hasher.add(fact.version);
        hasher.add(fact.leaving ? 1 : 0);
    }
    return hasher.value();
}

} // namespace Rhubarbwind
