#include "load/caller.h"

#include "base/httpinput.h"

#include <boost/json.hpp>

#include <utility>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t maxAnswerBytes = std::uint64_t{32} * 1024 * 1024;
constexpr const char *classHeader = "X-Rhubarbwind-Class";
constexpr const char *outcomeHeader = "X-Rhubarbwind-Outcome";
/** Statuses that the request itself causes. 408, 409 and 429 are not among them, since they depend on timing and load. */
constexpr std::array<unsigned, 8> badRequestStatuses{400, 401, 403, 404, 405, 413, 415, 431};

boost::json::object objectOf(const std::string &text)
{
    error_code error;
    boost::json::value value = boost::json::parse(text, error);
    return !error && value.is_object() ? std::move(value.get_object()) : boost::json::object();
}

std::string textAt(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/** The type of a typed error answer; empty for any other body. */
std::string errorTypeOf(const std::string &body)
{
    const boost::json::object object = objectOf(body);
    const boost::json::value *error = object.if_contains("error");
    return error != nullptr && error->is_object() ? textAt(error->get_object(), "type") : std::string();
}

} // namespace

CallerOutcome parseOutcome(std::string_view name)
{
    if (name == "completed") {
        return CallerOutcome::Completed;
    }
    if (name == "not-run") {
        return CallerOutcome::NotRun;
    }
    if (name == "failed-after-start") {
        return CallerOutcome::FailedAfterStart;
    }
    return name == "unknown" ? CallerOutcome::Unknown : CallerOutcome::Rejected;
}

template <Clock ClockType>
Caller<ClockType>::Caller(
    boost::asio::io_context &context, const CallerOptions &options, Balancer &balancer, const Mix &mix, const PlannedRequest &request, Done done)
    : m_options(options)
    , m_balancer(balancer)
    , m_rule(mix.classes[request.classIndex])
    , m_customer(mix.customers[request.customerIndex])
    , m_request(request)
    , m_done(std::move(done))
    , m_stream(context)
    , m_patience(context)
{
    m_parser.body_limit(maxAnswerBytes);
}

template <Clock ClockType>
void Caller<ClockType>::start()
{
    m_started = ClockType::now();
    m_message = makeRequest();
    m_patience.expires_after(m_options.patience);
    m_patience.async_wait([weak = this->weak_from_this()](const error_code &error) {
        const std::shared_ptr<Caller> self = weak.lock();
        if (!error && self) {
            self->finish(CallerOutcome::NoAnswer, "patience-ended");
        }
    });
    connect();
}

template <Clock ClockType>
void Caller<ClockType>::connect()
{
    if (m_hostsTried++ == m_options.hosts.size()) {
        finish(CallerOutcome::NotRun, "no-host");
        return;
    }
    const std::size_t host = m_balancer.next(ClockType::now());
    m_stream.expires_after(m_options.connectLimit);
    m_stream.async_connect(m_options.hosts[host], [self = this->shared_from_this(), host](const error_code &error) {
        if (!self->m_done) {
            return;
        }
        if (error) {
            self->m_balancer.setRefused(host, ClockType::now());
            self->connect();
            return;
        }
        self->m_stream.expires_never();
        self->send();
    });
}

template <Clock ClockType>
void Caller<ClockType>::send()
{
    error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    Http::async_write(m_stream, m_message, [self = this->shared_from_this()](const error_code &error, std::size_t) {
        if (error) {
            self->finish(CallerOutcome::NoAnswer, "broke-while-sending");
            return;
        }
        self->readHeader();
    });
}

template <Clock ClockType>
void Caller<ClockType>::readHeader()
{
    readHttp(m_stream, m_buffer, m_parser, HttpReadGoal::Head, [self = this->shared_from_this()](const error_code &error) {
        if (error) {
            self->finish(CallerOutcome::NoAnswer, "broke-before-answer");
            return;
        }
        if (self->m_parser.get()[Http::field::content_type].starts_with("text/event-stream")) {
            self->m_answer.emplace(self->m_request.prompt(), self->m_started);
        }
        self->readSome();
    });
}

template <Clock ClockType>
void Caller<ClockType>::readSome()
{
    if (m_parser.is_done()) {
        m_answer ? evaluateStream(true) : takeWhole();
        return;
    }
    readHttp(m_stream, m_buffer, m_parser, HttpReadGoal::Some, [self = this->shared_from_this()](const error_code &error) {
        if (!self->m_done) {
            return;
        }
        if (self->m_answer) {
            self->takeStream();
        }
        if (!self->m_done) {
            return;
        }
        if (error) {
            self->m_answer ? self->evaluateStream(false) : self->finish(CallerOutcome::NoAnswer, "broke-in-answer");
            return;
        }
        self->readSome();
    });
}

template <Clock ClockType>
void Caller<ClockType>::takeStream()
{
    const std::string &body = m_parser.get().body();
    const Result<void, StreamFault> taken = m_answer->take(std::string_view(body).substr(m_consumed), ClockType::now());
    m_consumed = body.size();
    if (!taken) {
        static constexpr std::array<const char *, 3> names{"bad-event", "bad-event-id", "wrong-token"};
        finish(CallerOutcome::Wrong, names[static_cast<std::size_t>(taken.error())]);
        return;
    }
    if (m_request.leaveAfter > 0 && m_answer->tokens() >= m_request.leaveAfter) {
        finish(CallerOutcome::Left);
    }
}

template <Clock ClockType>
void Caller<ClockType>::evaluateStream(bool ended)
{
    if (!m_answer->outcome().empty() && m_answer->outcome() != "completed") {
        finish(parseOutcome(m_answer->outcome()), m_answer->errorType());
        return;
    }
    const bool isReportedComplete = m_answer->outcome() == "completed" || (m_options.direct && m_answer->isWhole());
    if (isReportedComplete) {
        finish(ended && m_answer->isWhole() ? CallerOutcome::Completed : CallerOutcome::Wrong, m_answer->isWhole() ? "" : "partial");
        return;
    }
    // Ordinary clients would take a stream that ends normally without an outcome for a complete one.
    finish(ended && !m_answer->isWhole() ? CallerOutcome::Wrong : CallerOutcome::NoAnswer, ended ? "ended-without-outcome" : "broke-in-stream");
}

template <Clock ClockType>
void Caller<ClockType>::takeWhole()
{
    const unsigned status = m_parser.get().result_int();
    const std::string &body = m_parser.get().body();
    const std::string outcomeName(m_parser.get()[outcomeHeader]);
    const std::string type = errorTypeOf(body);
    if (status == 409 && type.starts_with("claim")) {
        finish(CallerOutcome::Repeated, type);
        return;
    }
    if (std::find(badRequestStatuses.begin(), badRequestStatuses.end(), status) != badRequestStatuses.end()) {
        finish(CallerOutcome::Rejected, type.empty() ? "status-" + std::to_string(status) : type);
        return;
    }
    if (outcomeName.empty() && !(m_options.direct && status == 200)) {
        finish(CallerOutcome::Rejected, "no-outcome-header");
        return;
    }
    const CallerOutcome outcome = outcomeName.empty() ? CallerOutcome::Completed : parseOutcome(outcomeName);
    if (outcome != CallerOutcome::Completed) {
        finish(outcome, type);
        return;
    }
    const bool isCorrect = status == 200 && m_rule.kind == RequestKind::Service && isServiceAnswerCorrect(body);
    finish(isCorrect ? CallerOutcome::Completed : CallerOutcome::Wrong, isCorrect ? "" : "other-answer");
}

template <Clock ClockType>
bool Caller<ClockType>::isServiceAnswerCorrect(const std::string &body) const
{
    const boost::json::object answer = objectOf(body);
    return textAt(answer, "id") == m_request.id && textAt(answer, "digest") == digestHex(answerKey(m_message.body(), {}, {}).promptDigest);
}

template <Clock ClockType>
Http::request<Http::string_body> Caller<ClockType>::makeRequest() const
{
    Http::request<Http::string_body> message(Http::verb::post, m_rule.path, 11);
    message.set(Http::field::host, "rhubarbwind");
    message.set(Http::field::authorization, "Bearer " + m_customer.apiKey);
    message.set(Http::field::content_type, "application/json");
    message.set(classHeader, m_rule.name);
    if (!m_rule.idempotent) {
        message.set("Idempotency-Key", m_request.id);
    }
    boost::json::object body;
    if (m_rule.kind == RequestKind::Stream) {
        boost::json::array messages;
        if (!m_request.system.empty()) {
            messages.push_back(boost::json::object{{"role", "system"}, {"content", m_request.system}});
        }
        messages.push_back(boost::json::object{{"role", "user"}, {"content", m_request.user}});
        body = {{"model", m_rule.model}, {"stream", true}, {"messages", std::move(messages)}};
    } else {
        body = {{"request", m_request.user}};
    }
    message.body() = boost::json::serialize(body);
    message.keep_alive(false);
    message.prepare_payload();
    return message;
}

template <Clock ClockType>
void Caller<ClockType>::finish(CallerOutcome outcome, std::string reason)
{
    if (!m_done) {
        return;
    }
    CallerResult result;
    result.outcome = outcome;
    result.reason = std::move(reason);
    result.firstToken = ClockType::now() - m_started;
    if (m_answer) {
        result.tokens = m_answer->tokens();
        result.firstToken = m_answer->firstToken().value_or(result.firstToken);
        result.interTokenP95 = m_answer->interTokenP95();
    } else if (outcome == CallerOutcome::Completed) {
        result.tokens = 1;
    }
    m_patience.cancel();
    m_stream.close();
    const Done done = std::exchange(m_done, nullptr);
    done(std::move(result));
}

template class Caller<SteadyClock>;

} // namespace Rhubarbwind
