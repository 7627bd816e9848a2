// A strict reader over Boost.JSON's tree. Each object is read through a FieldReader that remembers the path,
// takes the fields it is asked for, reports what is out of bounds, and at its end reports every key that
// nobody asked for. Reading goes on after a fault with the default in place, so one pass finds all of them;
// the half-read value is thrown away when there was any.
//
// A schema library was weighed and left: Debian has none for Boost.JSON, and bounds that involve two fields
// (the sum of shares, preemptible and idempotent) would need code beside it anyway.

#include "preset/presetjson.h"

#include "preset/duplicatekeys.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <set>
#include <unordered_set>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

constexpr std::size_t maxIdentifierBytes = 128;
constexpr std::size_t maxDescriptionBytes = 1024;
constexpr std::size_t maxOperatorBytes = 128;
constexpr std::size_t maxShownBytes = 64; ///< of a faulty value
constexpr std::int64_t maxTier = 15;
constexpr std::int64_t maxTargetMs = 3'600'000; ///< an hour: beyond it a target is a mistake in the unit
constexpr std::int64_t maxTokensPerAnswer = 1'000'000;
constexpr std::int64_t maxQueueLimit = 1'000'000;
constexpr std::int64_t maxParallelLoads = 1000;
constexpr std::size_t maxGoals = 4096;
constexpr std::size_t maxAdapters = 64;
constexpr double maxWeight = 1000.0;
constexpr double shareTolerance = 1e-9; ///< the sum of shares is a sum of rounded numbers
constexpr std::size_t sha256HexDigits = 64;

constexpr std::string_view identifierAllowed = "1 to 128 of A-Z a-z 0-9 . _ - that begin with a letter or digit";

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isAlphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

std::string shown(const json::value &value)
{
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "a list";
    }
    std::string text = json::serialize(value);
    if (text.size() > maxShownBytes) {
        text.resize(maxShownBytes);
        text += "...";
    }
    return text;
}

/** Collects faults up to the bound. */
class FaultList
{
public:
    void add(std::string path, std::string value, std::string allowed)
    {
        if (m_faults.size() < maxPresetFaults) {
            m_faults.push_back({std::move(path), std::move(value), std::move(allowed)});
        }
    }
    PresetFaults take()
    {
        return std::move(m_faults);
    }
    bool empty() const
    {
        return m_faults.empty();
    }

private:
    PresetFaults m_faults;
};

std::string rangeText(std::string_view kind, const std::string &least, const std::string &most)
{
    return std::string(kind) + " from " + least + " to " + most;
}

/** Reads the fields of one object; see the head of this file. */
class FieldReader
{
public:
    FieldReader(const json::value &value, std::string path, FaultList &faults)
        : m_object(value.if_object())
        , m_path(std::move(path))
        , m_faults(faults)
    {
        if (m_object == nullptr) {
            m_faults.add(m_path, shown(value), "an object");
        }
    }

    /** Reports the keys that were never asked for. */
    void finish()
    {
        if (m_object == nullptr) {
            return;
        }
        for (const json::key_value_pair &field : *m_object) {
            if (!m_asked.contains(std::string_view(field.key()))) {
                m_faults.add(pathOf(field.key()), shown(field.value()), "no such key");
            }
        }
    }

    const json::value *find(std::string_view key, bool required)
    {
        m_asked.emplace(key);
        if (m_object == nullptr) {
            return nullptr;
        }
        const json::value *value = m_object->if_contains(key);
        if (value == nullptr && required) {
            m_faults.add(pathOf(key), "", "this key must be given");
        }
        return value;
    }

    void readBool(std::string_view key, bool &into)
    {
        const json::value *value = find(key, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_bool()) {
            fault(key, *value, "true or false");
            return;
        }
        into = value->get_bool();
    }

    template <class Integer>
    void readInteger(std::string_view key, Integer &into, std::int64_t least, std::int64_t most, bool required = false)
    {
        const json::value *value = find(key, required);
        if (value == nullptr) {
            return;
        }
        const std::int64_t *number = value->if_int64();
        if (number == nullptr || *number < least || *number > most) {
            fault(key, *value, rangeText("a whole number", std::to_string(least), std::to_string(most)));
            return;
        }
        into = static_cast<Integer>(*number);
    }

    void readMilliseconds(std::string_view key, Duration &into)
    {
        std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(into).count();
        readInteger(key, milliseconds, 1, maxTargetMs);
        into = std::chrono::milliseconds(milliseconds);
    }

    void readReal(std::string_view key, double &into, double least, double most, const std::string &allowed)
    {
        const json::value *value = find(key, false);
        if (value == nullptr) {
            return;
        }
        const double number = value->is_number() ? value->to_number<double>() : std::numeric_limits<double>::quiet_NaN();
        if (!(number >= least && number <= most)) { // also false for NaN
            fault(key, *value, allowed);
            return;
        }
        into = number;
    }

    template <class Accepts>
    void readText(std::string_view key, std::string &into, bool required, Accepts accepts, std::string_view allowed)
    {
        const json::value *value = find(key, required);
        if (value == nullptr) {
            return;
        }
        const json::string *text = value->if_string();
        if (text == nullptr || !accepts(std::string_view(*text))) {
            fault(key, *value, std::string(allowed));
            return;
        }
        into.assign(text->begin(), text->end());
    }

    template <class Id>
    void readIdentifier(std::string_view key, Id &into)
    {
        std::string text;
        readText(key, text, true, isPresetIdentifier, identifierAllowed);
        into = Id(std::move(text));
    }

    /** Calls read(value, path) for each element of a list; false when it is missing or too long. */
    template <class Read>
    void readList(std::string_view key, bool required, std::size_t most, Read read)
    {
        const json::value *value = find(key, required);
        if (value == nullptr) {
            return;
        }
        const json::array *list = value->if_array();
        if (list == nullptr || list->size() > most) {
            m_faults.add(pathOf(key),
                         list == nullptr ? shown(*value) : std::to_string(list->size()) + " entries",
                         "a list of at most " + std::to_string(most) + " entries");
            return;
        }
        for (std::size_t i = 0; i < list->size(); ++i) {
            read((*list)[i], pathOf(key) + "[" + std::to_string(i) + "]");
        }
    }

    std::string pathOf(std::string_view key) const
    {
        return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
    }

    void fault(std::string_view key, const json::value &value, std::string allowed)
    {
        m_faults.add(pathOf(key), shown(value), std::move(allowed));
    }

    FaultList &faults()
    {
        return m_faults;
    }

private:
    const json::object *m_object;
    std::string m_path;
    FaultList &m_faults;
    std::set<std::string, std::less<>> m_asked;
};

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

ClassRule readClass(const json::value &value, const std::string &path, FaultList &faults)
{
    ClassRule rule;
    FieldReader reader(value, path, faults);
    reader.readIdentifier("name", rule.name);
    reader.readInteger("tier", rule.tier.level, 0, maxTier, true);
    reader.readMilliseconds("first_token_target_ms", rule.firstTokenTarget);
    reader.readMilliseconds("inter_token_target_ms", rule.interTokenTarget);
    reader.readMilliseconds("queue_deadline_ms", rule.queueDeadline);
    reader.readReal("minimum_share", rule.minimumShare, 0.0, 1.0, "a number from 0 to 1");
    reader.readBool("idempotent", rule.idempotent);
    reader.readBool("reproducible", rule.reproducible);
    reader.readBool("preemptible", rule.preemptible);
    reader.readInteger("estimated_tokens", rule.estimatedTokens, 1, maxTokensPerAnswer);
    reader.readInteger("queue_limit", rule.queueLimit, 1, maxQueueLimit);
    // A preempted request is run again; one that may run only once would be lost.
    if (rule.preemptible && !rule.idempotent) {
        faults.add(reader.pathOf("preemptible"), "true", "false where idempotent is false");
    }
    reader.finish();
    return rule;
}

CustomerRule readCustomer(const json::value &value, const std::string &path, FaultList &faults)
{
    CustomerRule rule;
    FieldReader reader(value, path, faults);
    reader.readIdentifier("name", rule.name);
    reader.readReal("weight", rule.weight, 1.0 / maxWeight, maxWeight, "a number from 0.001 to 1000");
    reader.readText("api_key_sha256", rule.apiKeySha256, false, isKeyHash, "64 lower-case hex digits, or empty");
    reader.finish();
    return rule;
}

PlacementGoal readGoal(const json::value &value, const std::string &path, FaultList &faults)
{
    PlacementGoal goal;
    goal.role = "serve";
    FieldReader reader(value, path, faults);
    reader.readIdentifier("endpoint", goal.endpoint);
    reader.readText("model", goal.model, true, isPresetIdentifier, identifierAllowed);
    reader.readText("version", goal.version, true, isPresetIdentifier, identifierAllowed);
    reader.readList("adapters", false, maxAdapters, [&](const json::value &adapter, const std::string &adapterPath) {
        const json::string *text = adapter.if_string();
        if (text == nullptr || !isPresetIdentifier(*text)) {
            faults.add(adapterPath, shown(adapter), std::string(identifierAllowed));
            return;
        }
        goal.adapters.emplace_back(text->begin(), text->end());
    });
    reader.readText("role", goal.role, false, isPlacementRole, "\"serve\", \"prefill\" or \"decode\"");
    reader.finish();
    return goal;
}

/** Reports each name that stands twice: the second would silently win or lose. */
template <class Rules, class Project>
void refuseDuplicates(const Rules &rules, std::string_view list, std::string_view field, Project project, FaultList &faults)
{
    std::unordered_set<std::string> seen;
    for (std::size_t i = 0; i < rules.size(); ++i) {
        const std::string &name = project(rules[i]);
        if (!name.empty() && !seen.insert(name).second) {
            faults.add(std::string(list) + "[" + std::to_string(i) + "]." + std::string(field), "\"" + name + "\"", "a name that stands once in the list");
        }
    }
}

PlacementRules readPlacement(const json::value &value, const std::string &path, FaultList &faults)
{
    PlacementRules rules;
    FieldReader reader(value, path, faults);
    reader.readList(
        "goals", false, maxGoals, [&](const json::value &goal, const std::string &goalPath) { rules.goals.push_back(readGoal(goal, goalPath, faults)); });
    reader.readReal("ready_floor", rules.readyFloor, 0.0, 1.0, "a number from 0 to 1");
    reader.readInteger("parallel_loads", rules.parallelLoads, 1, maxParallelLoads);
    reader.finish();
    refuseDuplicates(
        rules.goals, path + ".goals", "endpoint", [](const PlacementGoal &goal) -> const std::string & { return goal.endpoint.text(); }, faults);
    return rules;
}

void readArbitration(FieldReader &reader, ArbitrationMode &mode)
{
    const json::value *value = reader.find("arbitration", false);
    if (value == nullptr) {
        return;
    }
    if (*value == json::value("permits")) {
        mode = ArbitrationMode::Permits;
    } else if (*value == json::value("local")) {
        mode = ArbitrationMode::Local;
    } else if (*value == json::value("fifo")) {
        mode = ArbitrationMode::Fifo;
    } else {
        reader.fault("arbitration", *value, "\"permits\", \"local\" or \"fifo\"");
    }
}

void checkClasses(const Preset &preset, const std::string &path, FaultList &faults)
{
    const std::string list = path.empty() ? "classes" : path + ".classes";
    if (preset.classes.empty()) {
        faults.add(list, "no classes", "at least one class");
    }
    refuseDuplicates(
        preset.classes, list, "name", [](const ClassRule &rule) -> const std::string & { return rule.name.text(); }, faults);
    double shares = 0.0;
    for (const ClassRule &rule : preset.classes) {
        shares += rule.minimumShare;
    }
    if (shares > 1.0 + shareTolerance) {
        faults.add(list, "minimum_share adds up to " + json::serialize(json::value(shares)), "a sum of at most 1");
    }
}

Preset readPreset(const json::value &value, const std::string &path, FaultList &faults)
{
    Preset preset;
    FieldReader reader(value, path, faults);
    reader.readIdentifier("name", preset.name);
    reader.readText("description", preset.description, false, isDescription, "text of at most 1024 bytes");
    readArbitration(reader, preset.arbitration);
    reader.readBool("preemption", preset.preemption);
    reader.readList("classes", true, maxClasses, [&](const json::value &rule, const std::string &rulePath) {
        preset.classes.push_back(readClass(rule, rulePath, faults));
    });
    reader.readList("customers", false, maxCustomers, [&](const json::value &rule, const std::string &rulePath) {
        preset.customers.push_back(readCustomer(rule, rulePath, faults));
    });
    if (const json::value *placement = reader.find("placement", false)) {
        preset.placement = readPlacement(*placement, reader.pathOf("placement"), faults);
    }
    reader.finish();
    checkClasses(preset, path, faults);
    refuseDuplicates(
        preset.customers, reader.pathOf("customers"), "name", [](const CustomerRule &rule) -> const std::string & { return rule.name.text(); }, faults);
    return preset;
}

template <class Document>
void readStamp(FieldReader &reader, Document &document)
{
    reader.readIdentifier("operation", document.operation);
    std::string by;
    reader.readText("by", by, true, isOperatorText, "1 to 128 bytes of printable text");
    document.by = OperatorName(std::move(by));
}

constexpr std::int64_t maxVersion = std::numeric_limits<std::int64_t>::max() - 1;
constexpr std::int64_t maxUnixMs = std::numeric_limits<std::int64_t>::max();

PresetInForce readInForce(const json::value &value, FaultList &faults)
{
    PresetInForce inForce;
    FieldReader reader(value, "", faults);
    reader.readInteger("version", inForce.version, 1, maxVersion, true);
    readStamp(reader, inForce);
    reader.readInteger("accepted_unix_ms", inForce.acceptedUnixMs, 0, maxUnixMs);
    if (const json::value *preset = reader.find("preset", true)) {
        inForce.preset = readPreset(*preset, "preset", faults);
    }
    reader.finish();
    return inForce;
}

LibraryPreset readLibrary(const json::value &value, FaultList &faults)
{
    LibraryPreset entry;
    FieldReader reader(value, "", faults);
    readStamp(reader, entry);
    reader.readInteger("applied_unix_ms", entry.appliedUnixMs, 0, maxUnixMs);
    if (const json::value *preset = reader.find("preset", true)) {
        entry.preset = readPreset(*preset, "preset", faults);
    }
    reader.finish();
    return entry;
}

PresetHistoryEntry readHistory(const json::value &value, FaultList &faults)
{
    PresetHistoryEntry entry;
    FieldReader reader(value, "", faults);
    reader.readInteger("version", entry.version, 1, maxVersion, true);
    readStamp(reader, entry);
    reader.readInteger("accepted_unix_ms", entry.acceptedUnixMs, 0, maxUnixMs);
    reader.readIdentifier("name", entry.name);
    reader.finish();
    return entry;
}

/** Parses the text and reads it; every document kind goes through here. */
template <class Document, class Read>
Result<Document, PresetFaults> parseDocument(std::string_view text, Read read)
{
    FaultList faults;
    if (text.size() > maxPresetBytes) {
        faults.add("", std::to_string(text.size()) + " bytes", "at most " + std::to_string(maxPresetBytes) + " bytes");
        return failure(faults.take());
    }
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser({}, options);
    json::error_code error;
    const std::size_t used = parser.write_some(text.data(), text.size(), error);
    if (!error && used == text.size()) {
        parser.finish(error);
    }
    if (error || used != text.size() || !parser.done()) {
        const std::string cause = error ? error.message() : "text after the end";
        faults.add("", cause + " at byte " + std::to_string(used), "one JSON document; comments and trailing commas are allowed");
        return failure(faults.take());
    }
    for (std::string &path : findDuplicateKeys(text, maxPresetFaults)) {
        faults.add(std::move(path), "given twice", "each key once");
    }
    const json::value value = parser.release();
    Document document = read(value, faults);
    if (!faults.empty()) {
        return failure(faults.take());
    }
    return document;
}

std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string_view arbitrationName(ArbitrationMode mode)
{
    switch (mode) {
    case ArbitrationMode::Permits:
        return "permits";
    case ArbitrationMode::Local:
        return "local";
    case ArbitrationMode::Fifo:
        return "fifo";
    }
    return "permits";
}

json::object toJson(const ClassRule &rule)
{
    return {{"name", rule.name.text()},
            {"tier", rule.tier.level},
            {"first_token_target_ms", wholeMilliseconds(rule.firstTokenTarget)},
            {"inter_token_target_ms", wholeMilliseconds(rule.interTokenTarget)},
            {"queue_deadline_ms", wholeMilliseconds(rule.queueDeadline)},
            {"minimum_share", rule.minimumShare},
            {"idempotent", rule.idempotent},
            {"reproducible", rule.reproducible},
            {"preemptible", rule.preemptible},
            {"estimated_tokens", rule.estimatedTokens},
            {"queue_limit", rule.queueLimit}};
}

json::object toJson(const CustomerRule &rule)
{
    return {{"name", rule.name.text()}, {"weight", rule.weight}, {"api_key_sha256", rule.apiKeySha256}};
}

json::object toJson(const PlacementGoal &goal)
{
    json::array adapters(goal.adapters.begin(), goal.adapters.end());
    return {{"endpoint", goal.endpoint.text()}, {"model", goal.model}, {"version", goal.version}, {"adapters", std::move(adapters)}, {"role", goal.role}};
}

template <class Items>
json::array listToJson(const Items &items)
{
    json::array list;
    list.reserve(items.size());
    for (const typename Items::value_type &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

json::object toJson(const Preset &preset)
{
    json::object placement{
        {"goals", listToJson(preset.placement.goals)}, {"ready_floor", preset.placement.readyFloor}, {"parallel_loads", preset.placement.parallelLoads}};
    return {{"name", preset.name.text()},
            {"description", preset.description},
            {"arbitration", arbitrationName(preset.arbitration)},
            {"preemption", preset.preemption},
            {"classes", listToJson(preset.classes)},
            {"customers", listToJson(preset.customers)},
            {"placement", std::move(placement)}};
}

/** As people write it: 0.02 where the library prints 2E-2. */
std::string shortestReal(double number)
{
    constexpr std::size_t longestReal = 32;
    std::array<char, longestReal> text{};
    const std::to_chars_result printed = std::to_chars(text.data(), text.data() + text.size(), number);
    std::string real(text.data(), printed.ptr);
    if (real.find_first_of(".e") == std::string::npos) {
        real += ".0";
    }
    return real;
}

void printIndented(const json::value &value, std::size_t depth, std::string &out);

/** One member or element a line, between the given brackets. */
template <class Items, class PrintItem>
void printBlock(const Items &items, char open, char close, std::size_t depth, std::string &out, PrintItem printItem)
{
    out += open;
    bool first = true;
    for (const typename Items::value_type &item : items) {
        out += first ? "\n" : ",\n";
        first = false;
        out.append((depth + 1) * 2, ' ');
        printItem(item);
    }
    if (!first) {
        out += '\n';
        out.append(depth * 2, ' ');
    }
    out += close;
}

void printIndented(const json::value &value, std::size_t depth, std::string &out)
{
    if (const json::object *object = value.if_object()) {
        printBlock(*object, '{', '}', depth, out, [&](const json::key_value_pair &field) {
            out += json::serialize(json::value(field.key()));
            out += ": ";
            printIndented(field.value(), depth + 1, out);
        });
        return;
    }
    if (const json::array *list = value.if_array()) {
        printBlock(*list, '[', ']', depth, out, [&](const json::value &item) { printIndented(item, depth + 1, out); });
        return;
    }
    out += value.is_double() ? shortestReal(value.get_double()) : json::serialize(value);
}

} // namespace

bool isPresetIdentifier(std::string_view text)
{
    const bool allowed = std::ranges::all_of(text, [](char c) { return isAlphanumeric(c) || c == '.' || c == '_' || c == '-'; });
    return !text.empty() && text.size() <= maxIdentifierBytes && allowed && isAlphanumeric(text.front());
}

Result<Preset, PresetFaults> parsePreset(std::string_view text)
{
    return parseDocument<Preset>(text, [](const json::value &value, FaultList &faults) { return readPreset(value, "", faults); });
}

Result<PresetInForce, PresetFaults> parsePresetInForce(std::string_view text)
{
    return parseDocument<PresetInForce>(text, readInForce);
}

Result<LibraryPreset, PresetFaults> parseLibraryPreset(std::string_view text)
{
    return parseDocument<LibraryPreset>(text, readLibrary);
}

Result<PresetHistoryEntry, PresetFaults> parseHistoryEntry(std::string_view text)
{
    return parseDocument<PresetHistoryEntry>(text, readHistory);
}

std::string printPreset(const Preset &preset)
{
    std::string out;
    printIndented(toJson(preset), 0, out);
    out += '\n';
    return out;
}

std::string printPresetInForce(const PresetInForce &inForce)
{
    return json::serialize(json::object{{"version", inForce.version},
                                        {"operation", inForce.operation.text()},
                                        {"by", inForce.by.text()},
                                        {"accepted_unix_ms", inForce.acceptedUnixMs},
                                        {"preset", toJson(inForce.preset)}});
}

std::string printLibraryPreset(const LibraryPreset &entry)
{
    return json::serialize(json::object{
        {"operation", entry.operation.text()}, {"by", entry.by.text()}, {"applied_unix_ms", entry.appliedUnixMs}, {"preset", toJson(entry.preset)}});
}

std::string printHistoryEntry(const PresetHistoryEntry &entry)
{
    return json::serialize(json::object{{"version", entry.version},
                                        {"operation", entry.operation.text()},
                                        {"by", entry.by.text()},
                                        {"accepted_unix_ms", entry.acceptedUnixMs},
                                        {"name", entry.name.text()}});
}

std::string describeFaults(const PresetFaults &faults)
{
    std::string text;
    for (const PresetFault &fault : faults) {
        text += fault.path.empty() ? "document" : fault.path;
        text += fault.value.empty() ? " is missing" : " is " + fault.value;
        text += "; allowed: " + fault.allowed + "\n";
    }
    return text;
}

} // namespace Rhubarbwind
