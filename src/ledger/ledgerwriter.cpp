// Group commit on a log of create-if-absent objects.
//
// The table is a fold of the log and every answer is read from the table, so no answer depends on which attempt, or which writer, made a segment
// durable. Between calls there are three states: the log must be listed (m_nextCall is List), segment m_next must be read (ReadBack), or m_next
// may be written (Append).
// One object a claim would be simpler, but it spends one of the platform's writes on each claim; ledgermeasure_test.cpp compares the two.

#include "ledger/ledgerwriter.h"

#include <algorithm>
#include <utility>

namespace Rhubarbwind
{

namespace
{

// A larger record is rejected, so that a batch always has space for at least one record.
constexpr std::size_t maxRecordBytes = 4096;
// Maximum doublings of the backoff; it reaches maxBackoff long before.
constexpr unsigned maxDoublings = 20;

LedgerRecord claimRecord(const ClaimRequest &request)
{
    return {RecordKind::Claim, request.key, request.token, request.request, request.host, ClaimState::InProgress};
}

LedgerRecord endRecord(const ClaimEnd &end)
{
    return {end.kind, end.key, end.token, {}, {}, end.state};
}

} // namespace

LedgerWriter::LedgerWriter(std::string id, const LedgerWriterOptions &options)
    : m_id(std::move(id))
    , m_options(options)
{
}

void LedgerWriter::setLive(std::span<const HostId> hosts)
{
    m_live = std::set<HostId>(hosts.begin(), hosts.end());
}

void LedgerWriter::claim(const ClaimRequest &request, TimePoint now)
{
    if (m_retired || m_queuedTokens.contains(request.token)) {
        return;
    }
    const ClaimHolder *holder = m_listed ? m_table.find(request.key) : nullptr;
    if (holder != nullptr) {
        answerFromTable(request, *holder);
        return;
    }
    if (m_claims.size() >= m_options.queueLimit) {
        dropExpired(now);
    }
    const bool full = m_claims.size() >= m_options.queueLimit || m_table.size() >= m_options.keyLimit;
    if (full || recordBytes(claimRecord(request)) > maxRecordBytes) {
        m_answers.push_back({request.host, {LedgerAnswerKind::Unavailable, request.key, request.token, {}, {}, {}}});
        return;
    }
    m_queuedTokens.insert(request.token);
    m_claims.push_back({request, now + request.deadlineIn});
}

void LedgerWriter::end(const HostId &from, const ClaimEnd &end, TimePoint now)
{
    if (m_retired || m_ends.size() >= m_options.queueLimit || recordBytes(endRecord(end)) > maxRecordBytes) {
        return;
    }
    if (std::any_of(m_ends.begin(), m_ends.end(), [&end](const QueuedEnd &queued) { return queued.end.token == end.token; })) {
        return;
    }
    removeQueuedClaim(end.token);
    if (m_listed && isEndSettled(end)) {
        acknowledge(from, end);
        return;
    }
    if (m_ends.empty()) {
        m_endsDue = now + m_options.endDelay;
    }
    m_ends.push_back({from, end});
}

void LedgerWriter::retire()
{
    m_retired = true;
    m_claims.clear();
    m_ends.clear();
    m_queuedTokens.clear();
    for (const QueuedClaim &claim : m_batch) {
        m_queuedTokens.insert(claim.request.token);
    }
}

void LedgerWriter::resume()
{
    m_retired = false;
}

std::optional<LedgerCall> LedgerWriter::nextCall(TimePoint now)
{
    if (m_retired || m_callInFlight || now < m_retryAt) {
        return std::nullopt;
    }
    if (m_nextCall == LedgerCallKind::Append && !hasWork(now)) {
        return std::nullopt;
    }
    if (m_nextCall == LedgerCallKind::Append && !isPositionFresh(now)) {
        m_nextCall = LedgerCallKind::List;
    }
    LedgerCall call{m_nextCall, m_next, {}};
    if (m_nextCall == LedgerCallKind::Append) {
        call = startAppend(now);
        if (call.segment.records.empty()) {
            return std::nullopt;
        }
    }
    m_callInFlight = true;
    m_sentAt = now;
    return call;
}

void LedgerWriter::listDone(const std::vector<StoredSegment> &segments, TimePoint now, Random &random)
{
    if (!isComplete(segments)) {
        ++m_counts.brokenLists;
        listFailed(now, random);
        return;
    }
    callEnded();
    foldList(segments, now);
    m_verifiedAt = m_sentAt;
    m_nextCall = LedgerCallKind::Append;
    m_listed = true;
    m_failures = 0;
    answerQueued();
}

void LedgerWriter::listFailed(TimePoint now, Random &random)
{
    callEnded();
    retryLater(now, random);
}

void LedgerWriter::appendDone(ObjectVersion version, TimePoint now)
{
    callEnded();
    if (isPositionFresh(now)) {
        foldNext({m_next, version, std::move(m_sent)}, now);
        return;
    }
    // This host was paused for so long that the number may have been removed and absent again. The platform then confirms an append that no
    // reader counts. Listing the log shows whether it counts.
    markBatchUncertain();
    returnBatch();
    m_nextCall = LedgerCallKind::List;
}

void LedgerWriter::appendFailed(PlatformErrorKind kind, TimePoint now, Random &random)
{
    callEnded();
    if (kind == PlatformErrorKind::Conflict) {
        ++m_counts.conflicts;
        m_conflicted = true;
        m_nextCall = LedgerCallKind::ReadBack;
    } else if (kind == PlatformErrorKind::Unknown) {
        ++m_counts.lostAnswers;
        markBatchUncertain();
        m_nextCall = LedgerCallKind::ReadBack;
    } else {
        retryLater(now, random);
    }
    returnBatch();
}

void LedgerWriter::readBackDone(const StoredSegment &segment, TimePoint now)
{
    callEnded();
    if (!isPositionFresh(now) || segment.number != m_next || segment.segment.base > segment.number) {
        m_nextCall = LedgerCallKind::List;
        return;
    }
    foldNext(segment, now);
}

void LedgerWriter::readBackFailed(PlatformErrorKind kind, TimePoint now, Random &random)
{
    callEnded();
    if (kind != PlatformErrorKind::NotFound) {
        retryLater(now, random);
        return;
    }
    // A number that was taken and is now absent: the log advanced so far that the segment was removed.
    m_nextCall = m_conflicted ? LedgerCallKind::List : LedgerCallKind::Append;
    retryLater(now, random);
}

std::optional<SegmentRemoval> LedgerWriter::nextRemoval(TimePoint now)
{
    if (m_retired || m_removalInFlight || now < m_removeAt || m_retained.empty() || m_retained.front().number >= m_table.base()) {
        return std::nullopt;
    }
    m_removalInFlight = true;
    return SegmentRemoval{m_retained.front().number, m_retained.front().version};
}

void LedgerWriter::removalDone(bool removed, TimePoint now, Random &random)
{
    m_removalInFlight = false;
    if (!removed) {
        m_removeAt = now + fromSeconds((1.0 + random.uniform()) * toSeconds(m_options.maxBackoff));
        return;
    }
    // A listing received in the meantime may have dropped the segment already.
    if (!m_retained.empty() && m_retained.front().number < m_table.base()) {
        m_retained.pop_front();
    }
}

std::vector<AddressedAnswer> LedgerWriter::takeAnswers()
{
    return std::exchange(m_answers, {});
}

TimePoint LedgerWriter::wakeAt() const
{
    if (m_retired) {
        return TimePoint::max();
    }
    const bool removalWaits = !m_removalInFlight && !m_retained.empty() && m_retained.front().number < m_table.base();
    const TimePoint removal = removalWaits ? m_removeAt : TimePoint::max();
    if (m_callInFlight) {
        return removal;
    }
    const TimePoint call = m_nextCall == LedgerCallKind::Append ? workDueAt() : m_retryAt;
    return std::min(removal, call);
}

LedgerWriterStatus LedgerWriter::status() const
{
    LedgerWriterStatus status = m_counts;
    status.nextNumber = m_next;
    status.reading = !m_listed;
    status.keys = m_table.size();
    status.waitingClaims = m_claims.size() + m_batch.size();
    status.waitingEnds = m_ends.size();
    return status;
}

std::string LedgerWriter::describe() const
{
    std::string line = "next " + std::to_string(m_next) + " need " + std::to_string(static_cast<int>(m_nextCall)) + (m_listed ? " listed" : "")
        + (m_callInFlight ? " calling" : "") + (m_conflicted ? " conflicted" : "") + (m_retired ? " retired" : "") + " claims";
    for (const QueuedClaim &claim : m_claims) {
        line += " " + claim.request.token.text();
    }
    line += " batch";
    for (const QueuedClaim &claim : m_batch) {
        line += " " + claim.request.token.text();
    }
    line += " ends";
    for (const QueuedEnd &queued : m_ends) {
        line += " " + queued.end.token.text();
    }
    line += " doubtful";
    for (const ClaimToken &token : m_uncertain) {
        line += " " + token.text();
    }
    return line + " table " + m_table.describe();
}

bool LedgerWriter::hasWork(TimePoint now) const
{
    return workDueAt() <= now;
}

TimePoint LedgerWriter::workDueAt() const
{
    if (m_claims.empty() && m_ends.empty()) {
        return TimePoint::max();
    }
    const TimePoint spaced = std::max(m_retryAt, m_lastAppendAt + m_options.appendInterval);
    return m_claims.empty() ? std::max(spaced, m_endsDue) : spaced;
}

bool LedgerWriter::isPositionFresh(TimePoint now) const
{
    return now - m_verifiedAt < m_options.retention / 2;
}

Duration LedgerWriter::logClock(TimePoint now) const
{
    return m_lastClock + (now - m_lastFoldedAt);
}

LedgerCall LedgerWriter::startAppend(TimePoint now)
{
    const Duration clock = logClock(now);
    LedgerSegment segment{m_id, std::max(m_table.base(), m_table.baseFor(clock - m_options.retention)), clock, {}};
    std::size_t bytes = 0;
    const bool hasSpace = takeClaims(segment, bytes, now);
    if (hasSpace) {
        takeEnds(segment, bytes);
    }
    if (!segment.records.empty()) {
        m_lastAppendAt = now;
        ++m_counts.appends;
    }
    m_sent = segment;
    return {LedgerCallKind::Append, m_next, std::move(segment)};
}

bool LedgerWriter::takeClaims(LedgerSegment &segment, std::size_t &bytes, TimePoint now)
{
    while (!m_claims.empty()) {
        const QueuedClaim &claim = m_claims.front();
        LedgerRecord record = claimRecord(claim.request);
        if (segment.records.size() >= m_options.batchRecords || bytes + recordBytes(record) > m_options.batchBytes) {
            return false;
        }
        if (claim.deadline > now) {
            bytes += recordBytes(record);
            segment.records.push_back(std::move(record));
            m_batch.push_back(claim);
        } else {
            m_queuedTokens.erase(claim.request.token);
        }
        m_claims.pop_front();
    }
    return true;
}

void LedgerWriter::takeEnds(LedgerSegment &segment, std::size_t &bytes)
{
    for (const QueuedEnd &queued : m_ends) {
        LedgerRecord record = endRecord(queued.end);
        if (segment.records.size() >= m_options.batchRecords || bytes + recordBytes(record) > m_options.batchBytes) {
            return;
        }
        bytes += recordBytes(record);
        segment.records.push_back(std::move(record));
    }
}

void LedgerWriter::dropExpired(TimePoint now)
{
    std::erase_if(m_claims, [this, now](const QueuedClaim &claim) {
        const bool expired = claim.deadline <= now;
        if (expired) {
            m_queuedTokens.erase(claim.request.token);
        }
        return expired;
    });
}

void LedgerWriter::returnBatch()
{
    if (m_retired) {
        m_queuedTokens.clear();
    } else {
        m_claims.insert(m_claims.begin(), m_batch.begin(), m_batch.end());
    }
    m_batch.clear();
}

void LedgerWriter::markBatchUncertain()
{
    m_uncertainNumber = m_next;
    for (const QueuedClaim &claim : m_batch) {
        m_uncertain.insert(claim.request.token);
    }
}

void LedgerWriter::callEnded()
{
    m_callInFlight = false;
}

void LedgerWriter::retryLater(TimePoint now, Random &random)
{
    ++m_counts.failedCalls;
    const double doubled = toSeconds(m_options.initialBackoff) * static_cast<double>(1U << std::min(m_failures, maxDoublings));
    const double ceiling = std::min(doubled, toSeconds(m_options.maxBackoff));
    ++m_failures;
    m_retryAt = now + fromSeconds(random.uniform() * ceiling);
}

void LedgerWriter::foldNext(const StoredSegment &stored, TimePoint now)
{
    m_table.fold(stored.number, stored.segment);
    m_retained.push_back({stored.number, stored.version});
    m_lastClock = stored.segment.clock;
    m_lastFoldedAt = now;
    m_verifiedAt = m_sentAt;
    m_failures = 0;
    m_nextCall = LedgerCallKind::Append;
    advanceTo(stored.number + 1);
    dropRecordedEnds(stored.segment);
    answerQueued();
}

void LedgerWriter::dropRecordedEnds(const LedgerSegment &segment)
{
    std::set<ClaimToken> recorded;
    for (const LedgerRecord &record : segment.records) {
        if (record.kind != RecordKind::Claim) {
            recorded.insert(record.token);
        }
    }
    std::erase_if(m_ends, [this, &recorded](const QueuedEnd &queued) {
        const bool durable = recorded.contains(queued.end.token);
        if (durable) {
            acknowledge(queued.from, queued.end);
        }
        return durable;
    });
}

void LedgerWriter::advanceTo(SegmentNumber next)
{
    m_next = next;
    m_conflicted = false;
    if (m_next > m_uncertainNumber) {
        m_uncertain.clear();
    }
}

bool LedgerWriter::isComplete(const std::vector<StoredSegment> &segments) const
{
    if (segments.empty()) {
        return m_next == firstSegment;
    }
    const StoredSegment &last = segments.back();
    const SegmentNumber base = last.segment.base;
    if (last.number + 1 < m_next || base > last.number) {
        return false;
    }
    SegmentNumber expected = base;
    for (const StoredSegment &stored : segments) {
        if (stored.number < base) {
            continue;
        }
        if (stored.number != expected || stored.segment.base > stored.number) {
            return false;
        }
        ++expected;
    }
    return true;
}

void LedgerWriter::foldList(const std::vector<StoredSegment> &segments, TimePoint now)
{
    m_lastFoldedAt = now;
    m_retained.clear();
    if (segments.empty()) {
        return;
    }
    const SegmentNumber base = segments.back().segment.base;
    const bool rebuild = !m_listed || base > m_next;
    if (rebuild) {
        m_table = ClaimTable();
    }
    const SegmentNumber from = rebuild ? base : m_next;
    for (const StoredSegment &stored : segments) {
        m_retained.push_back({stored.number, stored.version});
        if (stored.number >= from) {
            m_table.fold(stored.number, stored.segment);
        }
    }
    m_lastClock = segments.back().segment.clock;
    advanceTo(segments.back().number + 1);
}

void LedgerWriter::answerQueued()
{
    returnBatch();
    std::erase_if(m_ends, [this](const QueuedEnd &queued) {
        removeQueuedClaim(queued.end.token);
        const bool settled = isEndSettled(queued.end);
        if (settled) {
            acknowledge(queued.from, queued.end);
        }
        return settled;
    });
    if (m_ends.empty()) {
        m_endsDue = TimePoint::max();
    }
    std::erase_if(m_claims, [this](const QueuedClaim &claim) {
        const ClaimHolder *holder = m_table.find(claim.request.key);
        if (holder != nullptr) {
            m_queuedTokens.erase(claim.request.token);
            answerFromTable(claim.request, *holder);
        }
        return holder != nullptr;
    });
}

bool LedgerWriter::isEndSettled(const ClaimEnd &end) const
{
    const ClaimHolder *holder = m_table.find(end.key);
    if (holder != nullptr && holder->token == end.token && holder->state != ClaimState::InProgress) {
        return true;
    }
    // This writer's table may be behind and lack the claim. If a finish were confirmed without a record, its client would remove the token and, on a
    // later grant, withdraw a claim that ran. So a finish is confirmed only by a record. A withdrawal needs none, since the client withdraws
    // again whenever it receives the grant.
    const bool mayBecomeDurable = m_uncertain.contains(end.token) || m_queuedTokens.contains(end.token);
    return end.kind == RecordKind::Withdraw && !mayBecomeDurable && !m_table.isInProgress(end.key, end.token);
}

void LedgerWriter::answerFromTable(const ClaimRequest &request, const ClaimHolder &holder)
{
    if (holder.token == request.token && holder.state == ClaimState::InProgress) {
        m_answers.push_back({request.host, {LedgerAnswerKind::Granted, request.key, request.token, {}, {}, {}}});
        return;
    }
    ClaimState state = holder.state;
    if (state == ClaimState::InProgress && !m_live.contains(holder.host)) {
        state = ClaimState::Unknown;
    } else if (state == ClaimState::InProgress) {
        // The holder's host may have given up before it received the grant, and its withdrawal may have been lost. The key would stay "in progress"
        // though nothing runs. On receiving the grant again, the holder's client withdraws or finishes the claim.
        m_answers.push_back({holder.host, {LedgerAnswerKind::Granted, request.key, holder.token, {}, {}, {}}});
    }
    m_answers.push_back({request.host, {LedgerAnswerKind::Repeated, request.key, request.token, holder.request, holder.host, state}});
}

void LedgerWriter::acknowledge(const HostId &to, const ClaimEnd &end)
{
    m_answers.push_back({to, {LedgerAnswerKind::Ended, end.key, end.token, {}, {}, {}}});
}

void LedgerWriter::removeQueuedClaim(const ClaimToken &token)
{
    if (!m_queuedTokens.contains(token)) {
        return;
    }
    const std::size_t removed = std::erase_if(m_claims, [&token](const QueuedClaim &claim) { return claim.request.token == token; });
    if (removed > 0) {
        m_queuedTokens.erase(token);
    }
}

} // namespace Rhubarbwind
