#include "gateway/signalmonitor.h"

#include <algorithm>

namespace Rhubarbwind
{

void SignalMonitor::logChange(std::string_view event, const EndpointId &endpoint, double value, TimePoint now)
{
    m_log->decision(LogPart::Gateway, event, LogFields().text("endpoint", endpoint.text()).number("value", value), true, now);
}

void SignalMonitor::makeRoom()
{
    if (m_records.size() >= maxRecords) {
        m_records.erase(std::ranges::min_element(m_records, {}, [](const auto &entry) { return entry.second.seenAt; }));
    }
}

void SignalMonitor::observe(const EndpointId &endpoint, const EndpointSignals &signals, TimePoint now)
{
    if (signals.unreadable > 0) {
        m_metrics.add("rhubarbwind_endpoint_signals_unreadable_total", {}, signals.unreadable);
    }
    if (signals.backoff) {
        m_metrics.add("rhubarbwind_endpoint_signals_total", {{"signal", "backoff"}});
        logChange("endpoint-backoff", endpoint, toSeconds(*signals.backoff), now);
    }
    const bool isKnown = m_records.contains(endpoint);
    if (!isKnown && !signals.rateLimit && !signals.leaving) {
        return;
    }
    if (!isKnown) {
        makeRoom();
    }
    Record &record = m_records[endpoint];
    record.seenAt = now;
    if (signals.rateLimit != record.rateLimit) {
        record.rateLimit = signals.rateLimit;
        m_metrics.add("rhubarbwind_endpoint_signals_total", {{"signal", signals.rateLimit ? "rate-limit" : "rate-limit-end"}});
        logChange(signals.rateLimit ? "endpoint-rate-limit" : "endpoint-rate-limit-end", endpoint, signals.rateLimit.value_or(0), now);
    }
    if (signals.leaving && !record.leaving) {
        record.leaving = true;
        m_metrics.add("rhubarbwind_endpoint_signals_total", {{"signal", "leaving"}});
        logChange("endpoint-announces-leaving", endpoint, 1, now);
    }
}

} // namespace Rhubarbwind
