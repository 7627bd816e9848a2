// Each object is read through a JsonReader, which retains the default for a faulty value and continues, so that one pass finds all faults. If
// there is any fault, the partly read value is discarded.
//
// No schema library is used: Debian has none for Boost.JSON, and rules that involve two fields (the sum of shares, preemptible and idempotent)
// would need separate code anyway.

#include "preset/presetjson.h"

#include <algorithm>
#include <array>
#include <limits>
#include <unordered_set>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t maxIdentifierBytes = 128;
constexpr std::size_t maxDescriptionBytes = 1024;
constexpr std::size_t maxOperatorBytes = 128;
constexpr std::uint64_t maxTier = 15;
constexpr Duration shortestTarget = 1ms;
constexpr Duration longestTarget = 1h; ///< a greater target is most likely a wrong unit
constexpr std::uint64_t maxTokensPerAnswer = 1'000'000;
constexpr std::uint64_t maxQueueLimit = 1'000'000;
constexpr std::uint64_t maxParallelLoads = 1000;
constexpr std::size_t maxGoals = 4096;
constexpr std::size_t maxAdapters = 64;
constexpr double maxWeight = 1000.0;
constexpr double shareTolerance = 1e-9; ///< for rounding errors in the sum of shares
constexpr std::size_t sha256HexDigits = 64;

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isAlphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool isOperatorText(std::string_view text)
{
    const bool printable = std::ranges::none_of(text, [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
    return !text.empty() && text.size() <= maxOperatorBytes && printable;
}

bool isDescription(std::string_view text)
{
    return text.size() <= maxDescriptionBytes;
}

bool isKeyHash(std::string_view text)
{
    return text.empty() || (text.size() == sha256HexDigits && std::ranges::all_of(text, isLowerHex));
}

bool isPlacementRole(std::string_view text)
{
    return text == "serve" || text == "prefill" || text == "decode";
}

constexpr TextRule identifierRule{isPresetIdentifier, "1 to 128 of A-Z a-z 0-9 . _ - that begin with a letter or digit"};
constexpr TextRule operatorRule{isOperatorText, "1 to 128 bytes of printable text"};
constexpr TextRule descriptionRule{isDescription, "text of at most 1024 bytes"};
constexpr TextRule keyHashRule{isKeyHash, "64 lower-case hex digits, or empty"};
constexpr TextRule roleRule{isPlacementRole, "\"serve\", \"prefill\" or \"decode\""};

template <class Id>
void readIdentifier(JsonReader &reader, std::string_view key, Id &target)
{
    std::string text;
    reader.text(key, text, identifierRule, true);
    target = Id(std::move(text));
}

void readClass(JsonReader &reader, std::vector<ClassRule> &target)
{
    ClassRule rule;
    readIdentifier(reader, "name", rule.name);
    reader.integer("tier", rule.tier.level, 0, maxTier, true);
    reader.milliseconds("first_token_target_ms", rule.firstTokenTarget, shortestTarget, longestTarget);
    reader.milliseconds("inter_token_target_ms", rule.interTokenTarget, shortestTarget, longestTarget);
    reader.milliseconds("queue_deadline_ms", rule.queueDeadline, shortestTarget, longestTarget);
    reader.number("minimum_share", rule.minimumShare, 0.0, 1.0);
    reader.flag("idempotent", rule.idempotent);
    reader.flag("reproducible", rule.reproducible);
    reader.flag("preemptible", rule.preemptible);
    reader.integer("estimated_tokens", rule.estimatedTokens, 1, maxTokensPerAnswer);
    reader.integer("queue_limit", rule.queueLimit, 1, maxQueueLimit);
    // A preempted request is run again, so a request that may run only once would be lost.
    if (rule.preemptible && !rule.idempotent) {
        reader.fault("preemptible", "true", "false where idempotent is false");
    }
    target.push_back(std::move(rule));
}

void readCustomer(JsonReader &reader, std::vector<CustomerRule> &target)
{
    CustomerRule rule;
    readIdentifier(reader, "name", rule.name);
    reader.number("weight", rule.weight, 1.0 / maxWeight, maxWeight);
    reader.text("api_key_sha256", rule.apiKeySha256, keyHashRule);
    target.push_back(std::move(rule));
}

void readGoal(JsonReader &reader, std::vector<PlacementGoal> &target)
{
    PlacementGoal goal;
    goal.role = "serve";
    readIdentifier(reader, "endpoint", goal.endpoint);
    reader.text("model", goal.model, identifierRule, true);
    reader.text("version", goal.version, identifierRule, true);
    reader.texts("adapters", goal.adapters, maxAdapters, identifierRule);
    reader.text("role", goal.role, roleRule);
    target.push_back(std::move(goal));
}

/** Reports each name that occurs twice: otherwise one of the two rules would silently be ignored. */
template <class Rules, class Project>
void refuseDuplicates(JsonReader &reader, const Rules &rules, std::string_view list, std::string_view field, Project project)
{
    std::unordered_set<std::string> seen;
    for (std::size_t i = 0; i < rules.size(); ++i) {
        const std::string &name = project(rules[i]);
        if (!name.empty() && !seen.insert(name).second) {
            const std::string path = std::string(list) + "[" + std::to_string(i) + "]." + std::string(field);
            reader.fault(path, "\"" + name + "\"", "a name that occurs only once in the list");
        }
    }
}

void readPlacement(JsonReader &reader, PlacementRules &rules)
{
    reader.objects("goals", maxGoals, [&](JsonReader &goal) { readGoal(goal, rules.goals); });
    reader.number("ready_floor", rules.readyFloor, 0.0, 1.0);
    reader.integer("parallel_loads", rules.parallelLoads, 1, maxParallelLoads);
    refuseDuplicates(reader, rules.goals, "goals", "endpoint", [](const PlacementGoal &goal) -> const std::string & { return goal.endpoint.text(); });
}

void readArbitration(JsonReader &reader, ArbitrationMode &mode)
{
    static const std::vector<std::string_view> names{"permits", "local", "fifo"};
    static constexpr std::array modes{ArbitrationMode::Permits, ArbitrationMode::Local, ArbitrationMode::Fifo};
    std::size_t index = 0;
    reader.choice("arbitration", index, names);
    mode = modes[index];
}

void checkClasses(JsonReader &reader, const std::vector<ClassRule> &classes)
{
    if (classes.empty()) {
        reader.fault("classes", "no classes", "at least one class");
    }
    refuseDuplicates(reader, classes, "classes", "name", [](const ClassRule &rule) -> const std::string & { return rule.name.text(); });
    double shares = 0.0;
    for (const ClassRule &rule : classes) {
        shares += rule.minimumShare;
    }
    if (shares > 1.0 + shareTolerance) {
        reader.fault("classes", "minimum_share adds up to " + shortestNumber(shares), "a sum of at most 1");
    }
}

void readPreset(JsonReader &reader, Preset &preset)
{
    readIdentifier(reader, "name", preset.name);
    reader.text("description", preset.description, descriptionRule);
    readArbitration(reader, preset.arbitration);
    reader.flag("preemption", preset.preemption);
    reader.objects(
        "classes", maxClasses, [&](JsonReader &rule) { readClass(rule, preset.classes); }, true);
    reader.objects("customers", maxCustomers, [&](JsonReader &rule) { readCustomer(rule, preset.customers); });
    reader.object("placement", [&](JsonReader &placement) { readPlacement(placement, preset.placement); });
    checkClasses(reader, preset.classes);
    refuseDuplicates(reader, preset.customers, "customers", "name", [](const CustomerRule &rule) -> const std::string & { return rule.name.text(); });
}

template <class Document>
void readStamp(JsonReader &reader, Document &document)
{
    readIdentifier(reader, "operation", document.operation);
    std::string by;
    reader.text("by", by, operatorRule, true);
    document.by = OperatorName(std::move(by));
}

void readNestedPreset(JsonReader &reader, Preset &preset)
{
    reader.object(
        "preset", [&](JsonReader &inner) { readPreset(inner, preset); }, true);
}

constexpr std::uint64_t maxVersion = std::numeric_limits<std::int64_t>::max() - 1;
constexpr std::uint64_t maxUnixMs = std::numeric_limits<std::int64_t>::max();

void readInForce(JsonReader &reader, PresetInForce &inForce)
{
    reader.integer("version", inForce.version, 1, maxVersion, true);
    readStamp(reader, inForce);
    reader.integer("accepted_unix_ms", inForce.acceptedUnixMs, 0, maxUnixMs);
    readNestedPreset(reader, inForce.preset);
}

void readLibrary(JsonReader &reader, LibraryPreset &entry)
{
    readStamp(reader, entry);
    reader.integer("applied_unix_ms", entry.appliedUnixMs, 0, maxUnixMs);
    readNestedPreset(reader, entry.preset);
}

void readHistory(JsonReader &reader, PresetHistoryEntry &entry)
{
    reader.integer("version", entry.version, 1, maxVersion, true);
    readStamp(reader, entry);
    reader.integer("accepted_unix_ms", entry.acceptedUnixMs, 0, maxUnixMs);
    readIdentifier(reader, "name", entry.name);
}

/** Parses any kind of document, after checking its size. */
template <class Document>
Result<Document, PresetFaults> parseBounded(std::string_view text, void (*read)(JsonReader &, Document &))
{
    if (text.size() > maxPresetBytes) {
        return PresetFaults{{"", std::to_string(text.size()) + " bytes", "at most " + std::to_string(maxPresetBytes) + " bytes"}};
    }
    Document document;
    PresetFaults faults = readDocument(text, [&](JsonReader &reader) { read(reader, document); });
    if (!faults.empty()) {
        return failure(std::move(faults));
    }
    return document;
}

} // namespace

bool isPresetIdentifier(std::string_view text)
{
    const bool allowed = std::ranges::all_of(text, [](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
    return !text.empty() && text.size() <= maxIdentifierBytes && allowed && isAlphanumeric(text.front());
}

Result<Preset, PresetFaults> parsePreset(std::string_view text)
{
    return parseBounded<Preset>(text, readPreset);
}

Result<PresetInForce, PresetFaults> parsePresetInForce(std::string_view text)
{
    return parseBounded<PresetInForce>(text, readInForce);
}

Result<LibraryPreset, PresetFaults> parseLibraryPreset(std::string_view text)
{
    return parseBounded<LibraryPreset>(text, readLibrary);
}

Result<PresetHistoryEntry, PresetFaults> parseHistoryEntry(std::string_view text)
{
    return parseBounded<PresetHistoryEntry>(text, readHistory);
}

} // namespace Rhubarbwind
