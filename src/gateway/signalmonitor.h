#pragma once

// Logs and counts what endpoints state about themselves (placing/endpointsignals.h): one line when a statement begins, changes or ends.
//
// Memory: one record an endpoint that has stated anything, `maxRecords` in all; the oldest is dropped.

#include "placing/endpointboard.h"
#include "placing/endpointsignals.h"
#include "telemetry/decisionlog.h"
#include "telemetry/metrics.h"

#include <map>
#include <memory>

namespace Rhubarbwind
{

class SignalMonitor
{
public:
    SignalMonitor(std::shared_ptr<DecisionLog> log, Metrics &metrics)
        : m_log(std::move(log))
        , m_metrics(metrics)
    {
    }

    /** The head of an answer of this endpoint. */
    void observe(const EndpointId &endpoint, const EndpointSignals &signals, TimePoint now);

private:
    struct Record
    {
        std::optional<double> rateLimit;
        bool leaving = false;
        TimePoint seenAt{};
    };
    static constexpr std::size_t maxRecords = 4096;

    void logChange(std::string_view event, const EndpointId &endpoint, double value, TimePoint now);
    void makeRoom();

    std::map<EndpointId, Record> m_records;
    std::shared_ptr<DecisionLog> m_log;
    Metrics &m_metrics;
};

} // namespace Rhubarbwind
