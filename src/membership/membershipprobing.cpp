// Failure detection: selects the host to probe, suspects hosts that do not answer, and declares suspects dead. A probe takes one period. If
// the direct answer does not arrive within directTimeout, other hosts are requested to probe; without any answer by the end of the period the
// host becomes suspect.

#include "membership/membership.h"

#include <algorithm>

namespace Rhubarbwind
{

void Membership::detectStall(TimePoint now)
{
    const Duration gap = now - m_lastTick;
    m_lastTick = now;
    if (gap <= stallPeriods * m_settings.period) {
        return;
    }
    // The process was frozen or starved: answers wait unread in the socket, and every deadline has passed. Evaluated now, all other hosts
    // would be declared dead at once, and this host would take over all duties.
    m_probe.reset();
    m_relays.clear();
    m_lastReceived = std::max(m_lastReceived, now - m_settings.period);
    m_nextPeriod = now + m_settings.period;
    restartSuspicions(now);
}

void Membership::restartSuspicions(TimePoint now)
{
    for (auto &[host, known] : m_members) {
        if (known.suspectUntil) {
            known.suspectUntil = now + suspicionTime();
            m_pendingMembers[host] = PendingUpdate(); // What was sent during the silence reached no host that could refute it.
        }
    }
}

void Membership::discardPendingDeaths()
{
    std::erase_if(m_pendingMembers, [&](const auto &entry) {
        const auto known = m_members.find(entry.first);
        return known != m_members.end() && known->second.member.state == MemberState::Dead;
    });
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
        requestIndirectProbes(*m_probe);
    }
}

void Membership::requestIndirectProbes(const Probe &probe)
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
    // A shuffled round rather than a random choice each time: it bounds how long a host can remain unprobed.
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

bool Membership::suppressesSuspicions(TimePoint now) const
{
    // A host that can send but not receive finds every peer silent and cannot distinguish that from their deaths. It waits until its peers
    // consider it dead and ignore its reports of suspect and dead hosts; after that it may declare hosts suspect or dead again.
    const Duration silence = now - m_lastReceived;
    return silence > stallPeriods * m_settings.period && silence < m_settings.isolationGrace;
}

void Membership::suspect(TimePoint now, const HostId &host)
{
    const auto found = m_members.find(host);
    if (found == m_members.end() || found->second.member.state != MemberState::Alive || suppressesSuspicions(now)) {
        return;
    }
    Member suspected = found->second.member;
    suspected.state = MemberState::Suspect;
    mergeMember(now, suspected);
}

void Membership::processDeadlines(TimePoint now)
{
    expireSuspicions(now);
    forgetDead(now);
    m_nextDeadline = TimePoint::max();
    for (const auto &[host, known] : m_members) {
        m_nextDeadline = std::min(m_nextDeadline, deadlineOf(known));
    }
}

TimePoint Membership::deadlineOf(const Known &known) const
{
    if (known.member.state == MemberState::Dead) {
        return known.diedAt + m_settings.deadRetention;
    }
    return known.suspectUntil.value_or(TimePoint::max());
}

void Membership::expireSuspicions(TimePoint now)
{
    if (suppressesSuspicions(now)) {
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
        mergeMember(now, member);
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
    const std::size_t periods = m_settings.suspicionPeriods + bitWidth(liveCount());
    return m_settings.period * static_cast<Duration::rep>(periods);
}

} // namespace Rhubarbwind
