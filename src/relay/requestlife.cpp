// One explicit state and a handful of facts. The outcome is not a state but is derived from the facts when the
// request ends (failureOutcome), so no path can answer more than what is known.

#include "relay/requestlife.h"

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

// A repeat did not run itself, but to its caller the request is the key's: it is told how that one stands.
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

RequestLife::RequestLife(LifeRules rules, RetryBudget &budget, RetryAccount account, TimePoint queueDeadline)
    : m_rules(rules)
    , m_budget(budget)
    , m_account(std::move(account))
    , m_queueDeadline(queueDeadline)
{
}

LifeActions RequestLife::start(TimePoint now)
{
    LifeActions actions;
    if (m_state != LifeState::Accepted) {
        return actions;
    }
    if (m_rules.claimed && m_rules.claimFirst) {
        m_state = LifeState::AwaitClaim;
        actions.push_back(MakeClaim{m_queueDeadline - now});
    } else {
        askPermit(actions);
    }
    return actions;
}

LifeActions RequestLife::adopt(std::uint32_t attempt, const EndpointId &endpoint, StreamOffset after)
{
    LifeActions actions;
    if (m_state != LifeState::Accepted) {
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
    m_state = LifeState::Resuming;
    actions.push_back(ResumeStream{attempt, endpoint, after, m_connection, 1});
    return actions;
}

LifeActions RequestLife::granted(const Grant &grant, TimePoint now)
{
    LifeActions actions;
    if (m_state != LifeState::AwaitPermit || grant.id.attempt != m_attempt) {
        // The grant of a ticket that was cancelled meanwhile goes straight back; a doubled one was released already
        // or is in use, and a second release would free a slot that is not free.
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
        m_state = LifeState::AwaitClaim;
        actions.push_back(MakeClaim{std::min({m_rules.claimUnderPermit, grant.expiresIn, m_queueDeadline - now})});
    } else {
        dispatch(actions);
    }
    return actions;
}

LifeActions RequestLife::refused(const Refusal &refusal)
{
    LifeActions actions;
    if (m_state == LifeState::AwaitPermit && refusal.id.attempt == m_attempt) {
        end(errorOf(refusal.reason), refusal.retryAfter, actions);
    }
    return actions;
}

LifeActions RequestLife::claimAnswered(const ClaimAnswer &answer, TimePoint now)
{
    LifeActions actions;
    if (m_state != LifeState::AwaitClaim) {
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
            askPermit(actions);
        }
        return actions;
    }
    if (answer.result == ClaimResult::Repeated) {
        release(ReleaseKind::Unused, actions);
        m_state = LifeState::Ended;
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

LifeActions RequestLife::connectFailed(ConnectionNumber connection)
{
    LifeActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    if (m_state == LifeState::Resuming) {
        resumeOrFail(RelayError::EndpointUnreachable, actions);
    } else if (m_state == LifeState::Connecting) {
        failAttempt(RelayError::EndpointUnreachable, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
    }
    return actions;
}

LifeActions RequestLife::firstByteWritten(ConnectionNumber connection, TimePoint now)
{
    LifeActions actions;
    if (!isCurrent(connection) || m_state != LifeState::Connecting) {
        return actions;
    }
    if (now > m_permitExpires) {
        // The arbiter has given the slot to somebody else by now: sending would overload the endpoint.
        closeAttempt(ReleaseKind::Unused, actions);
        askPermit(actions);
        return actions;
    }
    m_state = LifeState::Sent;
    m_facts.sent = true;
    m_facts.sentAt = now;
    m_everSent = true;
    return actions;
}

LifeActions RequestLife::refusedNotStarted(ConnectionNumber connection, Duration retryAfter)
{
    LifeActions actions;
    if (!isCurrent(connection) || m_state != LifeState::Sent) {
        return actions;
    }
    m_facts.confirmedNotStarted = true;
    failAttempt(RelayError::EndpointRefused, ReleaseKind::EndpointRefused, retryAfter, actions);
    return actions;
}

LifeActions RequestLife::endpointFailed(ConnectionNumber connection)
{
    LifeActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    if (m_state == LifeState::Resuming) {
        resumeOrFail(RelayError::EndpointFailed, actions);
    } else {
        failAttempt(RelayError::EndpointFailed, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
    }
    return actions;
}

LifeActions RequestLife::endpointRejected(ConnectionNumber connection)
{
    LifeActions actions;
    if (!isCurrent(connection) || m_state != LifeState::Sent) {
        return actions;
    }
    closeAttempt(ReleaseKind::Completed, actions);
    end(RelayError::EndpointRejected, {}, actions);
    return actions;
}

LifeActions RequestLife::answerBegan(ConnectionNumber connection)
{
    LifeActions actions;
    if (!isCurrent(connection) || (m_state != LifeState::Sent && m_state != LifeState::Resuming)) {
        return actions;
    }
    m_state = LifeState::Streaming;
    m_facts.began = true;
    m_everBegan = true;
    return actions;
}

LifeActions RequestLife::token(ConnectionNumber connection, StreamOffset offset, TimePoint now)
{
    LifeActions actions;
    if (!isCurrent(connection) || m_state != LifeState::Streaming || offset <= m_facts.tokens) {
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

LifeActions RequestLife::done(ConnectionNumber connection, StreamOffset held, std::uint32_t reusedPromptTokens)
{
    LifeActions actions;
    if (!isCurrent(connection) || m_state != LifeState::Streaming) {
        return actions;
    }
    if (m_facts.tokens < held) {
        // A re-run that ends before the point which the first run had reached is another answer.
        return diverged(connection);
    }
    m_facts.reusedPromptTokens = reusedPromptTokens;
    m_connectionOpen = false;
    release(ReleaseKind::Completed, actions);
    m_budget.succeeded(m_account);
    m_state = LifeState::Ended;
    if (m_claimGranted) {
        actions.push_back(FinishClaim{ClaimState::Completed, false});
    }
    actions.push_back(Answer{Outcome::Completed, RelayError::None, {}, std::nullopt});
    return actions;
}

LifeActions RequestLife::broken(ConnectionNumber connection)
{
    LifeActions actions;
    if (isCurrent(connection)) {
        resumeOrFail(RelayError::EndpointBroken, actions);
    }
    return actions;
}

LifeActions RequestLife::silent(ConnectionNumber connection)
{
    LifeActions actions;
    if (isCurrent(connection)) {
        resumeOrFail(RelayError::EndpointSilent, actions);
    }
    return actions;
}

LifeActions RequestLife::streamMissing(ConnectionNumber connection)
{
    LifeActions actions;
    if (isCurrent(connection) && m_state == LifeState::Resuming) {
        failAttempt(RelayError::EndpointBroken, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
    }
    return actions;
}

LifeActions RequestLife::diverged(ConnectionNumber connection)
{
    LifeActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    // Another run would be compared with the same delivered part; the caller is told now.
    closeAttempt(ReleaseKind::EndpointFailed, actions);
    end(RelayError::AnswerDiverged, {}, actions);
    return actions;
}

LifeActions RequestLife::answerTooLarge(ConnectionNumber connection)
{
    LifeActions actions;
    if (!isCurrent(connection)) {
        return actions;
    }
    closeAttempt(ReleaseKind::Cancelled, actions);
    end(RelayError::AnswerTooLarge, {}, actions);
    return actions;
}

LifeActions RequestLife::callerGone()
{
    LifeActions actions;
    if (ended()) {
        return actions;
    }
    if (m_facts.sent && m_rules.outlivesCaller) {
        return actions;
    }
    if (m_state == LifeState::AwaitPermit) {
        actions.push_back(CancelTicket{m_attempt});
    }
    closeAttempt(m_facts.sent ? ReleaseKind::Cancelled : ReleaseKind::Unused, actions);
    end(RelayError::CallerGone, {}, actions);
    return actions;
}

LifeActions RequestLife::preempted(std::uint32_t attempt)
{
    LifeActions actions;
    // Only a request that can still be answered whole gives way: one that may not run again runs to its end.
    if (ended() || !m_permitHeld || attempt != m_attempt || m_state == LifeState::AwaitClaim) {
        return actions;
    }
    if (m_facts.sent && !mayRunAgain()) {
        return actions;
    }
    if (m_deadlinePassed) {
        return actions;
    }
    closeAttempt(ReleaseKind::Cancelled, actions);
    askPermit(actions);
    return actions;
}

LifeActions RequestLife::deadline()
{
    LifeActions actions;
    if (ended()) {
        return actions;
    }
    m_deadlinePassed = true;
    if (m_facts.sent) {
        return actions;
    }
    if (m_state == LifeState::AwaitPermit) {
        actions.push_back(CancelTicket{m_attempt});
    }
    closeAttempt(ReleaseKind::Unused, actions);
    const bool claiming = m_state == LifeState::AwaitClaim;
    end(claiming ? RelayError::ClaimUnavailable : RelayError::DeadlinePassed, m_rules.refusedRetryAfter, actions);
    return actions;
}

bool RequestLife::isCurrent(ConnectionNumber connection) const
{
    return !ended() && m_connectionOpen && connection == m_connection;
}

void RequestLife::askPermit(LifeActions &actions)
{
    if (m_attempt > 0) {
        actions.push_back(RestartStream{m_delivered});
    }
    ++m_attempt;
    m_grantTaken = false;
    m_facts = AttemptFacts{};
    m_resumes = 0;
    m_state = LifeState::AwaitPermit;
    actions.push_back(AskPermit{m_attempt, m_avoid, m_failures});
}

void RequestLife::dispatch(LifeActions &actions)
{
    m_state = LifeState::Connecting;
    m_connectionOpen = true;
    ++m_connection;
    actions.push_back(Dispatch{m_attempt, m_endpoint, m_enginePriority, m_connection});
}

void RequestLife::resumeOrFail(RelayError why, LifeActions &actions)
{
    if (!m_facts.sent || !m_rules.resumable || m_resumes >= m_rules.maxResumes) {
        failAttempt(why, ReleaseKind::EndpointFailed, m_rules.refusedRetryAfter, actions);
        return;
    }
    ++m_resumes;
    actions.push_back(DropConnection{m_connection});
    ++m_connection;
    m_state = LifeState::Resuming;
    actions.push_back(ResumeStream{m_attempt, m_endpoint, m_facts.tokens, m_connection, m_resumes});
}

void RequestLife::failAttempt(RelayError why, ReleaseKind kind, Duration retryAfter, LifeActions &actions)
{
    const EndpointId endpoint = m_endpoint;
    closeAttempt(kind, actions);
    ++m_failures;
    if (takeRetry()) {
        m_avoid.push_back(endpoint);
        askPermit(actions);
        return;
    }
    end(why, retryAfter, actions);
}

bool RequestLife::takeRetry()
{
    return !m_deadlinePassed && m_failures < m_rules.maxFailures && mayRunAgain() && m_budget.tryTake(m_account);
}

bool RequestLife::mayRunAgain() const
{
    if (!m_rules.idempotent) {
        return !m_everSent;
    }
    return !m_delivered || m_rules.reproducible;
}

void RequestLife::closeAttempt(ReleaseKind kind, LifeActions &actions)
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

void RequestLife::release(ReleaseKind kind, LifeActions &actions)
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

void RequestLife::end(RelayError error, Duration retryAfter, LifeActions &actions)
{
    const Outcome outcome = failureOutcome();
    m_state = LifeState::Ended;
    if (m_claimGranted) {
        actions.push_back(FinishClaim{claimStateOf(outcome), outcome == Outcome::NotRun});
    }
    actions.push_back(Answer{outcome, error, retryAfter, std::nullopt});
}

Outcome RequestLife::failureOutcome() const
{
    if (m_everBegan) {
        return Outcome::FailedAfterStart;
    }
    return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace Rhubarbwind
