#include "standins/engineanswers.h"

#include <algorithm>
#include <cctype>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;

constexpr std::size_t maxIdLength = 256;

std::string_view cacheUpdateKindName(CacheUpdateKind kind)
{
    switch (kind) {
    case CacheUpdateKind::Stored:
        return "stored";
    case CacheUpdateKind::Evicted:
        return "evicted";
    case CacheUpdateKind::Cleared:
        return "cleared";
    }
    return "";
}

std::string_view cancelStateName(CancelState state)
{
    switch (state) {
    case CancelState::NotStarted:
        return "not-started";
    case CancelState::Cancelled:
        return "cancelled";
    case CancelState::Finished:
        return "finished";
    }
    return "";
}

boost::json::object usageOf(const EngineRun &run)
{
    return {{"prompt_tokens", run.promptTokens},
            {"completion_tokens", run.generated},
            {"total_tokens", run.promptTokens + run.generated},
            {"prompt_tokens_details", boost::json::object{{"cached_tokens", run.cachedTokens}}}};
}

} // namespace

std::optional<std::string> promptOf(const boost::json::object &body)
{
    const boost::json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return std::nullopt;
    }
    std::string prompt;
    for (const boost::json::value &message : messages->get_array()) {
        if (!message.is_object()) {
            return std::nullopt;
        }
        prompt += &message == &messages->get_array().front() ? "" : "\n";
        prompt += textMember(message.get_object(), "content");
    }
    return prompt;
}

bool isPlainId(std::string_view id)
{
    const auto isPlain = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '.' || letter == '-' || letter == '_' || letter == ':';
    };
    return id.size() <= maxIdLength && std::all_of(id.begin(), id.end(), isPlain);
}

EngineDuty readOrder(const boost::json::object &body)
{
    EngineDuty duty;
    duty.fencing = static_cast<std::uint64_t>(numberMember(body, "fencing", 0));
    duty.model = textMember(body, "model");
    duty.version = textMember(body, "version");
    duty.role = textMember(body, "role");
    if (const boost::json::value *adapters = body.if_contains("adapters"); adapters != nullptr && adapters->is_array()) {
        for (const boost::json::value &adapter : adapters->get_array()) {
            duty.adapters.emplace_back(adapter.is_string() ? std::string(adapter.get_string()) : std::string());
        }
    }
    return duty;
}

boost::json::object loadAnswer(const EngineLoad &load, std::uint64_t kvTokens)
{
    return {{"running", load.running},
            {"waiting", load.waiting},
            {"kv_tokens_used", load.kvTokensUsed},
            {"kv_tokens", kvTokens},
            {"draining", load.draining},
            {"age_ms", toMicroseconds(load.age) / 1000}};
}

boost::json::object stateAnswer(const EngineDuty &duty, bool loading)
{
    boost::json::array adapters(duty.adapters.begin(), duty.adapters.end());
    return {{"model", duty.model},
            {"version", duty.version},
            {"adapters", std::move(adapters)},
            {"role", duty.role},
            {"loading", loading},
            {"fencing", duty.fencing}};
}

boost::json::object cacheEventsAnswer(const std::vector<CacheUpdate> &updates, std::uint64_t after)
{
    boost::json::array events;
    std::uint64_t next = after;
    for (const CacheUpdate &item : updates) {
        events.push_back(boost::json::object{{"sequence", item.sequence}, {"kind", cacheUpdateKindName(item.kind)}, {"block", digestHex(item.block)}});
        next = item.sequence;
    }
    return {{"events", std::move(events)}, {"next", next}};
}

boost::json::object cancelAnswer(const CancelAnswer &answer)
{
    return {{"state", cancelStateName(answer.state)}, {"tokens", answer.tokens}};
}

boost::json::object wholeAnswer(const EngineRun &run, const std::string &model)
{
    std::string text;
    for (std::uint32_t number = 1; number <= run.answerTokens; ++number) {
        text += answerToken(run.answer, number);
    }
    const boost::json::object choice{
        {"index", 0}, {"message", boost::json::object{{"role", "assistant"}, {"content", std::move(text)}}}, {"finish_reason", "stop"}};
    return {{"id", run.id}, {"object", "chat.completion"}, {"model", model}, {"choices", boost::json::array{choice}}, {"usage", usageOf(run)}};
}

std::string tokenEvent(const EngineRun &run, const std::string &model, std::uint32_t number)
{
    // Formatted without the JSON library for speed, since this runs for every token. Ids and token texts need no escaping.
    std::string text = "id: " + std::to_string(number) + "\ndata: {\"id\":\"" + run.id + "\",\"object\":\"chat.completion.chunk\",\"model\":\"";
    text += model;
    text += "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
    text += answerToken(run.answer, number);
    text += "\"},\"finish_reason\":";
    if (number < run.answerTokens) {
        text += "null}]}\n\n";
        return text;
    }
    text += "\"stop\"}],\"usage\":" + boost::json::serialize(usageOf(run)) + "}\n\n";
    return text;
}

StandinReply refusalReply(EngineRefusal refusal, const StandinHeaders &headers)
{
    StandinHeaders refused = headers;
    refused.emplace_back("X-Not-Started", "true");
    switch (refusal) {
    case EngineRefusal::DuplicateId:
        return errorReply(Http::status::conflict, "request id is held", std::move(refused));
    case EngineRefusal::QueueFull:
        return errorReply(Http::status::too_many_requests, "queue is full", std::move(refused));
    case EngineRefusal::PromptTooLong:
        return errorReply(Http::status::payload_too_large, "prompt exceeds the memory", headers);
    case EngineRefusal::Draining:
        return errorReply(Http::status::service_unavailable, "draining", std::move(refused));
    case EngineRefusal::Loading:
        return errorReply(Http::status::service_unavailable, "loading", std::move(refused));
    case EngineRefusal::Refusing:
        return errorReply(Http::status::service_unavailable, "refusing", std::move(refused));
    }
    return errorReply(Http::status::internal_server_error, "unknown refusal", headers);
}

} // namespace Rhubarbwind
