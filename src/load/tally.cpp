#include "load/tally.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

/** The best result of a request: a completed one, otherwise the one that gives the caller the most information. */
const CallerResult &mostInformative(const std::vector<CallerResult> &tries)
{
    static constexpr std::array<int, callerOutcomes> rank{0, 4, 2, 3, 5, 6, 1, 7, -1};
    return *std::min_element(tries.begin(), tries.end(), [](const CallerResult &left, const CallerResult &right) {
        return rank[static_cast<std::size_t>(left.outcome)] < rank[static_cast<std::size_t>(right.outcome)];
    });
}

bool withinTargets(const MixClass &rule, const CallerResult &result)
{
    return result.outcome == CallerOutcome::Completed && result.firstToken <= rule.firstTokenTarget && result.interTokenP95 <= rule.interTokenTarget;
}

} // namespace

std::string_view callerOutcomeName(CallerOutcome outcome)
{
    static constexpr std::array<std::string_view, callerOutcomes> names{
        "completed", "not-run", "failed-after-start", "unknown", "repeated", "no-answer", "left", "rejected", "wrong"};
    return names[static_cast<std::size_t>(outcome)];
}

void addCounters(const boost::json::object &counters, EndpointCounts &counts)
{
    const boost::json::value *ids = counters.if_contains("ids");
    if (ids == nullptr || !ids->is_object()) {
        return;
    }
    for (const auto &[id, value] : ids->get_object()) {
        EndpointCount &count = counts[std::string(id)];
        count.runs += value.at(0).to_number<std::uint32_t>();
        count.generated += value.at(1).to_number<std::uint32_t>();
    }
}

Duration quantileOf(const std::vector<Duration> &sorted, double quantile)
{
    if (sorted.empty()) {
        return {};
    }
    return sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
}

Tally::Tally(const Mix &mix)
    : m_mix(mix)
    , m_customers(mix.customers.size())
{
    for (const MixClass &rule : mix.classes) {
        ClassTally tally;
        tally.name = rule.name;
        tally.tier = rule.tier;
        m_classes.push_back(std::move(tally));
    }
}

void Tally::add(const PlannedRequest &request, const std::vector<CallerResult> &tries, const EndpointCount &ran)
{
    const MixClass &rule = m_mix.classes[request.classIndex];
    ClassTally &tally = m_classes[request.classIndex];
    const CallerResult &result = mostInformative(tries);
    ++tally.sent;
    tally.requestedTokens += request.answerTokens;
    ++tally.outcomes[static_cast<std::size_t>(result.outcome)];
    if (!result.reason.empty()) {
        ++tally.reasons[result.reason];
    }
    CustomerTally &customer = m_customers[request.customerIndex];
    ++customer.sent;
    customer.notRun += result.outcome == CallerOutcome::NotRun ? 1 : 0;
    if (withinTargets(rule, result)) {
        ++customer.attained;
        ++tally.attained;
        tally.goodTokens += result.tokens;
    }
    if (result.outcome == CallerOutcome::Completed) {
        tally.lateFirst += result.firstToken > rule.firstTokenTarget ? 1 : 0;
        tally.slowTokens += result.interTokenP95 > rule.interTokenTarget ? 1 : 0;
        tally.interTokens.push_back(result.interTokenP95);
        tally.deliveredTokens += result.tokens;
        tally.firstTokens.push_back(result.firstToken);
    }
    tally.abandonedTokens += result.outcome == CallerOutcome::Left ? result.tokens : 0;
    tally.generatedTokens += ran.generated;
    tally.runs += ran.runs;
    if (!rule.idempotent && ran.runs > 1) {
        ++tally.duplicates;
    }
    const bool areAllNotRun = std::all_of(tries.begin(), tries.end(), [](const CallerResult &each) { return each.outcome == CallerOutcome::NotRun; });
    if (areAllNotRun && ran.runs > 0) {
        ++tally.notRunThatRan;
    }
}

void Tally::finish()
{
    for (ClassTally &tally : m_classes) {
        std::sort(tally.firstTokens.begin(), tally.firstTokens.end());
        std::sort(tally.interTokens.begin(), tally.interTokens.end());
    }
}

ClassTally Tally::total() const
{
    ClassTally total;
    total.name = "all";
    for (const ClassTally &tally : m_classes) {
        total.sent += tally.sent;
        total.attained += tally.attained;
        total.lateFirst += tally.lateFirst;
        total.slowTokens += tally.slowTokens;
        for (std::size_t outcome = 0; outcome < callerOutcomes; ++outcome) {
            total.outcomes[outcome] += tally.outcomes[outcome];
        }
        for (const auto &[reason, count] : tally.reasons) {
            total.reasons[reason] += count;
        }
        total.interTokens.insert(total.interTokens.end(), tally.interTokens.begin(), tally.interTokens.end());
        total.firstTokens.insert(total.firstTokens.end(), tally.firstTokens.begin(), tally.firstTokens.end());
        total.requestedTokens += tally.requestedTokens;
        total.goodTokens += tally.goodTokens;
        total.deliveredTokens += tally.deliveredTokens;
        total.abandonedTokens += tally.abandonedTokens;
        total.generatedTokens += tally.generatedTokens;
        total.runs += tally.runs;
        total.duplicates += tally.duplicates;
        total.notRunThatRan += tally.notRunThatRan;
    }
    std::sort(total.firstTokens.begin(), total.firstTokens.end());
    std::sort(total.interTokens.begin(), total.interTokens.end());
    return total;
}

std::vector<GuaranteeViolation> findViolations(const Tally &tally, bool expectWhole)
{
    std::vector<GuaranteeViolation> violations;
    const auto expectNone = [&violations](const ClassTally &row, std::string what, std::uint64_t requests) {
        if (requests > 0) {
            violations.push_back({row.name, std::move(what), requests});
        }
    };
    for (const ClassTally &row : tally.classes()) {
        expectNone(row, "wrong or partial answers", row.count(CallerOutcome::Wrong));
        expectNone(row, "non-idempotent requests that ran twice", row.duplicates);
        expectNone(row, "answers `not-run` to requests that ran", row.notRunThatRan);
        expectNone(row, "requests rejected as bad", row.count(CallerOutcome::Rejected));
        if (expectWhole) {
            expectNone(row, "answers that broke", row.count(CallerOutcome::FailedAfterStart) + row.count(CallerOutcome::Unknown));
            expectNone(row, "callers without an answer", row.count(CallerOutcome::NoAnswer));
        }
    }
    return violations;
}

} // namespace Rhubarbwind
