// Each reader first distinguishes by status, then reads the body field by field. A field that is missing or of the wrong type invalidates the whole
// answer. A partial listing is never returned: a caller could take it for complete.

#include "platform/platformanswer.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusGone = 410;
constexpr unsigned statusPreconditionFailed = 412;
constexpr unsigned statusServerErrors = 500;
constexpr unsigned statusClientErrors = 400;

/** The meaning of an unexpected status. Only 4xx guarantees that nothing was done. */
PlatformError errorOf(unsigned status)
{
    if (status == statusNotFound) {
        return {PlatformErrorKind::NotFound, 0};
    }
    if (status >= statusClientErrors && status < statusServerErrors) {
        return {PlatformErrorKind::Refused, 0};
    }
    return {PlatformErrorKind::Unknown, 0};
}

PlatformError malformed()
{
    return {PlatformErrorKind::Unknown, 0};
}

/** Reads typed fields of one object; ok() becomes false when any is missing or of another type. */
class AnswerReader
{
public:
    explicit AnswerReader(const json::value &value)
        : m_object(value.if_object())
        , m_ok(m_object != nullptr)
    {
    }

    bool ok() const
    {
        return m_ok;
    }

    std::string text(std::string_view key)
    {
        const json::value *value = find(key);
        const json::string *found = value == nullptr ? nullptr : value->if_string();
        if (found == nullptr) {
            m_ok = false;
            return {};
        }
        return std::string(found->begin(), found->end());
    }

    std::uint64_t number(std::string_view key, std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max())
    {
        const json::value *value = find(key);
        json::error_code error;
        const std::uint64_t found = value == nullptr || value->is_double() ? 0 : value->to_number<std::uint64_t>(error);
        if (value == nullptr || value->is_double() || error || found > maximum) {
            m_ok = false;
            return 0;
        }
        return found;
    }

    bool flag(std::string_view key)
    {
        const json::value *value = find(key);
        if (value == nullptr || !value->is_bool()) {
            m_ok = false;
            return false;
        }
        return value->get_bool();
    }

    const json::array *list(std::string_view key)
    {
        const json::value *value = find(key);
        const json::array *found = value == nullptr ? nullptr : value->if_array();
        m_ok = m_ok && found != nullptr;
        return found;
    }

    bool has(std::string_view key) const
    {
        return m_object != nullptr && m_object->contains(key);
    }

private:
    const json::value *find(std::string_view key) const
    {
        return m_object == nullptr ? nullptr : m_object->if_contains(key);
    }

    const json::object *m_object;
    bool m_ok;
};

template <class Item, class Read>
bool readItems(const json::array *list, std::vector<Item> &into, Read read)
{
    if (list == nullptr) {
        return false;
    }
    into.reserve(list->size());
    return std::ranges::all_of(*list, [&](const json::value &value) {
        AnswerReader reader(value);
        into.push_back(read(reader));
        return reader.ok();
    });
}

StoredObject readStored(AnswerReader &reader)
{
    StoredObject object;
    object.key = reader.text("key");
    object.version = reader.number("version");
    object.value = reader.text("value");
    return object;
}

WatchEvent readEvent(AnswerReader &reader)
{
    WatchEvent event;
    event.key = reader.text("key");
    event.version = reader.number("version");
    event.removed = reader.flag("removed");
    return event;
}

/** Fields that only some roles have may be missing; those that are present must be valid. */
ListedHost readHost(AnswerReader &reader)
{
    ListedHost host;
    host.name = reader.text("name");
    host.role = reader.text("role");
    host.state = reader.text("state");
    host.ip = reader.text("ip");
    host.port = static_cast<std::uint16_t>(reader.number("port", std::numeric_limits<std::uint16_t>::max()));
    host.domain = reader.text("domain");
    host.shard = reader.has("shard") ? reader.text("shard") : std::string();
    host.slots = reader.has("slots") ? static_cast<std::uint32_t>(reader.number("slots", std::numeric_limits<std::uint32_t>::max())) : 0;
    host.kvTokens = reader.has("kv_tokens") ? reader.number("kv_tokens") : 0;
    host.checksFencing = reader.has("checks_fencing") && reader.flag("checks_fencing");
    return host;
}

std::optional<json::value> parseBody(const std::string &body)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    if (error) {
        return std::nullopt;
    }
    return value;
}

/** Reads an answer that lists items. @param next where to continue; null if the answer has no such field */
template <class Item, class Read>
std::optional<PlatformError> readListing(const HttpAnswer &answer, std::string_view key, std::vector<Item> &items, Read read, std::uint64_t *next)
{
    if (answer.status != statusOk) {
        return errorOf(answer.status);
    }
    const std::optional<json::value> body = parseBody(answer.body);
    if (!body) {
        return malformed();
    }
    AnswerReader reader(*body);
    if (next != nullptr) {
        *next = reader.number("next");
    }
    if (!readItems(reader.list(key), items, read) || !reader.ok()) {
        return malformed();
    }
    return std::nullopt;
}

} // namespace

std::string_view fieldOf(const HttpAnswer &answer, std::string_view name)
{
    const auto found = std::ranges::find_if(answer.fields, [name](const HttpField &field) {
        return boost::beast::iequals({field.name.data(), field.name.size()}, {name.data(), name.size()});
    });
    return found == answer.fields.end() ? std::string_view() : std::string_view(found->value);
}

std::optional<ObjectVersion> parseVersionTag(std::string_view tag)
{
    constexpr std::size_t quotes = 2;
    if (tag.size() <= quotes || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    const std::string_view digits = tag.substr(1, tag.size() - quotes);
    ObjectVersion version = 0;
    const char *end = digits.data() + digits.size();
    const std::from_chars_result read = std::from_chars(digits.data(), end, version);
    if (read.ec != std::errc() || read.ptr != end) {
        return std::nullopt;
    }
    return version;
}

std::string printVersionTag(ObjectVersion version)
{
    return "\"" + std::to_string(version) + "\"";
}

PlatformResult<StoredObject> readObjectAnswer(std::string key, HttpAnswer answer)
{
    if (answer.status != statusOk) {
        return failure(errorOf(answer.status));
    }
    const std::optional<ObjectVersion> version = parseVersionTag(answer.etag);
    if (!version) {
        return failure(malformed());
    }
    return StoredObject{std::move(key), *version, std::move(answer.body)};
}

PlatformResult<ObjectVersion> readWriteAnswer(const HttpAnswer &answer)
{
    const std::optional<ObjectVersion> version = parseVersionTag(answer.etag);
    if (answer.status == statusPreconditionFailed) {
        return failure(PlatformError{PlatformErrorKind::Conflict, version.value_or(0)});
    }
    if (answer.status != statusOk) {
        return failure(errorOf(answer.status));
    }
    if (!version) {
        return failure(malformed());
    }
    return *version;
}

PlatformResult<ObjectListing> readListAnswer(const HttpAnswer &answer)
{
    ObjectListing listing;
    if (const std::optional<PlatformError> error = readListing(answer, "objects", listing.objects, readStored, &listing.next)) {
        return failure(*error);
    }
    return listing;
}

PlatformResult<WatchBatch> readWatchAnswer(const HttpAnswer &answer)
{
    WatchBatch batch;
    if (const std::optional<PlatformError> error = readListing(answer, "events", batch.events, readEvent, &batch.next)) {
        return failure(*error);
    }
    return batch;
}

PlatformResult<std::vector<ListedHost>> readHostsAnswer(const HttpAnswer &answer)
{
    std::vector<ListedHost> hosts;
    if (const std::optional<PlatformError> error = readListing(answer, "hosts", hosts, readHost, nullptr)) {
        return failure(*error);
    }
    return hosts;
}

bool isWatchTooOld(const HttpAnswer &answer)
{
    return answer.status == statusGone;
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
    std::string out;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            out += c;
            continue;
        }
        const unsigned byte = static_cast<unsigned char>(c);
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 0xFU];
    }
    return out;
}

} // namespace Rhubarbwind
