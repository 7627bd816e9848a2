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

std::string formatUsageState(const UsageState &note)
{
    json::array fixed;
    for (const UsageReport &report : note.fixed) {
        fixed.push_back(json::object{{"window", report.window}, {"counts", countsJson(report)}});
    }
    return json::serialize(json::object{{"era", note.era}, {"through", note.through}, {"fixed", std::move(fixed)}});
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
    UsageState note{era->to_number<std::uint64_t>(error), 0, {}};
    if (!error) {
        note.through = through->to_number<std::uint64_t>(error);
    }
    for (const json::value &entry : fixed->get_array()) {
        std::optional<UsageReport> report = readReport(entry);
        if (!report) {
            return std::nullopt;
        }
        note.fixed.push_back(std::move(*report));
    }
    return error ? std::nullopt : std::optional(std::move(note));
}

void UsageReports::onLeaseHeld(std::uint64_t number, const std::string &acknowledged, std::int64_t nowMs)
{
    const std::optional<UsageState> note = parseUsageState(acknowledged);
    m_acknowledged = note.value_or(UsageState());
    if (number == m_number) {
        return;
    }
    m_number = number;
    m_wanted = m_acknowledged;
    if (!note || note->era != eraOf(number)) {
        // Failure: a holder of before had reported a window, and the store has forgotten it. Symptom: a second report with other counts. All
        // that it can have reported had ended before it lost the lease, and that was before this one was taken. Nor is what an older note has
        // as fixed believed: it may be a write of the era before that was carried out late, over this era's.
        m_wanted = {eraOf(number), windowAt(nowMs, m_options.window), {}};
        leaveOut(m_wanted.through, SkipReason::NoState);
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
    // After the last moment at which a report could still arrive in time.
    while (nowMs > endOf(m_wanted.through + 1) + toMilliseconds(m_options.due)) {
        ++m_wanted.through;
        leaveOut(m_wanted.through, SkipReason::TooLate);
    }
    // Long past its time a report is not sent again; what it fixed holds on by `through`.
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
    return std::exchange(m_leftOut, {});
}

std::int64_t UsageReports::endOf(std::uint64_t window) const
{
    return static_cast<std::int64_t>(window + 1) * toMilliseconds(m_options.window);
}

void UsageReports::leaveOut(std::uint64_t window, SkipReason why)
{
    constexpr std::size_t mostTold = 16; // after an outage of hours the first few say enough
    if (m_leftOut.size() < mostTold) {
        m_leftOut.emplace_back(window, why);
    }
}

} // namespace Rhubarbwind
