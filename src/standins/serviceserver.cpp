#include "standins/serviceserver.h"

#include "standins/answertext.h"
#include "telemetry/log.h"

#include <algorithm>
#include <cmath>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;

/** The exponential's tail is cut here, so that a drain is bounded. */
constexpr double longestWork = 10.0;
const Log serviceLog{LogPart::StandIn};

} // namespace

template <Clock ClockType>
ServiceServer<ClockType>::ServiceServer(boost::asio::io_context &context, ServiceOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_listener = std::make_shared<StandinListener>(context, m_options.listen);
}

template <Clock ClockType>
void ServiceServer<ClockType>::start()
{
    m_listener->start([weak = this->weak_from_this()](const StandinRequest &request, const ConnectionPointer &connection) {
        if (const std::shared_ptr<ServiceServer> self = weak.lock()) {
            self->handle(request, connection);
        }
    });
}

template <Clock ClockType>
void ServiceServer<ClockType>::drain(std::function<void()> done)
{
    m_draining = true;
    m_drained = std::move(done);
    startJobs();
}

template <Clock ClockType>
void ServiceServer<ClockType>::handle(const StandinRequest &request, const ConnectionPointer &connection)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (target == "/v1/load") {
        connection->reply(jsonReply(
            Http::status::ok, boost::json::object{{"running", m_running}, {"waiting", m_queue.size()}, {"draining", m_draining}, {"age_ms", 0}}, headers()));
    } else if (target == "/standin/counters") {
        connection->reply(jsonReply(Http::status::ok, m_counters.toJson(), headers()));
    } else if (target == "/standin/faults") {
        handleFaults(request, connection);
    } else if (request.method() == Http::verb::post) {
        handleJob(request, connection);
    } else {
        connection->reply(errorReply(Http::status::not_found, "no such path", headers()));
    }
}

template <Clock ClockType>
void ServiceServer<ClockType>::handleJob(const StandinRequest &request, const ConnectionPointer &connection)
{
    if (m_refuse || m_draining || m_queue.size() >= m_options.queueLimit) {
        StandinHeaders refused = headers();
        refused.emplace_back("X-Not-Started", "true");
        m_counters.countRefused();
        connection->reply(errorReply(Http::status::service_unavailable, "not taking work", std::move(refused)));
        return;
    }
    Job job;
    job.connection = connection;
    job.path = std::string(request.target().data(), request.target().size());
    job.markerId = readMarker(request.body()).id;
    job.digest = digestHex(answerKey(request.body(), {}, {}).promptDigest);
    m_queue.push_back(std::move(job));
    startJobs();
}

template <Clock ClockType>
void ServiceServer<ClockType>::startJobs()
{
    while (!m_queue.empty() && m_running < m_options.workers) {
        Job job = std::move(m_queue.front());
        m_queue.pop_front();
        ++m_running;
        m_counters.countRun(job.markerId);
        const double work = std::min(longestWork, -std::log(1.0 - m_random.uniform())) * m_straggler;
        const std::shared_ptr<SessionTimer<ClockType>> timer = std::make_shared<SessionTimer<ClockType>>(m_context);
        timer->expires_at(ClockType::now() + fromSeconds(work * toSeconds(m_options.meanWork)));
        timer->async_wait([self = this->shared_from_this(), timer, job = std::move(job)](const boost::system::error_code &) { self->finishJob(job); });
    }
    if (m_drained && m_running == 0 && m_queue.empty()) {
        const std::function<void()> done = std::exchange(m_drained, nullptr);
        done();
    }
}

template <Clock ClockType>
void ServiceServer<ClockType>::finishJob(const Job &job)
{
    --m_running;
    m_counters.countGenerated(job.markerId, 1);
    if (m_loseAnswers > 0) {
        --m_loseAnswers;
        job.connection->drop();
    } else {
        const boost::json::object body{{"service", m_options.name}, {"path", job.path}, {"id", job.markerId}, {"digest", job.digest}};
        m_counters.countDelivered(1);
        job.connection->reply(jsonReply(Http::status::ok, body, headers()));
    }
    startJobs();
}

template <Clock ClockType>
void ServiceServer<ClockType>::handleFaults(const StandinRequest &request, const ConnectionPointer &connection)
{
    const std::optional<boost::json::object> body = parseObject(request.body());
    if (!body) {
        connection->reply(errorReply(Http::status::bad_request, "not a fault", headers()));
        return;
    }
    m_straggler = std::max(0.01, numberMember(*body, "straggler", m_straggler));
    m_refuse = flagMember(*body, "refuse", m_refuse);
    m_draining = flagMember(*body, "draining", m_draining);
    m_loseAnswers = static_cast<std::uint32_t>(numberMember(*body, "lose_answers", m_loseAnswers));
    const std::size_t silenced = flagMember(*body, "silence", false) ? m_listener->silenceOpen(connection.get()) : 0;
    serviceLog.info(m_options.name + ": fault set, " + std::to_string(silenced) + " connections silenced");
    if (flagMember(*body, "crash", false)) {
        crash();
    }
    connection->reply(jsonReply(Http::status::ok, boost::json::object{{"silenced", silenced}}));
}

template <Clock ClockType>
void ServiceServer<ClockType>::crash()
{
    serviceLog.warn(m_options.name + ": crashing as told");
    m_counters.writeTo(m_options.countersFile);
    m_options.crash();
}

template <Clock ClockType>
StandinHeaders ServiceServer<ClockType>::headers() const
{
    StandinHeaders headers;
    if (m_draining) {
        headers.emplace_back("X-Draining", "true");
    }
    return headers;
}

template class ServiceServer<SteadyClock>;
template class ServiceServer<ManualClock>;

} // namespace Rhubarbwind
