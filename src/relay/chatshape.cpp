// Joining chunks merges JSON: text at the same path is appended, lists are merged by "index", other values are replaced. This covers
// content, reasoning, refusals and tool calls without listing each of them.

#include "relay/chatshape.h"

#include <boost/json.hpp>

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

std::string_view viewOf(const json::string &text)
{
    return {text.data(), text.size()};
}

json::object parseObject(std::string_view text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    return !error && value.is_object() ? std::move(value.get_object()) : json::object{};
}

// A message's content is a text or a list of parts, of which only those with text are used.
void appendContent(const json::value &content, std::string &text)
{
    if (const json::string *plain = content.if_string()) {
        text.append(viewOf(*plain));
    }
    const json::array *parts = content.if_array();
    if (!parts) {
        return;
    }
    for (const json::value &part : *parts) {
        const json::object *fields = part.if_object();
        const json::value *partText = fields ? fields->if_contains("text") : nullptr;
        if (partText && partText->is_string()) {
            text.append(viewOf(partText->get_string()));
        }
    }
}

std::string promptOf(const json::array &messages)
{
    std::string text;
    for (const json::value &message : messages) {
        if (&message != &messages.front()) {
            text.push_back('\n');
        }
        const json::object *fields = message.if_object();
        if (const json::value *content = fields ? fields->if_contains("content") : nullptr) {
            appendContent(*content, text);
        }
    }
    return text;
}

// Text under these keys arrives in one chunk and is not appended.
bool isWholeText(std::string_view key)
{
    return key == "role" || key == "id" || key == "type" || key == "name";
}

void mergeDelta(json::object &into, const json::object &delta);

void mergeList(json::array &into, const json::array &delta)
{
    for (const json::value &item : delta) {
        const json::object *fields = item.if_object();
        const json::value *index = fields ? fields->if_contains("index") : nullptr;
        const auto same = std::find_if(into.begin(), into.end(), [&](const json::value &held) {
            const json::object *heldFields = held.if_object();
            const json::value *heldIndex = heldFields ? heldFields->if_contains("index") : nullptr;
            return index && heldIndex && *heldIndex == *index;
        });
        if (same == into.end()) {
            into.push_back(item);
        } else {
            mergeDelta(same->get_object(), *fields);
        }
    }
}

void mergeDelta(json::object &into, const json::object &delta)
{
    for (const json::key_value_pair &field : delta) {
        json::value *held = into.if_contains(field.key());
        const std::string_view key(field.key().data(), field.key().size());
        if (!held || held->is_null()) {
            into.insert_or_assign(field.key(), field.value());
        } else if (held->is_string() && field.value().is_string() && !isWholeText(key)) {
            held->get_string().append(field.value().get_string().subview());
        } else if (held->is_object() && field.value().is_object()) {
            mergeDelta(held->get_object(), field.value().get_object());
        } else if (held->is_array() && field.value().is_array()) {
            mergeList(held->get_array(), field.value().get_array());
        } else if (!field.value().is_null()) {
            *held = field.value();
        }
    }
}

void mergeChoice(json::object &choice, const json::object &fields)
{
    for (const json::key_value_pair &field : fields) {
        if (field.key() == "delta") {
            if (const json::object *delta = field.value().if_object()) {
                json::value &message = choice["message"];
                if (!message.is_object()) {
                    message = json::object{};
                }
                mergeDelta(message.get_object(), *delta);
            }
        } else if (!field.value().is_null() || !choice.contains(field.key())) {
            choice.insert_or_assign(field.key(), field.value());
        }
    }
}

} // namespace

Result<ChatRequest, ChatError> readChatRequest(std::string_view body)
{
    ChatRequest request;
    request.body = parseObject(body);
    if (request.body.empty()) {
        return failure(ChatError::NotJson);
    }
    const json::value *model = request.body.if_contains("model");
    if (!model || !model->is_string() || model->get_string().empty()) {
        return failure(ChatError::NoModel);
    }
    const json::value *messages = request.body.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty()) {
        return failure(ChatError::NoMessages);
    }
    request.model = viewOf(model->get_string());
    const json::value *stream = request.body.if_contains("stream");
    request.stream = stream && stream->is_bool() && stream->get_bool();
    request.promptText = promptOf(messages->get_array());
    return request;
}

std::string engineBody(const ChatRequest &request, std::int32_t priority)
{
    json::object body = request.body;
    body["stream"] = true;
    body["priority"] = priority;
    return json::serialize(body);
}

std::uint64_t choicesDigest(std::string_view chunk)
{
    const json::object fields = parseObject(chunk);
    const json::value *choices = fields.if_contains("choices");
    const std::string text = choices ? json::serialize(*choices) : std::string(chunk);
    return XXH3_64bits(text.data(), text.size());
}

std::uint32_t cachedTokens(std::string_view chunk)
{
    const json::object fields = parseObject(chunk);
    const json::value *usage = fields.if_contains("usage");
    const json::value *details = usage && usage->is_object() ? usage->get_object().if_contains("prompt_tokens_details") : nullptr;
    const json::value *cached = details && details->is_object() ? details->get_object().if_contains("cached_tokens") : nullptr;
    json::error_code error;
    const std::uint32_t tokens = cached ? cached->to_number<std::uint32_t>(error) : 0;
    return error ? 0 : tokens;
}

std::string joinChunks(std::span<const std::string_view> chunks)
{
    json::object whole;
    std::map<std::int64_t, json::object> choices;
    for (const std::string_view chunk : chunks) {
        const json::object fields = parseObject(chunk);
        for (const json::key_value_pair &field : fields) {
            if (field.key() != "choices" && !field.value().is_null()) {
                whole.insert_or_assign(field.key(), field.value());
            }
        }
        const json::value *list = fields.if_contains("choices");
        if (!list || !list->is_array()) {
            continue;
        }
        for (const json::value &item : list->get_array()) {
            if (const json::object *choice = item.if_object()) {
                const json::value *index = choice->if_contains("index");
                mergeChoice(choices[index && index->is_int64() ? index->get_int64() : 0], *choice);
            }
        }
    }
    whole["object"] = "chat.completion";
    json::array &list = whole["choices"].emplace_array();
    for (auto &[index, choice] : choices) {
        json::value &message = choice["message"];
        if (!message.is_object()) {
            message = json::object{};
        }
        message.get_object().emplace("role", "assistant"); // engines may omit it in their chunks
        list.push_back(std::move(choice));
    }
    return json::serialize(whole);
}

} // namespace Rhubarbwind
