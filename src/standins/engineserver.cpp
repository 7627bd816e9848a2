#include "standins/engineserver.h"

// The server stores no token text: tokens that a reader lacks are generated again from the run's answer key, so a resume at any offset needs no memory.
// A reader is removed as soon as a write to it fails; the run continues.

#include "standins/engineanswers.h"
#include "standins/requesttarget.h"

#include <algorithm>
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
    , m_standin(context, m_options)
    , m_timer(context)
{
}

template <Clock ClockType>
void EngineServer<ClockType>::start()
{
    m_standin.start([weak = this->weak_from_this()](const StandinRequest &request, const ConnectionPointer &connection) {
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
    m_standin.beginDrain(std::move(done));
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
        connection->reply(jsonReply(Http::status::ok, loadAnswer(m_model.reportedLoad(ClockType::now()), m_options.engine.kvTokens), headers()));
    } else if (path == "/v1/cache-events") {
        connection->reply(cacheEventsReply(target));
    } else if (path == "/v1/state") {
        connection->reply(jsonReply(Http::status::ok, stateAnswer(m_model.duty(), m_model.isLoading()), headers()));
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
        m_standin.counters().countRefused();
        connection->reply(refusalReply(submitted.error(), headers()));
        return;
    }
    advance();
    if (m_standin.losesAnswer()) {
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
    connection->reply(jsonReply(Http::status::ok, cancelAnswer(*answer), headers()));
}

template <Clock ClockType>
void EngineServer<ClockType>::handleOrder(const StandinRequest &request, const ConnectionPointer &connection)
{
    const std::optional<boost::json::object> body = parseObject(request.body());
    if (!body) {
        connection->reply(errorReply(Http::status::bad_request, "not an order", headers()));
        return;
    }
    const Result<void, OrderError> ordered = m_model.order(readOrder(*body), ClockType::now());
    if (!ordered) {
        connection->reply(errorReply(Http::status::conflict, "stale fencing number", headers()));
        return;
    }
    connection->reply(jsonReply(Http::status::accepted, boost::json::object{{"accepted", true}}, headers()));
}

template <Clock ClockType>
void EngineServer<ClockType>::handleFaults(const StandinRequest &request, const ConnectionPointer &connection)
{
    const EngineFaults now = m_model.faults();
    const EndpointFaults shared{now.straggler, now.refuse, m_model.isDraining()};
    m_standin.handleFaults(request, connection, shared, [&](const EndpointFaults &faults, const boost::json::object &body) {
        EngineFaults changed = now;
        changed.straggler = faults.straggler;
        changed.refuse = faults.refuse;
        m_model.setFaults(changed);
        m_model.setDraining(faults.draining);
        m_crashAfterTokens = static_cast<std::uint64_t>(numberMember(body, "crash_after_tokens", static_cast<double>(m_crashAfterTokens)));
        if (body.if_contains("crash_on_start_of") != nullptr) {
            m_fatalMarker = textMember(body, "crash_on_start_of");
        }
    });
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::countersReply() const
{
    boost::json::object counters = m_standin.counters().toJson();
    counters["running"] = m_model.running();
    counters["waiting"] = m_model.waiting();
    return jsonReply(Http::status::ok, counters, headers());
}

template <Clock ClockType>
StandinReply EngineServer<ClockType>::cacheEventsReply(std::string_view target) const
{
    const std::uint64_t after = RequestTarget(target).number("after");
    const std::vector<CacheUpdate> updates = m_model.cache().updatesAfter(after, cacheEventsPerAnswer, ClockType::now());
    return jsonReply(Http::status::ok, cacheEventsAnswer(updates, after), headers());
}

template <Clock ClockType>
void EngineServer<ClockType>::advance()
{
    const std::vector<EngineToken> tokens = m_model.advance(ClockType::now());
    for (const std::string &id : m_model.takeStarted()) {
        if (const EngineRun *run = m_model.find(id)) {
            m_standin.counters().countRun(run->markerId);
            if (!m_fatalMarker.empty() && run->markerId == m_fatalMarker) {
                m_standin.crash();
                return;
            }
        }
    }
    for (const EngineToken &token : tokens) {
        deliver(token);
    }
    m_standin.endDrain(m_model.running() + m_model.waiting() == 0);
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
    m_standin.counters().countGenerated(run->markerId, 1);
    const auto readers = m_readers.find(token.id);
    if (readers != m_readers.end()) {
        std::erase_if(readers->second, [&](Reader &reader) { return !sendTokens(*run, reader, token.number); });
    }
    if (token.last) {
        m_readers.erase(token.id);
    }
    if (m_crashAfterTokens > 0 && --m_crashAfterTokens == 0) {
        m_standin.crash();
    }
}

template <Clock ClockType>
bool EngineServer<ClockType>::sendTokens(const EngineRun &run, Reader &reader, std::uint32_t upTo)
{
    const bool whole = upTo >= run.answerTokens;
    if (!reader.streams) {
        if (whole) {
            m_standin.counters().countDelivered(run.answerTokens);
            reader.connection->reply(jsonReply(Http::status::ok, wholeAnswer(run, m_model.duty().model), headers()));
        }
        return !whole;
    }
    std::string events;
    const std::uint32_t first = reader.next;
    while (reader.next <= upTo) {
        events += tokenEvent(run, m_model.duty().model, reader.next);
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
    m_standin.counters().countDelivered(reader.next - first);
    if (whole) {
        reader.connection->endStream();
    }
    return !whole;
}

template <Clock ClockType>
StandinHeaders EngineServer<ClockType>::headers() const
{
    return drainingHeaders(m_model.isDraining());
}

template class EngineServer<SteadyClock>;
template class EngineServer<ManualClock>;

} // namespace Rhubarbwind
