// What a datagram changes: tellings are joined into the table (member.h), and whatever changed becomes news to
// pass on and an action; then pings, ping requests and comparisons of views are answered.

#include "membership/membership.h"

#include <algorithm>
#include <tuple>

namespace Rhubarbwind
{

namespace
{

// Probes made for others at one time; more are dropped, and the asker has two other hosts to ask.
constexpr std::size_t maxRelays = 256;
// Answers with the whole view, at most one each.
constexpr Duration syncAnswerInterval = 1s;
// A process this young that meets a greater start under its own name has a clock behind its predecessor's.
constexpr Duration adoptStartWithin = 30s;

bool sameFor(const Member &left, const Member &right)
{
    return left.state == right.state && left.leaving == right.leaving && left.address == right.address && left.incarnation.start == right.incarnation.start;
}

} // namespace

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
        if (telling.state == MemberState::Dead) {
            // The others heard nothing of this host, so what it made of their silence is worth nothing. Told now,
            // each death would last until the host has refuted it. A mere suspicion is told anew, with time to refute it,
            // since the others ignored it so far; kept back it would ripen to a death here.
            withdrawDeaths();
            restartSuspicions(now);
        }
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
    m_nextDeadline = std::min(m_nextDeadline, deadlineOf(known));
    m_liveCount.reset();
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
    m_liveCount.reset();
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
    // Names this host, whichever was meant: a former host of this address is not kept alive by it (answerAck).
    MembershipMessage answer = this->message(MembershipMessageKind::Ack);
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

} // namespace Rhubarbwind
