#pragma once

// Tells the end of an endpoint from the end of one connection to it.
//
// A request's connection breaks off when its endpoint ends, but also when the endpoint hangs up on this one request, when a
// link harms it, or when this host's own connections are reset. Only the first says anything about the requests that ran there. So a break
// is looked at a moment later: where another connection that stood before it still stands, the endpoint lives, and nothing is
// sent. Otherwise one connection is opened: refused, the endpoint's process has ended; accepted, it lives, and the connection is
// kept for the next request; without an answer, the host can't tell (a machine without power, a cut link), and nobody is blamed.
//
// All requests that broke off meanwhile are told together. Their number is bounded; beyond it the latest are left out.
//
// Cost: nothing without breaks; at most one connection an endpoint for each batch of them.

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

/** A request whose endpoint had it when its connection broke off. */
struct BrokenSend
{
    RequestId attempt;
    CustomerId customer;
    RequestIdentity identity;
    std::uint64_t shape = 0;
    TimePoint sentAt;
    bool completedLately = false; ///< the same request, at this host
    friend bool operator==(const BrokenSend &, const BrokenSend &) = default;
};

enum class BreakResult : std::uint8_t {
    Ended, ///< the endpoint's process
    Lives, ///< only connections broke
    Unknown, ///< it does not answer
};

std::string_view nameOf(BreakResult verdict);

/** What the verdict rests on. */
enum class BreakEvidence : std::uint8_t {
    OtherStands, ///< another connection
    Accepted, ///< a new one
    Refused,
    NoAnswer, ///< or this host could not ask
};

std::string_view nameOf(BreakEvidence evidence);

struct EndpointBreak
{
    BoardEndpoint endpoint; ///< as it was listed when the connection broke
    TimePoint at; ///< of the first break
    BreakResult verdict = BreakResult::Unknown;
    BreakEvidence evidence = BreakEvidence::NoAnswer;
    std::size_t endpoints = 1; ///< of its service, then
    std::vector<BrokenSend> sends;
};

class CrashDetector
{
public:
    using Handler = std::function<void(const EndpointBreak &)>;
    /** Whether a connection to the endpoint that stood at that time still stands. */
    using SeenAlive = std::function<bool(const EndpointId &, TimePoint)>;

    explicit CrashDetector(boost::asio::io_context &io)
        : m_io(io)
    {
    }

    void onVerdict(Handler handler)
    {
        m_onVerdict = std::move(handler);
    }
    void setSeenAlive(SeenAlive seenAlive)
    {
        m_seenAlive = std::move(seenAlive);
    }

    /** @param endpoints of its service */
    void broke(const BoardEndpoint &endpoint, std::size_t endpoints, const BrokenSend &send, TimePoint now);
    /** To be called some forty times a second. */
    void tick(TimePoint now, ConnectionPool &pool);
    void stop();
    std::size_t size() const
    {
        return m_breaks.size();
    }

private:
    struct Watched
    {
        EndpointBreak seen;
        std::shared_ptr<EndpointConnection> question; ///< null until it is asked
        TimePoint askedAt{};
        std::optional<ConnectEnd> answer;
    };

    void ask(Watched &watched, TimePoint now);
    std::optional<BreakEvidence> evidenceOf(Watched &watched, TimePoint now);

    boost::asio::io_context &m_io;
    std::map<EndpointId, std::shared_ptr<Watched>> m_breaks;
    Handler m_onVerdict;
    SeenAlive m_seenAlive;
};

} // namespace Rhubarbwind
