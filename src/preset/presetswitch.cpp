// Both decisions read first, then pass the main write to a ResolvedWrite and translate its result. Reads and the write of the history entry are
// repeated until they are answered or the time limit is reached. Both are idempotent: the history entry is create-only and has the same content
// whichever host writes it.

#include "preset/presetswitch.h"

namespace Rhubarbwind
{

namespace
{

OperationId operationInForce(std::string_view value)
{
    const Result<PresetInForce, PresetFaults> inForce = parsePresetInForce(value);
    return inForce.has_error() ? OperationId() : inForce.value().operation;
}

OperationId operationInLibrary(std::string_view value)
{
    const Result<LibraryPreset, PresetFaults> entry = parseLibraryPreset(value);
    return entry.has_error() ? OperationId() : entry.value().operation;
}

bool isAbsent(const PlatformResult<StoredObject> &result)
{
    return result.has_error() && result.error().kind == PlatformErrorKind::NotFound;
}

ChangeOutcome changeOutcome(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Applied:
        return ChangeOutcome::Accepted;
    case WriteOutcome::Lost:
        return ChangeOutcome::Lost;
    case WriteOutcome::Refused:
        return ChangeOutcome::Refused;
    case WriteOutcome::NotSent:
        return ChangeOutcome::NotApplied;
    case WriteOutcome::Unresolved:
        return ChangeOutcome::Unresolved;
    }
    return ChangeOutcome::Unresolved;
}

} // namespace

std::string presetHistoryKey(PresetVersion version)
{
    return presetHistoryPrefix + std::to_string(version);
}

std::string printHistoryLineOf(const PresetInForce &inForce)
{
    return printHistoryEntry({inForce.version, inForce.operation, inForce.by, inForce.acceptedUnixMs, inForce.preset.name});
}

PresetSwitch::PresetSwitch(SwitchRequest request, ResolvedWriteLimits limits, std::uint64_t seed)
    : m_request(std::move(request))
    , m_limits(limits)
    , m_seed(seed)
    , m_random(seed)
    , m_backoff(limits.firstWait, limits.maxWait)
{
}

PlatformStep PresetSwitch::start(TimePoint now)
{
    m_endBy = now + m_limits.total;
    return read(Phase::ReadLibrary, presetLibraryPrefix + m_request.name.text());
}

PlatformStep PresetSwitch::onRead(const PlatformResult<StoredObject> &result, TimePoint now)
{
    if (m_phase == Phase::WriteInForce) {
        return followWrite(m_write->onRead(result, now), now);
    }
    if (result.has_error() && !isAbsent(result)) {
        return retryLater(PlatformStep::Kind::Get, now);
    }
    const StoredObject *object = result.has_value() ? &result.value() : nullptr;
    switch (m_phase) {
    case Phase::ReadLibrary:
        return object == nullptr ? done(ChangeOutcome::NoSuchPreset) : onLibrary(*object);
    case Phase::ReadInForce:
        return onInForce(object, now);
    case Phase::ReadOwnHistory:
        return onOwnHistory(object);
    case Phase::WriteOldHistory:
    case Phase::WriteInForce:
        break;
    }
    return done(ChangeOutcome::Unresolved);
}

PlatformStep PresetSwitch::onWritten(const PlatformResult<ObjectVersion> &result, TimePoint now)
{
    if (m_phase == Phase::WriteInForce) {
        return followWrite(m_write->onWritten(result, now), now);
    }
    const bool lineExists = result.has_value() || result.error().kind == PlatformErrorKind::Conflict;
    return lineExists ? writeInForce(now) : retryLater(PlatformStep::Kind::Put, now);
}

PlatformStep PresetSwitch::onWaited(TimePoint now)
{
    if (m_phase == Phase::WriteInForce) {
        return followWrite(m_write->onWaited(now), now);
    }
    return {m_afterWait, Duration::zero()};
}

const WriteRequest &PresetSwitch::writeRequest() const
{
    return m_phase == Phase::WriteInForce ? m_write->writeRequest() : m_historyWrite;
}

const std::string &PresetSwitch::readKey() const
{
    return m_phase == Phase::WriteInForce ? m_write->readKey() : m_readKey;
}

PlatformStep PresetSwitch::read(Phase phase, std::string key)
{
    m_phase = phase;
    m_readKey = std::move(key);
    return {PlatformStep::Kind::Get, Duration::zero()};
}

PlatformStep PresetSwitch::retryLater(PlatformStep::Kind kind, TimePoint now)
{
    const Duration wait = m_backoff.next(m_random);
    if (now + wait >= m_endBy) {
        // Only the last phase follows a write of the object in force that may have taken effect.
        return done(m_phase == Phase::ReadOwnHistory ? ChangeOutcome::Unresolved : ChangeOutcome::NotApplied);
    }
    m_afterWait = kind;
    return {PlatformStep::Kind::Wait, wait};
}

PlatformStep PresetSwitch::onLibrary(const StoredObject &object)
{
    Result<LibraryPreset, PresetFaults> entry = parseLibraryPreset(object.value);
    if (entry.has_error()) {
        m_result.faults = entry.error();
        return done(ChangeOutcome::Faulty);
    }
    m_newInForce = std::make_shared<PresetInForce>();
    m_newInForce->operation = m_request.operation;
    m_newInForce->by = m_request.by;
    m_newInForce->acceptedUnixMs = m_request.nowUnixMs;
    m_newInForce->preset = std::move(entry.value().preset);
    return read(Phase::ReadInForce, presetInForceKey);
}

PlatformStep PresetSwitch::onInForce(const StoredObject *object, TimePoint now)
{
    m_newInForce->version = m_request.held + 1;
    if (object == nullptr) {
        m_condition = WriteCondition::absent();
        return writeInForce(now);
    }
    m_condition = WriteCondition::atVersion(object->version);
    const Result<PresetInForce, PresetFaults> stored = parsePresetInForce(object->value);
    if (stored.has_error()) {
        // Unreadable content must not block operators, but a host that holds no preset cannot determine a safe version.
        m_result.faults = stored.error();
        return m_request.held == 0 ? done(ChangeOutcome::Faulty) : writeInForce(now);
    }
    if (m_request.expected && *m_request.expected != stored.value().version) {
        return lostTo(stored.value());
    }
    m_newInForce->version = std::max(m_request.held, stored.value().version) + 1;
    m_phase = Phase::WriteOldHistory;
    m_historyWrite = {presetHistoryKey(stored.value().version), printHistoryLineOf(stored.value()), WriteCondition::absent(), OperationId()};
    return {PlatformStep::Kind::Put, Duration::zero()};
}

PlatformStep PresetSwitch::writeInForce(TimePoint now)
{
    m_phase = Phase::WriteInForce;
    ResolvedWriteLimits limits = m_limits;
    limits.total = m_endBy - now;
    m_write.emplace(WriteRequest{presetInForceKey, printPresetInForce(*m_newInForce), m_condition, m_request.operation}, operationInForce, limits, m_seed);
    return m_write->start(now);
}

PlatformStep PresetSwitch::followWrite(PlatformStep step, TimePoint)
{
    if (step.kind != PlatformStep::Kind::Done) {
        return step;
    }
    const WriteResult &write = m_write->result();
    if (write.outcome == WriteOutcome::Applied) {
        return accepted();
    }
    return write.outcome == WriteOutcome::Lost ? onLostWrite(write) : done(changeOutcome(write.outcome));
}

PlatformStep PresetSwitch::onLostWrite(const WriteResult &write)
{
    m_result.outcome = ChangeOutcome::Lost;
    if (write.current) {
        const Result<PresetInForce, PresetFaults> winner = parsePresetInForce(write.current->value);
        if (winner.has_value()) {
            lostTo(winner.value());
        }
    }
    const bool mayBeReplaced = write.mayHaveApplied && m_result.winnerVersion > m_newInForce->version;
    if (mayBeReplaced) {
        return read(Phase::ReadOwnHistory, presetHistoryKey(m_newInForce->version));
    }
    return done(ChangeOutcome::Lost);
}

PlatformStep PresetSwitch::onOwnHistory(const StoredObject *object)
{
    if (object == nullptr) {
        return done(ChangeOutcome::Lost);
    }
    const Result<PresetHistoryEntry, PresetFaults> entry = parseHistoryEntry(object->value);
    const bool ours = entry.has_value() && entry.value().operation == m_request.operation;
    return ours ? accepted() : done(ChangeOutcome::Lost);
}

PlatformStep PresetSwitch::lostTo(const PresetInForce &winner)
{
    m_result.winner = winner.by;
    m_result.winnerPreset = winner.preset.name;
    m_result.winnerVersion = winner.version;
    return done(ChangeOutcome::Lost);
}

PlatformStep PresetSwitch::accepted()
{
    m_result.accepted = m_newInForce;
    return done(ChangeOutcome::Accepted);
}

PlatformStep PresetSwitch::done(ChangeOutcome outcome)
{
    m_result.outcome = outcome;
    return {PlatformStep::Kind::Done, Duration::zero()};
}

PresetApply::PresetApply(ApplyRequest request, ResolvedWriteLimits limits, std::uint64_t seed)
    : m_request(std::move(request))
    , m_limits(limits)
    , m_seed(seed)
    , m_random(seed)
    , m_backoff(limits.firstWait, limits.maxWait)
    , m_key(presetLibraryPrefix + m_request.preset.name.text())
{
}

PlatformStep PresetApply::start(TimePoint now)
{
    m_endBy = now + m_limits.total;
    return {PlatformStep::Kind::Get, Duration::zero()};
}

PlatformStep PresetApply::onRead(const PlatformResult<StoredObject> &result, TimePoint now)
{
    if (m_write) {
        return followWrite(m_write->onRead(result, now));
    }
    if (result.has_error() && !isAbsent(result)) {
        const Duration wait = m_backoff.next(m_random);
        return now + wait >= m_endBy ? done(ChangeOutcome::NotApplied) : PlatformStep{PlatformStep::Kind::Wait, wait};
    }
    const WriteCondition condition = result.has_value() ? WriteCondition::atVersion(result.value().version) : WriteCondition::absent();
    ResolvedWriteLimits limits = m_limits;
    limits.total = m_endBy - now;
    std::string value = printLibraryPreset({m_request.operation, m_request.by, m_request.nowUnixMs, m_request.preset});
    m_write.emplace(WriteRequest{m_key, std::move(value), condition, m_request.operation}, operationInLibrary, limits, m_seed);
    return m_write->start(now);
}

PlatformStep PresetApply::onWritten(const PlatformResult<ObjectVersion> &result, TimePoint now)
{
    return followWrite(m_write->onWritten(result, now));
}

PlatformStep PresetApply::onWaited(TimePoint now)
{
    return m_write ? followWrite(m_write->onWaited(now)) : PlatformStep{PlatformStep::Kind::Get, Duration::zero()};
}

PlatformStep PresetApply::followWrite(PlatformStep step)
{
    if (step.kind != PlatformStep::Kind::Done) {
        return step;
    }
    const WriteResult &write = m_write->result();
    if (write.outcome == WriteOutcome::Lost && write.current) {
        const Result<LibraryPreset, PresetFaults> winner = parseLibraryPreset(write.current->value);
        m_result.winner = winner.has_value() ? winner.value().by : OperatorName();
        m_result.winnerPreset = m_request.preset.name;
    }
    return done(changeOutcome(write.outcome));
}

PlatformStep PresetApply::done(ChangeOutcome outcome)
{
    m_result.outcome = outcome;
    return {PlatformStep::Kind::Done, Duration::zero()};
}

} // namespace Rhubarbwind
