#include "relay/relaycore.h"

#include "base/digest.h"
#include "base/requestid.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <algorithm>
#include <charconv>

namespace Rhubarbwind
{

namespace
{

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::string_view streamPrefix = "/v1/streams/";
constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr std::size_t maxNameBytes = 128;
constexpr Duration overloadRetryAfter = 1s;
constexpr Duration sweepInterval = 1s;

std::string_view headerOf(const HttpRequest &request, std::string_view name)
{
    const boost::string_view value = request[boost::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

std::string_view targetOf(const HttpRequest &request)
{
    return {request.target().data(), request.target().size()};
}

std::string_view bearerKey(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = headerOf(request, "Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
}

bool isName(std::string_view text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-'; };
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), allowed);
}

TraceContext traceOf(const HttpRequest &request)
{
    Result<TraceContext, TraceError> given = parseTraceParent(headerOf(request, "traceparent"));
    return given ? std::move(given).value() : freshTrace();
}

// Parses the value of X-Rhubarbwind-Stream: <request>.<attempt>@<endpoint>.
std::optional<AdoptedStream> readStreamLabel(std::string_view label)
{
    const std::size_t dot = label.find('.');
    const std::size_t at = label.find('@');
    if (dot == std::string_view::npos || at == std::string_view::npos || at < dot) {
        return std::nullopt;
    }
    AdoptedStream stream;
    const std::string_view number = label.substr(dot + 1, at - dot - 1);
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), stream.attempt);
    if (error != std::errc() || end != number.data() + number.size() || !isName(label.substr(0, dot)) || !isName(label.substr(at + 1))) {
        return std::nullopt;
    }
    stream.request = RequestId(std::string(label.substr(0, dot)));
    stream.endpoint = EndpointId(std::string(label.substr(at + 1)));
    return stream;
}

} // namespace

template <Clock ClockType>
class RelayCore<ClockType>::Impl : public std::enable_shared_from_this<Impl>
{
public:
    using Call = RelayCall<ClockType>;
    using Exchange = std::shared_ptr<HttpExchange>;

    Impl(RelayDependencies dependencies, RelayOptions options, RelayPorts ports)
        : m_context(std::make_shared<RelayContext<ClockType>>(RelayContext<ClockType>{.io = dependencies.io,
                                                                                      .options = options,
                                                                                      .ports = std::move(ports),
                                                                                      .findEndpoint = std::move(dependencies.findEndpoint),
                                                                                      .metrics = dependencies.metrics,
                                                                                      .spans = dependencies.spans,
                                                                                      .host = std::move(dependencies.host),
                                                                                      .retryBudget = RetryBudget(options.retryBudget),
                                                                                      .random = Random(dependencies.seed)}))
        , m_preset(std::move(dependencies.preset))
        , m_sweepTimer(dependencies.io)
    {
    }

    void wire()
    {
        const std::weak_ptr<Impl> weak = this->weak_from_this();
        m_context->onEnded = [weak](Call &call) {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->callEnded(call);
            }
        };
        m_context->onTakeOver = [weak](const std::shared_ptr<Call> &call, const RequestId &holder) {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->m_calls[holder] = call;
            }
        };
        m_context->joinEarlier = [weak](const Call &repeat, const RequestId &holder) {
            const std::shared_ptr<Impl> self = weak.lock();
            return self && self->join(repeat, holder);
        };
        m_server.emplace(m_context->io, m_context->options.http, [weak](HttpRequest request, const Exchange &exchange) {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->handle(std::move(request), exchange);
            }
        });
    }

    void handle(HttpRequest request, const Exchange &exchange);
    void handleChat(HttpRequest request, const Exchange &exchange);
    void handleService(HttpRequest request, const Exchange &exchange);
    void handleStream(const HttpRequest &request, const Exchange &exchange);
    void drain(std::function<void()> whenEmpty);
    RelayStats stats() const;

    std::shared_ptr<RelayContext<ClockType>> m_context;
    PresetSource m_preset;
    CustomerLookup m_customers;
    HttpFallback m_fallback;
    std::optional<HttpServer<ClockType>> m_server;
    std::unordered_map<RequestId, std::shared_ptr<Call>> m_calls; ///< running and held
    std::size_t m_running = 0;
    std::uint64_t m_started = 0;
    bool m_draining = false;
    bool m_connectionsClosed = false;

private:
    struct Held
    {
        TimePoint until;
        RequestId id;
    };

    void refuse(const Exchange &exchange, RelayError error, Duration retryAfter = {})
    {
        m_context->metrics.add("rhubarbwind_refused_total", {{"error", std::string(relayErrorInfo(error).type)}});
        exchange->respond(errorResponse(error, Outcome::NotRun, {}, retryAfter));
    }

    std::optional<CustomerId> customerOf(const HttpRequest &request, const Exchange &exchange);
    std::optional<CallRequest> readCommon(const HttpRequest &request, const Exchange &exchange);
    void startCall(const std::shared_ptr<Call> &call, const Exchange &exchange, bool streaming, StreamOffset after);
    void adopt(const HttpRequest &request, const Exchange &exchange, const CustomerId &customer, StreamOffset after);
    bool join(const Call &repeat, const RequestId &holder);
    void callEnded(Call &call);
    void sweep();
    void evictOldest();
    void checkEmpty();

    std::deque<Held> m_held;
    TimePoint m_handledAt; ///< when the current request arrived
    SessionTimer<ClockType> m_sweepTimer;
    bool m_sweeping = false;
    std::vector<std::function<void()>> m_whenEmpty;
};

template <Clock ClockType>
void RelayCore<ClockType>::Impl::handle(HttpRequest request, const Exchange &exchange)
{
    m_handledAt = ClockType::now();
    const std::string_view target = targetOf(request);
    if (request.method() == http::verb::post && target == chatPath) {
        handleChat(std::move(request), exchange);
    } else if (request.method() == http::verb::post && target.starts_with(servicePrefix)) {
        handleService(std::move(request), exchange);
    } else if (request.method() == http::verb::get && target.starts_with(streamPrefix)) {
        handleStream(request, exchange);
    } else if (!m_fallback || !m_fallback(request, exchange)) {
        refuse(exchange, RelayError::NoSuchPath);
    }
}

template <Clock ClockType>
std::optional<CustomerId> RelayCore<ClockType>::Impl::customerOf(const HttpRequest &request, const Exchange &exchange)
{
    const std::shared_ptr<const PresetInForce> preset = m_preset();
    if (!preset) {
        refuse(exchange, RelayError::NotReady, overloadRetryAfter);
        return std::nullopt;
    }
    std::optional<CustomerId> customer = m_customers.find(preset, bearerKey(request));
    if (!customer) {
        refuse(exchange, RelayError::Unauthorized);
    }
    return customer;
}

// Reads what chat and service requests have in common. Answers the caller itself if something is wrong.
template <Clock ClockType>
std::optional<CallRequest> RelayCore<ClockType>::Impl::readCommon(const HttpRequest &request, const Exchange &exchange)
{
    std::optional<CustomerId> customer = customerOf(request, exchange);
    if (!customer) {
        return std::nullopt;
    }
    const std::string_view className = headerOf(request, "X-Rhubarbwind-Class");
    const std::shared_ptr<const PresetInForce> preset = m_preset();
    const ClassRule *rule = preset->preset.findClass(ClassId(std::string(className)));
    const std::string_view key = headerOf(request, "Idempotency-Key");
    if (!rule || key.size() > maxIdempotencyKeyBytes) {
        const RelayError badClass = className.empty() ? RelayError::ClassMissing : RelayError::ClassUnknown;
        refuse(exchange, rule ? RelayError::BadRequest : badClass);
        return std::nullopt;
    }
    if (m_running >= m_context->options.requests || m_context->memoryBytes + request.body().size() > m_context->options.memoryBytes) {
        refuse(exchange, RelayError::HostOverloaded, overloadRetryAfter);
        return std::nullopt;
    }
    CallRequest call;
    call.id = RequestId(freshId());
    call.customer = std::move(*customer);
    call.rule = *rule;
    call.contentType = std::string(headerOf(request, "Content-Type"));
    if (!rule->idempotent && !key.empty()) {
        call.claimKey = ClaimKey(sha256Hex(call.customer.text() + "\n" + std::string(key)));
        call.contentDigest = sha256Hex(call.customer.text() + "\n" + std::string(targetOf(request)) + "\n" + request.body());
    }
    call.resumable = headerOf(request, "X-Rhubarbwind-Resumable") == "true";
    call.trace = traceOf(request);
    call.bytes = request.body().size();
    call.received = m_handledAt;
    return call;
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::handleChat(HttpRequest request, const Exchange &exchange)
{
    std::optional<CallRequest> call = readCommon(request, exchange);
    if (!call) {
        return;
    }
    Result<ChatRequest, ChatError> chat = readChatRequest(request.body());
    if (!chat || !isName(chat.value().model)) {
        refuse(exchange, RelayError::BadRequest);
        return;
    }
    call->shard = ShardId(chat.value().model);
    call->chat = std::move(chat).value();
    // The parsed body and the text of the prompt are both held in memory.
    call->bytes *= 2;
    const bool streaming = call->chat->stream;
    startCall(std::make_shared<Call>(m_context, std::move(*call)), exchange, streaming, 0);
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::handleService(HttpRequest request, const Exchange &exchange)
{
    const std::string_view rest = targetOf(request).substr(servicePrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string_view shard = rest.substr(0, slash);
    if (slash == std::string_view::npos || !isName(shard)) {
        refuse(exchange, RelayError::NoSuchPath);
        return;
    }
    std::optional<CallRequest> call = readCommon(request, exchange);
    if (!call) {
        return;
    }
    call->shard = ShardId(std::string(shard));
    call->servicePath = std::string(rest.substr(slash));
    call->body = std::move(request.body());
    call->resumable = false;
    startCall(std::make_shared<Call>(m_context, std::move(*call)), exchange, false, 0);
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::startCall(const std::shared_ptr<Call> &call, const Exchange &exchange, bool streaming, StreamOffset after)
{
    ++m_running;
    ++m_started;
    m_calls[call->request().id] = call;
    call->addReader(exchange, streaming, after);
    call->start();
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::handleStream(const HttpRequest &request, const Exchange &exchange)
{
    const std::optional<CustomerId> customer = customerOf(request, exchange);
    if (!customer) {
        return;
    }
    const std::string_view lastEvent = headerOf(request, "Last-Event-ID");
    StreamOffset after = 0;
    const auto [end, error] = std::from_chars(lastEvent.data(), lastEvent.data() + lastEvent.size(), after);
    if (!lastEvent.empty() && (error != std::errc() || end != lastEvent.data() + lastEvent.size())) {
        refuse(exchange, RelayError::BadRequest);
        return;
    }
    const RequestId id(std::string(targetOf(request).substr(streamPrefix.size())));
    const auto held = m_calls.find(id);
    if (held == m_calls.end()) {
        adopt(request, exchange, *customer, after);
        return;
    }
    const std::shared_ptr<Call> call = held->second;
    if (call->request().customer != *customer || !call->isChat() || !call->addReader(exchange, true, after)) {
        exchange->respond(errorResponse(RelayError::StreamGone, Outcome::Unknown, id));
    }
}

// Continues another host's stream. The attempt's id is a random secret that only its caller received.
template <Clock ClockType>
void RelayCore<ClockType>::Impl::adopt(const HttpRequest &request, const Exchange &exchange, const CustomerId &customer, StreamOffset after)
{
    const RequestId id(std::string(targetOf(request).substr(streamPrefix.size())));
    std::optional<AdoptedStream> stream = readStreamLabel(headerOf(request, "X-Rhubarbwind-Stream"));
    if (!stream || stream->request != id || !m_context->findEndpoint(stream->endpoint)) {
        exchange->respond(errorResponse(RelayError::StreamGone, Outcome::Unknown, id));
        return;
    }
    if (m_running >= m_context->options.requests) {
        exchange->respond(errorResponse(RelayError::HostOverloaded, Outcome::Unknown, id, overloadRetryAfter));
        return;
    }
    CallRequest call;
    call.id = id;
    call.customer = customer;
    call.rule.name = ClassId("resumed");
    call.resumable = true;
    call.trace = traceOf(request);
    call.received = m_handledAt;
    startCall(std::make_shared<Call>(m_context, std::move(call), std::move(*stream), after), exchange, true, after);
}

template <Clock ClockType>
bool RelayCore<ClockType>::Impl::join(const Call &repeat, const RequestId &holder)
{
    const auto found = m_calls.find(holder);
    if (found == m_calls.end() || found->second->request().contentDigest != repeat.request().contentDigest) {
        // The earlier answer is not held here, or the key was used for a different request, whose answer does not belong to this one.
        return false;
    }
    const std::vector<std::shared_ptr<AnswerReader>> &readers = repeat.readers();
    bool joined = false;
    for (const std::shared_ptr<AnswerReader> &reader : readers) {
        joined = found->second->addReader(reader->exchange(), reader->isStreaming(), 0) || joined;
    }
    return joined;
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::callEnded(Call &call)
{
    --m_running;
    const TimePoint until = ClockType::now() + m_context->options.holdAnswer;
    m_held.push_back({until, call.request().id});
    if (call.claimHolder() != call.request().id) {
        m_held.push_back({until, call.claimHolder()});
    }
    while (m_held.size() > m_context->options.heldAnswers || (!m_held.empty() && m_context->memoryBytes > m_context->options.memoryBytes / 2)) {
        evictOldest();
    }
    sweep();
    checkEmpty();
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::evictOldest()
{
    const auto found = m_calls.find(m_held.front().id);
    m_held.pop_front();
    if (found != m_calls.end() && found->second->ended()) {
        m_calls.erase(found);
    }
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::sweep()
{
    while (!m_held.empty() && m_held.front().until <= ClockType::now()) {
        evictOldest();
    }
    if (m_held.empty() || std::exchange(m_sweeping, true)) {
        return;
    }
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([weak = this->weak_from_this()](error_code error) {
        const std::shared_ptr<Impl> self = weak.lock();
        if (!error && self) {
            self->m_sweeping = false;
            self->sweep();
        }
    });
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::drain(std::function<void()> whenEmpty)
{
    if (whenEmpty) {
        m_whenEmpty.push_back(std::move(whenEmpty));
    }
    if (!std::exchange(m_draining, true)) {
        m_server->drain([weak = this->weak_from_this()] {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->m_connectionsClosed = true;
                self->checkEmpty();
            }
        });
    }
    checkEmpty();
}

template <Clock ClockType>
void RelayCore<ClockType>::Impl::checkEmpty()
{
    if (!m_draining || !m_connectionsClosed || m_running > 0) {
        return;
    }
    for (std::function<void()> &handler : std::exchange(m_whenEmpty, {})) {
        boost::asio::post(m_context->io, std::move(handler));
    }
}

template <Clock ClockType>
RelayStats RelayCore<ClockType>::Impl::stats() const
{
    RelayStats stats;
    stats.running = m_running;
    stats.held = m_held.size();
    stats.connections = m_server->connections();
    stats.memoryBytes = m_context->memoryBytes;
    stats.started = m_started;
    stats.draining = m_draining;
    stats.claimsFailing = m_context->claimsFailing;
    return stats;
}

template <Clock ClockType>
RelayCore<ClockType>::RelayCore(RelayDependencies dependencies, RelayOptions options, RelayPorts ports)
    : m_impl(std::make_shared<Impl>(std::move(dependencies), std::move(options), std::move(ports)))
{
    m_impl->wire();
}

template <Clock ClockType>
RelayCore<ClockType>::~RelayCore()
{
    m_impl->m_server.reset();
    m_impl->m_calls.clear();
}

template <Clock ClockType>
Result<void, HttpServerError> RelayCore<ClockType>::listen()
{
    return m_impl->m_server->listen();
}

template <Clock ClockType>
std::uint16_t RelayCore<ClockType>::port() const
{
    return m_impl->m_server->port();
}

template <Clock ClockType>
void RelayCore<ClockType>::setFallback(const HttpFallback &fallback)
{
    m_impl->m_fallback = fallback;
}

template <Clock ClockType>
void RelayCore<ClockType>::onEndpointDraining(const DrainingHandler &handler)
{
    m_impl->m_context->onDraining = handler;
}

template <Clock ClockType>
void RelayCore<ClockType>::preempted(const AttemptId &id)
{
    const auto found = m_impl->m_calls.find(id.request);
    if (found != m_impl->m_calls.end()) {
        const std::shared_ptr<RelayCall<ClockType>> call = found->second;
        call->preempted(id.attempt);
    }
}

template <Clock ClockType>
void RelayCore<ClockType>::drain(std::function<void()> whenEmpty)
{
    m_impl->drain(std::move(whenEmpty));
}

template <Clock ClockType>
RelayStats RelayCore<ClockType>::stats() const
{
    return m_impl->stats();
}

template class RelayCore<SteadyClock>;
template class RelayCore<ManualClock>;

} // namespace Rhubarbwind
