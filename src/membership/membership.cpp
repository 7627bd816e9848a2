// Implements SWIM (Das, Gupta and Motivala, 2002): probe one host per period in a shuffled round, request other hosts to probe before
// suspecting, suspect before declaring dead, refute by incarnation numbers, and piggyback updates on the probes. The alternatives are
// all-to-all heartbeats, whose cost grows with the square of the hosts, and heartbeats through the platform, whose allowed call rate grows
// more slowly than the fleet and which has outages.
//
// Additions to the paper, each for a failure that occurs here:
//  - from Lifeguard (Dadgar, Phillips and Currey, 2017): every datagram to a suspect host reports the suspicion to it, and a host that was
//    itself stalled or receives nothing declares no other host suspect or dead
//  - dead hosts, and listed hosts that were never received from, are probed periodically, so that the halves of a healed partition reconnect
//  - views are compared by digest with a random host, which repairs updates that were lost on every path
//  - updates are also gossiped between probes, since a preset must be in force everywhere within seconds
//
// This file holds the events and the queries. Receiving, probing and spreading are in membershiphearing.cpp, membershipprobing.cpp and
// membershipspreading.cpp.

#include "membership/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace Rhubarbwind
{

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
    m_lastReceived = now;
    m_nextPeriod = now + fromSeconds(m_random.uniform() * toSeconds(m_settings.period));
    m_nextSync = now + fromSeconds(m_random.uniform() * toSeconds(m_settings.syncInterval));
    m_pendingMembers[m_self.host] = PendingUpdate();
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
            // Stored apart from what the host reports itself: the list lags and may still show a former process of the host as leaving.
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
    if (now - m_lastReceived > stallPeriods * m_settings.period) {
        restartSuspicions(now); // Refutations could not arrive during the silence, so it does not count as suspicion time.
    }
    m_lastReceived = now;
    applyUpdate(now, message.sender);
    const auto sender = m_members.find(message.sender.host);
    // A host that was cut off considers all others dead. Until it has refuted its own death, its reports of suspect and dead hosts only
    // reflect the cut, and accepting them would make every live host refute. Its report about this host is accepted: only a refutation
    // makes this host alive again in the sender's view.
    const bool senderIsDead = sender != m_members.end() && sender->second.member.state == MemberState::Dead;
    for (const Member &update : message.members) {
        if (!senderIsDead || update.state == MemberState::Alive || update.host == m_self.host) {
            applyUpdate(now, update);
        }
    }
    for (const EndpointFact &fact : message.endpoints) {
        mergeEndpoint(fact);
    }
    for (const VersionUpdate &update : message.versions) {
        applyVersionUpdate(now, update);
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
    detectStall(now);
    finishProbe(now);
    if (now >= m_nextDeadline) {
        processDeadlines(now);
    }
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
    return takeActions();
}

MembershipActions Membership::leave(TimePoint now)
{
    m_self.leaving = true;
    m_pendingMembers[m_self.host] = PendingUpdate();
    m_nextGossip = now;
    gossip(now);
    return takeActions();
}

MembershipActions Membership::announceShutdown(TimePoint now)
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
        m_pendingMembers[m_self.host] = PendingUpdate();
        gossip(now);
    }
    return takeActions();
}

MembershipActions Membership::endpointLeaving(TimePoint now, const EndpointId &endpoint, std::uint64_t version)
{
    mergeEndpoint({endpoint, version, true});
    gossip(now);
    return takeActions();
}

MembershipActions Membership::endpointReturned(TimePoint now, const EndpointId &endpoint, std::uint64_t version)
{
    mergeEndpoint({endpoint, version, false});
    gossip(now);
    return takeActions();
}

// Queries.

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

bool Membership::receivesFromPeers(TimePoint now) const
{
    const bool alone = m_members.empty() && m_listed.empty();
    return alone || now - m_lastReceived < m_settings.isolationGrace;
}

Duration Membership::detectionBound(std::size_t hosts) const
{
    const std::size_t others = hosts > 1 ? hosts - 1 : 1;
    const std::size_t periods = 2 * others + 1 + m_settings.suspicionPeriods + bitWidth(hosts);
    // Ticks quantize each period. With two hosts the survivor receives nothing, so it waits for isolationGrace first.
    const Duration probing = (m_settings.period + m_settings.tickInterval) * static_cast<Duration::rep>(periods);
    return hosts <= 2 ? probing + m_settings.isolationGrace : probing;
}

std::size_t Membership::bitWidth(std::size_t count)
{
    return static_cast<std::size_t>(std::bit_width(count));
}

} // namespace Rhubarbwind
