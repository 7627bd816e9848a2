// Actions are performed in order from one queue. If a port answers synchronously, its actions are appended to the queue instead of being
// performed recursively, so an event never overtakes the actions of the previous one.

#include "relay/relaycall.h"

#include "telemetry/log.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace Rhubarbwind
{

namespace
{

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t bytesPerToken = 4; // a common estimate; the arbiter corrects it at release
constexpr std::uint32_t progressEvery = 16; // tokens; avoids one message to the arbiter per token
constexpr std::size_t maxRejectionBytes = std::size_t{64} * 1024;
constexpr std::uint32_t maxDoublings = 6;

const Log &callLog()
{
    static const Log log{LogPart::Relay};
    return log;
}

RequestRules rulesOf(const CallRequest &request, const RelayOptions &options, bool claimsFailing)
{
    RequestRules rules;
    rules.idempotent = request.rule.idempotent;
    rules.reproducible = request.rule.reproducible;
    rules.resumable = request.chat.has_value();
    rules.claimed = !request.claimKey.empty();
    rules.claimFirst = claimsFailing;
    // A run that may not be repeated is finished, since its caller may request the answer again with its key.
    rules.outlivesCaller = rules.claimed || (!rules.idempotent && !rules.resumable);
    rules.maxFailures = options.maxFailures;
    rules.maxResumes = options.maxResumes;
    rules.claimUnderPermit = options.claimUnderPermit;
    return rules;
}

RequestRules adoptedRules(const RelayOptions &options)
{
    RequestRules rules;
    rules.idempotent = false;
    rules.maxResumes = options.maxResumes;
    return rules;
}

// The token count that an engine reports for a cancelled stream; zero if it reports none.
std::uint32_t cancelledTokens(std::string_view body)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    const boost::json::value *reported = !error && value.is_object() ? value.get_object().if_contains("tokens") : nullptr;
    const std::uint32_t tokens = reported ? reported->to_number<std::uint32_t>(error) : 0;
    return error ? 0 : tokens;
}

} // namespace

template <Clock ClockType>
RelayCall<ClockType>::RelayCall(std::shared_ptr<RelayContext<ClockType>> context, CallRequest request)
    : m_context(std::move(context))
    , m_request(std::move(request))
    , m_arrived(m_request.received)
    , m_stateMachine(rulesOf(m_request, m_context->options, m_context->claimsFailing),
                     m_context->retryBudget,
                     RetryAccount{m_request.customer, m_request.shard},
                     m_arrived + m_request.rule.queueDeadline)
    , m_buffer(m_context->options.answer)
    , m_claimHolder(m_request.id)
    , m_telemetry(m_context->metrics, m_context->spans, m_context->host, m_request.id, m_request.rule, m_request.trace, m_arrived)
    , m_deadlineTimer(m_context->io)
    , m_delayTimer(m_context->io)
    , m_returnTimer(m_context->io)
    , m_stepStarted(m_arrived)
{
}

template <Clock ClockType>
RelayCall<ClockType>::RelayCall(std::shared_ptr<RelayContext<ClockType>> context, CallRequest request, AdoptedStream stream, StreamOffset after)
    : m_context(std::move(context))
    , m_request(std::move(request))
    , m_arrived(m_request.received)
    , m_stateMachine(adoptedRules(m_context->options), m_context->retryBudget, RetryAccount{m_request.customer, m_request.shard}, TimePoint::max())
    , m_buffer(m_context->options.answer, after)
    , m_adopted(std::move(stream))
    , m_adoptedAfter(after)
    , m_claimHolder(m_request.id)
    , m_telemetry(m_context->metrics, m_context->spans, m_context->host, m_request.id, m_request.rule, m_request.trace, m_arrived)
    , m_deadlineTimer(m_context->io)
    , m_delayTimer(m_context->io)
    , m_returnTimer(m_context->io)
    , m_stepStarted(m_arrived)
{
}

template <Clock ClockType>
RelayCall<ClockType>::~RelayCall()
{
    m_context->memoryBytes -= m_accounted;
}

template <Clock ClockType>
void RelayCall<ClockType>::accountMemory()
{
    const std::size_t bytes = m_request.bytes + m_buffer.bytes() + m_serviceBody.size();
    m_context->memoryBytes = m_context->memoryBytes - m_accounted + bytes;
    m_accounted = bytes;
}

template <Clock ClockType>
void RelayCall<ClockType>::start()
{
    accountMemory();
    if (m_adopted) {
        perform(m_stateMachine.adopt(m_adopted->attempt, m_adopted->endpoint, m_adoptedAfter));
        return;
    }
    m_telemetry.hop(Hop::Accept, m_arrived, ClockType::now(), {{"customer", m_request.customer.text()}, {"class", m_request.rule.name.text()}});
    armDeadline();
    perform(m_stateMachine.start(m_arrived));
}

template <Clock ClockType>
bool RelayCall<ClockType>::addReader(const std::shared_ptr<HttpExchange> &exchange, bool streaming, StreamOffset after)
{
    if (after < m_buffer.evicted() || (m_end && after > m_buffer.last())) {
        return false;
    }
    m_returnTimer.cancel();
    const std::shared_ptr<AnswerReader> reader = std::make_shared<AnswerReader>(exchange, streaming, after);
    m_readers.push_back(reader);
    // A reader keeps its call alive until it has received everything. It is then removed from m_readers, which breaks the reference cycle.
    exchange->onDisconnected([self = this->shared_from_this()] { self->readerDisconnected(); });
    exchange->onDrained([self = this->shared_from_this()] { self->pumpReaders(); });
    pumpReaders();
    return true;
}

template <Clock ClockType>
void RelayCall<ClockType>::preempted(std::uint32_t attempt)
{
    perform(m_stateMachine.preempted(attempt));
}

template <Clock ClockType>
void RelayCall<ClockType>::perform(RequestActions actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(m_actions));
    if (m_performing) {
        return;
    }
    const std::shared_ptr<RelayCall> self = this->shared_from_this();
    m_performing = true;
    while (!m_actions.empty()) {
        const RequestAction action = std::move(m_actions.front());
        m_actions.pop_front();
        std::visit([this](const auto &each) { this->act(each); }, action);
    }
    m_performing = false;
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const RequestPermit &action)
{
    m_stepStarted = ClockType::now();
    if (action.failures == 0) {
        sendTicket(action);
        return;
    }
    m_telemetry.count("rhubarbwind_retries_total");
    m_delayTimer.expires_after(delayAfter(m_context->options.retryDelay, action.failures));
    m_delayTimer.async_wait([self = this->shared_from_this(), action](error_code error) {
        const bool current = self->m_stateMachine.state() == RequestState::AwaitPermit && self->m_stateMachine.attempt() == action.attempt;
        if (!error && current) {
            self->sendTicket(action);
        }
    });
}

template <Clock ClockType>
void RelayCall<ClockType>::sendTicket(const RequestPermit &action)
{
    const TimePoint now = ClockType::now();
    Ticket ticket;
    ticket.id = attemptId(action.attempt);
    ticket.entry = m_context->host;
    ticket.classId = m_request.rule.name;
    ticket.customer = m_request.customer;
    ticket.waited = now - m_arrived;
    ticket.deadlineIn = std::max(Duration::zero(), m_arrived + m_request.rule.queueDeadline - now);
    const std::string &prompt = m_request.chat ? m_request.chat->promptText : m_request.body;
    ticket.promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken);
    if (m_request.chat && m_context->options.prefixDigests) {
        ticket.prefixDigests = m_context->options.prefixDigests(prompt);
    }
    ticket.avoid = action.avoid;
    m_context->ports.requestPermit(m_request.shard, ticket, [self = this->shared_from_this()](const PermitAnswer &answer) { self->permitAnswered(answer); });
}

template <Clock ClockType>
void RelayCall<ClockType>::permitAnswered(const PermitAnswer &answer)
{
    const TimePoint now = ClockType::now();
    const TimePoint requested = std::exchange(m_stepStarted, now);
    if (const Refusal *refusal = std::get_if<Refusal>(&answer)) {
        m_telemetry.hop(Hop::Queue, requested, now, {{"refused", std::to_string(static_cast<int>(refusal->reason))}});
        perform(m_stateMachine.refused(*refusal));
        return;
    }
    const Grant &grant = std::get<Grant>(answer);
    m_telemetry.queued(requested, now, {{"endpoint", grant.endpoint.text()}, {"epoch", std::to_string(grant.epoch)}});
    perform(m_stateMachine.granted(grant, now));
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const CancelTicket &action)
{
    m_delayTimer.cancel();
    m_context->ports.cancelTicket(m_request.shard, attemptId(action.attempt));
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const MakeClaim &action)
{
    m_stepStarted = ClockType::now();
    m_context->ports.claim(m_request.claimKey, m_request.id, action.deadlineIn, [self = this->shared_from_this()](ClaimAnswer answer) {
        self->m_telemetry.hop(Hop::Claim, self->m_stepStarted, ClockType::now(), {{"verdict", std::to_string(static_cast<int>(answer.result))}});
        self->m_stepStarted = ClockType::now();
        self->m_context->claimsFailing = answer.result == ClaimResult::Unavailable;
        if (answer.result == ClaimResult::Repeated && self->takeUnusedClaim(answer.holder)) {
            answer.result = ClaimResult::Granted;
        }
        self->perform(self->m_stateMachine.claimAnswered(answer, ClockType::now()));
    });
}

// True if the claim is an earlier one of this request whose answer was lost, or one of this host under which nothing was run.
template <Clock ClockType>
bool RelayCall<ClockType>::takeUnusedClaim(const RequestId &holder)
{
    if (holder == m_request.id) {
        return true;
    }
    if (m_stateMachine.ended() || !m_context->unusedClaims.take(m_request.claimKey, holder)) {
        return false;
    }
    m_claimHolder = holder;
    // The ledger will send later repeats to this holder. Its not-run answer is no longer true, so lookups must find this call instead.
    m_context->onTakeOver(this->shared_from_this(), holder);
    return true;
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const FinishClaim &action)
{
    if (action.unused) {
        m_context->unusedClaims.remember(m_request.claimKey, m_claimHolder);
    }
    m_context->ports.finishClaim(m_request.claimKey, m_claimHolder, action.state);
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const Dispatch &action)
{
    m_endpoint = action.endpoint;
    m_streamLabel = m_request.id.text() + "." + std::to_string(action.attempt) + "@" + action.endpoint.text();
    m_serviceBody.clear();
    m_lastProgress = 0;
    open(action.connection, action.endpoint, dispatchRequest(action));
}

template <Clock ClockType>
typename RelayCall<ClockType>::Exchange::Request RelayCall<ClockType>::dispatchRequest(const Dispatch &action) const
{
    typename Exchange::Request request(http::verb::post, "/v1/chat/completions", 11);
    if (m_request.chat) {
        request.set(http::field::content_type, "application/json");
        request.body() = engineBody(*m_request.chat, action.enginePriority);
    } else {
        request.target(m_request.servicePath);
        request.set(http::field::content_type, m_request.contentType);
        request.body() = m_request.body;
    }
    request.set("X-Request-Id", m_request.id.text() + "." + std::to_string(action.attempt));
    request.set("traceparent", m_telemetry.traceHeader());
    return request;
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const ResumeStream &action)
{
    m_telemetry.count("rhubarbwind_resumes_total");
    m_endpoint = action.endpoint;
    if (m_adopted) {
        m_streamLabel = m_adopted->request.text() + "." + std::to_string(m_adopted->attempt) + "@" + action.endpoint.text();
    }
    if (action.tries <= 1) {
        openResume(action);
        return;
    }
    m_delayTimer.expires_after(delayAfter(m_context->options.resumeDelay, action.tries - 1));
    m_delayTimer.async_wait([self = this->shared_from_this(), action](error_code error) {
        if (!error && self->m_stateMachine.state() == RequestState::Resuming) {
            self->openResume(action);
        }
    });
}

template <Clock ClockType>
void RelayCall<ClockType>::openResume(const ResumeStream &action)
{
    const RequestId &request = m_adopted ? m_adopted->request : m_request.id;
    typename Exchange::Request get(http::verb::get, "/v1/streams/" + request.text() + "." + std::to_string(action.attempt), 11);
    get.set("Last-Event-ID", std::to_string(action.after));
    get.set("traceparent", m_telemetry.traceHeader());
    m_stepStarted = ClockType::now();
    open(action.connection, action.endpoint, std::move(get));
}

template <Clock ClockType>
void RelayCall<ClockType>::open(ConnectionNumber connection, const EndpointId &endpoint, typename Exchange::Request request)
{
    const std::optional<EndpointLocation> location = m_context->findEndpoint(endpoint);
    if (!location) {
        perform(m_stateMachine.connectFailed(connection));
        return;
    }
    m_parser = SseParser();
    m_rejected = false;
    m_exchange = Exchange::create(m_context->io);
    const std::shared_ptr<RelayCall> self = this->shared_from_this();
    ExchangeEvents events;
    events.onSending = [self, connection] {
        if (self->m_stateMachine.state() == RequestState::Connecting) {
            self->m_telemetry.hop(Hop::Connect, self->m_stepStarted, ClockType::now(), {{"endpoint", self->m_endpoint.text()}});
            self->m_sentAt = ClockType::now();
        }
        self->perform(self->m_stateMachine.firstByteWritten(connection, ClockType::now()));
    };
    events.onHeader = [self, connection](const EndpointHeader &header) { self->headerReceived(connection, header); };
    events.onBody = [self, connection](std::string_view bytes) { self->bodyReceived(connection, bytes); };
    events.onEnd = [self, connection](ExchangeEnd how) { self->exchangeEnded(connection, how); };
    ExchangeBounds bounds = isChat() ? m_context->options.engineBounds : m_context->options.serviceBounds;
    if (m_stateMachine.state() == RequestState::Resuming) {
        bounds.firstByte = m_context->options.resumeFirstByte;
    }
    request.set(http::field::host, location->ip + ":" + std::to_string(location->port));
    m_exchange->start(*location, std::move(request), bounds, std::move(events));
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const DropConnection & /*action*/)
{
    m_delayTimer.cancel();
    if (m_exchange) {
        m_exchange->cancel();
        m_exchange = nullptr;
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const CancelAtEndpoint &action)
{
    const std::optional<EndpointLocation> location = m_context->findEndpoint(action.endpoint);
    const RequestId &request = m_adopted ? m_adopted->request : m_request.id;
    const Labels labels = m_telemetry.classLabels();
    if (!location) {
        m_context->metrics.add("rhubarbwind_wasted_tokens_total", labels, action.tokens);
        return;
    }
    typename Exchange::Request cancel(http::verb::delete_, "/v1/streams/" + request.text() + "." + std::to_string(action.attempt), 11);
    cancel.set(http::field::host, location->ip + ":" + std::to_string(location->port));
    const std::shared_ptr<Exchange> exchange = Exchange::create(m_context->io);
    const std::shared_ptr<std::string> body = std::make_shared<std::string>();
    ExchangeEvents events;
    events.onBody = [body](std::string_view bytes) {
        if (body->size() + bytes.size() <= maxRejectionBytes) {
            body->append(bytes);
        }
    };
    events.onEnd = [body, labels, received = action.tokens, context = m_context](ExchangeEnd) {
        context->metrics.add("rhubarbwind_wasted_tokens_total", labels, std::max(received, cancelledTokens(*body)));
    };
    ExchangeBounds bounds = m_context->options.engineBounds;
    bounds.firstByte = m_context->options.resumeFirstByte;
    exchange->start(*location, std::move(cancel), bounds, std::move(events));
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const ReleasePermit &action)
{
    Release release;
    release.id = attemptId(action.attempt);
    release.endpoint = action.endpoint;
    release.kind = action.kind;
    release.firstToken = action.firstToken;
    release.meanInterToken = action.meanInterToken;
    release.tokens = action.tokens;
    release.reusedPromptTokens = action.reusedPromptTokens;
    release.slowInterToken = action.slowInterToken;
    m_context->ports.release(m_request.shard, release);
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const RestartStream &action)
{
    if (!action.verify) {
        m_buffer.clear();
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::act(const Answer &action)
{
    m_deadlineTimer.cancel();
    m_delayTimer.cancel();
    m_returnTimer.cancel();
    if (m_exchange) {
        m_exchange->cancel();
        m_exchange = nullptr;
    }
    m_earlierClaim = action.earlierClaim;
    m_end = AnswerEnd{action.outcome, action.error, action.retryAfter};
    m_telemetry.ended(ClockType::now(), action.outcome, action.error, isChat() ? m_buffer.last() : 0, !m_adopted);
    if (action.outcome != Outcome::Completed) {
        callLog().info("Request ended " + std::string(outcomeName(action.outcome)) + ": " + std::string(relayErrorInfo(action.error).type) + ".", m_request.id);
    }
    if (m_earlierClaim && m_context->joinEarlier(*this, m_earlierClaim->holder)) {
        m_readers.clear();
    }
    pumpReaders();
    m_context->onEnded(*this);
}

template <Clock ClockType>
void RelayCall<ClockType>::headerReceived(ConnectionNumber connection, const EndpointHeader &header)
{
    if (header.draining && m_context->onDraining) {
        m_context->onDraining(m_endpoint);
    }
    m_header = header;
    if (isChat()) {
        engineHeaderReceived(connection, header);
    } else {
        serviceHeaderReceived(connection, header);
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::engineHeaderReceived(ConnectionNumber connection, const EndpointHeader &header)
{
    constexpr unsigned conflict = 409;
    constexpr unsigned timeout = 408;
    constexpr unsigned tooMany = 429;
    const bool resuming = m_stateMachine.state() == RequestState::Resuming;
    if (header.status == 200) {
        if (resuming) {
            m_telemetry.hop(Hop::Resume, m_stepStarted, ClockType::now(), {{"endpoint", m_endpoint.text()}});
        }
        perform(m_stateMachine.answerBegan(connection));
    } else if (resuming) {
        perform(header.status == 404 ? m_stateMachine.streamMissing(connection) : m_stateMachine.endpointFailed(connection));
    } else if (header.status == conflict) {
        // The engine already holds this attempt: the network duplicated our send, and the first copy may be running. The "not started"
        // header applies to the duplicate only, so the relay tries to resume the stream instead of treating the attempt as not started.
        perform(m_stateMachine.broken(connection));
    } else if (header.notStarted) {
        perform(m_stateMachine.refusedNotStarted(connection, std::max<Duration>(header.retryAfter, 1s)));
    } else if (header.status >= 400 && header.status < 500 && header.status != timeout && header.status != tooMany) {
        m_rejected = true;
    } else {
        perform(m_stateMachine.endpointFailed(connection));
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::serviceHeaderReceived(ConnectionNumber connection, const EndpointHeader &header)
{
    constexpr unsigned conflict = 409;
    if (header.notStarted && header.status != conflict) {
        perform(m_stateMachine.refusedNotStarted(connection, std::max<Duration>(header.retryAfter, 1s)));
    } else if (header.status >= 500 || header.notStarted || !header.framed) {
        perform(m_stateMachine.endpointFailed(connection));
    } else {
        perform(m_stateMachine.answerBegan(connection));
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::bodyReceived(ConnectionNumber connection, std::string_view bytes)
{
    if (!isChat() || m_rejected) {
        const std::size_t limit = m_rejected ? maxRejectionBytes : m_context->options.answer.maxBytes;
        if (m_serviceBody.size() + bytes.size() > limit) {
            perform(m_rejected ? m_stateMachine.endpointRejected(connection) : m_stateMachine.answerTooLarge(connection));
            return;
        }
        m_serviceBody.append(bytes);
        accountMemory();
        return;
    }
    std::vector<SseEvent> events;
    const bool fits = m_parser.feed(bytes, events).has_value();
    const std::shared_ptr<Exchange> exchange = m_exchange;
    for (SseEvent &event : events) {
        // The connection was dropped while its events were processed; its remaining events no longer count.
        if (m_exchange != exchange || m_stateMachine.ended()) {
            return;
        }
        eventReceived(connection, std::move(event));
    }
    accountMemory();
    if (!fits && m_exchange == exchange) {
        perform(m_stateMachine.answerTooLarge(connection));
        return;
    }
    pumpReaders();
}

template <Clock ClockType>
void RelayCall<ClockType>::eventReceived(ConnectionNumber connection, SseEvent event)
{
    if (event.data == chatDone) {
        const std::string *last = m_buffer.find(m_buffer.last());
        perform(m_stateMachine.done(connection, m_buffer.last(), last ? cachedTokens(*last) : 0));
        return;
    }
    StreamOffset offset = 0;
    std::from_chars(event.id.data(), event.id.data() + event.id.size(), offset);
    const std::uint64_t digest = m_request.rule.reproducible ? choicesDigest(event.data) : std::hash<std::string>()(event.data);
    switch (m_buffer.offer(offset, std::move(event.data), digest)) {
    case OfferResult::Appended:
        recordToken();
        perform(m_stateMachine.token(connection, offset, ClockType::now()));
        break;
    case OfferResult::Duplicate:
        perform(m_stateMachine.token(connection, offset, ClockType::now()));
        break;
    case OfferResult::Gap:
        perform(m_stateMachine.broken(connection));
        break;
    case OfferResult::Diverged:
        perform(m_stateMachine.diverged(connection));
        break;
    case OfferResult::Full:
        perform(m_stateMachine.answerTooLarge(connection));
        break;
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::recordToken()
{
    m_telemetry.token(m_sentAt, ClockType::now(), m_endpoint);
    if (!m_adopted && m_buffer.last() >= m_lastProgress + progressEvery) {
        m_lastProgress = m_buffer.last();
        m_context->ports.progress(m_request.shard, attemptId(m_stateMachine.attempt()), m_lastProgress);
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::exchangeEnded(ConnectionNumber connection, ExchangeEnd how)
{
    if (how == ExchangeEnd::ConnectFailed) {
        perform(m_stateMachine.connectFailed(connection));
    } else if (m_rejected) {
        perform(m_stateMachine.endpointRejected(connection));
    } else if (how == ExchangeEnd::Silent) {
        perform(m_stateMachine.silent(connection));
    } else if (how == ExchangeEnd::Whole && !isChat()) {
        m_telemetry.wholeBody(ClockType::now());
        perform(m_stateMachine.done(connection, 0, 0));
    } else {
        perform(m_stateMachine.broken(connection));
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::pumpReaders()
{
    const std::size_t limit = m_context->options.unsentBytes;
    const std::vector<std::shared_ptr<AnswerReader>> readers = m_readers;
    bool backlogged = false;
    StreamOffset consumed = m_buffer.last();
    for (const std::shared_ptr<AnswerReader> &reader : readers) {
        if (reader->pump(m_buffer, labels(), limit)) {
            m_stateMachine.delivered();
        }
        backlogged = backlogged || (reader->isOpen() && reader->isBacklogged(limit));
        consumed = std::min(consumed, reader->isStreaming() ? reader->cursor() : m_buffer.evicted());
        if (m_end && (!reader->isStreaming() || reader->caughtUp(m_buffer))) {
            finishReader(*reader);
        }
    }
    std::erase_if(m_readers, [](const std::shared_ptr<AnswerReader> &reader) { return !reader->isOpen(); });
    if (!readers.empty()) {
        m_buffer.consumed(consumed);
    }
    if (m_exchange) {
        if (backlogged) {
            m_exchange->pause();
        } else {
            m_exchange->resume();
        }
    }
}

template <Clock ClockType>
void RelayCall<ClockType>::finishReader(AnswerReader &reader)
{
    if (!reader.isOpen()) {
        return;
    }
    if (reader.isStreaming() && m_end->error != RelayError::EndpointRejected && !m_earlierClaim) {
        reader.finishStream(*m_end, labels());
    } else {
        reader.respond(wholeAnswer(), labels());
    }
}

template <Clock ClockType>
HttpResponse RelayCall<ClockType>::wholeAnswer() const
{
    const bool passedOn = m_end->error == RelayError::EndpointRejected || (m_end->error == RelayError::None && !isChat());
    if (passedOn) {
        HttpResponse response(static_cast<http::status>(m_header.status), 11);
        response.set(http::field::content_type, m_header.contentType.empty() ? "application/octet-stream" : m_header.contentType);
        response.set("X-Rhubarbwind-Outcome", outcomeName(m_end->outcome));
        response.body() = m_serviceBody;
        return response;
    }
    if (m_end->error != RelayError::None) {
        HttpResponse response = errorResponse(m_end->error, m_end->outcome, m_request.id, m_end->retryAfter);
        if (m_earlierClaim) {
            response.set("X-Rhubarbwind-Earlier-Request", m_earlierClaim->holder.text());
        }
        return response;
    }
    std::vector<std::string_view> chunks;
    for (StreamOffset offset = 1; offset <= m_buffer.last(); ++offset) {
        chunks.emplace_back(*m_buffer.find(offset));
    }
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    response.set("X-Rhubarbwind-Outcome", outcomeName(m_end->outcome));
    response.body() = joinChunks(chunks);
    return response;
}

template <Clock ClockType>
void RelayCall<ClockType>::readerDisconnected()
{
    std::erase_if(m_readers, [](const std::shared_ptr<AnswerReader> &reader) { return !reader->isOpen(); });
    if (!m_readers.empty() || m_stateMachine.ended()) {
        return;
    }
    if (!m_request.resumable) {
        perform(m_stateMachine.callerDisconnected());
        return;
    }
    if (m_exchange) {
        m_exchange->resume();
    }
    m_returnTimer.expires_after(m_context->options.callerReturn);
    m_returnTimer.async_wait([self = this->shared_from_this()](error_code error) {
        if (!error && self->m_readers.empty()) {
            self->perform(self->m_stateMachine.callerDisconnected());
        }
    });
}

template <Clock ClockType>
void RelayCall<ClockType>::armDeadline()
{
    m_deadlineTimer.expires_after(m_request.rule.queueDeadline + m_context->options.deadlineGrace);
    m_deadlineTimer.async_wait([self = this->shared_from_this()](error_code error) {
        if (!error) {
            self->perform(self->m_stateMachine.deadline());
        }
    });
}

template <Clock ClockType>
AttemptId RelayCall<ClockType>::attemptId(std::uint32_t attempt) const
{
    return {m_request.id, attempt};
}

template <Clock ClockType>
AnswerLabels RelayCall<ClockType>::labels() const
{
    return {m_request.id, m_telemetry.traceHeader(), isChat() ? m_streamLabel : std::string()};
}

template <Clock ClockType>
Duration RelayCall<ClockType>::delayAfter(Duration first, std::uint32_t times)
{
    const Duration ceiling = first * (1U << std::min(times - 1, maxDoublings));
    return fromSeconds(m_context->random.uniform() * toSeconds(ceiling));
}

template class RelayCall<SteadyClock>;
template class RelayCall<ManualClock>;

} // namespace Rhubarbwind
