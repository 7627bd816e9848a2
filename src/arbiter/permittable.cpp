#include "arbiter/permittable.h"

#include <algorithm>

namespace Rhubarbwind
{

void PermitTable::add(Permit permit)
{
    const AttemptId id = permit.ticket.id;
    const auto [found, added] = m_permits.try_emplace(id, std::move(permit));
    if (added) {
        link(found->second);
    }
}

std::optional<Permit> PermitTable::take(const AttemptId &id)
{
    const auto found = m_permits.find(id);
    if (found == m_permits.end()) {
        return std::nullopt;
    }
    unlink(found->second);
    std::optional<Permit> taken = std::move(found->second);
    m_permits.erase(found);
    return taken;
}

const Permit *PermitTable::find(const AttemptId &id) const
{
    const auto found = m_permits.find(id);
    return found == m_permits.end() ? nullptr : &found->second;
}

std::optional<StreamPace> PermitTable::renew(TimePoint now, const AttemptId &id, std::uint32_t tokens, TimePoint givenUp)
{
    std::optional<StreamPace> pace;
    change(id, [&](Permit &permit) {
        permit.orphan = false;
        permit.tokens = std::max(permit.tokens, tokens);
        permit.givenUp = std::max(permit.givenUp, givenUp);
        pace = takePace(now, permit);
    });
    return pace;
}

std::optional<StreamPace> PermitTable::takePace(TimePoint now, Permit &permit)
{
    if (permit.tokens == 0) {
        return std::nullopt;
    }
    if (!permit.paceSince) {
        permit.paceSince = now;
        permit.paceTokens = permit.tokens;
        return std::nullopt;
    }
    const std::uint32_t tokens = permit.tokens - permit.paceTokens;
    if (tokens < leastPaceTokens) {
        return std::nullopt;
    }
    const StreamPace pace{permit.reservation.endpoint, (now - *permit.paceSince) / tokens, tokens};
    permit.paceSince = now;
    permit.paceTokens = permit.tokens;
    return pace;
}

void PermitTable::orphan(const AttemptId &id, TimePoint givenUp)
{
    change(id, [givenUp](Permit &permit) {
        permit.orphan = true;
        permit.givenUp = std::min(permit.givenUp, givenUp);
    });
}

void PermitTable::setRules(const AttemptId &id, Tier tier, bool preemptible)
{
    change(id, [tier, preemptible](Permit &permit) {
        permit.tier = tier;
        permit.preemptible = preemptible;
    });
}

void PermitTable::markPreempted(const AttemptId &id)
{
    change(id, [](Permit &permit) { permit.preempted = true; });
}

const Permit *PermitTable::bestVictim() const
{
    return m_victims.empty() ? nullptr : find(m_victims.rbegin()->id);
}

const Permit *PermitTable::nextGivenUp() const
{
    return m_byGivenUp.empty() ? nullptr : find(m_byGivenUp.begin()->second);
}

std::size_t PermitTable::size() const
{
    return m_permits.size();
}

std::size_t PermitTable::orphans() const
{
    return m_orphans;
}

std::size_t PermitTable::preempted() const
{
    return m_preempted;
}

std::vector<AttemptId> PermitTable::all() const
{
    std::vector<AttemptId> ids;
    ids.reserve(m_permits.size());
    for (const auto &[givenUp, id] : m_byGivenUp) {
        ids.push_back(id);
    }
    return ids;
}

std::vector<AttemptId> PermitTable::ofHost(const HostId &host) const
{
    std::vector<AttemptId> ids;
    for (const auto &[givenUp, id] : m_byGivenUp) {
        if (find(id)->ticket.entry == host) {
            ids.push_back(id);
        }
    }
    return ids;
}

PermitTable::VictimKey PermitTable::victimKey(const Permit &permit)
{
    return {permit.tier, permit.granted, permit.ticket.id};
}

void PermitTable::link(const Permit &permit)
{
    m_byGivenUp.emplace(permit.givenUp, permit.ticket.id);
    m_orphans += permit.orphan ? 1 : 0;
    m_preempted += permit.preempted ? 1 : 0;
    if (permit.preemptible && !permit.preempted && !permit.orphan) {
        m_victims.insert(victimKey(permit));
    }
}

void PermitTable::unlink(const Permit &permit)
{
    m_byGivenUp.erase({permit.givenUp, permit.ticket.id});
    m_orphans -= permit.orphan ? 1 : 0;
    m_preempted -= permit.preempted ? 1 : 0;
    m_victims.erase(victimKey(permit));
}

} // namespace Rhubarbwind
