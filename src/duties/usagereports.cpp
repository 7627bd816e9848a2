#include "duties/usagereports.h"

#include "duties/usagecounter.h"
#include "platform/objectapi.h"

#include <algorithm>

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json::object countsJson(const UsageReport &report)
{
    json::object counts;
    for (const auto &[customer, begun] : report.counts) {
        counts[customer] = begun;
    }
    return counts;
}

std::optional<UsageReport> readReport(const json::value &value)
{
    const json::object *object = value.if_object();
    const json::value *window = object == nullptr ? nullptr : object->if_contains("window");
    const json::value *counts = object == nullptr ? nullptr : object->if_contains("counts");
    if (window == nullptr || counts == nullptr || !counts->is_object()) {
        return std::nullopt;
    }
    json::error_code error;
    UsageReport report{window->to_number<std::uint64_t>(error), {}};
    for (const json::key_value_pair &entry : counts->get_object()) {
        report.counts[std::string(entry.key())] = entry.value().to_number<std::uint64_t>(error);
    }
    return error ? std::nullopt : std::optional(std::move(report));
}

} // namespace

std::string formatUsageState(const UsageState &state)
{
    json::array fixed;
    for (const UsageReport &report : state.fixed) {
        fixed.push_back(json::object{{"window", report.window}, {"counts", countsJson(report)}});
    }
    return json::serialize(json::object{{"era", state.era}, {"through", state.through}, {"fixed", std::move(fixed)}});
}

std::optional<UsageState> parseUsageState(std::string_view text)
{
    json::error_code error;
    const json::value document = json::parse({text.data(), text.size()}, error);
    const json::object *object = error ? nullptr : document.if_object();
    const json::value *through = object == nullptr ? nullptr : object->if_contains("through");
    const json::value *fixed = object == nullptr ? nullptr : object->if_contains("fixed");
    const json::value *era = object == nullptr ? nullptr : object->if_contains("era");
    if (era == nullptr || through == nullptr || fixed == nullptr || !fixed->is_array()) {
        return std::nullopt;
    }
    UsageState state{era->to_number<std::uint64_t>(error), 0, {}};
    if (!error) {
        state.through = through->to_number<std::uint64_t>(error);
    }
    for (const json::value &entry : fixed->get_array()) {
        std::optional<UsageReport> report = readReport(entry);
        if (!report) {
            return std::nullopt;
        }
        state.fixed.push_back(std::move(*report));
    }
    return error ? std::nullopt : std::optional(std::move(state));
}

void UsageReports::onLeaseHeld(std::uint64_t number, const std::string &acknowledged, std::int64_t nowMs)
{
    const std::optional<UsageState> state = parseUsageState(acknowledged);
    m_acknowledged = state.value_or(UsageState());
    if (number == m_number) {
        return;
    }
    m_number = number;
    m_wanted = m_acknowledged;
    if (!state || state->era != eraOf(number)) {
        // Failure: an earlier holder has reported a window and the store has lost the record. Symptom: a second report with different counts. Every
        // window that it can have reported ended before it lost its lease, which was before this one was taken. Reports fixed in a state of an
        // earlier era are not trusted either: it may be a late write of that era, over the state of this one.
        m_wanted = {eraOf(number), windowAt(nowMs, m_options.window), {}};
        skip(m_wanted.through, SkipReason::NoState);
    }
}

void UsageReports::onLeaseLost()
{
    m_number = 0;
}

std::optional<std::uint64_t> UsageReports::toFix(std::int64_t nowMs)
{
    if (m_number == 0) {
        return std::nullopt;
    }
    // Windows whose report could no longer arrive in time.
    while (nowMs > endOf(m_wanted.through + 1) + toMilliseconds(m_options.due)) {
        ++m_wanted.through;
        skip(m_wanted.through, SkipReason::TooLate);
    }
    // A report that is long overdue is not sent again; `through` still keeps its window from being fixed again.
    std::erase_if(m_wanted.fixed, [&](const UsageReport &report) { return nowMs > endOf(report.window) + 2 * toMilliseconds(m_options.due); });
    const std::uint64_t next = m_wanted.through + 1;
    return nowMs >= endOf(next) + toMilliseconds(m_options.settle) ? std::optional(next) : std::nullopt;
}

void UsageReports::fix(UsageReport report)
{
    m_wanted.through = std::max(m_wanted.through, report.window);
    m_wanted.fixed.push_back(std::move(report));
}

std::optional<UsageReport> UsageReports::toSend(TimePoint now) const
{
    if (m_number == 0 || now < m_retryAt) {
        return std::nullopt;
    }
    for (const UsageReport &report : m_acknowledged.fixed) {
        if (std::ranges::find(m_wanted.fixed, report) != m_wanted.fixed.end()) {
            return report;
        }
    }
    return std::nullopt;
}

void UsageReports::sent(std::uint64_t window, bool accepted, TimePoint now)
{
    if (accepted) {
        std::erase_if(m_wanted.fixed, [window](const UsageReport &report) { return report.window == window; });
        return;
    }
    m_retryAt = now + m_options.retry;
}

std::vector<std::pair<std::uint64_t, SkipReason>> UsageReports::takeSkipped()
{
    return std::exchange(m_skipped, {});
}

std::int64_t UsageReports::endOf(std::uint64_t window) const
{
    return static_cast<std::int64_t>(window + 1) * toMilliseconds(m_options.window);
}

void UsageReports::skip(std::uint64_t window, SkipReason why)
{
    constexpr std::size_t maxReported = 16; // after an outage of hours the first few are enough for the log
    if (m_skipped.size() < maxReported) {
        m_skipped.emplace_back(window, why);
    }
}

} // namespace Rhubarbwind
