// Figures for docs/CAPACITY.md: memory of the span ring.

#include "telemetry/span.h"

#include <cstdio>

#include <malloc.h>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

TEST_CASE("memory of a full span ring", "[.measure]")
{
    const std::size_t capacity = 20'000;
    const std::size_t before = mallinfo2().uordblks;
    SpanRing ring(capacity);
    for (std::size_t i = 0; i < 2 * capacity; ++i) {
        Span span;
        span.traceId = "0123456789abcdef0123456789abcdef";
        span.spanId = freshSpanId();
        span.parentSpanId = "0123456789abcdef";
        span.request = RequestId("0123456789abcdef0123456789abcdef");
        span.host = HostId("host-muc-nord-117");
        span.attributes = {{"endpoint", "engine-muc-sued-1234"}, {"reason", "prefix"}};
        ring.record(std::move(span));
    }
    std::printf("slope span-ring bytes_a_span=%zu\n", (mallinfo2().uordblks - before) / capacity);
    std::fflush(stdout);
}
