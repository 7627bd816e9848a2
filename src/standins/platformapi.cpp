#include "standins/platformapi.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;
namespace Http = boost::beast::http;

std::string versionTag(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

std::optional<std::uint64_t> parseVersionTag(std::string_view tag)
{
    std::uint64_t version = 0;
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    const std::string_view digits = tag.substr(1, tag.size() - 2);
    const std::from_chars_result read = std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (read.ec != std::errc() || read.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return version;
}

StoreCondition conditionOf(const StandinRequest &request)
{
    StoreCondition condition;
    condition.mustBeAbsent = request[Http::field::if_none_match] == "*";
    condition.mustBeVersion = parseVersionTag(std::string_view(request[Http::field::if_match]));
    return condition;
}

StandinReply makeReply(Http::status status, std::string body = {})
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

StandinReply tagged(StandinReply reply, std::uint64_t version)
{
    reply.headers.emplace_back("ETag", versionTag(version));
    return reply;
}

Http::status statusOf(StoreResult result)
{
    switch (result) {
    case StoreResult::Done:
        return Http::status::ok;
    case StoreResult::NotFound:
        return Http::status::not_found;
    case StoreResult::ConditionFailed:
        return Http::status::precondition_failed;
    case StoreResult::NoCondition:
        return Http::status::precondition_required;
    case StoreResult::TooLarge:
        return Http::status::payload_too_large;
    case StoreResult::BadKey:
        return Http::status::bad_request;
    }
    return Http::status::internal_server_error;
}

StandinReply makeReply(const StoreWrite &write)
{
    StandinReply reply = makeReply(statusOf(write.result));
    return write.version != 0 ? tagged(std::move(reply), write.version) : reply;
}

json::object toJson(const StoreChange &change)
{
    return {{"key", change.key}, {"version", change.version}, {"removed", change.removed}};
}

} // namespace

PlatformApi::PlatformApi(std::uint64_t seed)
    : m_random(seed)
{
}

void PlatformApi::setHostList(std::string document)
{
    m_hosts = std::move(document);
}

void PlatformApi::setFaults(const PlatformFaults &faults)
{
    m_faults = faults;
    m_callRate.setRate(faults.callsPerSecond);
    m_weightRate.setRate(faults.weightsPerSecond);
}

StandinReply PlatformApi::overRate()
{
    StandinReply reply = makeReply(Http::status::too_many_requests, R"({"error":"over rate"})");
    reply.headers.emplace_back("Retry-After", "1");
    return reply;
}

bool PlatformApi::tryTakeRate()
{
    return count(m_callRate.allows());
}

bool PlatformApi::losesAnswer()
{
    const bool counted = m_faults.loseNext > 0;
    m_faults.loseNext -= counted ? 1 : 0;
    const bool loses = counted || (m_faults.loseAnswers > 0 && m_random.uniform() < m_faults.loseAnswers);
    m_counters.lostAnswers += loses ? 1 : 0;
    return loses;
}

bool PlatformApi::count(bool allowed)
{
    m_counters.refusedOverRate += allowed ? 0 : 1;
    return allowed;
}

StandinReply PlatformApi::execute(const StandinRequest &request, const RequestTarget &target)
{
    constexpr std::string_view objects = "/v1/objects/";
    if (target.path().starts_with(objects)) {
        return objectCall(request, percentDecoded(std::string_view(target.path()).substr(objects.size())));
    }
    if (request.method() != Http::verb::get) {
        return makeReply(Http::status::method_not_allowed);
    }
    if (target.path() == "/v1/objects") {
        ++m_counters.reads;
        return listCall(target.parameter("prefix"), target.parameter("after"));
    }
    if (target.path() == "/v1/hosts") {
        ++m_counters.hostLists;
        return makeReply(Http::status::ok, m_hosts);
    }
    if (target.path().starts_with("/v1/weights/")) {
        return weightCall();
    }
    return makeReply(Http::status::not_found);
}

StandinReply PlatformApi::objectCall(const StandinRequest &request, const std::string &key)
{
    if (request.method() == Http::verb::get) {
        ++m_counters.reads;
        const StoreEntry *entry = m_store.find(key);
        if (entry == nullptr) {
            return makeReply(Http::status::not_found);
        }
        return tagged(makeReply(Http::status::ok, entry->value), entry->version);
    }
    ++m_counters.writes;
    if (request.method() == Http::verb::put) {
        const StoreWrite write = m_store.put(key, request.body(), conditionOf(request));
        return makeReply(write);
    }
    if (request.method() == Http::verb::delete_) {
        const StoreWrite write = m_store.remove(key, conditionOf(request));
        return makeReply(write);
    }
    return makeReply(Http::status::method_not_allowed);
}

StandinReply PlatformApi::listCall(const std::string &prefix, const std::string &after) const
{
    json::array objects;
    bool hasMore = false;
    for (const auto &[key, entry] : m_store.list(prefix)) {
        if (key <= after) {
            continue;
        }
        hasMore = m_listPage > 0 && objects.size() == m_listPage;
        if (hasMore) {
            break;
        }
        objects.push_back(json::object{{"key", key}, {"version", entry.version}, {"value", entry.value}});
    }
    json::object listing{{"objects", std::move(objects)}, {"next", m_store.revision()}};
    if (hasMore) {
        listing["more"] = true;
    }
    return makeReply(Http::status::ok, json::serialize(listing));
}

StandinReply PlatformApi::watchAnswer(const std::string &prefix, std::uint64_t after) const
{
    const std::optional<std::vector<StoreChange>> changes = m_store.changesAfter(prefix, after);
    if (!changes) {
        return makeReply(Http::status::gone);
    }
    json::array events;
    if (m_faults.repeatEvents) {
        const std::vector<StoreChange> all = m_store.changesAfter(prefix, 0).value_or(std::vector<StoreChange>());
        if (all.size() > changes->size()) {
            events.push_back(toJson(all[all.size() - changes->size() - 1]));
        }
    }
    for (const StoreChange &change : *changes) {
        if (!m_faults.skipEvents) {
            events.push_back(toJson(change));
        }
    }
    return makeReply(Http::status::ok, json::serialize(json::object{{"events", std::move(events)}, {"next", m_store.revision()}}));
}

StandinReply PlatformApi::weightCall()
{
    ++m_counters.weights;
    if (!count(m_weightRate.allows())) {
        return overRate();
    }
    return makeReply(Http::status::ok, R"({"weights":"stand-in"})");
}

StandinReply PlatformApi::countersAnswer() const
{
    return makeReply(Http::status::ok,
                     json::serialize(json::object{{"connections", m_counters.connections},
                                                  {"reads", m_counters.reads},
                                                  {"writes", m_counters.writes},
                                                  {"watches", m_counters.watches},
                                                  {"host_lists", m_counters.hostLists},
                                                  {"weights", m_counters.weights},
                                                  {"refused_over_rate", m_counters.refusedOverRate},
                                                  {"lost_answers", m_counters.lostAnswers},
                                                  {"revision", m_store.revision()}}));
}

} // namespace Rhubarbwind
