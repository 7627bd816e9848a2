#pragma once

// How many engines of which kind the platform is asked for, by service and failure domain. A decision without I/O.
//
// Engines are billed by the second, those that may be reclaimed at a fraction of the others' price, all of a domain's at once and at short
// notice. So a service that stands in two domains or more rests on reclaimable engines, as many that any one domain may lose all of its own and
// the others still have what the service had when the duty was first held, and more where that costs less than `spendShare` of what
// was paid then: callers' worst seconds are those in which a burst finds too few engines, and new ones take their boot. Fewer where a domain's
// bound leaves no room. A service in one domain alone is left as it is.
//
// Order of events: reclaimable engines are ordered beside those that are there; only when nearly all that have room are ready do the others go,
// domain by domain, and then the rest comes. So no moment has fewer engines than the start. Where none are to be had, or all were reclaimed, the
// order is repeated, and while the service has fewer than it had, others are ordered in the domains that are short; they go again when
// the reclaimable ones are back.
//
// Orders state the wanted end, so a lost answer is made good by sending the order again. A loop that stops leaves a fleet that serves.
//
// Use: note() goes with the lease to the next holder; next(), then answered() for each order. Cost: two calls a domain at the start, one each
// repeatAfter while engines are short.

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Rhubarbwind
{

/** What the configuration says of a service whose engines may be ordered. */
struct ScaledService
{
    ShardId service;
    std::uint32_t minPerDomain = 0; ///< engines of both kinds in a domain
    std::uint32_t maxPerDomain = 0;
    Duration boot = 10s; ///< from an order until new engines serve
    double reclaimablePrice = 1; ///< of another engine's
    friend bool operator==(const ScaledService &, const ScaledService &) = default;
};

/** Engines of a service in one domain, as listed. */
struct EngineCount
{
    ShardId service;
    FailureDomain domain;
    std::uint32_t lasting = 0; ///< ready, and not to be reclaimed
    std::uint32_t reclaimable = 0; ///< ready
    std::uint32_t leaving = 0; ///< of both kinds; they count towards the domain's bound
};

struct EngineOrder
{
    ShardId service;
    FailureDomain domain;
    bool isReclaimable = false;
    std::uint32_t count = 0;
    friend bool operator==(const EngineOrder &, const EngineOrder &) = default;
};

enum class OrderAnswer : std::uint8_t {
    Accepted,
    NoneAvailable, ///< none of that kind are to be had in the domain now
    Failed, ///< refused, or without an answer
};

/** What a service is to have; fixed once, and handed on to each next holder. */
struct EngineGoal
{
    ShardId service;
    std::uint32_t need = 0; ///< engines in all domains together, whatever their kind
    std::uint32_t eachDomain = 0; ///< reclaimable engines
    std::vector<FailureDomain> domains;
    friend bool operator==(const EngineGoal &, const EngineGoal &) = default;
};

struct EngineOrderOptions
{
    double spendShare = 0.45; ///< of the price of the engines that there were
    Duration stableTime = 2s; ///< in which a service's engines stay the same before its goal is fixed
    double readyShare = 0.9; ///< of the reclaimable engines ordered; then the others go
    Duration repeatAfter = 3s; ///< of an order that was not accepted, or whose engines have not come
    Duration settle = 2s; ///< beyond the boot, until engines that have not come are missed
};

class EngineOrders
{
public:
    explicit EngineOrders(const EngineOrderOptions &options = {})
        : m_options(options)
    {
    }

    void setServices(std::vector<ScaledService> services)
    {
        m_services = std::move(services);
    }
    /** The duty was taken: nothing is known of earlier orders but the goals. */
    void begin(std::vector<EngineGoal> goals);
    /** Fixes goals of services that have none yet, from what is listed once that is calm. @return true if there are new ones */
    bool fixGoals(std::span<const EngineCount> counts, TimePoint now);
    const std::vector<EngineGoal> &goals() const
    {
        return m_goals;
    }

    std::optional<EngineOrder> next(std::span<const EngineCount> counts, TimePoint now) const;
    void answered(const EngineOrder &order, OrderAnswer answer, TimePoint now);

private:
    struct OrderKey
    {
        ShardId service;
        FailureDomain domain;
        bool isReclaimable = false;
        friend auto operator<=>(const OrderKey &, const OrderKey &) = default;
    };
    struct Ordered
    {
        std::optional<std::uint32_t> accepted;
        TimePoint acceptedAt{};
        TimePoint retryAt{};
        bool noneThere = false; ///< as last answered
    };

    /** What a service has, in all domains. */
    struct Sighting
    {
        EngineGoal engines;
        TimePoint since{}; ///< it has been so
    };

    const ScaledService *scaling(const ShardId &service) const;
    Ordered ordered(const OrderKey &key) const;
    std::uint32_t eachDomain(const ScaledService &service, const EngineGoal &goal) const;
    std::optional<EngineOrder> nextOf(const EngineGoal &goal, const EngineCount &count, std::uint32_t ready, TimePoint now) const;
    /** @return none if nothing is to be sent now */
    std::optional<EngineOrder> due(const EngineOrder &order, std::uint32_t standing, Duration boot, TimePoint now) const;

    EngineOrderOptions m_options;
    std::vector<ScaledService> m_services;
    std::vector<EngineGoal> m_goals;
    std::map<OrderKey, Ordered> m_ordered;
    std::map<ShardId, Sighting> m_sightings; ///< of services without a goal
};

} // namespace Rhubarbwind
