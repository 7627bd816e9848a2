#include "routing/endpointpool.h"

#include <algorithm>
#include <set>

namespace Rhubarbwind
{

namespace
{

std::uint64_t neededTokens(std::uint32_t promptTokens, std::uint32_t estimatedTokens)
{
    return std::uint64_t{promptTokens} + estimatedTokens;
}

} // namespace

Duration HopCosts::cost(const FailureDomain &from, const FailureDomain &to) const
{
    if (const auto found = named.find({from, to}); found != named.end()) {
        return found->second;
    }
    if (const auto found = named.find({to, from}); found != named.end()) {
        return found->second;
    }
    return from == to ? within : between;
}

EndpointPool::EndpointPool(EndpointPoolOptions options, TimePoint)
    : m_options(std::move(options))
{
}

EndpointObstacle EndpointPool::obstacle(TimePoint now, const Member &member, std::uint64_t needed) const
{
    const Endpoint &endpoint = member.endpoint;
    if (!member.listed || endpoint.state == EndpointState::Gone) {
        return EndpointObstacle::Gone;
    }
    if (endpoint.state == EndpointState::Leaving || (member.leavingUntil && now < *member.leavingUntil)) {
        return EndpointObstacle::Leaving;
    }
    if (member.inFlight >= endpoint.slots) {
        return EndpointObstacle::AtLimit;
    }
    if (endpoint.kvTokens > 0 && member.inFlight > 0 && member.reservedTokens + needed > endpoint.kvTokens) {
        return EndpointObstacle::MemoryFull;
    }
    return EndpointObstacle::None;
}

std::optional<EndpointChoice> EndpointPool::choose(TimePoint now, const EndpointQuery &query)
{
    const Member *best = nullptr;
    bool bestAvoided = true;
    for (const auto &[id, member] : m_members) {
        if (obstacle(now, member, neededTokens(query.promptTokens, query.estimatedTokens)) != EndpointObstacle::None) {
            continue;
        }
        const bool avoided = std::find(query.avoid.begin(), query.avoid.end(), id) != query.avoid.end();
        const bool better = best == nullptr || (bestAvoided && !avoided) || (bestAvoided == avoided && member.inFlight < best->inFlight);
        if (better) {
            best = &member;
            bestAvoided = avoided;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    EndpointChoice choice;
    choice.endpoint = best->endpoint.id;
    choice.hopCost = m_options.hops.cost(query.entryDomain, best->endpoint.domain);
    return choice;
}

void EndpointPool::reserve(TimePoint, const Reservation &reservation, std::span<const std::uint64_t>)
{
    Member &member = m_members[reservation.endpoint];
    member.endpoint.id = reservation.endpoint;
    ++member.inFlight;
    member.reservedTokens += neededTokens(reservation.promptTokens, reservation.estimatedTokens);
}

void EndpointPool::release(const Reservation &reservation)
{
    const auto found = m_members.find(reservation.endpoint);
    if (found == m_members.end() || found->second.inFlight == 0) {
        return;
    }
    --found->second.inFlight;
    const std::uint64_t tokens = neededTokens(reservation.promptTokens, reservation.estimatedTokens);
    found->second.reservedTokens -= std::min(found->second.reservedTokens, tokens);
}

void EndpointPool::free(TimePoint, const Reservation &reservation, const ServiceSample &)
{
    release(reservation);
}

void EndpointPool::freeUnused(TimePoint, const Reservation &reservation)
{
    release(reservation);
}

void EndpointPool::update(TimePoint, std::span<const Endpoint> endpoints)
{
    for (auto &[id, member] : m_members) {
        member.listed = false;
    }
    for (const Endpoint &endpoint : endpoints) {
        Member &member = m_members[endpoint.id];
        member.endpoint = endpoint;
        member.listed = true;
        if (endpoint.state != EndpointState::Live) {
            member.leavingUntil.reset();
        }
    }
    std::erase_if(m_members, [](const auto &entry) { return !entry.second.listed && entry.second.inFlight == 0 && !entry.second.leavingUntil; });
}

std::size_t EndpointPool::freePlaces(TimePoint now) const
{
    std::size_t places = 0;
    for (const auto &[id, member] : m_members) {
        if (obstacle(now, member, 0) == EndpointObstacle::None) {
            places += member.endpoint.slots - member.inFlight;
        }
    }
    return places;
}

bool EndpointPool::hasTakers() const
{
    return std::any_of(m_members.begin(), m_members.end(), [](const auto &entry) {
        const Member &member = entry.second;
        return member.listed && member.endpoint.state == EndpointState::Live && !member.leavingUntil;
    });
}

void EndpointPool::loadReport(TimePoint, const LoadReport &)
{
}

void EndpointPool::cacheEvent(TimePoint, const CacheEvent &)
{
}

void EndpointPool::markLeaving(TimePoint now, const EndpointId &endpoint)
{
    Member &member = m_members[endpoint];
    member.endpoint.id = endpoint;
    member.leavingUntil = now + m_options.leavingMemory;
}

std::vector<EndpointStatus> EndpointPool::status(TimePoint now) const
{
    std::vector<EndpointStatus> all;
    for (const auto &[id, member] : m_members) {
        EndpointStatus one;
        one.endpoint = id;
        one.state = member.listed ? member.endpoint.state : EndpointState::Gone;
        one.limit = member.endpoint.slots;
        one.inFlight = member.inFlight;
        one.reservedTokens = member.reservedTokens;
        one.obstacle = obstacle(now, member, 0);
        all.push_back(one);
    }
    return all;
}

} // namespace Rhubarbwind
