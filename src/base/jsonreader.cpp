#include "base/jsonreader.h"

#include "base/duplicatekeys.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t deepestNesting = 32;
constexpr std::size_t longestShownValue = 80;

std::string shown(const boost::json::value &value)
{
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array";
    }
    std::string text = boost::json::serialize(value);
    if (text.size() > longestShownValue) {
        text.resize(longestShownValue);
        text += "...";
    }
    return text;
}

std::string range(const std::string &least, const std::string &most)
{
    return "from " + least + " to " + most;
}

} // namespace

std::string shortestNumber(double number)
{
    constexpr std::size_t longestNumber = 32;
    std::array<char, longestNumber> text{};
    const std::to_chars_result printed = std::to_chars(text.data(), text.data() + text.size(), number);
    return {text.data(), printed.ptr};
}

std::string describeFaults(const DocumentFaults &faults)
{
    std::string lines;
    for (const DocumentFault &fault : faults) {
        lines.append(fault.path.empty() ? "document" : fault.path);
        lines.append(": ").append(fault.value).append("; allowed: ").append(fault.allowed).append("\n");
    }
    return lines;
}

Result<boost::json::value, DocumentFaults> parseDocument(std::string_view text)
{
    boost::json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    options.max_depth = deepestNesting;
    boost::json::stream_parser parser({}, options);
    boost::json::error_code error;
    const std::size_t used = parser.write_some(text.data(), text.size(), error);
    if (!error && used == text.size()) {
        parser.finish(error);
    }
    if (error || used != text.size() || !parser.done()) {
        const std::string cause = error ? error.message() : "text after the end";
        return DocumentFaults{{"", cause + " at byte " + std::to_string(used), "one JSON document; comments and trailing commas are allowed"}};
    }
    return parser.release();
}

JsonReader::JsonReader(const boost::json::value &value, std::string path, DocumentFaults &faults)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (m_object == nullptr) {
        fault("", shown(value), "an object");
    }
}

void JsonReader::fault(std::string_view key, std::string value, std::string allowed)
{
    if (m_faults.size() < maxFaults) {
        m_faults.push_back({pathOf(key), std::move(value), std::move(allowed)});
    }
}

std::string JsonReader::pathOf(std::string_view key) const
{
    if (key.empty()) {
        return m_path;
    }
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

const boost::json::value *JsonReader::find(std::string_view key)
{
    m_named.emplace(key);
    return m_object == nullptr ? nullptr : m_object->if_contains(key);
}

const boost::json::value *JsonReader::find(std::string_view key, bool required, const std::string &allowed)
{
    const boost::json::value *value = find(key);
    if (value == nullptr && required && m_object != nullptr) {
        fault(key, "missing", allowed);
    }
    return value;
}

const boost::json::array *JsonReader::findArray(std::string_view key, std::size_t most, std::string_view elements, bool required)
{
    const std::string allowed = "an array of at most " + std::to_string(most) + " " + std::string(elements);
    const boost::json::value *value = find(key, required, allowed);
    if (value == nullptr) {
        return nullptr;
    }
    const boost::json::array *array = value->if_array();
    if (array == nullptr || array->size() > most) {
        fault(key, array == nullptr ? shown(*value) : std::to_string(array->size()) + " elements", allowed);
        return nullptr;
    }
    return array;
}

void JsonReader::text(std::string_view key, std::string &target, std::size_t longest, bool required)
{
    const std::string allowed = "a text of 1 to " + std::to_string(longest) + " bytes";
    const boost::json::value *value = find(key, required, allowed);
    if (value == nullptr) {
        return;
    }
    const boost::json::string *found = value->if_string();
    if (found == nullptr || found->size() > longest || (required && found->empty())) {
        fault(key, shown(*value), allowed);
        return;
    }
    target.assign(found->data(), found->size());
}

void JsonReader::text(std::string_view key, std::string &target, const TextRule &rule, bool required)
{
    const boost::json::value *value = find(key, required, std::string(rule.allowed));
    if (value == nullptr) {
        return;
    }
    const boost::json::string *found = value->if_string();
    if (found == nullptr || !rule.accepts(std::string_view(*found))) {
        fault(key, shown(*value), std::string(rule.allowed));
        return;
    }
    target.assign(found->data(), found->size());
}

void JsonReader::flag(std::string_view key, bool &target)
{
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        return;
    }
    if (const bool *found = value->if_bool()) {
        target = *found;
        return;
    }
    fault(key, shown(*value), "true or false");
}

void JsonReader::number(std::string_view key, double &target, double least, double most)
{
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        return;
    }
    const double found = value->is_number() ? value->to_number<double>() : std::nan("");
    if (found >= least && found <= most) {
        target = found;
        return;
    }
    fault(key, shown(*value), "a number " + range(shortestNumber(least), shortestNumber(most)));
}

void JsonReader::whole(std::string_view key, std::uint64_t &target, std::uint64_t least, std::uint64_t most, bool required)
{
    const boost::json::value *value = find(key);
    if (value == nullptr && (!required || m_object == nullptr)) {
        return;
    }
    if (value != nullptr && !value->is_double()) {
        boost::json::error_code error;
        const std::uint64_t found = value->to_number<std::uint64_t>(error);
        if (!error && found >= least && found <= most) {
            target = found;
            return;
        }
    }
    fault(key, value == nullptr ? "missing" : shown(*value), "a whole number " + range(std::to_string(least), std::to_string(most)));
}

void JsonReader::milliseconds(std::string_view key, Duration &target, Duration least, Duration most)
{
    std::uint64_t value = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(target).count());
    const std::uint64_t before = value;
    whole(key,
          value,
          static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(least).count()),
          static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(most).count()));
    if (value != before) {
        target = std::chrono::milliseconds(value);
    }
}

void JsonReader::choice(std::string_view key, std::size_t &target, const std::vector<std::string_view> &names)
{
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        return;
    }
    if (const boost::json::string *found = value->if_string()) {
        const auto match = std::ranges::find(names, std::string_view(found->data(), found->size()));
        if (match != names.end()) {
            target = static_cast<std::size_t>(match - names.begin());
            return;
        }
    }
    std::string allowed;
    for (const std::string_view name : names) {
        allowed.append(allowed.empty() ? "" : ", ").append(name);
    }
    fault(key, shown(*value), "one of " + allowed);
}

void JsonReader::object(std::string_view key, const std::function<void(JsonReader &)> &read, bool required)
{
    const boost::json::value *value = find(key, required, "an object");
    if (value == nullptr) {
        return;
    }
    JsonReader inner(*value, pathOf(key), m_faults);
    read(inner);
    inner.finish();
}

void JsonReader::objects(std::string_view key, std::size_t most, const std::function<void(JsonReader &)> &read, bool required)
{
    const boost::json::array *array = findArray(key, most, "objects", required);
    if (array == nullptr) {
        return;
    }
    std::size_t index = 0;
    for (const boost::json::value &item : *array) {
        JsonReader inner(item, pathOf(key) + "[" + std::to_string(index++) + "]", m_faults);
        read(inner);
        inner.finish();
    }
}

void JsonReader::texts(std::string_view key, std::vector<std::string> &target, std::size_t most)
{
    texts(key, target, most, {[](std::string_view) { return true; }, "a text"});
}

void JsonReader::texts(std::string_view key, std::vector<std::string> &target, std::size_t most, const TextRule &rule)
{
    const boost::json::array *array = findArray(key, most, "texts", false);
    if (array == nullptr) {
        return;
    }
    target.clear();
    std::size_t index = 0;
    for (const boost::json::value &item : *array) {
        const std::string place = std::string(key) + "[" + std::to_string(index++) + "]";
        const boost::json::string *found = item.if_string();
        if (found == nullptr || !rule.accepts(std::string_view(*found))) {
            fault(place, shown(item), std::string(rule.allowed));
            continue;
        }
        target.emplace_back(found->data(), found->size());
    }
}

void JsonReader::finish()
{
    if (m_object == nullptr) {
        return;
    }
    for (const boost::json::key_value_pair &entry : *m_object) {
        if (!m_named.contains(std::string_view(entry.key()))) {
            fault(entry.key(), shown(entry.value()), "no such key");
        }
    }
    m_object = nullptr;
}

DocumentFaults readDocument(std::string_view text, const std::function<void(JsonReader &)> &read)
{
    const Result<boost::json::value, DocumentFaults> document = parseDocument(text);
    if (document.has_error()) {
        return document.error();
    }
    DocumentFaults faults;
    for (std::string &path : findDuplicateKeys(text, maxFaults)) {
        faults.push_back({std::move(path), "given twice", "each key once"});
    }
    JsonReader reader(document.value(), "", faults);
    read(reader);
    reader.finish();
    return faults;
}

} // namespace Rhubarbwind
