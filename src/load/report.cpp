#include "load/report.h"

#include <algorithm>
#include <cstdio>
#include <iomanip>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t maxLineLength = 512;

double milliseconds(Duration duration)
{
    return toSeconds(duration) * 1000;
}

double perSecond(std::uint64_t count, Duration elapsed)
{
    return elapsed > Duration::zero() ? static_cast<double>(count) / toSeconds(elapsed) : 0;
}

std::uint64_t incompleteAnswers(const ClassTally &tally)
{
    return tally.count(CallerOutcome::FailedAfterStart) + tally.count(CallerOutcome::Unknown) + tally.count(CallerOutcome::NoAnswer);
}

double wastedShare(const ClassTally &tally)
{
    return tally.generatedTokens == 0 ? 0 : static_cast<double>(tally.wastedTokens()) / static_cast<double>(tally.generatedTokens);
}

void printClass(std::ostream &out, const ClassTally &tally, const std::string &tier, Duration elapsed)
{
    std::array<char, maxLineLength> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-20s %4s %6llu %7.3f %6llu %7llu %6llu %5llu %5llu %5llu %7.0f %7.0f %7.0f %7.1f %7.1f %8.1f %8.1f %8.1f %6.2f%% %5llu %4llu %5llu\n",
                  tally.name.c_str(),
                  tier.c_str(),
                  static_cast<unsigned long long>(tally.sent),
                  tally.attainment(),
                  static_cast<unsigned long long>(tally.count(CallerOutcome::Completed)),
                  static_cast<unsigned long long>(tally.count(CallerOutcome::NotRun)),
                  static_cast<unsigned long long>(incompleteAnswers(tally)),
                  static_cast<unsigned long long>(tally.count(CallerOutcome::Left)),
                  static_cast<unsigned long long>(tally.lateFirst),
                  static_cast<unsigned long long>(tally.slowTokens),
                  milliseconds(quantileOf(tally.firstTokens, 0.5)),
                  milliseconds(quantileOf(tally.firstTokens, 0.95)),
                  milliseconds(quantileOf(tally.firstTokens, 0.99)),
                  milliseconds(quantileOf(tally.interTokens, 0.5)),
                  milliseconds(quantileOf(tally.interTokens, 0.95)),
                  perSecond(tally.requestedTokens, elapsed),
                  perSecond(tally.goodTokens, elapsed),
                  perSecond(tally.deliveredTokens, elapsed),
                  100 * wastedShare(tally),
                  static_cast<unsigned long long>(tally.count(CallerOutcome::Wrong)),
                  static_cast<unsigned long long>(tally.duplicates),
                  static_cast<unsigned long long>(tally.notRunThatRan));
    out << line.data();
}

void printNotRunByTier(std::ostream &out, const Tally &tally)
{
    std::map<std::uint8_t, std::pair<std::uint64_t, std::uint64_t>> byTier;
    for (const ClassTally &row : tally.classes()) {
        byTier[row.tier.level].first += row.count(CallerOutcome::NotRun);
        byTier[row.tier.level].second += row.sent;
    }
    out << "not-run by tier:";
    for (const auto &[tier, counts] : byTier) {
        out << "  " << static_cast<unsigned>(tier) << ": " << counts.first << " of " << counts.second;
    }
    out << "\n";
}

constexpr int comparedWidth = 14;
constexpr int comparedNameWidth = 22;

struct ComparedFigure
{
    const char *title;
    int digits;
    double (*value)(const boost::json::object &line);
};

double numberAt(const boost::json::object &line, std::string_view name)
{
    const boost::json::value *value = line.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<double>() : 0;
}

double outcomeAt(const boost::json::object &line, std::string_view name)
{
    const boost::json::value *outcomes = line.if_contains("outcomes");
    return outcomes != nullptr && outcomes->is_object() ? numberAt(outcomes->get_object(), name) : 0;
}

double wastedPercent(const boost::json::object &line)
{
    const double generated = numberAt(line, "generated_tokens");
    return generated > 0 ? 100 * numberAt(line, "wasted_tokens") / generated : 0;
}

constexpr std::array<ComparedFigure, 7> comparedFigures{{
    {"attainment", 3, [](const boost::json::object &line) { return numberAt(line, "attainment"); }},
    {"goodput, tokens/s within targets", 1, [](const boost::json::object &line) { return numberAt(line, "goodput_per_s"); }},
    {"delivered, tokens/s in whole answers", 1, [](const boost::json::object &line) { return numberAt(line, "delivered_per_s"); }},
    {"wasted tokens, %", 2, wastedPercent},
    {"not-run", 0, [](const boost::json::object &line) { return outcomeAt(line, "not-run"); }},
    {"first token p99, ms", 0, [](const boost::json::object &line) { return numberAt(line, "first_token_p99_ms"); }},
    {"first token max, ms", 0, [](const boost::json::object &line) { return numberAt(line, "first_token_max_ms"); }},
}};

std::string fixedText(double value, int digits)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

void addOnce(std::vector<std::string> &names, const std::string &name)
{
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
    }
}

void printCustomers(std::ostream &out, const Mix &mix, const Tally &tally)
{
    out << "customers, within targets and not-run of sent:";
    for (std::size_t index = 0; index < mix.customers.size(); ++index) {
        const CustomerTally &row = tally.customers()[index];
        out << "  " << mix.customers[index].name << " " << row.attained << "+" << row.notRun << "/" << row.sent;
    }
    out << "\n";
}

} // namespace

void printTable(std::ostream &out,
                const std::string &label,
                const Mix &mix,
                const Tally &tally,
                const LoadRunReport &run,
                const std::vector<GuaranteeViolation> &violations)
{
    out << "== " << label << "\n"
        << "class                tier   sent  attain  whole not-run broken  left  late  slow  ttft50  ttft95  ttft99   itl50   itl95  asked/s   good/s  "
           "deliv/s  wasted  wrong twice "
           "notran\n";
    for (const ClassTally &row : tally.classes()) {
        printClass(out, row, std::to_string(row.tier.level), run.elapsed);
    }
    const ClassTally total = tally.total();
    printClass(out, total, "", run.elapsed);
    printNotRunByTier(out, tally);
    printCustomers(out, mix, tally);
    out << "reasons:";
    for (const auto &[reason, count] : total.reasons) {
        out << "  " << reason << ": " << count;
    }
    out << "\n";
    if (run.endpointsWithoutCounters > 0) {
        out << "counters missing from " << run.endpointsWithoutCounters << " stand-ins: runs there are not checked\n";
    }
    for (const GuaranteeViolation &violation : violations) {
        out << "BROKEN " << violation.className << ": " << violation.requests << " " << violation.what << "\n";
    }
}

void printJsonLines(std::ostream &out, const std::string &label, const Tally &tally, const LoadRunReport &run)
{
    std::vector<ClassTally> lines = tally.classes();
    lines.push_back(tally.total());
    for (const ClassTally &row : lines) {
        boost::json::object outcomes;
        for (std::size_t outcome = 0; outcome < callerOutcomes; ++outcome) {
            outcomes[callerOutcomeName(static_cast<CallerOutcome>(outcome))] = row.outcomes[outcome];
        }
        boost::json::object reasons;
        for (const auto &[reason, count] : row.reasons) {
            reasons[reason] = count;
        }
        const boost::json::object line{{"label", label},
                                       {"class", row.name},
                                       {"tier", row.tier.level},
                                       {"sent", row.sent},
                                       {"attainment", row.attainment()},
                                       {"outcomes", std::move(outcomes)},
                                       {"reasons", std::move(reasons)},
                                       {"late_first_token", row.lateFirst},
                                       {"slow_tokens", row.slowTokens},
                                       {"inter_token_p95_median_ms", milliseconds(quantileOf(row.interTokens, 0.5))},
                                       {"first_token_p50_ms", milliseconds(quantileOf(row.firstTokens, 0.5))},
                                       {"first_token_p95_ms", milliseconds(quantileOf(row.firstTokens, 0.95))},
                                       {"first_token_p99_ms", milliseconds(quantileOf(row.firstTokens, 0.99))},
                                       {"first_token_max_ms", milliseconds(quantileOf(row.firstTokens, 1))},
                                       {"asked_per_s", perSecond(row.requestedTokens, run.elapsed)},
                                       {"goodput_per_s", perSecond(row.goodTokens, run.elapsed)},
                                       {"delivered_per_s", perSecond(row.deliveredTokens, run.elapsed)},
                                       {"generated_tokens", row.generatedTokens},
                                       {"wasted_tokens", row.wastedTokens()},
                                       {"runs", row.runs},
                                       {"duplicates", row.duplicates},
                                       {"not_run_that_ran", row.notRunThatRan},
                                       {"endpoints_without_counters", run.endpointsWithoutCounters}};
        out << boost::json::serialize(line) << "\n";
    }
}

void printComparison(std::ostream &out, std::istream &lines)
{
    std::vector<std::string> labels;
    std::vector<std::string> classes;
    std::map<std::pair<std::string, std::string>, boost::json::object> runs;
    for (std::string line; std::getline(lines, line);) {
        boost::json::error_code error;
        const boost::json::value value = boost::json::parse(line, error);
        if (error || !value.is_object() || !value.get_object().contains("label") || !value.get_object().contains("class")) {
            continue;
        }
        const std::string label(value.at("label").as_string());
        const std::string name(value.at("class").as_string());
        addOnce(labels, label);
        addOnce(classes, name);
        runs[{name, label}] = value.get_object();
    }
    for (const ComparedFigure &figure : comparedFigures) {
        out << "-- " << figure.title << "\n" << std::string(comparedNameWidth, ' ');
        for (const std::string &label : labels) {
            out << std::setw(comparedWidth) << label.substr(0, comparedWidth - 1);
        }
        out << "\n";
        for (const std::string &name : classes) {
            out << std::left << std::setw(comparedNameWidth) << name << std::right;
            for (const std::string &label : labels) {
                const auto found = runs.find({name, label});
                out << std::setw(comparedWidth) << (found == runs.end() ? "-" : fixedText(figure.value(found->second), figure.digits));
            }
            out << "\n";
        }
    }
}

} // namespace Rhubarbwind
