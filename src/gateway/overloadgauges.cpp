#include "gateway/overloadgauges.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace Rhubarbwind
{

namespace
{

template <std::size_t Size>
void clearAll(Metrics &metrics, const std::array<std::string_view, Size> &names)
{
    for (const std::string_view name : names) {
        metrics.clearGauges(name);
    }
}

template <class Row>
std::span<const Row> firstOf(std::span<const Row> rows, std::size_t count)
{
    return rows.first(std::min(rows.size(), count));
}

} // namespace

void setSpeedGauges(Metrics &metrics, std::span<const SpeedRow> rows)
{
    static constexpr std::array<std::string_view, 3> names{
        "rhubarbwind_endpoint_prompt_tokens_per_ms", "rhubarbwind_endpoint_event_seconds", "rhubarbwind_endpoint_slowdown"};
    constexpr double msPerSecond = 1000;
    clearAll(metrics, names);
    for (const SpeedRow &row : firstOf(rows, maxEndpointGauges)) {
        const Labels labels{{"service", row.service.text()}, {"endpoint", row.endpoint.text()}};
        metrics.set(names[0], labels, row.estimate.promptTokensPerMs);
        metrics.set(names[1], labels, row.estimate.eventMs / msPerSecond);
        metrics.set(names[2], labels, row.estimate.slowdown);
    }
}

void setCustomerGauges(Metrics &metrics, std::span<const CustomerRow> rows)
{
    static constexpr std::array<std::string_view, 3> names{
        "rhubarbwind_customer_share_per_second", "rhubarbwind_customer_used_per_second", "rhubarbwind_customer_refused"};
    clearAll(metrics, names);
    for (const CustomerRow &row : firstOf(rows, maxCustomerGauges)) {
        const Labels labels{{"service", row.service.text()}, {"customer", row.customer.text()}};
        metrics.set(names[0], labels, row.share);
        metrics.set(names[1], labels, row.used);
        metrics.set(names[2], labels, static_cast<double>(row.refused));
    }
}

void setWaitGauges(Metrics &metrics, std::span<const SlotWaitRow> rows)
{
    for (const SlotWaitRow &row : rows) {
        const std::string &service = row.service.text();
        metrics.set("rhubarbwind_slot_waiting", {{"service", service}}, static_cast<double>(row.waiting));
        metrics.set("rhubarbwind_slot_longest_wait_seconds", {{"service", service}}, toSeconds(row.longest));
        metrics.set("rhubarbwind_slot_waits", {{"service", service}, {"outcome", "sent"}}, static_cast<double>(row.sent));
        metrics.set("rhubarbwind_slot_waits", {{"service", service}, {"outcome", "refused-at-once"}}, static_cast<double>(row.refused));
        metrics.set("rhubarbwind_slot_waits", {{"service", service}, {"outcome", "refused-after-wait"}}, static_cast<double>(row.expired));
    }
}

} // namespace Rhubarbwind
