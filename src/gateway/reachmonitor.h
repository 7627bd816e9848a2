#pragma once

// Watches which services this host reaches (forward/servicereach.h): logs and counts losses and returns, and passes them on.

#include "forward/servicereach.h"
#include "gateway/endpointconnection.h"
#include "telemetry/decisionlog.h"
#include "telemetry/metrics.h"

#include <functional>
#include <memory>
#include <vector>

namespace Rhubarbwind
{

class ReachMonitor
{
public:
    /** @param metrics must outlive the monitor */
    ReachMonitor(std::shared_ptr<DecisionLog> log, Metrics &metrics);

    void put(const EndpointId &endpoint, const ShardId &service);
    void remove(const EndpointId &endpoint, TimePoint now);
    /** @param startedAt when the attempt to connect began */
    void connectEnded(const EndpointId &endpoint, ConnectEnd how, TimePoint startedAt, TimePoint now);

    bool isReachable(const ShardId &service) const
    {
        return m_reach.isReachable(service);
    }
    std::vector<ReachRow> rows(TimePoint now) const
    {
        return m_reach.rows(now);
    }
    /** Sets the gauges of the current state. */
    void measure(TimePoint now);

private:
    void reportChanges(TimePoint now);

    ServiceReach m_reach;
    std::shared_ptr<DecisionLog> m_log;
    Metrics &m_metrics;
};

} // namespace Rhubarbwind
