// One explicit state and a few facts. The outcome is not a state: failureOutcome() derives it from the facts when the request ends, so no
// path can report more than is known.

#include "relay/requeststatemachine.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

RelayError errorOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::DeadlinePassed:
        return RelayError::DeadlinePassed;
    case RefusalReason::Hopeless:
        return RelayError::Hopeless;
    case RefusalReason::QueueFull:
        return RelayError::QueueFull;
    case RefusalReason::UnknownClass:
        return RelayError::ClassUnknown;
    case RefusalReason::NoEndpoint:
        return RelayError::NoEndpoint;
    }
    return RelayError::NoEndpoint;
}

ClaimState claimStateOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return ClaimState::Completed;
    case Outcome::FailedAfterStart:
        return ClaimState::FailedAfterStart;
    case Outcome::NotRun:
    case Outcome::Unknown:
        return ClaimState::Unknown;
    }
    return ClaimState::Unknown;
}

// The repeat itself did not run, but to its caller both are one request, identified by the key. So it gets the outcome of the request that
// holds the claim.
Outcome outcomeOf(ClaimState state)
{
    switch (state) {
    case ClaimState::Completed:
        return Outcome::Completed;
    case ClaimState::FailedAfterStart:
        return Outcome::FailedAfterStart;
    case ClaimState::InProgress:
    case ClaimState::Unknown:
        return Outcome::Unknown;
    }
    return Outcome::Unknown;
}

} // namespace

RequestStateMachine::RequestStateMachine(RequestRules rules, RetryBudget &budget, RetryAccount account, TimePoint queueDeadline)
    : m_rules(rules)
    , m_budget(budget)
    , m_account(std::move(account))
    , m_queueDeadline(queueDeadline)
{
}

RequestActions RequestStateMachine::start(TimePoint now)
{
    RequestActions actions;
    if (m_state != RequestState::Accepted) {
        return actions;
    }
    if (m_rules.claimed && m_rules.claimFirst) {
        m_state = RequestState::AwaitClaim;
        actions.push_back(MakeClaim{m_queueDeadline - now});
    } else {
        requestPermit(actions);
    }
    return actions;
}

RequestActions RequestStateMachine::adopt(std::uint32_t attempt, const EndpointId &endpoint, StreamOffset after)
{
    RequestActions actions;
    if (m_state != RequestState::Accepted) {
        return actions;
    }
    m_attempt = attempt;
    m_endpoint = endpoint;
    m_facts.sent = true;
    m_facts.began = true;
    m_facts.tokens = after;
    m_everSent = true;
    m_everBegan = true;
    m_delivered = true;
    m_connection = 1;
    m_connectionOpen = true;
    m_state = RequestState::Resuming;
    actions.push_back(ResumeStream{attempt, endpoint, after, m_connection, 1});
    return actions;
}

RequestActions RequestStateMachine::granted(const Grant &grant, TimePoint now)
{
    RequestActions actions;
    if (m_state != RequestState::AwaitPermit || grant.id.attempt != m_attempt) {
        // The grant of a ticket that was cancelled in the meantime is released at once. A duplicate grant is already released or in use,
        // and a second release would free a slot that is in use.
        if (grant.id.attempt == m_attempt && !m_grantTaken) {
            m_grantTaken = true;
            actions.push_back(ReleasePermit{m_attempt, grant.endpoint, ReleaseKind::Unused, {}, {}, 0, 0, {}});
        }
        return actions;
    }
    m_grantTaken = true;
    m_permitHeld = true;
    m_endpoint = grant.endpoint;
    m_enginePriority = grant.enginePriority;
    m_permitExpires = now + grant.expiresIn;
    if (m_rules.claimed && !m_claimGranted) {
        m_state = RequestState::AwaitClaim;
        actions.push_back(MakeClaim{std::min({m_rules.claimUnderPermit, grant.expiresIn, m_queueDeadline - now})});
    } else {
        dispatch(actions);
    }
    return actions;
}

RequestActions RequestStateMachine::refused(const Refusal &refusal)
{
    RequestActions actions;
    if (m_state == RequestState::AwaitPermit && refusal.id.attempt == m_attempt) {
        end(errorOf(refusal.reason), refusal.retryAfter, actions);
    }
    return actions;
}

RequestActions RequestStateMachine::claimAnswered(const ClaimAnswer &answer, TimePoint now)
{
    RequestActions actions;
    if (m_state != RequestState::AwaitClaim) {
        if (ended() && m_rules.claimed && !m_claimGranted && answer.result == ClaimResult::Granted) {
            m_claimGranted = true;
            actions.push_back(FinishClaim{ClaimState::Unknown, true});
        }
        return actions;
    }
    if (answer.result == ClaimResult::Granted) {
        m_claimGranted = true;
        if (m_permitHeld) {
            dispatch(actions);
        } else {
            requestPermit(actions);
        }
        return actions;
    }
    if (answer.result == ClaimResult::Repeated) {
        release(ReleaseKind::Unused, actions);
        m_state = RequestState::Ended;
        actions.push_back(Answer{outcomeOf(answer.state), RelayError::ClaimRepeated, {}, answer});
        return actions;
    }
    const bool underPermit = m_permitHeld;
    release(ReleaseKind::Unused, actions);
    if (underPermit && now < m_queueDeadline) {
        actions.push_back(MakeClaim{m_queueDeadline - now});
        return actions;
    }
    end(RelayError::ClaimUnavailable, m_rules.refusedRetryAfter, actions);
    return actions;
}

RequestActions RequestStateMachine::connectFailed(ConnectionNumber connection)
{
    RequestActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    if (m_state == RequestState::Resuming) {
        resumeOrFail(RelayError::EndpointUnreachable, actions);
    } else if (m_state == RequestState::Connecting) {
        failAttempt(RelayError::EndpointUnreachable, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
    }
    return actions;
}

RequestActions RequestStateMachine::firstByteWritten(ConnectionNumber connection, TimePoint now)
{
    RequestActions actions;
    if (!isCurrent(connection) || m_state != RequestState::Connecting) {
        return actions;
    }
    if (now > m_permitExpires) {
        // The arbiter has given the slot to another request by now, so sending would overload the endpoint.
        closeAttempt(ReleaseKind::Unused, actions);
        requestPermit(actions);
        return actions;
    }
    m_state = RequestState::Sent;
    m_facts.sent = true;
    m_facts.sentAt = now;
    m_everSent = true;
    return actions;
}

RequestActions RequestStateMachine::refusedNotStarted(ConnectionNumber connection, Duration retryAfter)
{
    RequestActions actions;
    if (!isCurrent(connection) || m_state != RequestState::Sent) {
        return actions;
    }
    m_facts.confirmedNotStarted = true;
    failAttempt(RelayError::EndpointRefused, ReleaseKind::EndpointRefused, retryAfter, actions);
    return actions;
}

RequestActions RequestStateMachine::endpointFailed(ConnectionNumber connection)
{
    RequestActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    if (m_state == RequestState::Resuming) {
        resumeOrFail(RelayError::EndpointFailed, actions);
    } else {
        failAttempt(RelayError::EndpointFailed, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
    }
    return actions;
}

RequestActions RequestStateMachine::endpointRejected(ConnectionNumber connection)
{
    RequestActions actions;
    if (!isCurrent(connection) || m_state != RequestState::Sent) {
        return actions;
    }
    closeAttempt(ReleaseKind::Completed, actions);
    end(RelayError::EndpointRejected, {}, actions);
    return actions;
}

RequestActions RequestStateMachine::answerBegan(ConnectionNumber connection)
{
    RequestActions actions;
    if (!isCurrent(connection) || (m_state != RequestState::Sent && m_state != RequestState::Resuming)) {
        return actions;
    }
    m_state = RequestState::Streaming;
    m_facts.began = true;
    m_everBegan = true;
    return actions;
}

RequestActions RequestStateMachine::token(ConnectionNumber connection, StreamOffset offset, TimePoint now)
{
    RequestActions actions;
    if (!isCurrent(connection) || m_state != RequestState::Streaming || offset <= m_facts.tokens) {
        return actions;
    }
    if (m_facts.tokens == 0) {
        m_facts.firstTokenAt = now;
    } else {
        m_facts.gaps.add(now - m_facts.lastTokenAt);
    }
    m_facts.tokens = offset;
    m_facts.lastTokenAt = now;
    m_resumes = 0;
    return actions;
}

RequestActions RequestStateMachine::done(ConnectionNumber connection, StreamOffset held, std::uint32_t reusedPromptTokens)
{
    RequestActions actions;
    if (!isCurrent(connection) || m_state != RequestState::Streaming) {
        return actions;
    }
    if (m_facts.tokens < held) {
        // A re-run that ends before the last offset of the first run is a different answer.
        return diverged(connection);
    }
    m_facts.reusedPromptTokens = reusedPromptTokens;
    m_connectionOpen = false;
    release(ReleaseKind::Completed, actions);
    m_budget.succeeded(m_account);
    m_state = RequestState::Ended;
    if (m_claimGranted) {
        actions.push_back(FinishClaim{ClaimState::Completed, false});
    }
    actions.push_back(Answer{Outcome::Completed, RelayError::None, {}, std::nullopt});
    return actions;
}

RequestActions RequestStateMachine::broken(ConnectionNumber connection)
{
    RequestActions actions;
    if (isCurrent(connection)) {
        resumeOrFail(RelayError::EndpointBroken, actions);
    }
    return actions;
}

RequestActions RequestStateMachine::silent(ConnectionNumber connection)
{
    RequestActions actions;
    if (isCurrent(connection)) {
        resumeOrFail(RelayError::EndpointSilent, actions);
    }
    return actions;
}

RequestActions RequestStateMachine::streamMissing(ConnectionNumber connection)
{
    RequestActions actions;
    if (isCurrent(connection) && m_state == RequestState::Resuming) {
        failAttempt(RelayError::EndpointBroken, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
    }
    return actions;
}

RequestActions RequestStateMachine::diverged(ConnectionNumber connection)
{
    RequestActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    // Another run would be compared with the same delivered part, so the caller gets the error now.
    closeAttempt(ReleaseKind::EndpointFailed, actions);
    end(RelayError::AnswerDiverged, {}, actions);
    return actions;
}

RequestActions RequestStateMachine::answerTooLarge(ConnectionNumber connection)
{
    RequestActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    closeAttempt(ReleaseKind::Cancelled, actions);
    end(RelayError::AnswerTooLarge, {}, actions);
    return actions;
}

RequestActions RequestStateMachine::callerDisconnected()
{
    RequestActions actions;
    if (ended()) {
        return actions;
    }
    if (m_facts.sent && m_rules.outlivesCaller) {
        return actions;
    }
    if (m_state == RequestState::AwaitPermit) {
        actions.push_back(CancelTicket{m_attempt});
    }
    closeAttempt(m_facts.sent ? ReleaseKind::Cancelled : ReleaseKind::Unused, actions);
    end(RelayError::CallerGone, {}, actions);
    return actions;
}

RequestActions RequestStateMachine::preempted(std::uint32_t attempt)
{
    RequestActions actions;
    // Only a request that can still be answered whole is preempted. One that may not run again runs to its end.
    if (ended() || !m_permitHeld || attempt != m_attempt || m_state == RequestState::AwaitClaim) {
        return actions;
    }
    if (m_facts.sent && !mayRunAgain()) {
        return actions;
    }
    if (m_deadlinePassed) {
        return actions;
    }
    closeAttempt(ReleaseKind::Cancelled, actions);
    requestPermit(actions);
    return actions;
}

RequestActions RequestStateMachine::deadline()
{
    RequestActions actions;
    if (ended()) {
        return actions;
    }
    m_deadlinePassed = true;
    if (m_facts.sent) {
        return actions;
    }
    if (m_state == RequestState::AwaitPermit) {
        actions.push_back(CancelTicket{m_attempt});
    }
    closeAttempt(ReleaseKind::Unused, actions);
    const bool claiming = m_state == RequestState::AwaitClaim;
    end(claiming ? RelayError::ClaimUnavailable : RelayError::DeadlinePassed, m_rules.refusedRetryAfter, actions);
    return actions;
}

bool RequestStateMachine::isCurrent(ConnectionNumber connection) const
{
    return !ended() && m_connectionOpen && connection == m_connection;
}

void RequestStateMachine::requestPermit(RequestActions &actions)
{
    if (m_attempt > 0) {
        actions.push_back(RestartStream{m_delivered});
    }
    ++m_attempt;
    m_grantTaken = false;
    m_facts = AttemptFacts{};
    m_resumes = 0;
    m_state = RequestState::AwaitPermit;
    actions.push_back(RequestPermit{m_attempt, m_avoid, m_failures});
}

void RequestStateMachine::dispatch(RequestActions &actions)
{
    m_state = RequestState::Connecting;
    m_connectionOpen = true;
    ++m_connection;
    actions.push_back(Dispatch{m_attempt, m_endpoint, m_enginePriority, m_connection});
}

void RequestStateMachine::resumeOrFail(RelayError why, RequestActions &actions)
{
    if (!m_facts.sent || !m_rules.resumable || m_resumes >= m_rules.maxResumes) {
        failAttempt(why, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
        return;
    }
    ++m_resumes;
    actions.push_back(DropConnection{m_connection});
    ++m_connection;
    m_state = RequestState::Resuming;
    actions.push_back(ResumeStream{m_attempt, m_endpoint, m_facts.tokens, m_connection, m_resumes});
}

void RequestStateMachine::failAttempt(RelayError why, ReleaseKind kind, Duration retryAfter, RequestActions &actions)
{
    const EndpointId endpoint = m_endpoint;
    closeAttempt(kind, actions);
    ++m_failures;
    if (takeRetry()) {
        m_avoid.push_back(endpoint);
        requestPermit(actions);
        return;
    }
    end(why, retryAfter, actions);
}

bool RequestStateMachine::takeRetry()
{
    return !m_deadlinePassed && m_failures < m_rules.maxFailures && mayRunAgain() && m_budget.tryTake(m_account);
}

bool RequestStateMachine::mayRunAgain() const
{
    if (!m_rules.idempotent) {
        return !m_everSent;
    }
    return !m_delivered || m_rules.reproducible;
}

void RequestStateMachine::closeAttempt(ReleaseKind kind, RequestActions &actions)
{
    if (m_connectionOpen) {
        m_connectionOpen = false;
        actions.push_back(DropConnection{m_connection});
    }
    const bool mayRun = m_facts.sent && !m_facts.confirmedNotStarted;
    if (mayRun) {
        m_mayHaveRun = true;
    }
    if (mayRun && m_rules.resumable && kind != ReleaseKind::Completed) {
        actions.push_back(CancelAtEndpoint{m_attempt, m_endpoint, m_facts.tokens});
    }
    release(kind, actions);
}

void RequestStateMachine::release(ReleaseKind kind, RequestActions &actions)
{
    if (!m_permitHeld) {
        return;
    }
    ReleasePermit released{m_attempt, m_endpoint, kind, {}, {}, m_facts.tokens, m_facts.reusedPromptTokens, m_facts.gaps.percentile95()};
    if (m_facts.tokens > 0) {
        released.firstToken = m_facts.firstTokenAt - m_facts.sentAt;
    }
    if (m_facts.tokens > 1) {
        released.meanInterToken = (m_facts.lastTokenAt - m_facts.firstTokenAt) / (m_facts.tokens - 1);
    }
    m_permitHeld = false;
    actions.push_back(std::move(released));
}

void RequestStateMachine::end(RelayError error, Duration retryAfter, RequestActions &actions)
{
    const Outcome outcome = failureOutcome();
    m_state = RequestState::Ended;
    if (m_claimGranted) {
        actions.push_back(FinishClaim{claimStateOf(outcome), outcome == Outcome::NotRun});
    }
    actions.push_back(Answer{outcome, error, retryAfter, std::nullopt});
}

Outcome RequestStateMachine::failureOutcome() const
{
    if (m_everBegan) {
        return Outcome::FailedAfterStart;
    }
    return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace Rhubarbwind
