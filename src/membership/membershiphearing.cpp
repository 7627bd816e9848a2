// Handling of received datagrams. Updates are joined into the table (member.h); each change becomes an update to forward and an action. Then
// pings, ping requests and sync requests are answered.

#include "membership/membership.h"

#include <algorithm>
#include <tuple>

namespace Rhubarbwind
{

namespace
{

// Concurrent probes on behalf of other hosts. Further requests are dropped; the requester also sends them to two other hosts.
constexpr std::size_t maxRelays = 256;
// Minimum time between two answers with the whole view.
constexpr Duration syncAnswerInterval = 1s;
// A process that is younger than this and receives a greater start under its own name has a clock behind that of its predecessor.
constexpr Duration startAdoptionWindow = 30s;

bool equalForHandlers(const Member &left, const Member &right)
{
    return left.state == right.state && left.leaving == right.leaving && left.address == right.address && left.incarnation.start == right.incarnation.start;
}

} // namespace

void Membership::applyUpdate(TimePoint now, const Member &update)
{
    if (update.host == m_self.host) {
        applyUpdateAboutSelf(now, update);
    } else {
        mergeMember(now, update);
    }
}

void Membership::applyUpdateAboutSelf(TimePoint now, const Member &update)
{
    if (update.incarnation.start > m_self.incarnation.start) {
        if (now - m_startedAt < startAdoptionWindow) {
            m_self.incarnation = {update.incarnation.start + 1, 0};
            m_pendingMembers[m_self.host] = PendingUpdate();
            return;
        }
        // This process was frozen, was replaced under its name, and resumed. The name belongs to its successor: two processes that refute
        // each other under one name would flap forever.
        m_superseded = true;
        m_actions.emplace_back(Superseded());
        return;
    }
    const bool sameProcess = update.incarnation.start == m_self.incarnation.start;
    if (sameProcess && update.state != MemberState::Alive && update.incarnation.refutations >= m_self.incarnation.refutations) {
        m_self.incarnation.refutations = update.incarnation.refutations + 1;
        if (update.state == MemberState::Dead) {
            // The others received nothing from this host, so the deaths that it concluded from their silence are unreliable. If sent
            // now, each death would last until that host has refuted it. Suspicions are sent again with a new suspicion time, since the
            // others have ignored them so far; unsent, they would turn into deaths here.
            discardPendingDeaths();
            restartSuspicions(now);
        }
        m_pendingMembers[m_self.host] = PendingUpdate();
    }
}

void Membership::mergeMember(TimePoint now, const Member &update)
{
    const auto found = m_members.find(update.host);
    if (found == m_members.end()) {
        evictIfFull();
        Known known;
        known.member = update;
        const auto listed = m_listed.find(update.host);
        known.listedLeaving = listed != m_listed.end() && listed->second.leaving;
        Known &added = m_members.emplace(update.host, known).first->second;
        setState(now, added);
        m_hostsByIncarnation[lifeKey(update)] = update.host;
        m_pendingMembers[update.host] = PendingUpdate();
        m_actions.emplace_back(MemberChanged{update});
        reportPresetVersion(update);
        return;
    }
    Known &known = found->second;
    const Member before = known.member;
    known.member = joined(before, update);
    reportPresetVersion(known.member);
    if (known.member == before) {
        return;
    }
    Member atOldVersion = known.member;
    atOldVersion.presetVersion = before.presetVersion;
    const auto pending = m_pendingMembers.find(update.host);
    const bool wholePending = pending != m_pendingMembers.end() && !pending->second.versionOnly;
    m_pendingMembers[update.host] = PendingUpdate{0, atOldVersion == before && !wholePending};
    if (known.member.incarnation.start != before.incarnation.start) {
        m_hostsByIncarnation.erase(lifeKey(before));
        m_hostsByIncarnation[lifeKey(known.member)] = update.host;
    }
    if (known.member.state != before.state || known.member.incarnation != before.incarnation) {
        setState(now, known);
    }
    if (!equalForHandlers(known.member, before)) {
        m_actions.emplace_back(MemberChanged{known.member});
    }
}

void Membership::applyVersionUpdate(TimePoint now, const VersionUpdate &update)
{
    const auto entry = m_hostsByIncarnation.find(update.key);
    if (entry == m_hostsByIncarnation.end()) {
        return; // About this host, or about one that is not known yet; that host's own datagrams carry its version too.
    }
    Member member = m_members.at(entry->second).member;
    member.presetVersion = update.version;
    mergeMember(now, member);
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

void Membership::mergeEndpoint(const EndpointFact &fact)
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
            // Every host evicts in the same order, so full tables are equal everywhere.
            const auto oldest = std::min_element(m_endpoints.begin(), m_endpoints.end(), [](const auto &left, const auto &right) {
                return std::tie(left.second.version, left.first) < std::tie(right.second.version, right.first);
            });
            const EndpointId dropped = oldest->first;
            m_endpoints.erase(oldest);
            m_pendingEndpoints.erase(dropped);
            if (dropped == fact.endpoint) {
                return;
            }
        }
    }
    m_pendingEndpoints[fact.endpoint] = PendingUpdate();
    m_actions.emplace_back(EndpointFactChanged{fact});
}

void Membership::reportPresetVersion(const Member &member)
{
    if (member.presetVersion > m_self.presetVersion && member.state != MemberState::Dead) {
        m_actions.emplace_back(PresetVersionSeen{member.host, member.presetVersion});
    }
}

void Membership::evictIfFull()
{
    if (m_members.size() < maxMembers) {
        return;
    }
    // Evicts the host that has been dead longest, or a live one if none is dead; the next datagram of a live host adds it again.
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
    m_hostsByIncarnation.erase(lifeKey(found->second.member));
    m_liveCount.reset();
    m_members.erase(found);
    m_pendingMembers.erase(host);
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
    // States this host's own id, whichever target was pinged, so that the answer does not keep a former host of this address alive (answerAck).
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
    // Dead hosts are left out: sent again and again, they would outlive the retention time of every host.
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
