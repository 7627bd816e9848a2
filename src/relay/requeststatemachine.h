#pragma once

// The life of one request, from its arrival to its one answer, as a decision without I/O.
//
// Events go in as method calls, actions come out in the order in which they are to be done. A session
// (relaycore) asks for permits, opens connections, moves bytes and reports each event back.
//
//     Accepted -> AwaitPermit -> [AwaitClaim] -> Connecting -> Sent -> Streaming -> Ended
//                      ^                             |           |        |   ^
//                      +-------- retry --------------+-----------+        v   |
//                                                                      Resuming
//
// The point of no return of an attempt is firstByteWritten(): the session reports it just before it hands the
// first byte to the endpoint's socket, so a crash or a lost report can only make the life more careful.
//
// What it promises, over every sequence of events, doubled, late and out of order ones included:
//   - exactly one Answer;
//   - a request that is not idempotent passes the point of no return at most once;
//   - NotRun is answered only if no byte was handed over, or each endpoint that got one confirmed that it
//     did not start;
//   - Completed is answered only after the end of a stream that began at its start and had no gap;
//   - every granted permit is released exactly once, late grants included, and none is used after it expired;
//   - after something was delivered, another run starts only where the class is declared reproducible.
// Events name the connection they came over (its number is in the action that opened it); those of an
// earlier connection are ignored, so a late answer of an earlier attempt reaches nobody.
//
// Claims: the permit comes first and the claim after it, so that a shed request does not use up its key.
// While claims are known to fail the order is the other way round (RequestRules::claimFirst), so that a request
// which cannot claim holds no capacity. A claim that fails under a permit gives the permit back and turns
// the order for this request.

#include "arbiter/permit.h"
#include "ledger/claim.h"
#include "relay/gapquantile.h"
#include "relay/outcome.h"
#include "relay/retrybudget.h"
#include "relay/streambuffer.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Rhubarbwind
{

/** Numbers the connections to endpoints of one request, from 1. */
using ConnectionNumber = std::uint32_t;

struct RequestRules
{
    bool idempotent = true;
    bool reproducible = false;
    bool resumable = true; ///< the endpoint holds streams by id: an engine, not a plain service
    bool claimed = false; ///< an at-most-once claim must be granted before dispatch
    bool claimFirst = false; ///< claim before the permit, while claims are known to fail
    bool outlivesCaller = false; ///< goes on when the caller has gone, since it may not be run again
    std::uint32_t maxFailures = 3; ///< attempts that failed, the last one included
    std::uint32_t maxResumes = 3; ///< connections in a row that brought no new token
    Duration claimUnderPermit = 2s; ///< longest a permit is held for a claim
    Duration refusedRetryAfter = 1s; ///< told with errors that have no better estimate
};

enum class RequestState : std::uint8_t {
    Accepted,
    AwaitClaim,
    AwaitPermit,
    Connecting, ///< a connection is being opened; no byte of this attempt was handed over
    Sent, ///< past the point of no return; no sign from the endpoint yet
    Streaming, ///< the endpoint began to answer
    Resuming, ///< a new connection asks for the rest of the stream
    Ended,
};

struct RequestPermit
{
    std::uint32_t attempt = 0;
    std::vector<EndpointId> avoid;
    std::uint32_t failures = 0; ///< attempts that failed so far; the session waits longer after each
};
struct CancelTicket
{
    std::uint32_t attempt = 0;
};
struct MakeClaim
{
    Duration deadlineIn{};
};
/** Tells the ledger how the request that holds the claim ended. */
struct FinishClaim
{
    ClaimState state = ClaimState::Unknown;
    bool unused = false; ///< nothing was run under the claim
};
/** Open a new connection and send the request. */
struct Dispatch
{
    std::uint32_t attempt = 0;
    EndpointId endpoint;
    std::int32_t enginePriority = 0;
    ConnectionNumber connection = 0;
};
/** Open a new connection and ask the endpoint for the events after an offset. */
struct ResumeStream
{
    std::uint32_t attempt = 0;
    EndpointId endpoint;
    StreamOffset after = 0;
    ConnectionNumber connection = 0;
    std::uint32_t tries = 1; ///< in a row without a new token; the session waits longer before each
};
struct DropConnection
{
    ConnectionNumber connection = 0;
};
/** The endpoint may still run this attempt in vain: tell it to stop, and count what it wasted. */
struct CancelAtEndpoint
{
    std::uint32_t attempt = 0;
    EndpointId endpoint;
    std::uint32_t tokens = 0; ///< received from this attempt
};
struct ReleasePermit
{
    std::uint32_t attempt = 0;
    EndpointId endpoint;
    ReleaseKind kind = ReleaseKind::Unused;
    Duration firstToken{};
    Duration meanInterToken{};
    std::uint32_t tokens = 0;
    std::uint32_t reusedPromptTokens = 0;
    Duration slowInterToken{}; ///< 95th percentile
};
/** A run starts over at offset 1. */
struct RestartStream
{
    bool verify = false; ///< keep what is held and check the new run against it; otherwise forget it
};
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    RelayError error = RelayError::None;
    Duration retryAfter{};
    std::optional<ClaimAnswer> earlier; ///< with ClaimRepeated
};

using RequestAction = std::variant<RequestPermit,
                                   CancelTicket,
                                   MakeClaim,
                                   FinishClaim,
                                   Dispatch,
                                   ResumeStream,
                                   DropConnection,
                                   CancelAtEndpoint,
                                   ReleasePermit,
                                   RestartStream,
                                   Answer>;
using RequestActions = std::vector<RequestAction>;

class RequestStateMachine
{
public:
    /** @param budget outlives this  @param queueDeadline when the wait for a permit ends */
    RequestStateMachine(RequestRules rules, RetryBudget &budget, RetryAccount account, TimePoint queueDeadline);

    RequestActions start(TimePoint now);
    /** In place of start(): goes on with a stream that an endpoint holds for another host's attempt. Needs no permit. */
    RequestActions adopt(std::uint32_t attempt, const EndpointId &endpoint, StreamOffset after);
    RequestActions granted(const Grant &grant, TimePoint now);
    RequestActions refused(const Refusal &refusal);
    RequestActions claimAnswered(const ClaimAnswer &answer, TimePoint now);

    RequestActions connectFailed(ConnectionNumber connection);
    /** Reported before the first byte goes out; the session sends nothing if this connection is dropped in return. */
    RequestActions firstByteWritten(ConnectionNumber connection, TimePoint now);
    /** The endpoint confirmed that it did not start this attempt. */
    RequestActions refusedNotStarted(ConnectionNumber connection, Duration retryAfter);
    /** A failed answer that proves nothing. */
    RequestActions endpointFailed(ConnectionNumber connection);
    /** The endpoint turned the request down as wrong, which no other endpoint would do otherwise. */
    RequestActions endpointRejected(ConnectionNumber connection);
    /** The endpoint's answer began. */
    RequestActions answerBegan(ConnectionNumber connection);
    /** An event of the stream; one that came before has no effect. */
    RequestActions token(ConnectionNumber connection, StreamOffset offset, TimePoint now);
    /** The end of the answer came. @param held events held of all runs; a run that ends below them diverged */
    RequestActions done(ConnectionNumber connection, StreamOffset held, std::uint32_t reusedPromptTokens);
    /** The connection ended early, or its stream had a gap. */
    RequestActions broken(ConnectionNumber connection);
    RequestActions silent(ConnectionNumber connection);
    /** The endpoint does not hold the stream that was to be resumed. */
    RequestActions streamMissing(ConnectionNumber connection);
    RequestActions diverged(ConnectionNumber connection);
    RequestActions answerTooLarge(ConnectionNumber connection);

    /** Something of the answer was handed to the caller's socket. */
    void delivered()
    {
        m_delivered = true;
    }
    RequestActions callerDisconnected();
    RequestActions preempted(std::uint32_t attempt);
    /** The queue deadline has come. Has no effect on an attempt that was sent. */
    RequestActions deadline();

    RequestState state() const
    {
        return m_state;
    }
    std::uint32_t attempt() const
    {
        return m_attempt;
    }
    bool ended() const
    {
        return m_state == RequestState::Ended;
    }

private:
    /** What is known of the attempt in hand. */
    struct AttemptFacts
    {
        bool sent = false; ///< a byte was handed over
        bool began = false; ///< the endpoint showed that it runs it
        bool confirmedNotStarted = false;
        StreamOffset tokens = 0;
        TimePoint sentAt;
        TimePoint firstTokenAt;
        TimePoint lastTokenAt;
        GapQuantile gaps;
        std::uint32_t reusedPromptTokens = 0;
    };

    bool isCurrent(ConnectionNumber connection) const;
    void requestPermit(RequestActions &actions);
    void dispatch(RequestActions &actions);
    void resumeOrFail(RelayError why, RequestActions &actions);
    void failAttempt(RelayError why, ReleaseKind kind, Duration retryAfter, RequestActions &actions);
    bool takeRetry();
    void closeAttempt(ReleaseKind kind, RequestActions &actions);
    void release(ReleaseKind kind, RequestActions &actions);
    void end(RelayError error, Duration retryAfter, RequestActions &actions);
    Outcome failureOutcome() const;
    bool mayRunAgain() const;

    RequestRules m_rules;
    RetryBudget &m_budget;
    RetryAccount m_account;
    TimePoint m_queueDeadline;
    RequestState m_state = RequestState::Accepted;
    std::uint32_t m_attempt = 0;
    std::uint32_t m_failures = 0;
    std::uint32_t m_resumes = 0; ///< in a row without a new token
    ConnectionNumber m_connection = 0; ///< the last one opened
    bool m_connectionOpen = false;
    bool m_grantTaken = false; ///< the grant of the attempt in hand came
    bool m_permitHeld = false;
    EndpointId m_endpoint; ///< of the attempt in hand
    std::int32_t m_enginePriority = 0;
    TimePoint m_permitExpires; ///< no byte of the attempt in hand goes out after it
    AttemptFacts m_facts;
    std::vector<EndpointId> m_avoid;
    bool m_claimGranted = false;
    bool m_everSent = false;
    bool m_everBegan = false;
    bool m_mayHaveRun = false; ///< an earlier attempt was sent and not confirmed as not started
    bool m_delivered = false;
    bool m_deadlinePassed = false;
};

} // namespace Rhubarbwind
