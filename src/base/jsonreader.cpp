#include "base/jsonreader.h"

#include <algorithm>
#include <cmath>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t deepestNesting = 32;
constexpr std::size_t longestShownValue = 80;

std::string shown(const boost::json::value &value)
{
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

std::string shortNumber(double number)
{
    return shown(boost::json::value(number));
}

} // namespace

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
    boost::json::error_code error;
    boost::json::value document = boost::json::parse(boost::json::string_view(text.data(), text.size()), error, boost::json::storage_ptr(), options);
    if (error) {
        return DocumentFaults{{"", error.message(), "a JSON document; comments and trailing commas are allowed"}};
    }
    return document;
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

void JsonReader::text(std::string_view key, std::string &target, std::size_t longest, bool required)
{
    const std::string allowed = "a text of 1 to " + std::to_string(longest) + " bytes";
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        if (required && m_object != nullptr) {
            fault(key, "missing", allowed);
        }
        return;
    }
    const boost::json::string *found = value->if_string();
    if (found == nullptr || found->size() > longest || (required && found->empty())) {
        fault(key, shown(*value), allowed);
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
    fault(key, shown(*value), "a number " + range(shortNumber(least), shortNumber(most)));
}

void JsonReader::whole(std::string_view key, std::uint64_t &target, std::uint64_t least, std::uint64_t most)
{
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        return;
    }
    boost::json::error_code error;
    const std::uint64_t found = value->is_double() ? 0 : value->to_number<std::uint64_t>(error);
    if (!error && !value->is_double() && found >= least && found <= most) {
        target = found;
        return;
    }
    fault(key, shown(*value), "a whole number " + range(std::to_string(least), std::to_string(most)));
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

void JsonReader::object(std::string_view key, const std::function<void(JsonReader &)> &read)
{
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        return;
    }
    JsonReader inner(*value, pathOf(key), m_faults);
    read(inner);
    inner.finish();
}

void JsonReader::objects(std::string_view key, std::size_t most, const std::function<void(JsonReader &)> &read, bool required)
{
    const std::string allowed = "an array of at most " + std::to_string(most) + " objects";
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        if (required && m_object != nullptr) {
            fault(key, "missing", allowed);
        }
        return;
    }
    const boost::json::array *array = value->if_array();
    if (array == nullptr || array->size() > most) {
        fault(key, shown(*value), allowed);
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
    const boost::json::value *value = find(key);
    if (value == nullptr) {
        return;
    }
    const boost::json::array *array = value->if_array();
    const bool good = array != nullptr && array->size() <= most && std::ranges::all_of(*array, [](const boost::json::value &item) { return item.is_string(); });
    if (!good) {
        fault(key, shown(*value), "an array of at most " + std::to_string(most) + " texts");
        return;
    }
    target.clear();
    for (const boost::json::value &item : *array) {
        target.emplace_back(item.get_string().data(), item.get_string().size());
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

} // namespace Rhubarbwind
