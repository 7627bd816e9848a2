#pragma once

// A plain service stand-in: `POST /{path}` works for a while and answers once; a few workers, a bounded queue.
//
// The answer repeats the marker's id, a digest of the body and the run's number, so that a caller knows its own
// answer and a second run of one request shows. Faults as in engineserver.h: straggler, refuse, draining,
// silence, crash, lose_answers; counters likewise.

#include "base/clock.h"
#include "base/random.h"
#include "base/sessiontimer.h"
#include "standins/runcounters.h"
#include "standins/standinhttp.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace Rhubarbwind
{

struct ServiceOptions
{
    std::string name = "service";
    boost::asio::ip::tcp::endpoint listen;
    std::uint32_t workers = 8;
    std::size_t queueLimit = 64;
    Duration meanWork = 50ms; ///< exponentially distributed, at most ten times the mean
    std::uint64_t seed = 1;
    std::string countersFile; ///< as in EngineServerOptions
    std::function<void()> crash;
};

template <Clock ClockType>
class ServiceServer : public std::enable_shared_from_this<ServiceServer<ClockType>>
{
public:
    ServiceServer(boost::asio::io_context &context, ServiceOptions options);

    void start();
    /** Refuses new requests and calls `done` when the last one has been answered. */
    void drain(std::function<void()> done);
    std::uint16_t port() const
    {
        return m_listener->port();
    }

private:
    using ConnectionPointer = std::shared_ptr<StandinConnection>;

    struct Job
    {
        ConnectionPointer connection;
        std::string path;
        std::string markerId;
        std::string digest;
    };

    void handle(const StandinRequest &request, const ConnectionPointer &connection);
    void handleJob(const StandinRequest &request, const ConnectionPointer &connection);
    void handleFaults(const StandinRequest &request, const ConnectionPointer &connection);
    void startJobs();
    void finishJob(const Job &job);
    void crash();
    StandinHeaders headers() const;

    boost::asio::io_context &m_context;
    ServiceOptions m_options;
    Random m_random;
    RunCounters m_counters;
    std::shared_ptr<StandinListener> m_listener;
    std::deque<Job> m_queue;
    std::uint32_t m_running = 0;
    double m_straggler = 1.0;
    bool m_refuse = false;
    bool m_draining = false;
    std::uint32_t m_loseAnswers = 0;
    std::function<void()> m_drained;
};

extern template class ServiceServer<SteadyClock>;
extern template class ServiceServer<ManualClock>;

} // namespace Rhubarbwind
