// The HTTP connection passes each request to a PlatformCall, which gets the answer from the PlatformApi. A call takes effect when it is read; faults then
// decide whether and when its answer is written.
//
// A watch without changes waits; each write wakes every waiting watch, which checks the store again. Only calls that wait (watches and delayed answers)
// are registered, so that stop() can cancel their timers.

#include "standins/platformserver.h"

#include "base/clock.h"
#include "base/sessiontimer.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace Http = boost::beast::http;
using boost::system::error_code;

/** Above the store's maximum value size, so that the store refuses such values itself; larger bodies are answered 413 by the connection. */
constexpr StandinLimits platformLimits{1'100'000, true};
constexpr std::uint64_t maxWatchWaitMs = 60'000;
/** Minimum number of registered calls before answered ones are removed. The threshold doubles with the waiting calls, which keeps the cost per call low. */
constexpr std::size_t minSweepSize = 64;

json::value hostsDocument(json::value hosts)
{
    if (hosts.is_object() && hosts.get_object().contains("hosts")) {
        return hosts;
    }
    return json::object{{"hosts", hosts.is_array() ? std::move(hosts) : json::value(json::array())}};
}

StandinReply plainReply(Http::status status, std::string body = {})
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

class PlatformCall;

} // namespace

/** State shared by all calls. */
class PlatformServer::State : public std::enable_shared_from_this<PlatformServer::State>
{
public:
    State(asio::io_context &context, PlatformServerOptions options)
        : m_context(context)
        , m_listener(std::make_shared<StandinListener>(context, asio::ip::tcp::endpoint(asio::ip::make_address(options.ip), options.port), platformLimits))
        , m_options(std::move(options))
        , m_api(m_options.seed)
    {
        m_api.setHostList(json::serialize(hostsDocument(m_options.hosts)));
        if (!m_options.presetInForce.empty()) {
            m_api.store().put("preset/in-force", m_options.presetInForce, {true, std::nullopt});
        }
    }

    void start();
    void stop();
    void setHosts(json::value hosts);
    PlatformCounters &counters();

    /** Registers a waiting call for wakeWatches() and stop(). */
    void registerWaiting(const std::shared_ptr<PlatformCall> &call);
    void wakeWatches();

    asio::io_context &m_context;
    std::shared_ptr<StandinListener> m_listener;
    PlatformServerOptions m_options;
    PlatformApi m_api;

private:
    void handle(const StandinRequest &request, const std::shared_ptr<StandinConnection> &connection);
    /** Answers a control call; control calls are never subject to faults. */
    StandinReply control(const StandinRequest &request, const RequestTarget &target);

    std::vector<std::weak_ptr<PlatformCall>> m_waiting;
    std::size_t m_sweepAt = minSweepSize;
    bool m_stopped = false;
};

namespace
{

/** One request, from reading it to its answer. */
class PlatformCall : public std::enable_shared_from_this<PlatformCall>
{
public:
    PlatformCall(std::shared_ptr<StandinConnection> connection, std::shared_ptr<PlatformServer::State> state)
        : m_connection(std::move(connection))
        , m_state(std::move(state))
        , m_timer(m_state->m_context)
    {
    }

    void start(const StandinRequest &request, const RequestTarget &target)
    {
        PlatformApi &api = m_state->m_api;
        if (api.faults().outage) {
            m_connection->drop();
            return;
        }
        if (api.faults().unavailable) {
            m_connection->reply(plainReply(Http::status::service_unavailable));
            return;
        }
        if (!api.tryTakeRate()) {
            m_connection->reply(PlatformApi::overRate());
            return;
        }
        if (target.path() == "/v1/watch") {
            startWatch(target);
            return;
        }
        StandinReply reply = api.execute(request, target);
        if (request.method() != Http::verb::get) {
            m_state->wakeWatches();
        }
        if (api.losesAnswer()) {
            m_connection->drop();
            return;
        }
        if (api.faults().silentCalls) {
            m_connection->holdOpen();
            return;
        }
        answerAfterLatency(std::move(reply));
    }

    /** Answers a waiting watch if there are changes for it. */
    void wake()
    {
        if (m_watching && m_state->m_api.store().hasChangeAfter(m_watchPrefix, m_watchAfter)) {
            finishWatch();
        }
    }

    void cancel()
    {
        m_watching = false;
        m_timer.cancel();
    }

private:
    void startWatch(const RequestTarget &target)
    {
        ++m_state->m_api.counters().watches;
        m_watchPrefix = target.parameter("prefix");
        m_watchAfter = target.number("after");
        if (m_state->m_api.faults().silentWatches) {
            m_connection->holdOpen();
            return;
        }
        m_watching = true;
        ensureRegistered();
        const std::uint64_t waitMs = std::min<std::uint64_t>(target.number("wait_ms"), maxWatchWaitMs);
        m_timer.expires_after(std::chrono::milliseconds(waitMs));
        m_timer.async_wait([self = shared_from_this()](const error_code &error) {
            if (!error && self->m_watching) {
                self->finishWatch();
            }
        });
        wake();
    }

    void finishWatch()
    {
        cancel();
        if (m_state->m_api.faults().silentWatches) {
            m_connection->holdOpen();
            return;
        }
        answerAfterLatency(m_state->m_api.watchAnswer(m_watchPrefix, m_watchAfter));
    }

    void answerAfterLatency(StandinReply reply)
    {
        if (m_state->m_api.faults().malformed) {
            reply.body = "{\"events\": [{\"key\": 7";
            reply.headers.emplace_back("ETag", "W/\"seven\"");
        }
        const Duration latency = m_state->m_api.faults().latency;
        if (latency <= Duration::zero()) {
            m_connection->reply(std::move(reply));
            return;
        }
        ensureRegistered();
        m_timer.expires_after(latency);
        m_timer.async_wait([self = shared_from_this(), late = std::move(reply)](const error_code &error) mutable {
            if (!error) {
                self->m_connection->reply(std::move(late));
            }
        });
    }

    void ensureRegistered()
    {
        if (!std::exchange(m_isRegistered, true)) {
            m_state->registerWaiting(shared_from_this());
        }
    }

    std::shared_ptr<StandinConnection> m_connection;
    std::shared_ptr<PlatformServer::State> m_state;
    SessionTimer<SteadyClock> m_timer;
    std::string m_watchPrefix;
    std::uint64_t m_watchAfter = 0;
    bool m_watching = false;
    bool m_isRegistered = false;
};

} // namespace

void PlatformServer::State::start()
{
    m_listener->start([weak = weak_from_this()](const StandinRequest &request, const std::shared_ptr<StandinConnection> &connection) {
        if (const std::shared_ptr<State> self = weak.lock()) {
            self->handle(request, connection);
        }
    });
}

void PlatformServer::State::handle(const StandinRequest &request, const std::shared_ptr<StandinConnection> &connection)
{
    const RequestTarget target{std::string_view(request.target())};
    if (target.path().starts_with("/standin/")) {
        connection->reply(control(request, target));
        return;
    }
    std::make_shared<PlatformCall>(connection, shared_from_this())->start(request, target);
}

void PlatformServer::State::stop()
{
    m_stopped = true;
    m_listener->close();
    for (const std::weak_ptr<PlatformCall> &weak : m_waiting) {
        if (const std::shared_ptr<PlatformCall> call = weak.lock()) {
            call->cancel();
        }
    }
    m_listener->dropOpen();
}

PlatformCounters &PlatformServer::State::counters()
{
    m_api.counters().connections = m_listener->accepted();
    return m_api.counters();
}

void PlatformServer::State::registerWaiting(const std::shared_ptr<PlatformCall> &call)
{
    if (m_waiting.size() >= m_sweepAt) {
        std::erase_if(m_waiting, [](const std::weak_ptr<PlatformCall> &weak) { return weak.expired(); });
        m_sweepAt = std::max(minSweepSize, 2 * m_waiting.size());
    }
    m_waiting.push_back(call);
}

void PlatformServer::State::wakeWatches()
{
    // A woken watch is registered already, so the list does not grow during the loop.
    for (const std::weak_ptr<PlatformCall> &weak : m_waiting) {
        if (const std::shared_ptr<PlatformCall> call = weak.lock()) {
            call->wake();
        }
    }
}

void PlatformServer::State::setHosts(json::value hosts)
{
    std::string shown = json::serialize(hostsDocument(std::move(hosts)));
    if (m_options.hostLag <= Duration::zero()) {
        m_api.setHostList(std::move(shown));
        return;
    }
    const std::shared_ptr<SessionTimer<SteadyClock>> timer = std::make_shared<SessionTimer<SteadyClock>>(m_context, m_options.hostLag);
    timer->async_wait([self = weak_from_this(), timer, late = std::move(shown)](const error_code &error) {
        const std::shared_ptr<State> state = self.lock();
        if (!error && state && !state->m_stopped) {
            state->m_api.setHostList(late);
        }
    });
}

StandinReply PlatformServer::State::control(const StandinRequest &request, const RequestTarget &target)
{
    if (request.method() == Http::verb::get && target.path() == "/standin/counters") {
        m_api.counters().connections = m_listener->accepted();
        return m_api.countersAnswer();
    }
    error_code error;
    json::value body = json::parse(request.body(), error);
    if (error || request.method() != Http::verb::post) {
        return plainReply(Http::status::bad_request);
    }
    if (target.path() == "/standin/faults" && body.is_object()) {
        m_api.setFaults(withChanges(m_api.faults(), body.get_object()));
        return plainReply(Http::status::ok, "{}");
    }
    if (target.path() == "/standin/hosts") {
        setHosts(std::move(body));
        return plainReply(Http::status::ok, "{}");
    }
    return plainReply(Http::status::not_found);
}

PlatformServer::PlatformServer(asio::io_context &context, PlatformServerOptions options)
    : m_state(std::make_shared<State>(context, std::move(options)))
{
    m_state->start();
}

PlatformServer::~PlatformServer()
{
    m_state->stop();
}

std::uint16_t PlatformServer::port() const
{
    return m_state->m_listener->port();
}

PlatformStore &PlatformServer::store()
{
    return m_state->m_api.store();
}

const PlatformCounters &PlatformServer::counters() const
{
    return m_state->counters();
}

PlatformFaults PlatformServer::faults() const
{
    return m_state->m_api.faults();
}

void PlatformServer::setFaults(const PlatformFaults &faults)
{
    m_state->m_api.setFaults(faults);
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
