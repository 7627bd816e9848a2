// Segments as JSON text, by Boost.JSON. Parsing rejects whatever it does not fully understand: a claim that is skipped would be granted a second time.

#include "ledger/segment.h"

#include <array>
#include <charconv>
#include <cstdio>

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

constexpr std::size_t numberDigits = 16;
// Member names, quotes and commas of one record.
constexpr std::size_t recordOverheadBytes = 96;

constexpr std::array<std::pair<RecordKind, std::string_view>, 3> recordKindNames{{
    {RecordKind::Claim, "claim"},
    {RecordKind::Finish, "finish"},
    {RecordKind::Withdraw, "withdraw"},
}};

constexpr std::array<std::pair<ClaimState, std::string_view>, 4> claimStateNames{{
    {ClaimState::InProgress, "in-progress"},
    {ClaimState::Completed, "completed"},
    {ClaimState::FailedAfterStart, "failed-after-start"},
    {ClaimState::Unknown, "unknown"},
}};

template <class Names, class Value>
std::string_view nameOf(const Names &names, Value value)
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return "invalid";
}

template <class Value, std::size_t count>
std::optional<Value> valueOf(const std::array<std::pair<Value, std::string_view>, count> &names, std::string_view text)
{
    for (const auto &[value, name] : names) {
        if (name == text) {
            return value;
        }
    }
    return std::nullopt;
}

json::object formatRecord(const LedgerRecord &record)
{
    json::object object{{"kind", nameOf(recordKindNames, record.kind)}, {"key", record.key.text()}, {"token", record.token.text()}};
    if (record.kind == RecordKind::Claim) {
        object["request"] = record.request.text();
        object["host"] = record.host.text();
    }
    if (record.kind == RecordKind::Finish) {
        object["state"] = nameOf(claimStateNames, record.state);
    }
    return object;
}

std::optional<std::string> textMember(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return std::string(member->get_string());
}

std::optional<std::uint64_t> countMember(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr || !member->is_int64() || member->get_int64() < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(member->get_int64());
}

std::optional<LedgerRecord> parseRecord(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const std::optional<RecordKind> kind = valueOf(recordKindNames, textMember(*object, "kind").value_or(""));
    const std::optional<std::string> key = textMember(*object, "key");
    const std::optional<std::string> token = textMember(*object, "token");
    if (!kind || !key || !token) {
        return std::nullopt;
    }
    LedgerRecord record{*kind, ClaimKey(*key), ClaimToken(*token), {}, {}, ClaimState::InProgress};
    if (*kind == RecordKind::Claim) {
        const std::optional<std::string> request = textMember(*object, "request");
        const std::optional<std::string> host = textMember(*object, "host");
        if (!request || !host) {
            return std::nullopt;
        }
        record.request = RequestId(*request);
        record.host = HostId(*host);
    }
    if (*kind == RecordKind::Finish) {
        const std::optional<ClaimState> state = valueOf(claimStateNames, textMember(*object, "state").value_or(""));
        if (!state) {
            return std::nullopt;
        }
        record.state = *state;
    }
    return record;
}

} // namespace

std::string formatSegment(const LedgerSegment &segment)
{
    json::array records;
    records.reserve(segment.records.size());
    for (const LedgerRecord &record : segment.records) {
        records.emplace_back(formatRecord(record));
    }
    const std::int64_t clockMs = std::chrono::duration_cast<std::chrono::milliseconds>(segment.clock).count();
    const json::object object{
        {"writer", segment.writer}, {"base", static_cast<std::int64_t>(segment.base)}, {"clock_ms", clockMs}, {"records", std::move(records)}};
    return json::serialize(object);
}

Result<LedgerSegment, SegmentError> parseSegment(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error) {
        return SegmentError::NotJson;
    }
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return SegmentError::WrongShape;
    }
    const std::optional<std::string> writer = textMember(*object, "writer");
    const std::optional<std::uint64_t> base = countMember(*object, "base");
    const std::optional<std::uint64_t> clockMs = countMember(*object, "clock_ms");
    const json::value *records = object->if_contains("records");
    if (!writer || !base || !clockMs || records == nullptr || !records->is_array()) {
        return SegmentError::WrongShape;
    }
    LedgerSegment segment{*writer, *base, std::chrono::milliseconds(*clockMs), {}};
    segment.records.reserve(records->get_array().size());
    for (const json::value &entry : records->get_array()) {
        std::optional<LedgerRecord> record = parseRecord(entry);
        if (!record) {
            return SegmentError::WrongShape;
        }
        segment.records.push_back(std::move(*record));
    }
    return segment;
}

std::string segmentPrefix(std::uint32_t shard)
{
    return "ledger/" + std::to_string(shard) + "/";
}

std::string segmentKey(std::uint32_t shard, SegmentNumber number)
{
    const std::string digits = std::to_string(number);
    const std::size_t padding = digits.size() < numberDigits ? numberDigits - digits.size() : 0;
    return segmentPrefix(shard) + std::string(padding, '0') + digits;
}

std::optional<SegmentNumber> segmentNumber(std::uint32_t shard, std::string_view key)
{
    const std::string prefix = segmentPrefix(shard);
    if (!key.starts_with(prefix) || key.size() != prefix.size() + numberDigits) {
        return std::nullopt;
    }
    SegmentNumber number = 0;
    const std::string_view digits = key.substr(prefix.size());
    const std::from_chars_result read = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (read.ec != std::errc() || read.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return number;
}

std::size_t recordBytes(const LedgerRecord &record)
{
    return recordOverheadBytes + record.key.text().size() + record.token.text().size() + record.request.text().size() + record.host.text().size();
}

std::string_view claimStateName(ClaimState state)
{
    return nameOf(claimStateNames, state);
}

} // namespace Rhubarbwind
