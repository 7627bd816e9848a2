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

//
// This file holds the events and the views; hearing, probing and spreading have files of their own.

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
    if (now - m_lastHeard > stallPeriods * m_settings.period) {
        restartSuspicions(now); // Refutations could not arrive meanwhile, so that time does not count.
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
    if (now >= m_nextDeadline) {
        passDeadlines(now);
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

bool Membership::receivesFromPeers(TimePoint now) const
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

std::size_t Membership::log2Ceil(std::size_t count)
{
    return static_cast<std::size_t>(std::bit_width(count));
}

} // namespace Rhubarbwind
