#include "telemetry/metrics.h"
#include "telemetry/span.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

TEST_CASE("metrics are printed in the text exposition format")
{
    Metrics metrics;
    metrics.add("requests_total", {{"class", "quick \"a\""}}, 2);
    metrics.set("ready", {}, 1);
    for (int i = 1; i <= 100; ++i) {
        metrics.observe("wait_seconds", {{"class", "draft"}}, i);
    }
    const std::string text = metrics.exposition();
    REQUIRE_THAT(text, Catch::Contains("# TYPE requests_total counter\nrequests_total{class=\"quick \\\"a\\\"\"} 2\n"));
    REQUIRE_THAT(text, Catch::Contains("# TYPE ready gauge\nready 1\n"));
    REQUIRE_THAT(text, Catch::Contains("wait_seconds_sum{class=\"draft\"} 5050\nwait_seconds_count{class=\"draft\"} 100\n"));
    REQUIRE(metrics.value("requests_total", {{"class", "quick \"a\""}}) == 2);
}

TEST_CASE("a summary of few observations prints no quantiles instead of zeros")
{
    // An operator would read a first-token p95 of zero. The algorithm has no marker values until nine
    // observations came, and prints zero until then.
    Metrics metrics;
    for (int i = 0; i < 8; ++i) {
        metrics.observe("wait_seconds", {}, 5);
    }
    REQUIRE_THAT(metrics.exposition(), !Catch::Contains("quantile"));
    metrics.observe("wait_seconds", {}, 5);
    REQUIRE_THAT(metrics.exposition(), Catch::Contains("wait_seconds{quantile=\"0.95\"} 5\n"));
}

TEST_CASE("series are bounded")
{
    Metrics metrics;
    for (std::size_t i = 0; i < maxSeries + 5; ++i) {
        metrics.add("made_up_total", {{"label", std::to_string(i)}});
    }
    REQUIRE_THAT(metrics.exposition(), Catch::Contains("rhubarbwind_metrics_dropped_total 5\n"));
}

TEST_CASE("trace context survives a round trip and arbitrary text is refused or well formed")
{
    const TraceContext context = freshTrace();
    const Result<TraceContext, TraceError> back = parseTraceParent(traceParent(context));
    REQUIRE(back.has_value());
    REQUIRE(back.value().traceId == context.traceId);
    REQUIRE(parseTraceParent("00-00000000000000000000000000000000-0000000000000001-01").has_error());
    rc::prop("arbitrary headers never break the parser", [](const std::string &header) {
        const Result<TraceContext, TraceError> parsed = parseTraceParent(header);
        RC_ASSERT((parsed.has_error() || parsed.value().traceId.size() == 32));
    });
}

TEST_CASE("the span ring forgets the oldest")
{
    SpanRing ring(2);
    for (int i = 0; i < 3; ++i) {
        Span span;
        span.request = RequestId("r" + std::to_string(i));
        ring.record(span);
    }
    REQUIRE(ring.size() == 2);
    REQUIRE(ring.find(RequestId("r0")).empty());
    REQUIRE(ring.find(RequestId("r2")).size() == 1);
}

TEST_CASE("an exported span is one line of JSON")
{
    Span span;
    span.request = RequestId("r");
    span.attributes.emplace_back("why", "line\nbreak");
    const std::string line = otlpLine(span);
    REQUIRE(line.find('\n') == std::string::npos);
    REQUIRE(boost::json::parse(line).is_object());
}
