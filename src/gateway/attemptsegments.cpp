#include "gateway/attemptsegments.h"

#include "base/foreignjson.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <utility>

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

constexpr std::size_t keyDigits = 16;
constexpr ObjectVersion unknownVersion = std::numeric_limits<ObjectVersion>::max();
constexpr int hexBase = 16;

void appendKey(std::string &text, std::uint64_t key)
{
    std::array<char, keyDigits> digits{};
    const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), key, hexBase);
    const std::size_t length = static_cast<std::size_t>(end.ptr - digits.data());
    text.append(keyDigits - length, '0').append(digits.data(), length);
}

std::optional<std::uint64_t> readKey(std::string_view digits)
{
    std::uint64_t key = 0;
    const std::from_chars_result end = std::from_chars(digits.data(), digits.data() + digits.size(), key, hexBase);
    const bool isWhole = digits.size() == keyDigits && end.ec == std::errc() && end.ptr == digits.data() + digits.size();
    return isWhole ? std::optional(key) : std::nullopt;
}

std::string_view textIn(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    const json::string *text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string_view() : std::string_view(text->data(), text->size());
}

/** Reads the attempts of one service and version. @return false if they are malformed */
bool readGroup(const json::value &value, std::vector<SharedAttempt> &records)
{
    const json::object *group = value.if_object();
    const json::value *service = group == nullptr ? nullptr : group->if_contains("service");
    json::error_code error;
    const std::uint32_t serviceKey = service == nullptr ? 0 : service->to_number<std::uint32_t>(error);
    const std::optional<std::uint64_t> version = group == nullptr ? std::nullopt : readKey(textIn(*group, "version"));
    if (service == nullptr || error || !version) {
        return false;
    }
    const std::string_view attempts = textIn(*group, "attempts");
    for (std::size_t at = 0; at < attempts.size(); at += keyDigits) {
        const std::optional<std::uint64_t> attempt = readKey(attempts.substr(at, keyDigits));
        if (!attempt) {
            return false;
        }
        records.push_back({*attempt, *version, serviceKey, Duration::zero()});
    }
    return true;
}

} // namespace

std::string formatAttempts(std::span<const SharedAttempt> records)
{
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::string> groups;
    for (const SharedAttempt &record : records) {
        appendKey(groups[{record.service, record.version}], record.attempt);
    }
    json::array written;
    for (const auto &[key, attempts] : groups) {
        std::string version;
        appendKey(version, key.second);
        written.push_back(json::object{{"service", key.first}, {"version", version}, {"attempts", attempts}});
    }
    return json::serialize(json::object{{"groups", std::move(written)}});
}

std::optional<std::vector<SharedAttempt>> parseAttempts(std::string_view text)
{
    json::error_code error;
    const json::value document = parseForeignJson(text, error);
    const json::object *object = error ? nullptr : document.if_object();
    const json::value *groups = object == nullptr ? nullptr : object->if_contains("groups");
    if (groups == nullptr || !groups->is_array()) {
        return std::nullopt;
    }
    std::vector<SharedAttempt> records;
    for (const json::value &group : groups->get_array()) {
        if (!readGroup(group, records)) {
            return std::nullopt;
        }
    }
    return records;
}

AttemptSegments::Segment &AttemptSegments::open(TimePoint now)
{
    const bool isUsable =
        !m_segments.empty() && now - m_segments.back().begunAt < m_memory / segmentsPerMemory && m_segments.back().records.size() < maxSegmentRecords;
    if (!isUsable) {
        m_segments.push_back({m_name + "-" + std::to_string(++m_lastNumber), {}, {}, 0, 0, now, now});
    }
    return m_segments.back();
}

void AttemptSegments::put(const SharedAttempt &record, TimePoint now)
{
    Segment &segment = open(now);
    const auto [place, isNew] = segment.places.try_emplace(record.attempt, segment.records.size());
    if (isNew) {
        segment.records.push_back(record);
    } else {
        segment.records[place->second] = record;
    }
    ++segment.unwritten;
    segment.lastPutAt = now;
}

std::optional<ObjectWrite> AttemptSegments::toWrite(TimePoint now)
{
    if (!m_writing.empty() || now - m_lastWriteAt < writeInterval) {
        return std::nullopt;
    }
    const auto unwritten = std::ranges::find_if(m_segments, [](const Segment &segment) { return segment.unwritten > 0; });
    if (unwritten == m_segments.end()) {
        return std::nullopt;
    }
    m_lastWriteAt = now;
    m_writing = unwritten->name;
    m_writingChanges = unwritten->unwritten;
    const WriteCondition condition = unwritten->version == 0 ? WriteCondition::absent() : WriteCondition::atVersion(unwritten->version);
    return ObjectWrite{0, unwritten->name, formatAttempts(unwritten->records), condition};
}

void AttemptSegments::written(ObjectVersion version, TimePoint now)
{
    const std::string name = std::exchange(m_writing, {});
    const auto segment = std::ranges::find(m_segments, name, &Segment::name);
    if (segment == m_segments.end()) {
        return;
    }
    m_retryDelay = writeInterval;
    segment->version = version;
    segment->unwritten -= m_writingChanges;
    const bool isFull = &*segment != &m_segments.back() || now - segment->begunAt >= m_memory / segmentsPerMemory;
    if (isFull && segment->unwritten == 0) {
        // Only the name and version are needed, to remove it.
        segment->records = {};
        segment->places = {};
    }
}

void AttemptSegments::writeFailed(bool mayBeWritten, TimePoint now)
{
    const std::string name = std::exchange(m_writing, {});
    const auto segment = std::ranges::find(m_segments, name, &Segment::name);
    m_retryDelay = std::min<Duration>(maxRetryDelay, m_retryDelay * 2);
    m_lastWriteAt = now + m_retryDelay - writeInterval;
    if (!mayBeWritten || segment == m_segments.end()) {
        return;
    }
    const std::vector<SharedAttempt> records = std::exchange(segment->records, {});
    segment->places = {};
    segment->unwritten = 0;
    segment->version = unknownVersion;
    segment->begunAt = now - m_memory / segmentsPerMemory; // takes no further records
    for (const SharedAttempt &record : records) {
        const auto hasLater = [&](const Segment &each) { return each.places.contains(record.attempt); };
        if (std::ranges::none_of(m_segments, hasLater)) {
            put(record, now);
        }
    }
}

std::vector<AttemptSegments::StoredSegment> AttemptSegments::takeExpired(TimePoint now)
{
    std::vector<StoredSegment> expired;
    while (!m_segments.empty() && now - m_segments.front().lastPutAt >= m_memory && m_segments.front().name != m_writing) {
        const ObjectVersion version = m_segments.front().version;
        if (version != 0) {
            expired.push_back({m_segments.front().name, version == unknownVersion ? 0 : version});
        }
        m_segments.pop_front();
    }
    return expired;
}

std::size_t AttemptSegments::unwritten() const
{
    std::size_t count = 0;
    for (const Segment &segment : m_segments) {
        count += segment.unwritten;
    }
    return count;
}

} // namespace Rhubarbwind
