#pragma once

// LedgerWriter is the writer of one ledger shard. Pure decision logic; performs no I/O.
//
// It collects claims and appends them to the shard's log in numbered segments, each created only if absent. This is group commit: one append is in
// flight while further claims queue. Claims are answered from the log alone: Granted once a durable segment makes the token the holder,
// Repeated once another token is the holder.
//
// Guarantees, whatever other writers do, however long this one is paused and whichever answers are lost:
//   - No key is granted to two tokens, unless the first token's own host withdrew it before dispatch or the retention time has passed. The
//     segment number is the fence: a writer that fell behind finds its next number taken and folds in that segment before it goes on. A new
//     writer lists the log before it appends.
//   - A lost answer (Unknown) is resolved by reading the segment back. Whichever segment is found is folded in, so it does not matter which writer
//     wrote it, nor whether it is an earlier attempt with other claims. While the number is absent, the writer retries the same number, so a
//     late effect of the earlier attempt can only land there.
//   - A finish is confirmed only once a record of it is durable; the client may then remove the claim.
//   - A withdrawal of a claim that may be in an attempt whose answer was lost is never confirmed without a record: it is appended, so that
//     it follows the claim in the log.
//
// Cleanup: each segment carries a base, below which segments no longer count, and the log's clock. The clock adds up the time that writers
// measured between folding one segment and writing the next, so it never runs faster than real time and needs no clock shared by the hosts.
// The base passes a segment once it is `retention` old; only then may the segment be removed, lowest number first. A removed number is absent
// again, so the fence would no longer stop a writer that was paused for that long. A writer therefore relies on its position in the log only for
// retention/2, counted from before the call that verified it. Answers that arrive later are ignored until the log has been listed again.
//
// Use: pass events in, then call nextCall(), nextRemoval(), takeAnswers() and wakeAt(). Each call returned must be answered by exactly one of the
// ...Done or ...Failed functions.
//
// Cost: one map operation a record; about 400 bytes of memory a held key and 300 bytes a queued claim.
// Limits:
//   - keyLimit keys (further claims are answered Unavailable) and queueLimit claims and ends.
//   - A new writer lists the whole log of the retention time in one call, which must fit the object client's maxAnswerBytes (32 MB).
//   - A key is protected for `retention` after its claim: later repeats, and requests that run longer, are not protected.
//   - A steady clock that stops for retention/2 while a call is in flight (a suspended machine) defeats the fence against removed numbers.

#include "base/random.h"
#include "ledger/claimtable.h"
#include "ledger/ledgermessages.h"
#include "platform/objectapi.h"

#include <set>

namespace Rhubarbwind
{

struct LedgerWriterOptions
{
    std::size_t batchRecords = 500; ///< maximum records in a segment; 1: one object a claim
    std::size_t batchBytes = 262'144; ///< maximum text in a segment, well below the platform's limit of 1 MB a value
    std::size_t queueLimit = 10'000; ///< maximum queued claims, and maximum queued ends
    std::size_t keyLimit = 60'000; ///< maximum held keys; about 400 bytes each in the log, which a new writer lists as a whole
    Duration retention = 1h; ///< how long a key stays taken after its claim
    Duration endDelay = 200ms; ///< maximum time that an end waits to share an append with claims
    Duration appendInterval = 100ms; ///< minimum time between appends: keeps a host that serves two shards within its share of the platform's writes
    Duration initialBackoff = 20ms; ///< upper bound of the first backoff after a failed call
    Duration maxBackoff = 2s; ///< maximum upper bound
};

enum class LedgerCallKind : std::uint8_t {
    List, ///< read all segments of the shard
    ReadBack, ///< read segment `number`
    Append, ///< create segment `number` if absent
};

struct LedgerCall
{
    LedgerCallKind kind = LedgerCallKind::List;
    SegmentNumber number = 0;
    LedgerSegment segment; ///< with Append
};

/** A segment as the platform stores it. */
struct StoredSegment
{
    SegmentNumber number = 0;
    ObjectVersion version = 0;
    LedgerSegment segment;
};

struct SegmentRemoval
{
    SegmentNumber number = 0;
    ObjectVersion version = 0;
};

struct AddressedAnswer
{
    HostId to;
    LedgerAnswer answer;
};

/** For status pages and metrics. */
struct LedgerWriterStatus
{
    SegmentNumber nextNumber = 0;
    bool reading = true; ///< the log has not been read to its end yet
    std::size_t keys = 0;
    std::size_t waitingClaims = 0;
    std::size_t waitingEnds = 0;
    std::uint64_t appends = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t failedCalls = 0;
    std::uint64_t brokenLists = 0; ///< listings with a gap, or shorter than the log seen before; they are ignored
};

class LedgerWriter
{
public:
    LedgerWriter(std::string id, const LedgerWriterOptions &options);

    /** Sets the live hosts. A repeat of a claim whose host is not live receives Unknown. */
    void setLive(std::span<const HostId> hosts);

    void claim(const ClaimRequest &request, TimePoint now);
    void end(const HostId &from, const ClaimEnd &end, TimePoint now);
    /** The shard moved to another host: drops what is queued (the clients resend it to the new owner) and makes no further call. */
    void retire();
    /** The shard returned to this host before the retired writer was destroyed. */
    void resume();

    /** Returns the next call on the log. At most one is in flight. */
    std::optional<LedgerCall> nextCall(TimePoint now);
    /** @param segments in ascending order of number; a listing with a segment that does not parse must be reported by listFailed() */
    void listDone(const std::vector<StoredSegment> &segments, TimePoint now, Random &random);
    void listFailed(TimePoint now, Random &random);
    void appendDone(ObjectVersion version, TimePoint now);
    void appendFailed(PlatformErrorKind kind, TimePoint now, Random &random);
    void readBackDone(const StoredSegment &segment, TimePoint now);
    void readBackFailed(PlatformErrorKind kind, TimePoint now, Random &random);

    /** Returns a segment to remove. Removals are separate from the calls on the log, so that they never delay a claim. */
    std::optional<SegmentRemoval> nextRemoval(TimePoint now);
    /** @param removed false when the removal must be retried */
    void removalDone(bool removed, TimePoint now, Random &random);

    std::vector<AddressedAnswer> takeAnswers();
    /** Returns when nextCall() or nextRemoval() may next return something; TimePoint::max() when that takes an event. */
    TimePoint wakeAt() const;
    /** True when no call is in flight, so that a retired writer may be destroyed. */
    bool isIdle() const
    {
        return !m_callInFlight && !m_removalInFlight;
    }
    LedgerWriterStatus status() const;
    /** Returns all state but the time that decides the next steps, on one line; for the debug log and for state-space searches. */
    std::string describe() const;

private:
    struct QueuedClaim
    {
        ClaimRequest request;
        TimePoint deadline;
    };
    struct QueuedEnd
    {
        HostId from;
        ClaimEnd end;
    };
    struct RetainedSegment
    {
        SegmentNumber number;
        ObjectVersion version;
    };

    bool hasWork(TimePoint now) const;
    TimePoint workDueAt() const;
    bool isPositionFresh(TimePoint now) const;
    Duration logClock(TimePoint now) const;
    LedgerCall startAppend(TimePoint now);
    bool takeClaims(LedgerSegment &segment, std::size_t &bytes, TimePoint now);
    void takeEnds(LedgerSegment &segment, std::size_t &bytes);
    void dropExpired(TimePoint now);
    void returnBatch();
    void markBatchUncertain();
    void advanceTo(SegmentNumber next);
    void callEnded();
    void retryLater(TimePoint now, Random &random);
    void foldNext(const StoredSegment &stored, TimePoint now);
    bool isComplete(const std::vector<StoredSegment> &segments) const;
    void foldList(const std::vector<StoredSegment> &segments, TimePoint now);
    void dropRecordedEnds(const LedgerSegment &segment);
    void answerQueued();
    bool isEndSettled(const ClaimEnd &end) const;
    void answerFromTable(const ClaimRequest &request, const ClaimHolder &holder);
    void acknowledge(const HostId &to, const ClaimEnd &end);
    void removeQueuedClaim(const ClaimToken &token);

    std::string m_id;
    LedgerWriterOptions m_options;
    std::set<HostId> m_live;

    ClaimTable m_table;
    SegmentNumber m_next = firstSegment;
    std::deque<RetainedSegment> m_retained; ///< segments presumed to exist, ascending; the front is removed first
    Duration m_lastClock{}; ///< the clock of the last folded segment
    TimePoint m_lastFoldedAt;
    TimePoint m_verifiedAt; ///< when the call that showed m_next to be the end of the log was sent

    LedgerCallKind m_nextCall = LedgerCallKind::List;
    bool m_listed = false;
    bool m_retired = false;
    bool m_callInFlight = false;
    TimePoint m_sentAt;
    TimePoint m_retryAt;
    TimePoint m_lastAppendAt;
    unsigned m_failures = 0;
    bool m_conflicted = false; ///< m_next is taken, but has not been read yet

    std::deque<QueuedClaim> m_claims;
    std::deque<QueuedEnd> m_ends;
    std::set<ClaimToken> m_queuedTokens; ///< tokens in m_claims and m_batch
    std::vector<QueuedClaim> m_batch; ///< claims in the append in flight
    LedgerSegment m_sent; ///< the append in flight
    TimePoint m_endsDue = TimePoint::max();
    std::set<ClaimToken> m_uncertain; ///< tokens in attempts at m_uncertainNumber whose answers were lost
    SegmentNumber m_uncertainNumber = 0;

    bool m_removalInFlight = false;
    TimePoint m_removeAt;

    std::vector<AddressedAnswer> m_answers;
    LedgerWriterStatus m_counts;
};

} // namespace Rhubarbwind
