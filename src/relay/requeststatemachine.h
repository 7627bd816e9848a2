#pragma once

// The state machine of one request, from its arrival to its single answer. Pure decision logic; performs no I/O.
//
// Events are method calls; each returns the actions to perform, in order. A session (relaycall.h) requests permits, opens connections,
// moves bytes and reports each event back.
//
//     Accepted -> AwaitPermit -> [AwaitClaim] -> Connecting -> Sent -> Streaming -> Ended
//                      ^                             |           |        |   ^
//                      +-------- retry --------------+-----------+        v   |
//                                                                      Resuming
//
// The point of no return of an attempt is firstByteWritten(). The session reports it just before it passes the first byte to the endpoint's
// socket, so a crash or a lost report can only make the state machine more cautious.
//
// Guarantees, for every sequence of events, including duplicate, late and reordered ones:
//   - exactly one Answer;
//   - a request that is not idempotent passes the point of no return at most once;
//   - NotRun is answered only if no byte was sent, or each endpoint that received one confirmed that it did not start;
//   - Completed is answered only after the end of a stream that began at its start and had no gap;
//   - every granted permit is released exactly once, including late grants, and none is used after it expired;
//   - after any part of the answer was delivered, another run starts only if the class is declared reproducible.
// Events carry the number of their connection, which was assigned in the action that opened it. Events of an earlier connection are
// ignored, so a late answer of an earlier attempt is never delivered.
//
// Claims: the permit is requested before the claim, so that a shed request does not use up its key. While claims are known to fail, the
// order is reversed (RequestRules::claimFirst), so that a request which cannot claim holds no capacity. If a claim fails while a permit is
// held, the permit is released and this request switches to the reversed order.

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
    bool outlivesCaller = false; ///< continues after the caller disconnects, since it may not be run again
    std::uint32_t maxFailures = 3; ///< limit of failed attempts, including the last one
    std::uint32_t maxResumes = 3; ///< limit of consecutive connections without a new token
    Duration claimUnderPermit = 2s; ///< longest a permit is held for a claim
    Duration refusedRetryAfter = 1s; ///< Retry-After of errors that have no better estimate
};

enum class RequestState : std::uint8_t {
    Accepted,
    AwaitClaim,
    AwaitPermit,
    Connecting, ///< a connection is being opened; no byte of this attempt was sent
    Sent, ///< past the point of no return; nothing received from the endpoint yet
    Streaming, ///< the endpoint began to answer
    Resuming, ///< a new connection requests the remainder of the stream
    Ended,
};

struct RequestPermit
{
    std::uint32_t attempt = 0;
    std::vector<EndpointId> avoid;
    std::uint32_t failures = 0; ///< failed attempts so far; the session waits longer after each
};
struct CancelTicket
{
    std::uint32_t attempt = 0;
};
struct MakeClaim
{
    Duration deadlineIn{};
};
/** Reports to the ledger how the request that holds the claim ended. */
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
/** Open a new connection and request the events after an offset. */
struct ResumeStream
{
    std::uint32_t attempt = 0;
    EndpointId endpoint;
    StreamOffset after = 0;
    ConnectionNumber connection = 0;
    std::uint32_t tries = 1; ///< consecutive ones without a new token; the session waits longer before each
};
struct DropConnection
{
    ConnectionNumber connection = 0;
};
/** The endpoint may still run this attempt although its answer is not needed: cancel it there and count the wasted tokens. */
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
/** A new run starts at offset 1. */
struct RestartStream
{
    bool verify = false; ///< retain the buffered events and compare the new run with them; otherwise clear them
};
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    RelayError error = RelayError::None;
    Duration retryAfter{};
    std::optional<ClaimAnswer> earlierClaim; ///< with ClaimRepeated
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
    /** @param budget must outlive this object  @param queueDeadline when the wait for a permit ends */
    RequestStateMachine(RequestRules rules, RetryBudget &budget, RetryAccount account, TimePoint queueDeadline);

    RequestActions start(TimePoint now);
    /** Called instead of start() to continue a stream that an endpoint holds for another host's attempt. Needs no permit. */
    RequestActions adopt(std::uint32_t attempt, const EndpointId &endpoint, StreamOffset after);
    RequestActions granted(const Grant &grant, TimePoint now);
    RequestActions refused(const Refusal &refusal);
    RequestActions claimAnswered(const ClaimAnswer &answer, TimePoint now);

    RequestActions connectFailed(ConnectionNumber connection);
    /** Reported before the first byte is sent. If the returned actions drop this connection, the session sends nothing. */
    RequestActions firstByteWritten(ConnectionNumber connection, TimePoint now);
    /** The endpoint confirmed that it did not start this attempt. */
    RequestActions refusedNotStarted(ConnectionNumber connection, Duration retryAfter);
    /** A failure response that does not show whether the request ran. */
    RequestActions endpointFailed(ConnectionNumber connection);
    /** The endpoint rejected the request as invalid. Every other endpoint would reject it too. */
    RequestActions endpointRejected(ConnectionNumber connection);
    /** The endpoint's answer began. */
    RequestActions answerBegan(ConnectionNumber connection);
    /** An event of the stream. An offset that was received before has no effect. */
    RequestActions token(ConnectionNumber connection, StreamOffset offset, TimePoint now);
    /** The end of the answer was received. @param held buffered events of all runs; a run that ends with fewer has diverged */
    RequestActions done(ConnectionNumber connection, StreamOffset held, std::uint32_t reusedPromptTokens);
    /** The connection ended early, or its stream had a gap. */
    RequestActions broken(ConnectionNumber connection);
    RequestActions silent(ConnectionNumber connection);
    /** The endpoint does not hold the stream to be resumed. */
    RequestActions streamMissing(ConnectionNumber connection);
    RequestActions diverged(ConnectionNumber connection);
    RequestActions answerTooLarge(ConnectionNumber connection);

    /** Part of the answer was passed to the caller's socket. */
    void delivered()
    {
        m_delivered = true;
    }
    RequestActions callerDisconnected();
    RequestActions preempted(std::uint32_t attempt);
    /** The queue deadline has passed. Has no effect on an attempt that was sent. */
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
    /** Known facts about the current attempt. */
    struct AttemptFacts
    {
        bool sent = false; ///< a byte was sent
        bool began = false; ///< the endpoint began to answer
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
    std::uint32_t m_resumes = 0; ///< consecutive ones without a new token
    ConnectionNumber m_connection = 0; ///< the last one opened
    bool m_connectionOpen = false;
    bool m_grantTaken = false; ///< the grant of the current attempt arrived
    bool m_permitHeld = false;
    EndpointId m_endpoint; ///< of the current attempt
    std::int32_t m_enginePriority = 0;
    TimePoint m_permitExpires; ///< the current attempt is not sent after this
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
