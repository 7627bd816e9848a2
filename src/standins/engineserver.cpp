#include "standins/engineserver.h"

// The server holds no token text: what a reader has not yet got is made again from the run's answer key, so a
// resume from any offset costs no memory. Readers are removed as soon as a write to them fails; the run goes on.

#include "standins/requesttarget.h"
#include "telemetry/log.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view streamsPath = "/v1/streams/";
constexpr std::string_view closingEvent = "data: [DONE]\n\n";
constexpr std::size_t cacheEventsPerAnswer = 512;
constexpr std::size_t longestId = 256;
const std::pair<std::string, std::string> notStarted{"X-Not-Started", "true"};
const Log engineLog{LogPart::StandIn};

std::string_view cacheNewsName(CacheNewsKind kind)
{
    switch (kind) {
    case CacheNewsKind::Stored:
        return "stored";
    case CacheNewsKind::Evicted:
        return "evicted";
    case CacheNewsKind::Cleared:
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

/** The messages' contents joined by newlines; none when the body has another shape. */
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

/** Ids go into events as they are; anything that JSON or an event stream would have to escape is refused. */
bool isPlainId(std::string_view id)
{
    const auto isPlain = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '.' || letter == '-' || letter == '_' || letter == ':';
    };
    return id.size() <= longestId && std::all_of(id.begin(), id.end(), isPlain);
}

boost::json::object usageOf(const EngineRun &run)
{
    return {{"prompt_tokens", run.promptTokens},
            {"completion_tokens", run.generated},
            {"total_tokens", run.promptTokens + run.generated},
            {"prompt_tokens_details", boost::json::object{{"cached_tokens", run.cachedTokens}}}};
}

std::uint32_t eventIdOf(const StandinRequest &request)
{
    const std::string text = headerOf(request, "Last-Event-ID");
    std::uint32_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

template <Clock ClockType>
EngineServer<ClockType>::EngineServer(boost::asio::io_context &context, EngineServerOptions options)
    : m_options(std::move(options))
    , m_model(m_options.engine, m_options.duty)
    , m_timer(context)
{
    m_listener = std::make_shared<StandinListener>(context, m_options.listen);
}

template <Clock ClockType>
void EngineServer<ClockType>::start()
{
    m_listener->start([weak = this->weak_from_this()](const StandinRequest &request, const ConnectionPointer &connection) {
        if (const std::shared_ptr<EngineServer> self = weak.lock()) {
            self->handle(request, connection);
        }
    });
    schedule();
}

template <Clock ClockType>
void EngineServer<ClockType>::drain(std::function<void()> done)
{
    m_model.setDraining(true);
    m_drained = std::move(done);
    advance();
}

template <Clock ClockType>
void EngineServer<ClockType>::handle(const StandinRequest &request, const ConnectionPointer &connection)
{
    advance();
    const std::string target(request.target().data(), request.target().size());
    const std::string path = target.substr(0, target.find('?'));
    const bool posts = request.method() == Http::verb::post;
    if (posts && path == "/v1/chat/completions") {
        handleRun(request, connection);
    } else if (path.starts_with(streamsPath) && request.method() == Http::verb::get) {
        handleResume(request, path.substr(streamsPath.size()), connection);
    } else if (path.starts_with(streamsPath) && request.method() == Http::verb::delete_) {
        handleCancel(path.substr(streamsPath.size()), connection);
    } else if (path == "/v1/load") {
        connection->reply(loadReply());
    } else if (path == "/v1/cache-events") {
        connection->reply(cacheEventsReply(target));
    } else if (path == "/v1/state") {
        connection->reply(stateReply());
    } else if (posts && path == "/v1/orders") {
        handleOrder(request, connection);
    } else if (posts && path == "/standin/faults") {
        handleFaults(request, connection);
    } else if (path == "/standin/counters") {
        connection->reply(countersReply());
    } else {
        connection->reply(errorReply(Http::status::not_found, "no such path", headers()));
    }
    schedule();
}

template <Clock ClockType>
void EngineServer<ClockType>::handleRun(const StandinRequest &request, const ConnectionPointer &connection)
{
    const std::optional<boost::json::object> body = parseObject(request.body());
    const std::optional<std::string> text = body ? promptOf(*body) : std::nullopt;
    if (!text || !isPlainId(headerOf(request, "X-Request-Id"))) {
        connection->reply(errorReply(Http::status::bad_request, "not a chat completion", headers()));
        return;
    }
    EnginePrompt prompt;
    prompt.id = headerOf(request, "X-Request-Id");
    if (prompt.id.empty()) {
        prompt.id = m_options.name + "-" + std::to_string(++m_anonymous);
    }
    prompt.text = *text;
    prompt.priority = static_cast<std::int32_t>(numberMember(*body, "priority", 0));
    prompt.maxTokens = static_cast<std::uint32_t>(std::clamp(numberMember(*body, "max_tokens", maxAnswerTokens), 1.0, double{maxAnswerTokens}));
    const Result<void, EngineRefusal> submitted = m_model.submit(prompt, ClockType::now());
    if (!submitted) {
        m_counters.countRefused();
        connection->reply(refusalReply(submitted.error()));
        return;
    }
    advance();
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        connection->drop();
        return;
    }
    const Reader reader{connection, 1, flagMember(*body, "stream", false)};
    if (reader.streams) {
        connection->startStream(headers());
    }
    m_readers[prompt.id].push_back(reader);
}

template <Clock ClockType>
void EngineServer<ClockType>::handleResume(const StandinRequest &request, const std::string &id, const ConnectionPointer &connection)
{
    const EngineRun *run = m_model.find(id);
    if (run == nullptr || run->state == EngineRunState::Cancelled) {
        connection->reply(errorReply(Http::status::not_found, "no such stream", headers()));
        return;
    }
    Reader reader{connection, eventIdOf(request) + 1, true};
    connection->startStream(headers());
    if (sendTokens(*run, reader, run->generated)) {
        m_readers[id].push_back(std::move(reader));
    }
}

template <Clock ClockType>
void EngineServer<ClockType>::handleCancel(const std::string &id, const ConnectionPointer &connection)
{
    const std::optional<CancelAnswer> answer = m_model.cancel(id, ClockType::now());
    if (!answer) {
        connection->reply(errorReply(Http::status::not_found, "no such stream", headers()));
        return;
    }
    const auto readers = m_readers.find(id);
    if (readers != m_readers.end()) {
        for (const Reader &reader : readers->second) {
            reader.connection->drop();
        }
        m_readers.erase(readers);
    }
    connection->reply(jsonReply(Http::status::ok, boost::json::object{{"state", cancelStateName(answer->state)}, {"tokens", answer->tokens}}, headers()));
}

template <Clock ClockType>
void EngineServer<ClockType>::handleOrder(const StandinRequest &request, const ConnectionPointer &connection)
{
    const std::optional<boost::json::object> body = parseObject(request.body());
    if (!body) {
        connection->reply(errorReply(Http::status::bad_request, "not an order", headers()));
        return;
    }
    EngineDuty duty = m_model.duty();
    duty.fencing = static_cast<std::uint64_t>(numberMember(*body, "fencing", 0));
    duty.model = textMember(*body, "model");
    duty.version = textMember(*body, "version");
    duty.role = textMember(*body, "role");
    duty.adapters.clear();
    if (const boost::json::value *adapters = body->if_contains("adapters"); adapters != nullptr && adapters->is_array()) {
        for (const boost::json::value &adapter : adapters->get_array()) {
            duty.adapters.emplace_back(adapter.is_string() ? std::string(adapter.get_string()) : std::string());
        }
    }
    const Result<void, OrderError> ordered = m_model.order(duty, ClockType::now());
    if (!ordered) {
        connection->reply(errorReply(Http::status::conflict, "stale fencing number", headers()));
        return;
    }
    connection->reply(jsonReply(Http::status::accepted, boost::json::object{{"accepted", true}}, headers()));
}

template <Clock ClockType>
void EngineServer<ClockType>::handleFaults(const StandinRequest &request, const ConnectionPointer &connection)
{
    const std::optional<boost::json::object> body = parseObject(request.body());
    if (!body) {
        connection->reply(errorReply(Http::status::bad_request, "not a fault", headers()));
        return;
    }
    EngineFaults faults = m_model.faults();
    faults.straggler = std::max(0.01, numberMember(*body, "straggler", faults.straggler));
    faults.refuse = flagMember(*body, "refuse", faults.refuse);
    m_model.setFaults(faults);
    m_model.setDraining(flagMember(*body, "draining", m_model.isDraining()));
    m_loseAnswers = static_cast<std::uint32_t>(numberMember(*body, "lose_answers", m_loseAnswers));
    m_crashAfterTokens = static_cast<std::uint64_t>(numberMember(*body, "crash_after_tokens", static_cast<double>(m_crashAfterTokens)));
    const std::size_t silenced = flagMember(*body, "silence", false) ? m_listener->silenceOpen(connection.get()) : 0;
    engineLog.info(m_options.name + ": fault set, " + std::to_string(silenced) + " connections silenced");
    if (flagMember(*body, "crash", false)) {
        crash();
    }
    connection->reply(jsonReply(Http::status::ok, boost::json::object{{"silenced", silenced}}));
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::loadReply() const
{
    const EngineLoad load = m_model.reportedLoad(ClockType::now());
    return jsonReply(Http::status::ok,
                     boost::json::object{{"running", load.running},
                                         {"waiting", load.waiting},
                                         {"kv_tokens_used", load.kvTokensUsed},
                                         {"kv_tokens", m_options.engine.kvTokens},
                                         {"draining", load.draining},
                                         {"age_ms", toMicroseconds(load.age) / 1000}},
                     headers());
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::countersReply() const
{
    boost::json::object counters = m_counters.toJson();
    counters["running"] = m_model.running();
    counters["waiting"] = m_model.waiting();
    return jsonReply(Http::status::ok, counters, headers());
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::stateReply() const
{
    const EngineDuty &duty = m_model.duty();
    boost::json::array adapters(duty.adapters.begin(), duty.adapters.end());
    return jsonReply(Http::status::ok,
                     boost::json::object{{"model", duty.model},
                                         {"version", duty.version},
                                         {"adapters", std::move(adapters)},
                                         {"role", duty.role},
                                         {"loading", m_model.isLoading()},
                                         {"fencing", duty.fencing}},
                     headers());
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::cacheEventsReply(std::string_view target) const
{
    const std::uint64_t after = RequestTarget(target).number("after");
    boost::json::array events;
    std::uint64_t next = after;
    for (const CacheNews &news : m_model.cache().newsAfter(after, cacheEventsPerAnswer, ClockType::now())) {
        events.push_back(boost::json::object{{"sequence", news.sequence}, {"kind", cacheNewsName(news.kind)}, {"block", digestHex(news.block)}});
        next = news.sequence;
    }
    return jsonReply(Http::status::ok, boost::json::object{{"events", std::move(events)}, {"next", next}}, headers());
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::refusalReply(EngineRefusal refusal) const
{
    StandinHeaders refused = headers();
    refused.push_back(notStarted);
    switch (refusal) {
    case EngineRefusal::HoldsId:
        return errorReply(Http::status::conflict, "request id is held", std::move(refused));
    case EngineRefusal::QueueFull:
        return errorReply(Http::status::too_many_requests, "queue is full", std::move(refused));
    case EngineRefusal::PromptTooLong:
        return errorReply(Http::status::payload_too_large, "prompt exceeds the memory", headers());
    case EngineRefusal::Draining:
        return errorReply(Http::status::service_unavailable, "draining", std::move(refused));
    case EngineRefusal::Loading:
        return errorReply(Http::status::service_unavailable, "loading", std::move(refused));
    case EngineRefusal::Refusing:
        return errorReply(Http::status::service_unavailable, "refusing", std::move(refused));
    }
    return errorReply(Http::status::internal_server_error, "unknown refusal", headers());
}

template <Clock ClockType>
void EngineServer<ClockType>::advance()
{
    const std::vector<EngineToken> tokens = m_model.advance(ClockType::now());
    for (const std::string &id : m_model.takeStarted()) {
        if (const EngineRun *run = m_model.find(id)) {
            m_counters.countRun(run->markerId);
        }
    }
    for (const EngineToken &token : tokens) {
        deliver(token);
    }
    if (m_drained && m_model.running() + m_model.waiting() == 0) {
        const std::function<void()> done = std::exchange(m_drained, nullptr);
        done();
    }
}

template <Clock ClockType>
void EngineServer<ClockType>::schedule()
{
    const TimePoint tick = ClockType::now() + m_options.engine.loadInterval;
    const TimePoint next = std::min(tick, m_model.nextEvent().value_or(tick));
    m_timer.expires_at(next);
    m_timer.async_wait([weak = this->weak_from_this()](const error_code &error) {
        const std::shared_ptr<EngineServer> self = weak.lock();
        if (error || !self) {
            return;
        }
        self->advance();
        self->schedule();
    });
}

template <Clock ClockType>
void EngineServer<ClockType>::deliver(const EngineToken &token)
{
    const EngineRun *run = m_model.find(token.id);
    if (run == nullptr) {
        return;
    }
    m_counters.countGenerated(run->markerId, 1);
    const auto readers = m_readers.find(token.id);
    if (readers != m_readers.end()) {
        std::erase_if(readers->second, [&](Reader &reader) { return !sendTokens(*run, reader, token.number); });
    }
    if (token.last) {
        m_readers.erase(token.id);
    }
    if (m_crashAfterTokens > 0 && --m_crashAfterTokens == 0) {
        crash();
    }
}

template <Clock ClockType>
bool EngineServer<ClockType>::sendTokens(const EngineRun &run, Reader &reader, std::uint32_t upTo)
{
    const bool whole = upTo >= run.answerTokens;
    if (!reader.streams) {
        if (whole) {
            m_counters.countDelivered(run.answerTokens);
            reader.connection->reply(wholeReply(run));
        }
        return !whole;
    }
    std::string events;
    const std::uint32_t first = reader.next;
    while (reader.next <= upTo) {
        events += eventText(run, reader.next);
        ++reader.next;
    }
    if (whole) {
        events += closingEvent;
    }
    if (events.empty()) {
        return true;
    }
    if (!reader.connection->sendEvents(events)) {
        return false;
    }
    m_counters.countDelivered(reader.next - first);
    if (whole) {
        reader.connection->endStream();
    }
    return !whole;
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::wholeReply(const EngineRun &run) const
{
    std::string text;
    for (std::uint32_t number = 1; number <= run.answerTokens; ++number) {
        text += answerToken(run.answer, number);
    }
    const boost::json::object choice{
        {"index", 0}, {"message", boost::json::object{{"role", "assistant"}, {"content", std::move(text)}}}, {"finish_reason", "stop"}};
    const boost::json::object body{
        {"id", run.id}, {"object", "chat.completion"}, {"model", m_model.duty().model}, {"choices", boost::json::array{choice}}, {"usage", usageOf(run)}};
    return jsonReply(Http::status::ok, body, headers());
}

template <Clock ClockType>
std::string EngineServer<ClockType>::eventText(const EngineRun &run, std::uint32_t number) const
{
    // Written by hand: ids and token texts hold nothing that JSON escapes, and this runs for every token.
    std::string text = "id: " + std::to_string(number) + "\ndata: {\"id\":\"" + run.id + "\",\"object\":\"chat.completion.chunk\",\"model\":\"";
    text += m_model.duty().model;
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

template <Clock ClockType>
StandinHeaders EngineServer<ClockType>::headers() const
{
    StandinHeaders headers;
    if (m_model.isDraining()) {
        headers.emplace_back("X-Draining", "true");
    }
    return headers;
}

template <Clock ClockType>
void EngineServer<ClockType>::crash()
{
    engineLog.warn(m_options.name + ": crashing as told");
    m_counters.writeTo(m_options.countersFile);
    m_options.crash();
}

template class EngineServer<SteadyClock>;
template class EngineServer<ManualClock>;

} // namespace Rhubarbwind
