// The write is its own retry: with the condition unchanged, sending it twice has the effect of once, because
// the first to take effect moves the version and so fails the other. The read back then finds our operation.

#include "platform/resolvedwrite.h"

namespace Rhubarbwind
{

ResolvedWrite::ResolvedWrite(WriteRequest request, FindOperation findOperation, ResolvedWriteLimits limits, std::uint64_t seed)
    : m_request(std::move(request))
    , m_findOperation(std::move(findOperation))
    , m_limits(limits)
    , m_random(seed)
    , m_backoff(limits.firstWait, limits.longestWait)
{
}

WriteStep ResolvedWrite::start(TimePoint now)
{
    m_endBy = now + m_limits.total;
    return step(WriteStep::Kind::Put);
}

WriteStep ResolvedWrite::onWritten(const PlatformResult<ObjectVersion> &result, TimePoint now)
{
    if (result.has_value()) {
        m_result.version = result.value();
        return done(WriteOutcome::Applied);
    }
    switch (result.error().kind) {
    case PlatformErrorKind::NotFound:
    case PlatformErrorKind::Conflict:
        m_conditionFailed = true;
        return step(WriteStep::Kind::Get);
    case PlatformErrorKind::Refused:
        return m_mayHaveApplied ? waitThen(WriteStep::Kind::Get, now) : done(WriteOutcome::Refused);
    case PlatformErrorKind::Unreachable:
    case PlatformErrorKind::OverBudget:
        return waitThen(m_mayHaveApplied ? WriteStep::Kind::Get : WriteStep::Kind::Put, now);
    case PlatformErrorKind::Unknown:
        m_mayHaveApplied = true;
        return waitThen(WriteStep::Kind::Get, now);
    }
    return done(WriteOutcome::Unresolved);
}

WriteStep ResolvedWrite::onRead(const PlatformResult<StoredObject> &result, TimePoint now)
{
    const bool absent = result.has_error() && result.error().kind == PlatformErrorKind::NotFound;
    if (result.has_error() && !absent) {
        return waitThen(WriteStep::Kind::Get, now);
    }
    if (result.has_value() && m_findOperation(result.value().value) == m_request.operation) {
        m_result.version = result.value().version;
        return done(WriteOutcome::Applied);
    }
    const bool unchanged = absent ? m_request.condition.kind == WriteCondition::Kind::Absent : stillAtCondition(result.value());
    if (unchanged) {
        return waitThen(WriteStep::Kind::Put, now);
    }
    return lost(absent ? std::nullopt : std::optional<StoredObject>(result.value()));
}

WriteStep ResolvedWrite::onWaited(TimePoint)
{
    return step(m_afterWait);
}

WriteStep ResolvedWrite::step(WriteStep::Kind kind)
{
    return {kind, Duration::zero()};
}

WriteStep ResolvedWrite::waitThen(WriteStep::Kind kind, TimePoint now)
{
    const Duration wait = m_backoff.next(m_random);
    if (now + wait >= m_endBy) {
        return outOfTime();
    }
    m_afterWait = kind;
    return {WriteStep::Kind::Wait, wait};
}

WriteStep ResolvedWrite::done(WriteOutcome outcome)
{
    m_result.outcome = outcome;
    return step(WriteStep::Kind::Done);
}

WriteStep ResolvedWrite::lost(std::optional<StoredObject> current)
{
    m_result.current = std::move(current);
    m_result.mayHaveApplied = m_mayHaveApplied;
    return done(WriteOutcome::Lost);
}

WriteStep ResolvedWrite::outOfTime()
{
    if (m_mayHaveApplied) {
        return done(WriteOutcome::Unresolved);
    }
    return m_conditionFailed ? lost(std::nullopt) : done(WriteOutcome::NotSent);
}

bool ResolvedWrite::stillAtCondition(const StoredObject &object) const
{
    return m_request.condition.kind == WriteCondition::Kind::Version && object.version == m_request.condition.version;
}

} // namespace Rhubarbwind
