#pragma once

// Decides whether this host can connect to the endpoints of a service, from the results of its connection attempts. Pure decision logic; performs no I/O.
//
// A failed attempt means that the endpoint has failed or that this host has lost its path to it. Failures at several endpoints without a success between
// them mean the latter: the service is unreachable from this host until attempts at several endpoints succeed again. The hysteresis keeps a path that
// loses every other connection from switching the state with each attempt.
//
// Only attempts count. A kept connection may still work where new ones are refused, or hang without an error where none of them works.
//
// Results may arrive late or twice. A failure counts only if its attempt began after the last success, and a success ends a loss only if its attempt
// began after the loss.
//
// Usage: put() and remove() follow the listing; connected() and connectFailed() report results; takeChanges() returns what has changed since.

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Rhubarbwind
{

struct ReachOptions
{
    std::size_t endpointsToLose = 3; ///< endpoints that must have failed, or all if there are fewer: two may crash at the same time
    std::size_t failuresToLose = 2; ///< the same for a service with one endpoint
    std::size_t endpointsToReturn = 2; ///< endpoints that must have accepted a connection, or all if there are fewer
};

enum class ConnectFailure : std::uint8_t {
    Refused, ///< reset, or nothing listens there
    Silent, ///< no answer within the time limit
};

/** A service has become reachable or unreachable from this host. */
struct ReachChange
{
    ShardId service;
    bool isReachable = false;
    Duration lasted{}; ///< of a loss, since its first failure; set when it has ended
    Duration firstFailureAge{}; ///< of a loss that begins
    std::size_t endpoints = 0; ///< listed
    std::size_t failedEndpoints = 0;
    std::uint32_t refused = 0; ///< failed attempts since the last success, by kind
    std::uint32_t silent = 0;
};

/** Reach of one service, for on-call engineers. */
struct ReachRow
{
    ShardId service;
    bool isReachable = true;
    Duration lasted{}; ///< of a loss, since its first failure
    std::size_t endpoints = 0;
    std::size_t failedEndpoints = 0; ///< without a success since
    std::uint32_t refused = 0;
    std::uint32_t silent = 0;
};

class ServiceReach
{
public:
    explicit ServiceReach(ReachOptions options = {})
        : m_options(options)
    {
    }

    /** Adds an endpoint, or starts afresh with one that has restarted. */
    void put(const EndpointId &endpoint, const ShardId &service);
    void remove(const EndpointId &endpoint, TimePoint now);

    void connected(const EndpointId &endpoint, TimePoint startedAt, TimePoint now);
    void connectFailed(const EndpointId &endpoint, ConnectFailure how, TimePoint startedAt, TimePoint now);

    /** False only during a loss. */
    bool isReachable(const ShardId &service) const;
    std::vector<ReachChange> takeChanges();
    /** One row per service, ordered by id. */
    std::vector<ReachRow> rows(TimePoint now) const;

private:
    struct Service
    {
        std::set<EndpointId> endpoints;
        std::set<EndpointId> failed; ///< since the last success, or since the loss
        std::set<EndpointId> regained; ///< accepted a connection since the last failure of a loss
        std::uint32_t refused = 0;
        std::uint32_t silent = 0;
        TimePoint firstFailureAt{};
        TimePoint lastSuccessAt{};
        TimePoint lostAt{};
        bool isReachable = true;

        std::size_t failures() const
        {
            return std::size_t{refused} + silent;
        }
    };

    Service *serviceOf(const EndpointId &endpoint);
    void forgetFailures(Service &service) const;
    void lose(const ShardId &id, Service &service, TimePoint now);
    void regain(const ShardId &id, Service &service, TimePoint now);

    ReachOptions m_options;
    std::map<EndpointId, ShardId> m_serviceOf;
    std::map<ShardId, Service> m_services;
    std::vector<ReachChange> m_changes;
};

} // namespace Rhubarbwind
