// Group commit on a log of create-if-absent objects.
//
// The log is the only truth and the table its fold, so each answer is read off the table and none depends on
// which try, or which writer, made a segment durable. That leaves three states between calls: the log must be
// listed (m_need is List), segment m_next must be read (ReadBack), or m_next may be written (Append).
// One object a claim was the simpler way; it spends one of the platform's writes on every claim and was
// measured against this one (ledgermeasure_test.cpp).

#include "ledger/ledgerwriter.h"

#include <algorithm>
#include <utility>

namespace Rhubarbwind
{

namespace
{

// A record larger than this is refused, so that a batch always holds at least one record.
constexpr std::size_t maxRecordBytes = 4096;
// Doublings of the back-off before it stops growing; the ceiling is reached long before.
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
    if (m_retired || m_known.contains(request.token)) {
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
    m_known.insert(request.token);
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
    forgetQueued(end.token);
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
    m_known.clear();
    for (const QueuedClaim &claim : m_batch) {
        m_known.insert(claim.request.token);
    }
}

void LedgerWriter::resume()
{
    m_retired = false;
}

std::optional<LedgerCall> LedgerWriter::nextCall(TimePoint now)
{
    if (m_retired || m_callUnderWay || now < m_retryAt) {
        return std::nullopt;
    }
    if (m_need == LedgerCallKind::Append && !hasWork(now)) {
        return std::nullopt;
    }
    if (m_need == LedgerCallKind::Append && !isTrusted(now)) {
        m_need = LedgerCallKind::List;
    }
    LedgerCall call{m_need, m_next, {}};
    if (m_need == LedgerCallKind::Append) {
        call = startAppend(now);
        if (call.segment.records.empty()) {
            return std::nullopt;
        }
    }
    m_callUnderWay = true;
    m_sentAt = now;
    return call;
}

void LedgerWriter::listDone(const std::vector<StoredSegment> &segments, TimePoint now, Random &random)
{
    if (!isWhole(segments)) {
        ++m_counts.brokenLists;
        listFailed(now, random);
        return;
    }
    callEnded();
    foldList(segments, now);
    m_provenAt = m_sentAt;
    m_need = LedgerCallKind::Append;
    m_listed = true;
    m_failures = 0;
    settle();
}

void LedgerWriter::listFailed(TimePoint now, Random &random)
{
    callEnded();
    retryLater(now, random);
}

void LedgerWriter::appendDone(ObjectVersion version, TimePoint now)
{
    callEnded();
    if (isTrusted(now)) {
        foldNext({m_next, version, std::move(m_sent)}, now);
        return;
    }
    // Failure: this host was frozen so long that the number may have been removed and was absent again. Symptom: the
    // platform confirms an append that no reader counts. Listing the log shows whether it counts.
    markDoubtful();
    returnBatch();
    m_need = LedgerCallKind::List;
}

void LedgerWriter::appendFailed(PlatformErrorKind kind, TimePoint now, Random &random)
{
    callEnded();
    if (kind == PlatformErrorKind::Conflict) {
        ++m_counts.conflicts;
        m_conflicted = true;
        m_need = LedgerCallKind::ReadBack;
    } else if (kind == PlatformErrorKind::Unknown) {
        ++m_counts.lostAnswers;
        markDoubtful();
        m_need = LedgerCallKind::ReadBack;
    } else {
        retryLater(now, random);
    }
    returnBatch();
}

void LedgerWriter::readBackDone(const StoredSegment &segment, TimePoint now)
{
    callEnded();
    if (!isTrusted(now) || segment.number != m_next || segment.segment.base > segment.number) {
        m_need = LedgerCallKind::List;
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
    // Taken, yet absent: the log moved on so far that the segment was removed.
    m_need = m_conflicted ? LedgerCallKind::List : LedgerCallKind::Append;
    retryLater(now, random);
}

std::optional<SegmentRemoval> LedgerWriter::nextRemoval(TimePoint now)
{
    if (m_retired || m_removalUnderWay || now < m_removeAt || m_kept.empty() || m_kept.front().number >= m_table.base()) {
        return std::nullopt;
    }
    m_removalUnderWay = true;
    return SegmentRemoval{m_kept.front().number, m_kept.front().version};
}

void LedgerWriter::removalDone(bool removed, TimePoint now, Random &random)
{
    m_removalUnderWay = false;
    if (!removed) {
        m_removeAt = now + fromSeconds((1.0 + random.uniform()) * toSeconds(m_options.retryMost));
        return;
    }
    // A list that came in meanwhile may have shown the segment gone already.
    if (!m_kept.empty() && m_kept.front().number < m_table.base()) {
        m_kept.pop_front();
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
    const bool removalWaits = !m_removalUnderWay && !m_kept.empty() && m_kept.front().number < m_table.base();
    const TimePoint removal = removalWaits ? m_removeAt : TimePoint::max();
    if (m_callUnderWay) {
        return removal;
    }
    const TimePoint call = m_need == LedgerCallKind::Append ? workDueAt() : m_retryAt;
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
    std::string line = "next " + std::to_string(m_next) + " need " + std::to_string(static_cast<int>(m_need)) + (m_listed ? " listed" : "")
        + (m_callUnderWay ? " calling" : "") + (m_conflicted ? " conflicted" : "") + (m_retired ? " retired" : "") + " claims";
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
    for (const ClaimToken &token : m_doubtful) {
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

bool LedgerWriter::isTrusted(TimePoint now) const
{
    return now - m_provenAt < m_options.retention / 2;
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
    const bool room = takeClaims(segment, bytes, now);
    if (room) {
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
            m_known.erase(claim.request.token);
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
            m_known.erase(claim.request.token);
        }
        return expired;
    });
}

void LedgerWriter::returnBatch()
{
    if (m_retired) {
        m_known.clear();
    } else {
        m_claims.insert(m_claims.begin(), m_batch.begin(), m_batch.end());
    }
    m_batch.clear();
}

void LedgerWriter::markDoubtful()
{
    m_doubtNumber = m_next;
    for (const QueuedClaim &claim : m_batch) {
        m_doubtful.insert(claim.request.token);
    }
}

void LedgerWriter::callEnded()
{
    m_callUnderWay = false;
}

void LedgerWriter::retryLater(TimePoint now, Random &random)
{
    ++m_counts.failedCalls;
    const double doubled = toSeconds(m_options.retryFirst) * static_cast<double>(1U << std::min(m_failures, maxDoublings));
    const double ceiling = std::min(doubled, toSeconds(m_options.retryMost));
    ++m_failures;
    m_retryAt = now + fromSeconds(random.uniform() * ceiling);
}

void LedgerWriter::foldNext(const StoredSegment &stored, TimePoint now)
{
    m_table.fold(stored.number, stored.segment);
    m_kept.push_back({stored.number, stored.version});
    m_lastClock = stored.segment.clock;
    m_lastFoldedAt = now;
    m_provenAt = m_sentAt;
    m_failures = 0;
    m_need = LedgerCallKind::Append;
    moveTo(stored.number + 1);
    dropRecordedEnds(stored.segment);
    settle();
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

void LedgerWriter::moveTo(SegmentNumber next)
{
    m_next = next;
    m_conflicted = false;
    if (m_next > m_doubtNumber) {
        m_doubtful.clear();
    }
}

bool LedgerWriter::isWhole(const std::vector<StoredSegment> &segments) const
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
    m_kept.clear();
    if (segments.empty()) {
        return;
    }
    const SegmentNumber base = segments.back().segment.base;
    const bool afresh = !m_listed || base > m_next;
    if (afresh) {
        m_table = ClaimTable();
    }
    const SegmentNumber from = afresh ? base : m_next;
    for (const StoredSegment &stored : segments) {
        m_kept.push_back({stored.number, stored.version});
        if (stored.number >= from) {
            m_table.fold(stored.number, stored.segment);
        }
    }
    m_lastClock = segments.back().segment.clock;
    moveTo(segments.back().number + 1);
}

void LedgerWriter::settle()
{
    returnBatch();
    std::erase_if(m_ends, [this](const QueuedEnd &queued) {
        forgetQueued(queued.end.token);
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
            m_known.erase(claim.request.token);
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
    // Failure: this writer's table is behind and lacks the claim. Symptom: a finish confirmed without a record is forgotten by its
    // desk, which then withdraws a claim that ran. So a finish is confirmed by a record alone; a withdrawal need not be, since its
    // desk withdraws again whenever it hears of the grant.
    const bool mayBecomeDurable = m_doubtful.contains(end.token) || m_known.contains(end.token);
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
        // Failure: the holder's host gave up before it heard of the grant, and its withdrawal was lost. Symptom: the key stays
        // "in progress" though nothing runs. Told of the grant again, the holder's desk withdraws or finishes it.
        m_answers.push_back({holder.host, {LedgerAnswerKind::Granted, request.key, holder.token, {}, {}, {}}});
    }
    m_answers.push_back({request.host, {LedgerAnswerKind::Repeated, request.key, request.token, holder.request, holder.host, state}});
}

void LedgerWriter::acknowledge(const HostId &to, const ClaimEnd &end)
{
    m_answers.push_back({to, {LedgerAnswerKind::Ended, end.key, end.token, {}, {}, {}}});
}

void LedgerWriter::forgetQueued(const ClaimToken &token)
{
    if (!m_known.contains(token)) {
        return;
    }
    const std::size_t removed = std::erase_if(m_claims, [&token](const QueuedClaim &claim) { return claim.request.token == token; });
    if (removed > 0) {
        m_known.erase(token);
    }
}

} // namespace Rhubarbwind
