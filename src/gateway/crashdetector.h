#pragma once

// Distinguishes a crashed endpoint from a broken connection.
//
// A request's connection breaks when its endpoint crashes, but also when the endpoint drops this one request, when a network link fails, or when this
// host's own connections are reset. Only a crash says anything about the requests that ran on the endpoint. So each break is checked a moment later. If
// another connection that was open before the break is still open, the endpoint is alive and nothing is sent. Otherwise a probe connection is opened:
//   - refused: the endpoint's process has ended;
//   - accepted: the endpoint is alive, and the connection goes to the pool for the next request;
//   - no answer: the host can't tell (a machine without power, a cut link), and the failure is attributed to no request.
//
// All requests whose connections broke meanwhile are reported together. Their number is bounded; the latest ones beyond the bound are dropped.
//
// Cost: nothing without breaks; at most one connection per endpoint and batch of breaks.

#include "base/time.h"
#include "gateway/connectionpool.h"
#include "placing/endpointboard.h"
#include "quarantine/requestidentity.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <vector>

namespace Rhubarbwind
{

/** A request that had been sent to an endpoint when the connection broke. */
struct BrokenSend
{
    RequestId attempt;
    CustomerId customer;
    RequestIdentity identity;
    std::uint64_t shape = 0;
    TimePoint sentAt;
    bool completedRecently = false; ///< this host has recently completed the same request
    friend bool operator==(const BrokenSend &, const BrokenSend &) = default;
};

enum class BreakResult : std::uint8_t {
    Ended, ///< the endpoint's process has ended
    Lives, ///< only connections broke
    Unknown, ///< the endpoint does not answer
};

std::string_view nameOf(BreakResult result);

/** What a BreakResult is based on. */
enum class BreakEvidence : std::uint8_t {
    OtherConnectionOpen, ///< a connection from before the break is open
    Accepted, ///< the probe connection was accepted
    Refused,
    NoAnswer, ///< or this host could not open a connection
};

std::string_view nameOf(BreakEvidence evidence);

struct EndpointBreak
{
    BoardEndpoint endpoint; ///< as listed when the connection broke
    TimePoint at; ///< time of the first break
    BreakResult result = BreakResult::Unknown;
    BreakEvidence evidence = BreakEvidence::NoAnswer;
    std::size_t endpoints = 1; ///< endpoints of its service at that time
    std::vector<BrokenSend> sends;
};

class CrashDetector
{
public:
    using Handler = std::function<void(const EndpointBreak &)>;
    /** Returns whether a connection to the endpoint that was open at that time is still open. */
    using AliveCheck = std::function<bool(const EndpointId &, TimePoint)>;

    explicit CrashDetector(boost::asio::io_context &io)
        : m_io(io)
    {
    }

    void onResult(Handler handler)
    {
        m_onResult = std::move(handler);
    }
    void setAliveCheck(AliveCheck seenAlive)
    {
        m_aliveCheck = std::move(seenAlive);
    }

    /** @param endpoints number of endpoints of its service */
    void reportBreak(const BoardEndpoint &endpoint, std::size_t endpoints, const BrokenSend &send, TimePoint now);
    /** Call about forty times a second. */
    void tick(TimePoint now, ConnectionPool &pool);
    void stop();
    std::size_t size() const
    {
        return m_breaks.size();
    }

private:
    struct PendingBreak
    {
        EndpointBreak seen;
        std::shared_ptr<EndpointConnection> probe; ///< null until the probe starts
        TimePoint probedAt{};
        std::optional<ConnectEnd> answer;
    };

    void startProbe(PendingBreak &pending, TimePoint now);
    std::optional<BreakEvidence> evidenceOf(PendingBreak &pending, TimePoint now);

    boost::asio::io_context &m_io;
    std::map<EndpointId, std::shared_ptr<PendingBreak>> m_breaks;
    Handler m_onResult;
    AliveCheck m_aliveCheck;
};

} // namespace Rhubarbwind
