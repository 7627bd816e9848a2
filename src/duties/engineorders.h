#pragma once

// Decides how many engines of which kind are ordered from the platform, by service and failure domain. Pure decision logic; performs no I/O.
//
// Engines are billed by the second. Reclaimable engines cost a fraction of the price of lasting ones, but all those of a domain may be reclaimed at
// once and at short notice. A service in two or more domains therefore runs on reclaimable engines: enough that any one domain may lose all of its
// own and the others still have as many engines as the service had when the duty was first held. More are ordered as long as the whole costs less
// than `spendShare` of the original price, since callers fare worst in the seconds in which a burst finds too few engines and new ones still boot.
// Fewer are ordered where a domain's maximum does not allow them. A service in a single domain is left as it is.
//
// Order of events: reclaimable engines are ordered in addition to the existing ones. Once nearly all that the domain's maximum allows are ready, the
// lasting engines are removed, domain by domain, and the remaining reclaimable ones ordered, so the service never has fewer engines than at the
// start. If none are available or all were reclaimed, the order is repeated. While the service has fewer engines than it had, lasting engines are
// ordered in the domains that are short; they are removed when the reclaimable ones are back.
//
// Orders state the wanted number, so a lost answer is compensated by sending the order again. If ordering stops, the fleet keeps serving as it is.
//
// Use: begin() with the goals of the previous holder; pass goals() on with the lease. Call next(), then answered() for each order. Cost: two calls
// per domain at the start, then one every repeatAfter while engines are short.

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

/** Configuration of a service whose engines may be ordered. */
struct ScaledService
{
    ShardId service;
    std::uint32_t minPerDomain = 0; ///< engines of both kinds
    std::uint32_t maxPerDomain = 0;
    Duration boot = 10s; ///< from an order until the new engines serve
    double reclaimablePrice = 1; ///< as a fraction of a lasting engine's price
    friend bool operator==(const ScaledService &, const ScaledService &) = default;
};

/** Engines of a service in one domain, as listed. */
struct EngineCount
{
    ShardId service;
    FailureDomain domain;
    std::uint32_t lasting = 0; ///< ready, and not subject to reclaiming
    std::uint32_t reclaimable = 0; ///< ready
    std::uint32_t leaving = 0; ///< of both kinds; they count towards the domain's maximum
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
    NoneAvailable, ///< no engines of that kind are available in the domain now
    Failed, ///< refused, or without an answer
};

/** The engines that a service is to have; determined once and passed on from holder to holder. */
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
    double spendShare = 0.45; ///< of the price of the engines that the service had at first
    Duration stableTime = 2s; ///< for which a service's engines stay the same before its goal is determined
    double readyShare = 0.9; ///< of the reclaimable engines ordered; once they are ready the lasting ones are removed
    Duration repeatAfter = 3s; ///< before an order that was not accepted, or whose engines did not appear, is repeated
    Duration settle = 2s; ///< beyond the boot time, before engines that have not appeared count as missing
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
    /** The duty was taken over: nothing is known of earlier orders except the goals. */
    void begin(std::vector<EngineGoal> goals);
    /** Determines the goals of services that have none yet, once the listed engines have been stable. @return true if there are new goals */
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
        bool noneAvailable = false; ///< by the last answer
    };

    /** The engines that a service has in all domains. */
    struct Observation
    {
        EngineGoal engines;
        TimePoint since{}; ///< when this state was first seen
    };

    const ScaledService *scaling(const ShardId &service) const;
    Ordered ordered(const OrderKey &key) const;
    std::uint32_t eachDomain(const ScaledService &service, const EngineGoal &goal) const;
    std::optional<EngineOrder> nextOf(const EngineGoal &goal, const EngineCount &count, std::uint32_t ready, TimePoint now) const;
    /** @param listedCount ready engines of the order's kind  @return none if nothing is to be sent now */
    std::optional<EngineOrder> due(const EngineOrder &order, std::uint32_t listedCount, Duration boot, TimePoint now) const;

    EngineOrderOptions m_options;
    std::vector<ScaledService> m_services;
    std::vector<EngineGoal> m_goals;
    std::map<OrderKey, Ordered> m_ordered;
    std::map<ShardId, Observation> m_observations; ///< of services without a goal
};

} // namespace Rhubarbwind
