#include "ctl/commands.h"

#include "ctl/table.h"
#include "preset/presetjson.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

using Answer = Result<boost::json::value, AdminError>;

constexpr Duration waitPollInterval = 100ms;
constexpr std::size_t largestPresetFile = std::size_t{1024} * 1024;

ExitCode report(const CommandContext &context, const AdminError &error)
{
    context.err << "rhubarbwindctl: " << error.message << '\n';
    return error.kind == AdminErrorKind::Refused ? ExitCode::Refused : ExitCode::Unreachable;
}

ExitCode showTable(const CommandContext &context, std::string_view target, std::span<const std::string_view> columns)
{
    const Answer answer = context.client.get(target);
    if (answer.has_error()) {
        return report(context, answer.error());
    }
    if (context.json) {
        context.out << boost::json::serialize(answer.value()) << '\n';
    } else {
        printTable(context.out, answer.value(), columns);
    }
    return ExitCode::Done;
}

ExitCode showFields(const CommandContext &context, const Answer &answer)
{
    if (answer.has_error()) {
        return report(context, answer.error());
    }
    if (context.json) {
        context.out << boost::json::serialize(answer.value()) << '\n';
    } else {
        printFields(context.out, answer.value());
    }
    return ExitCode::Done;
}

enum class FileError : std::uint8_t {
    Unreadable,
    TooLarge,
};

Result<std::string, FileError> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return FileError::Unreadable;
    }
    std::ostringstream content;
    content << file.rdbuf();
    if (content.str().size() > largestPresetFile) {
        return FileError::TooLarge;
    }
    return content.str();
}

/** Reads and checks a preset file, telling every fault. */
bool readPreset(const CommandContext &context, const std::string &path, std::string &text)
{
    const Result<std::string, FileError> content = readFile(path);
    if (content.has_error()) {
        context.err << "rhubarbwindctl: " << path << (content.error() == FileError::TooLarge ? " is larger than 1 MB\n" : " can't be read\n");
        return false;
    }
    const Result<Preset, PresetFaults> parsed = parsePreset(content.value());
    if (parsed.has_error()) {
        context.err << describeFaults(parsed.error());
        return false;
    }
    text = content.value();
    return true;
}

ExitCode presetList(const CommandContext &context)
{
    static constexpr std::array<std::string_view, 3> columns{"name", "in_force", "description"};
    return showTable(context, "/admin/presets", columns);
}

ExitCode presetShow(const CommandContext &context)
{
    const std::string name = context.words.empty() ? "in-force" : context.words.front();
    const Answer answer = context.client.get("/admin/presets/" + name);
    if (answer.has_error()) {
        return report(context, answer.error());
    }
    context.out << boost::json::serialize(answer.value()) << '\n';
    return ExitCode::Done;
}

ExitCode presetValidate(const CommandContext &context)
{
    std::string text;
    if (!readPreset(context, context.words.front(), text)) {
        return ExitCode::Refused;
    }
    context.out << context.words.front() << ": valid\n";
    return ExitCode::Done;
}

ExitCode presetApply(const CommandContext &context)
{
    std::string text;
    if (!readPreset(context, context.words.front(), text)) {
        return ExitCode::Refused;
    }
    const std::string name = parsePreset(text).value().name.text();
    return showFields(context, context.client.put("/admin/presets/" + name, text));
}

ExitCode presetDiff(const CommandContext &context)
{
    std::array<boost::json::value, 2> sides;
    for (std::size_t i = 0; i < sides.size(); ++i) {
        const Answer answer = context.client.get("/admin/presets/" + context.words[i]);
        if (answer.has_error()) {
            return report(context, answer.error());
        }
        sides.at(i) = answer.value();
    }
    boost::json::array rows;
    for (const JsonDifference &difference : differences(sides[0], sides[1])) {
        rows.push_back(boost::json::object{{"path", difference.path}, {"left", difference.left}, {"right", difference.right}});
    }
    static constexpr std::array<std::string_view, 3> columns{"path", "left", "right"};
    if (context.json) {
        context.out << boost::json::serialize(rows) << '\n';
    } else {
        printTable(context.out, rows, columns);
    }
    return ExitCode::Done;
}

/** Live hosts that have not applied the version yet. */
std::vector<std::string> laggards(const boost::json::value &hosts, std::uint64_t version)
{
    std::vector<std::string> names;
    const boost::json::array *rows = hosts.if_array();
    if (rows == nullptr) {
        return names;
    }
    for (const boost::json::value &row : *rows) {
        const boost::json::object &host = row.as_object();
        const bool live = host.at("state").as_string() == "alive";
        if (live && host.at("preset_version").to_number<std::uint64_t>() < version) {
            names.push_back(cellText(host.at("host")));
        }
    }
    return names;
}

ExitCode waitForVersion(const CommandContext &context, std::uint64_t version)
{
    const TimePoint end = std::chrono::steady_clock::now() + context.waitLimit;
    std::vector<std::string> behind;
    while (true) {
        const Answer hosts = context.client.get("/admin/hosts");
        if (hosts.has_value()) {
            behind = laggards(hosts.value(), version);
            if (behind.empty()) {
                context.out << "version " << version << " is in force on every live host\n";
                return ExitCode::Done;
            }
        }
        if (std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(waitPollInterval);
    }
    context.err << "version " << version << " is accepted but not yet in force on:";
    for (const std::string &name : behind) {
        context.err << ' ' << name;
    }
    context.err << '\n';
    return ExitCode::NotEverywhere;
}

ExitCode presetSwitch(const CommandContext &context)
{
    const Answer answer = context.client.post("/admin/presets/" + context.words.front() + "/switch", {});
    const ExitCode shown = showFields(context, answer);
    if (shown != ExitCode::Done || !context.wait) {
        return shown;
    }
    return waitForVersion(context, answer.value().as_object().at("version").to_number<std::uint64_t>());
}

ExitCode presetHistory(const CommandContext &context)
{
    static constexpr std::array<std::string_view, 4> columns{"version", "name", "by", "accepted"};
    return showTable(context, "/admin/history", columns);
}

ExitCode statusOf(const CommandContext &context)
{
    return showFields(context, context.client.get("/admin/status"));
}

ExitCode hosts(const CommandContext &context)
{
    static constexpr std::array<std::string_view, 5> columns{"host", "domain", "state", "incarnation", "preset_version"};
    return showTable(context, "/admin/hosts", columns);
}

ExitCode endpoints(const CommandContext &context)
{
    static constexpr std::array<std::string_view, 8> columns{"endpoint", "shard", "domain", "state", "limit", "in_flight", "speed", "straggler"};
    return showTable(context, "/admin/endpoints", columns);
}

ExitCode customers(const CommandContext &context)
{
    static constexpr std::array<std::string_view, 4> columns{"customer", "weight", "requests", "tokens"};
    return showTable(context, "/admin/customers", columns);
}

ExitCode explain(const CommandContext &context)
{
    static constexpr std::array<std::string_view, 5> columns{"host", "hop", "start_ms", "duration_ms", "why"};
    return showTable(context, "/admin/explain/" + context.words.front(), columns);
}

/** One document a line, as collectors read them. */
ExitCode otlp(const CommandContext &context)
{
    const Answer answer = context.client.get("/admin/otlp/" + context.words.front());
    if (answer.has_error()) {
        return report(context, answer.error());
    }
    if (const boost::json::array *documents = answer.value().if_array()) {
        for (const boost::json::value &document : *documents) {
            context.out << boost::json::serialize(document) << '\n';
        }
    }
    return ExitCode::Done;
}

ExitCode drainHost(const CommandContext &context)
{
    return showFields(context, context.client.post("/admin/drain/host/" + context.words.front(), {}));
}

ExitCode drainEndpoint(const CommandContext &context)
{
    return showFields(context, context.client.post("/admin/drain/endpoint/" + context.words.front(), {}));
}

ExitCode undrainEndpoint(const CommandContext &context)
{
    return showFields(context, context.client.remove("/admin/drain/endpoint/" + context.words.front()));
}

ExitCode logLevel(const CommandContext &context)
{
    const boost::json::object body{{"part", context.words[0]}, {"level", context.words[1]}};
    return showFields(context, context.client.post("/admin/log-level", boost::json::serialize(body)));
}

ExitCode suspects(const CommandContext &context)
{
    static constexpr std::array<std::string_view, 5> columns{"identity", "standing", "endings", "last_ending_s", "held_for_s"};
    return showTable(context, "/admin/suspects", columns);
}

ExitCode liftSuspect(const CommandContext &context)
{
    return showFields(context, context.client.post("/admin/suspects/" + context.words.front() + "/lift", {}));
}

constexpr std::array allCommands{
    Command{"preset list", "", "presets in the library and the one in force", 0, 0, presetList},
    Command{"preset show", "[NAME]", "a preset's content; without a name, the one in force", 0, 1, presetShow},
    Command{"preset validate", "FILE", "check a preset file without asking any host", 1, 1, presetValidate},
    Command{"preset apply", "FILE", "put a preset into the library", 1, 1, presetApply},
    Command{"preset diff", "NAME NAME", "where two presets differ; 'in-force' is a name too", 2, 2, presetDiff},
    Command{"preset switch", "NAME", "put a preset in force; --wait until it is so on every live host", 1, 1, presetSwitch},
    Command{"preset history", "", "who put which preset in force", 0, 0, presetHistory},
    Command{"status", "", "the host's duties, fallbacks, platform state, drain", 0, 0, statusOf},
    Command{"hosts", "", "members as the host sees them, with applied preset versions", 0, 0, hosts},
    Command{"endpoints", "", "endpoints with limits and seen speed", 0, 0, endpoints},
    Command{"customers", "", "customers with weights and use on this host", 0, 0, customers},
    Command{"explain", "REQUEST", "each hop of a request, gathered from all hosts", 1, 1, explain},
    Command{"otlp", "REQUEST", "a request's spans as OTLP JSON lines", 1, 1, otlp},
    Command{"drain host", "HOST", "planned stop of a host: finish what runs, then exit", 1, 1, drainHost},
    Command{"drain endpoint", "ENDPOINT", "no new work to an endpoint", 1, 1, drainEndpoint},
    Command{"undrain endpoint", "ENDPOINT", "take the order back", 1, 1, undrainEndpoint},
    Command{"suspects", "", "requests under which endpoints ended, and which of them are held", 0, 0, suspects},
    Command{"suspects lift", "IDENTITY", "clear a request on all hosts: it may run again", 1, 1, liftSuspect},
    Command{"log-level", "PART LEVEL", "change a log level while running", 2, 2, logLevel},
};

} // namespace

std::span<const Command> commands()
{
    return allCommands;
}

} // namespace Rhubarbwind
