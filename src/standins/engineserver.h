#pragma once

// A model engine stand-in on a socket: docs/PLATFORM.md's "Model engine" around an EngineModel.
//
// Beside the contract it answers `POST /standin/faults` and `GET /standin/counters`. Faults, any of:
//
//     {"straggler": 3.0}            every step takes three times as long
//     {"refuse": true}              new runs get 503 with X-Not-Started
//     {"draining": true}            as an engine that is leaving
//     {"silence": true}             connections open now never move another byte; new ones work
//     {"crash": true}               the process ends at once
//     {"crash_after_tokens": 500}   the process ends in the middle of its streams
//     {"lose_answers": 2}           the next runs start, but their connections close without an answer
//
// Before it ends by a fault it writes its counters to `countersFile`, so that runs it made are not lost to the
// load tool's checks.

#include "base/clock.h"
#include "base/sessiontimer.h"
#include "standins/enginemodel.h"
#include "standins/runcounters.h"
#include "standins/standinhttp.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

struct EngineServerOptions
{
    std::string name = "engine";
    boost::asio::ip::tcp::endpoint listen;
    EngineOptions engine;
    EngineDuty duty;
    std::string countersFile; ///< empty: none
    std::function<void()> crash; ///< how the process ends by a fault
};

template <Clock ClockType>
class EngineServer : public std::enable_shared_from_this<EngineServer<ClockType>>
{
public:
    EngineServer(boost::asio::io_context &context, EngineServerOptions options);

    void start();
    /** Refuses new runs and calls `done` when the last stream has ended. */
    void drain(std::function<void()> done);
    std::uint16_t port() const
    {
        return m_listener->port();
    }

private:
    using ConnectionPointer = std::shared_ptr<StandinConnection>;

    /** A caller that reads a run's stream. */
    struct Reader
    {
        ConnectionPointer connection;
        std::uint32_t next = 1; ///< the token it gets next
        bool streams = true; ///< false: waits for the whole answer
    };

    void handle(const StandinRequest &request, const ConnectionPointer &connection);
    void handleRun(const StandinRequest &request, const ConnectionPointer &connection);
    void handleResume(const StandinRequest &request, const std::string &id, const ConnectionPointer &connection);
    void handleCancel(const std::string &id, const ConnectionPointer &connection);
    void handleOrder(const StandinRequest &request, const ConnectionPointer &connection);
    void handleFaults(const StandinRequest &request, const ConnectionPointer &connection);
    StandinReply loadReply() const;
    /** RunCounters::toJson() and what runs and waits at this moment. */
    StandinReply countersReply() const;
    StandinReply stateReply() const;
    StandinReply cacheEventsReply(std::string_view target) const;
    StandinReply refusalReply(EngineRefusal refusal) const;

    void advance();
    void schedule();
    void deliver(const EngineToken &token);
    /** Sends what the reader lacks up to token `upTo`; false when it needs no more or is gone. */
    bool sendTokens(const EngineRun &run, Reader &reader, std::uint32_t upTo);
    StandinReply wholeReply(const EngineRun &run) const;
    std::string eventText(const EngineRun &run, std::uint32_t number) const;
    StandinHeaders headers() const;
    void crash();

    EngineServerOptions m_options;
    EngineModel m_model;
    RunCounters m_counters;
    std::shared_ptr<StandinListener> m_listener;
    SessionTimer<ClockType> m_timer;
    std::unordered_map<std::string, std::vector<Reader>> m_readers;
    std::uint64_t m_anonymous = 0;
    std::uint32_t m_loseAnswers = 0;
    std::uint64_t m_crashAfterTokens = 0;
    std::function<void()> m_drained;
};

extern template class EngineServer<SteadyClock>;
extern template class EngineServer<ManualClock>;

} // namespace Rhubarbwind
