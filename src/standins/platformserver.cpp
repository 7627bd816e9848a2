// A session per connection reads one request at a time, asks the state for the answer and writes it back. The
// effect of a call happens when it is read; faults then decide whether and when its answer is written, which
// is what makes "the answer was lost after the effect" easy to provoke.
//
// A watch without news parks its session; each write wakes every parked session, which looks again.

#include "standins/platformserver.h"

#include "base/clock.h"
#include "base/random.h"
#include "base/sessiontimer.h"
#include "base/tokenbucket.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <limits>
#include <list>
#include <vector>

namespace Rhubarbwind
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::size_t maxBodyBytes = 1'100'000; ///< above the largest value, so that the store itself refuses
constexpr std::int64_t maxWatchWaitMs = 60'000;
constexpr std::int64_t maxLatencyMs = 600'000;
constexpr double maxCounted = 1e9; ///< of calls that a fault counts
constexpr double bucketBurst = 1.0; ///< part of a second's rate that may come at once

std::string percentDecoded(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        const bool escape = text[i] == '%' && i + 2 < text.size();
        if (escape && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3) {
            out += static_cast<char>(code);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/** A request target, split: the path, and parameters by name. */
struct Target
{
    explicit Target(std::string_view text)
    {
        const std::size_t mark = text.find('?');
        path = std::string(text.substr(0, mark));
        if (mark != std::string_view::npos) {
            query = std::string(text.substr(mark + 1));
        }
    }

    std::string parameter(std::string_view name) const
    {
        std::string_view rest = query;
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string_view field = rest.substr(0, end);
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
            const std::size_t equals = field.find('=');
            if (equals != std::string_view::npos && field.substr(0, equals) == name) {
                return percentDecoded(field.substr(equals + 1));
            }
        }
        return {};
    }

    std::uint64_t number(std::string_view name) const
    {
        const std::string text = parameter(name);
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::string path;
    std::string query;
};

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

StoreCondition conditionOf(const Request &request)
{
    StoreCondition condition;
    condition.mustBeAbsent = request[http::field::if_none_match] == "*";
    condition.mustBeVersion = parseVersionTag(std::string_view(request[http::field::if_match]));
    return condition;
}

Response makeResponse(http::status status, std::string body = {})
{
    Response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

Response overRate()
{
    Response response = makeResponse(http::status::too_many_requests, R"({"error":"over rate"})");
    response.set(http::field::retry_after, "1");
    return response;
}

http::status statusOf(StoreVerdict verdict)
{
    switch (verdict) {
    case StoreVerdict::Done:
        return http::status::ok;
    case StoreVerdict::NotFound:
        return http::status::not_found;
    case StoreVerdict::ConditionFailed:
        return http::status::precondition_failed;
    case StoreVerdict::NoCondition:
        return http::status::precondition_required;
    case StoreVerdict::TooLarge:
        return http::status::payload_too_large;
    case StoreVerdict::BadKey:
        return http::status::bad_request;
    }
    return http::status::internal_server_error;
}

Response makeResponse(const StoreWrite &write)
{
    Response response = makeResponse(statusOf(write.verdict));
    if (write.version != 0) {
        response.set(http::field::etag, versionTag(write.version));
    }
    return response;
}

json::object toJson(const StoreChange &change)
{
    return {{"key", change.key}, {"version", change.version}, {"removed", change.removed}};
}

double numberOr(const json::object &object, std::string_view key, double current)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<double>() : current;
}

bool flagOr(const json::object &object, std::string_view key, bool current)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : current;
}

/** Fields that the document lacks keep their state. */
PlatformFaults withChanges(PlatformFaults faults, const json::object &changes)
{
    faults.outage = flagOr(changes, "outage", faults.outage);
    faults.unavailable = flagOr(changes, "unavailable", faults.unavailable);
    const double latencyMs = numberOr(changes, "latency_ms", toSeconds(faults.latency) * 1000);
    faults.latency = fromSeconds(std::clamp(latencyMs, 0.0, static_cast<double>(maxLatencyMs)) / 1000);
    faults.loseAnswers = numberOr(changes, "lose_answers", faults.loseAnswers);
    faults.loseNext = static_cast<std::uint64_t>(std::clamp(numberOr(changes, "lose_next", static_cast<double>(faults.loseNext)), 0.0, maxCounted));
    faults.silentCalls = flagOr(changes, "silent_calls", faults.silentCalls);
    faults.silentWatches = flagOr(changes, "silent_watches", faults.silentWatches);
    faults.repeatEvents = flagOr(changes, "repeat_events", faults.repeatEvents);
    faults.skipEvents = flagOr(changes, "skip_events", faults.skipEvents);
    faults.malformed = flagOr(changes, "malformed", faults.malformed);
    faults.callsPerSecond = numberOr(changes, "calls_per_second", faults.callsPerSecond);
    faults.weightsPerSecond = numberOr(changes, "weights_per_second", faults.weightsPerSecond);
    return faults;
}

json::value hostsDocument(json::value hosts)
{
    if (hosts.is_object() && hosts.get_object().contains("hosts")) {
        return hosts;
    }
    return json::object{{"hosts", hosts.is_array() ? std::move(hosts) : json::value(json::array())}};
}

/** A rate that may change while running; zero is unlimited. */
class RateLimit
{
public:
    void setRate(double perSecond)
    {
        if (perSecond != m_perSecond) {
            m_perSecond = perSecond;
            m_bucket = TokenBucket(perSecond, std::max(1.0, perSecond * bucketBurst), SteadyClock::now());
        }
    }
    bool allows()
    {
        return m_perSecond <= 0 || m_bucket.tryTake(1.0, SteadyClock::now());
    }

private:
    double m_perSecond = 0.0;
    TokenBucket m_bucket{0.0, 1.0, SteadyClock::now()};
};

class PlatformSession;

} // namespace

/** What all sessions share. */
class PlatformServer::State : public std::enable_shared_from_this<PlatformServer::State>
{
public:
    State(asio::io_context &context, PlatformServerOptions options)
        : m_context(context)
        , m_acceptor(context, tcp::endpoint(asio::ip::make_address(options.ip), options.port))
        , m_options(std::move(options))
        , m_random(m_options.seed)
        , m_hosts(json::serialize(hostsDocument(m_options.hosts)))
    {
        if (!m_options.presetInForce.empty()) {
            m_store.put("preset/in-force", m_options.presetInForce, {true, std::nullopt});
        }
    }

    void accept();
    void stop();
    void setHosts(json::value hosts);
    void setFaults(const PlatformFaults &faults);

    /** Answers a control call; these are never subject to faults. */
    Response control(const Request &request, const Target &target);
    /** Carries a call out and answers it; watches are handled by the session. */
    Response carryOut(const Request &request, const Target &target);
    Response watchAnswer(const std::string &prefix, std::uint64_t after);

    bool takeRate()
    {
        return count(m_callRate.allows());
    }
    bool losesAnswer()
    {
        const bool counted = m_faults.loseNext > 0;
        m_faults.loseNext -= counted ? 1 : 0;
        const bool loses = counted || (m_faults.loseAnswers > 0 && m_random.uniform() < m_faults.loseAnswers);
        m_counters.lostAnswers += loses ? 1 : 0;
        return loses;
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    PlatformServerOptions m_options;
    Random m_random;
    std::string m_hosts; ///< as shown now
    PlatformStore m_store;
    PlatformFaults m_faults;
    PlatformCounters m_counters;
    std::vector<std::weak_ptr<PlatformSession>> m_sessions;
    bool m_stopped = false;

private:
    bool count(bool allowed)
    {
        m_counters.refusedOverRate += allowed ? 0 : 1;
        return allowed;
    }
    Response objectCall(const Request &request, const std::string &key);
    Response listCall(const std::string &prefix) const;
    Response weightCall();
    Response countersAnswer() const;
    void wakeWatches();

    RateLimit m_callRate;
    RateLimit m_weightRate;
};

namespace
{

class PlatformSession : public std::enable_shared_from_this<PlatformSession>
{
public:
    PlatformSession(tcp::socket socket, std::shared_ptr<PlatformServer::State> state)
        : m_socket(std::move(socket))
        , m_state(std::move(state))
        , m_timer(m_socket.get_executor())
    {
        beast::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(maxBodyBytes);
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) { self->onRead(error); });
    }

    void close()
    {
        beast::error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        m_watching = false;
    }

    /** Looks again whether a parked watch has news. */
    void wake()
    {
        if (m_watching && m_state->m_store.hasChangeAfter(m_watchPrefix, m_watchAfter)) {
            finishWatch();
        }
    }

private:
    void onRead(beast::error_code error)
    {
        if (error == http::error::body_limit) {
            m_closeAfterAnswer = true;
            answer(makeResponse(http::status::payload_too_large));
            return;
        }
        if (error) {
            close();
            return;
        }
        m_request = m_parser->release();
        const Target target{std::string_view(m_request.target())};
        if (target.path.starts_with("/standin/")) {
            answer(m_state->control(m_request, target));
            return;
        }
        call(target);
    }

    void call(const Target &target)
    {
        if (m_state->m_faults.outage) {
            close();
            return;
        }
        if (m_state->m_faults.unavailable) {
            answer(makeResponse(http::status::service_unavailable));
            return;
        }
        if (!m_state->takeRate()) {
            answer(overRate());
            return;
        }
        if (target.path == "/v1/watch") {
            startWatch(target);
            return;
        }
        Response response = m_state->carryOut(m_request, target);
        if (m_state->losesAnswer()) {
            close();
            return;
        }
        if (m_state->m_faults.silentCalls) {
            holdOpen();
            return;
        }
        answerAfterLatency(std::move(response));
    }

    /** Never answers; waits only for the other end to close. */
    void holdOpen()
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code) { self->close(); });
    }

    void startWatch(const Target &target)
    {
        ++m_state->m_counters.watches;
        m_watchPrefix = target.parameter("prefix");
        m_watchAfter = target.number("after");
        if (m_state->m_faults.silentWatches) {
            holdOpen();
            return;
        }
        m_watching = true;
        const std::uint64_t waitMs = std::min<std::uint64_t>(target.number("wait_ms"), maxWatchWaitMs);
        m_timer.expires_after(std::chrono::milliseconds(waitMs));
        m_timer.async_wait([self = shared_from_this()](beast::error_code error) {
            if (!error && self->m_watching) {
                self->finishWatch();
            }
        });
        wake();
    }

    void finishWatch()
    {
        m_watching = false;
        m_timer.cancel();
        if (m_state->m_faults.silentWatches) {
            holdOpen();
            return;
        }
        answerAfterLatency(m_state->watchAnswer(m_watchPrefix, m_watchAfter));
    }

    void answerAfterLatency(Response response)
    {
        if (m_state->m_faults.malformed) {
            response.body() = "{\"events\": [{\"key\": 7";
            response.set(http::field::etag, "W/\"seven\"");
        }
        if (m_state->m_faults.latency <= Duration::zero()) {
            answer(std::move(response));
            return;
        }
        m_timer.expires_after(m_state->m_faults.latency);
        m_timer.async_wait([self = shared_from_this(), late = std::move(response)](beast::error_code error) mutable {
            if (!error) {
                self->answer(std::move(late));
            }
        });
    }

    void answer(Response response)
    {
        m_response = std::move(response);
        m_response.keep_alive(!m_closeAfterAnswer && m_request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_socket, m_response, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error || self->m_response.need_eof()) {
                self->close();
                return;
            }
            self->read();
        });
    }

    tcp::socket m_socket;
    std::shared_ptr<PlatformServer::State> m_state;
    SessionTimer<SteadyClock> m_timer;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    Request m_request;
    Response m_response;
    std::string m_watchPrefix;
    std::uint64_t m_watchAfter = 0;
    bool m_watching = false;
    bool m_closeAfterAnswer = false;
};

} // namespace

void PlatformServer::State::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](beast::error_code error, tcp::socket socket) {
        if (self->m_stopped || error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            ++self->m_counters.connections;
            const std::shared_ptr<PlatformSession> session = std::make_shared<PlatformSession>(std::move(socket), self);
            std::erase_if(self->m_sessions, [](const std::weak_ptr<PlatformSession> &held) { return held.expired(); });
            self->m_sessions.push_back(session);
            session->read();
        }
        self->accept();
    });
}

void PlatformServer::State::stop()
{
    m_stopped = true;
    beast::error_code ignored;
    m_acceptor.close(ignored);
    for (const std::weak_ptr<PlatformSession> &held : m_sessions) {
        if (const std::shared_ptr<PlatformSession> session = held.lock()) {
            session->close();
        }
    }
}

void PlatformServer::State::setHosts(json::value hosts)
{
    std::string shown = json::serialize(hostsDocument(std::move(hosts)));
    if (m_options.hostLag <= Duration::zero()) {
        m_hosts = std::move(shown);
        return;
    }
    const std::shared_ptr<SessionTimer<SteadyClock>> timer = std::make_shared<SessionTimer<SteadyClock>>(m_context, m_options.hostLag);
    timer->async_wait([self = weak_from_this(), timer, late = std::move(shown)](beast::error_code error) {
        const std::shared_ptr<State> state = self.lock();
        if (!error && state && !state->m_stopped) {
            state->m_hosts = late;
        }
    });
}

void PlatformServer::State::setFaults(const PlatformFaults &faults)
{
    m_faults = faults;
    m_callRate.setRate(faults.callsPerSecond);
    m_weightRate.setRate(faults.weightsPerSecond);
}

Response PlatformServer::State::control(const Request &request, const Target &target)
{
    if (request.method() == http::verb::get && target.path == "/standin/counters") {
        return countersAnswer();
    }
    beast::error_code error;
    json::value body = json::parse(request.body(), error);
    if (error || request.method() != http::verb::post) {
        return makeResponse(http::status::bad_request);
    }
    if (target.path == "/standin/faults" && body.is_object()) {
        setFaults(withChanges(m_faults, body.get_object()));
        return makeResponse(http::status::ok, "{}");
    }
    if (target.path == "/standin/hosts") {
        setHosts(std::move(body));
        return makeResponse(http::status::ok, "{}");
    }
    return makeResponse(http::status::not_found);
}

Response PlatformServer::State::carryOut(const Request &request, const Target &target)
{
    constexpr std::string_view objects = "/v1/objects/";
    if (target.path.starts_with(objects)) {
        return objectCall(request, percentDecoded(std::string_view(target.path).substr(objects.size())));
    }
    if (request.method() != http::verb::get) {
        return makeResponse(http::status::method_not_allowed);
    }
    if (target.path == "/v1/objects") {
        ++m_counters.reads;
        return listCall(target.parameter("prefix"));
    }
    if (target.path == "/v1/hosts") {
        ++m_counters.hostLists;
        return makeResponse(http::status::ok, m_hosts);
    }
    if (target.path.starts_with("/v1/weights/")) {
        return weightCall();
    }
    return makeResponse(http::status::not_found);
}

Response PlatformServer::State::objectCall(const Request &request, const std::string &key)
{
    if (request.method() == http::verb::get) {
        ++m_counters.reads;
        const StoreEntry *entry = m_store.find(key);
        if (entry == nullptr) {
            return makeResponse(http::status::not_found);
        }
        Response response = makeResponse(http::status::ok, entry->value);
        response.set(http::field::etag, versionTag(entry->version));
        return response;
    }
    ++m_counters.writes;
    if (request.method() == http::verb::put) {
        const StoreWrite write = m_store.put(key, request.body(), conditionOf(request));
        wakeWatches();
        return makeResponse(write);
    }
    if (request.method() == http::verb::delete_) {
        const StoreWrite write = m_store.remove(key, conditionOf(request));
        wakeWatches();
        return makeResponse(write);
    }
    return makeResponse(http::status::method_not_allowed);
}

Response PlatformServer::State::listCall(const std::string &prefix) const
{
    json::array objects;
    for (const auto &[key, entry] : m_store.list(prefix)) {
        objects.push_back(json::object{{"key", key}, {"version", entry.version}, {"value", entry.value}});
    }
    return makeResponse(http::status::ok, json::serialize(json::object{{"objects", std::move(objects)}, {"next", m_store.revision()}}));
}

Response PlatformServer::State::watchAnswer(const std::string &prefix, std::uint64_t after)
{
    const std::optional<std::vector<StoreChange>> changes = m_store.changesAfter(prefix, after);
    if (!changes) {
        return makeResponse(http::status::gone);
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
    return makeResponse(http::status::ok, json::serialize(json::object{{"events", std::move(events)}, {"next", m_store.revision()}}));
}

Response PlatformServer::State::weightCall()
{
    ++m_counters.weights;
    if (!count(m_weightRate.allows())) {
        return overRate();
    }
    return makeResponse(http::status::ok, R"({"weights":"stand-in"})");
}

Response PlatformServer::State::countersAnswer() const
{
    return makeResponse(http::status::ok,
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

void PlatformServer::State::wakeWatches()
{
    for (const std::weak_ptr<PlatformSession> &held : m_sessions) {
        if (const std::shared_ptr<PlatformSession> session = held.lock()) {
            session->wake();
        }
    }
}

PlatformServer::PlatformServer(asio::io_context &context, PlatformServerOptions options)
    : m_state(std::make_shared<State>(context, std::move(options)))
{
    m_state->accept();
}

PlatformServer::~PlatformServer()
{
    m_state->stop();
}

std::uint16_t PlatformServer::port() const
{
    return m_state->m_acceptor.local_endpoint().port();
}

PlatformStore &PlatformServer::store()
{
    return m_state->m_store;
}

const PlatformCounters &PlatformServer::counters() const
{
    return m_state->m_counters;
}

PlatformFaults PlatformServer::faults() const
{
    return m_state->m_faults;
}

void PlatformServer::setFaults(const PlatformFaults &faults)
{
    m_state->setFaults(faults);
}

void PlatformServer::setHosts(json::value hosts)
{
    m_state->setHosts(std::move(hosts));
}

void PlatformServer::stop()
{
    m_state->stop();
}

} // namespace Rhubarbwind
