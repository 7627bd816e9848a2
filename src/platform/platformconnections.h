#pragma once

// All of a host's calls to the platform go through one PlatformConnections: a small pool of keep-alive
// connections, bounded queues, one time limit a call, and the host's part of the platform's rates.
//
// Watches have their own number of connections, so that watches that wait, or went silent, never delay other
// calls. A call ends in one typed result at the latest `callTimeout` after it got a connection; one that found
// no connection in that time ends Unreachable, since nothing of it was sent. Reads that failed on a connection
// which had been idle are tried once more on a fresh one; writes never are.
//
// Bounds: maxConnections + maxWatches sockets, maxQueued waiting calls, maxAnswerBytes an answer.

#include "base/sessiontimer.h"
#include "platform/clientexchange.h"
#include "platform/platformbudget.h"

#include <deque>
#include <memory>
#include <vector>

namespace Rhubarbwind
{

struct PlatformOptions
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    Duration callTimeout = 2s; ///< the platform answers in milliseconds; beyond this it counts as lost
    Duration watchGrace = 1s; ///< a watch silent for its wait and this long counts as lost
    Duration idleLimit = 5s; ///< a connection idle for longer is not used again
    std::size_t maxConnections = 8;
    std::size_t maxWatches = 8;
    std::size_t maxQueued = 256;
    std::size_t maxAnswerBytes = 32'000'000; ///< of a listing; single values are at most 1 MB
    PlatformRates rates;
};

using AnswerHandler = PlatformHandler<HttpAnswer>;

template <Clock ClockType>
class PlatformConnections : public std::enable_shared_from_this<PlatformConnections<ClockType>>
{
public:
    PlatformConnections(boost::asio::any_io_executor executor, PlatformOptions options);

    /** @param wait for watches: how long the platform may hold the call. The handler is called once, never from within. */
    void call(CallKind kind, HttpCall call, Duration wait, AnswerHandler handler);

    /** Ends all calls; further ones end Unreachable. */
    void close();

private:
    using Exchange = ClientExchange<ClockType>;
    struct Pending
    {
        CallKind kind = CallKind::Read;
        HttpCall call;
        Duration limit{};
        TimePoint startBy;
        AnswerHandler handler;
        bool retried = false;
    };

    void failLater(AnswerHandler handler, PlatformErrorKind kind);
    bool hasRoom(CallKind kind) const;
    void startQueued();
    void dropExpired(TimePoint now);
    void start(Pending pending);
    void onExchanged(const std::shared_ptr<Exchange> &exchange, bool reused, Pending pending, Result<HttpAnswer, ExchangeError> result);
    std::shared_ptr<Exchange> takeIdle(TimePoint now);

    boost::asio::any_io_executor m_executor;
    PlatformOptions m_options;
    PlatformBudget m_budget;
    std::deque<Pending> m_queue;
    std::vector<std::shared_ptr<Exchange>> m_idle;
    std::vector<std::shared_ptr<Exchange>> m_busy;
    std::size_t m_busyCalls = 0;
    std::size_t m_busyWatches = 0;
    bool m_closed = false;
};

} // namespace Rhubarbwind
