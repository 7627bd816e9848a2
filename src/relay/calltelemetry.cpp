#include "relay/calltelemetry.h"

#include <chrono>

namespace Rhubarbwind
{

namespace
{

constexpr std::uint32_t lateGapsInHundred = 5; // the inter-token target is for the 95th percentile

std::int64_t wallMicroseconds()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

CallTelemetry::CallTelemetry(Metrics &metrics, SpanRing &spans, HostId host, RequestId request, ClassRule rule, TraceContext trace, TimePoint arrived)
    : m_metrics(metrics)
    , m_spans(spans)
    , m_host(std::move(host))
    , m_request(std::move(request))
    , m_rule(std::move(rule))
    , m_trace(std::move(trace))
    , m_arrived(arrived)
    , m_rootSpan(freshSpanId())
{
}

std::string CallTelemetry::traceHeader() const
{
    return traceParent({m_trace.traceId, m_rootSpan});
}

Labels CallTelemetry::classLabels() const
{
    return {{"class", m_rule.name.text()}};
}

void CallTelemetry::count(std::string_view name)
{
    m_metrics.add(name, classLabels());
}

void CallTelemetry::hop(Hop hop, TimePoint start, TimePoint now, std::vector<SpanAttribute> attributes)
{
    const bool root = hop == Hop::Answer;
    Span span;
    span.traceId = m_trace.traceId;
    span.spanId = root ? m_rootSpan : freshSpanId();
    span.parentSpanId = root ? m_trace.parentSpanId : m_rootSpan;
    span.request = m_request;
    span.host = m_host;
    span.hop = hop;
    span.startUnixUs = wallMicroseconds() - toMicroseconds(now - start);
    span.duration = now - start;
    span.attributes = std::move(attributes);
    m_spans.record(std::move(span));
}

void CallTelemetry::queued(TimePoint start, TimePoint now, std::vector<SpanAttribute> attributes)
{
    m_metrics.observe("rhubarbwind_queue_wait_seconds", classLabels(), toSeconds(now - start));
    hop(Hop::Queue, start, now, std::move(attributes));
}

void CallTelemetry::token(TimePoint sentAt, TimePoint now, const EndpointId &endpoint)
{
    if (!m_firstTokenAt) {
        m_firstTokenAt = now;
        hop(Hop::FirstToken, sentAt, now, {{"endpoint", endpoint.text()}});
        m_metrics.observe("rhubarbwind_first_token_seconds", classLabels(), toSeconds(now - m_arrived));
    } else {
        const Duration gap = now - m_lastTokenAt;
        ++m_gaps;
        m_lateGaps += gap > m_rule.interTokenTarget ? 1 : 0;
        m_metrics.observe("rhubarbwind_inter_token_seconds", classLabels(), toSeconds(gap));
    }
    m_lastTokenAt = now;
}

void CallTelemetry::wholeBody(TimePoint now)
{
    m_firstTokenAt = m_firstTokenAt.value_or(now);
}

void CallTelemetry::ended(TimePoint now, Outcome outcome, RelayError error, std::uint32_t tokens, bool own)
{
    const std::string outcomeText(outcomeName(outcome));
    if (m_firstTokenAt && tokens > 0) {
        hop(Hop::Stream, *m_firstTokenAt, now, {{"tokens", std::to_string(tokens)}});
    }
    hop(Hop::Answer, m_arrived, now, {{"class", m_rule.name.text()}, {"outcome", outcomeText}, {"error", std::string(relayErrorInfo(error).type)}});
    Labels labels = classLabels();
    labels.emplace_back("outcome", outcomeText);
    m_metrics.add("rhubarbwind_requests_total", labels);
    const bool inTime = m_firstTokenAt && *m_firstTokenAt - m_arrived <= m_rule.firstTokenTarget;
    const bool steady = m_lateGaps * 100 <= m_gaps * lateGapsInHundred;
    if (outcome == Outcome::Completed && inTime && steady && own) {
        count("rhubarbwind_target_met_total");
    }
}

} // namespace Rhubarbwind
