// Who is probed, who is suspected, and when a suspect is dead. A probe has one period: the direct answer is
// awaited first, then other hosts are asked, and at the period's end the silence counts.

#include "membership/membership.h"

#include <algorithm>

namespace Rhubarbwind
{

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
    restartSuspicions(now);
}

void Membership::restartSuspicions(TimePoint now)
{
    for (auto &[host, known] : m_members) {
        if (known.suspectUntil) {
            known.suspectUntil = now + suspicionTime();
            m_memberNews[host] = News(); // Told into the silence, it reached nobody who could refute it.
        }
    }
}

void Membership::withdrawDeaths()
{
    std::erase_if(m_memberNews, [&](const auto &entry) {
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

void Membership::passDeadlines(TimePoint now)
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

} // namespace Rhubarbwind
