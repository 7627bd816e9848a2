#include "gateway/reachmonitor.h"

#include <utility>

namespace Rhubarbwind
{

namespace
{

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

ReachMonitor::ReachMonitor(std::shared_ptr<DecisionLog> log, Metrics &metrics)
    : m_log(std::move(log))
    , m_metrics(metrics)
{
}

void ReachMonitor::put(const EndpointId &endpoint, const ShardId &service)
{
    m_reach.put(endpoint, service);
}

void ReachMonitor::remove(const EndpointId &endpoint, TimePoint now)
{
    m_reach.remove(endpoint, now);
    reportChanges(now);
}

void ReachMonitor::connectEnded(const EndpointId &endpoint, ConnectEnd how, TimePoint startedAt, TimePoint now)
{
    if (how == ConnectEnd::Open) {
        m_reach.connected(endpoint, startedAt, now);
    } else {
        m_reach.connectFailed(endpoint, how == ConnectEnd::Refused ? ConnectFailure::Refused : ConnectFailure::Silent, startedAt, now);
    }
    reportChanges(now);
}

void ReachMonitor::reportChanges(TimePoint now)
{
    for (const ReachChange &change : m_reach.takeChanges()) {
        const std::string &service = change.service.text();
        m_metrics.add("rhubarbwind_reach_changes_total", {{"service", service}, {"to", change.isReachable ? "reachable" : "unreachable"}});
        LogFields fields;
        fields.text("service", service).number("endpoints", static_cast<std::int64_t>(change.endpoints));
        fields.number("failed_endpoints", static_cast<std::int64_t>(change.failedEndpoints));
        fields.number("refused", std::int64_t{change.refused}).number("silent", std::int64_t{change.silent});
        if (change.isReachable) {
            fields.number("lasted_ms", milliseconds(change.lasted));
        } else {
            fields.number("since_ms", milliseconds(change.firstFailureAge));
        }
        m_log->decision(LogPart::Gateway, change.isReachable ? "service-reachable" : "service-unreachable", fields, true, now);
    }
}

void ReachMonitor::measure(TimePoint now)
{
    m_metrics.clearGauges("rhubarbwind_service_reachable");
    m_metrics.clearGauges("rhubarbwind_service_unreachable_seconds");
    for (const ReachRow &row : rows(now)) {
        m_metrics.set("rhubarbwind_service_reachable", {{"service", row.service.text()}}, row.isReachable ? 1.0 : 0.0);
        m_metrics.set("rhubarbwind_service_unreachable_seconds", {{"service", row.service.text()}}, toSeconds(row.lasted));
    }
}

} // namespace Rhubarbwind
