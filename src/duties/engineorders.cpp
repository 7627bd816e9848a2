#include "duties/engineorders.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

/** The engines of a service in a domain; zero if none are listed. */
EngineCount countOf(std::span<const EngineCount> counts, const ShardId &service, const FailureDomain &domain)
{
    const auto found = std::ranges::find_if(counts, [&](const EngineCount &count) { return count.service == service && count.domain == domain; });
    return found == counts.end() ? EngineCount{service, domain} : *found;
}

} // namespace

void EngineOrders::begin(std::vector<EngineGoal> goals)
{
    m_goals = std::move(goals);
    m_ordered.clear();
    m_observations.clear();
}

// Failure: the first holder takes the duties while engines are still registering in the store, and mistakes the few that it sees for all that the
// service had. Symptom: all but those few are removed, and nearly every prompt is refused.
bool EngineOrders::fixGoals(std::span<const EngineCount> counts, TimePoint now)
{
    const std::size_t before = m_goals.size();
    for (const ScaledService &service : m_services) {
        if (std::ranges::find(m_goals, service.service, &EngineGoal::service) != m_goals.end()) {
            continue;
        }
        EngineGoal goal{service.service, 0, 0, {}};
        for (const EngineCount &count : counts) {
            const std::uint32_t readyCount = count.lasting + count.reclaimable;
            if (count.service == service.service && readyCount > 0) {
                goal.domains.push_back(count.domain);
                goal.need += readyCount;
            }
        }
        Observation &seen = m_observations[service.service];
        if (seen.engines != goal) {
            seen = {goal, now};
        }
        if (goal.domains.size() >= 2 && now - seen.since >= m_options.stableTime) {
            goal.eachDomain = eachDomain(service, goal);
            m_goals.push_back(std::move(goal));
        }
    }
    return m_goals.size() != before;
}

std::uint32_t EngineOrders::eachDomain(const ScaledService &service, const EngineGoal &goal) const
{
    const std::uint32_t domains = static_cast<std::uint32_t>(goal.domains.size());
    const std::uint32_t spare = (goal.need + domains - 2) / (domains - 1);
    const double affordable = m_options.spendShare * goal.need / domains / std::max(service.reclaimablePrice, 0.001);
    return std::min(service.maxPerDomain, std::max(spare, static_cast<std::uint32_t>(std::min<double>(affordable, service.maxPerDomain))));
}

const ScaledService *EngineOrders::scaling(const ShardId &service) const
{
    const auto found = std::ranges::find(m_services, service, &ScaledService::service);
    return found == m_services.end() ? nullptr : &*found;
}

EngineOrders::Ordered EngineOrders::ordered(const OrderKey &key) const
{
    const auto found = m_ordered.find(key);
    return found == m_ordered.end() ? Ordered() : found->second;
}

std::optional<EngineOrder> EngineOrders::next(std::span<const EngineCount> counts, TimePoint now) const
{
    for (const EngineGoal &goal : m_goals) {
        std::uint32_t ready = 0;
        for (const FailureDomain &domain : goal.domains) {
            const EngineCount count = countOf(counts, goal.service, domain);
            ready += count.lasting + count.reclaimable;
        }
        for (const FailureDomain &domain : goal.domains) {
            if (std::optional<EngineOrder> order = nextOf(goal, countOf(counts, goal.service, domain), ready, now)) {
                return order;
            }
        }
    }
    return std::nullopt;
}

std::optional<EngineOrder> EngineOrders::nextOf(const EngineGoal &goal, const EngineCount &count, std::uint32_t ready, TimePoint now) const
{
    const ScaledService *service = scaling(goal.service);
    if (service == nullptr || service->reclaimablePrice >= 1 || service->maxPerDomain < service->minPerDomain) {
        return std::nullopt;
    }
    const Ordered others = ordered({goal.service, count.domain, false});
    // Booting engines are not listed yet, so the accepted order counts.
    const std::uint32_t lasting = std::max(count.lasting, others.accepted.value_or(0)) + count.leaving;
    const std::uint32_t capacity = service->maxPerDomain - std::min(service->maxPerDomain, lasting);
    // Failure: during a release those that leave use up the maximum. An order for what remains would remove engines that serve, which then leave as well.
    const std::uint32_t wanted = std::min(goal.eachDomain, std::max(capacity, count.reclaimable));
    const EngineOrder reclaimableOrder{goal.service, count.domain, true, wanted};
    const bool hasReclaimable = reclaimableOrder.count > 0 && count.reclaimable >= static_cast<std::uint32_t>(reclaimableOrder.count * m_options.readyShare);
    if (reclaimableOrder.count > 0) {
        if (std::optional<EngineOrder> order = due(reclaimableOrder, count.reclaimable, service->boot, now)) {
            return order;
        }
    }
    // If the service has enough engines without this domain's lasting ones, they only occupy capacity that reclaimable ones could use.
    const bool hasSurplus = ready - count.lasting >= goal.need;
    if (hasReclaimable || hasSurplus) {
        // Never below the configured minimum.
        const std::uint32_t floor = service->minPerDomain - std::min(service->minPerDomain, count.reclaimable);
        return count.lasting > floor ? due({goal.service, count.domain, false, floor}, count.lasting, service->boot, now) : std::nullopt;
    }
    // Failure: a domain's reclaimable engines are reclaimed and no new ones are available there. Lasting engines fill what the service then lacks.
    const std::uint32_t missing = goal.need - std::min(goal.need, ready);
    const bool isShort = ordered({goal.service, count.domain, true}).noneAvailable && missing > 0;
    const std::uint32_t bound = service->maxPerDomain - std::min(service->maxPerDomain, count.reclaimable);
    const std::uint32_t substitute = std::min({goal.eachDomain, count.lasting + missing, bound});
    const bool isOrdered = others.accepted && *others.accepted >= substitute;
    return isShort && !isOrdered ? due({goal.service, count.domain, false, substitute}, count.lasting, service->boot, now) : std::nullopt;
}

std::optional<EngineOrder> EngineOrders::due(const EngineOrder &order, std::uint32_t listedCount, Duration boot, TimePoint now) const
{
    const Ordered known = ordered({order.service, order.domain, order.isReclaimable});
    if (now < known.retryAt) {
        return std::nullopt;
    }
    const bool isUnderWay = known.accepted == order.count && now - known.acceptedAt < boot + m_options.settle;
    const bool isComplete = known.accepted == order.count && listedCount == order.count;
    return isUnderWay || isComplete ? std::nullopt : std::optional(order);
}

void EngineOrders::answered(const EngineOrder &order, OrderAnswer answer, TimePoint now)
{
    Ordered &known = m_ordered[{order.service, order.domain, order.isReclaimable}];
    known.noneAvailable = answer == OrderAnswer::NoneAvailable;
    if (answer == OrderAnswer::Accepted) {
        known.accepted = order.count;
        known.acceptedAt = now;
    }
    known.retryAt = answer == OrderAnswer::Accepted ? now : now + m_options.repeatAfter;
}

} // namespace Rhubarbwind
