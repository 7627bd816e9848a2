#pragma once

// The writer of one ledger shard, as a decision without I/O.
//
// It gathers claims and appends them to the shard's log in numbered segments, each created only if absent
// (group commit: one append in flight, the rest gather). A claim is answered from the log alone: Granted once a
// durable segment makes its token the holder, Repeated once another token is.
//
// What it promises, whatever other writers do, however long it was paused, whichever answers are lost:
//   - No key is granted to two tokens, unless the first one's own host withdrew it before dispatch or the
//     retention time has passed. The segment number is the fence: a writer that fell behind finds its next number
//     taken, folds in what stands there, and only then goes on. A new writer lists the log before it appends.
//   - A lost answer (Unknown) is resolved by reading the segment back. Whatever stands there is folded in, so it
//     does not matter whose it is, nor whether it is an earlier try with other claims. While the number is still
//     absent the writer tries the same number again: a late effect of the earlier try can then only land there.
//   - A finish is confirmed only once a record of it is durable, so its desk may forget the claim.
//   - A withdrawal of a claim that may be in a try whose answer was lost is never confirmed by itself: it is appended, so
//     it stands in the log after the claim.
//
// Clean-up: each segment carries a base, below which segments no longer count, and the log's clock. The
// clock adds the time that writers measured between folding one segment and writing the next, so it never
// runs faster than time and needs no common clock. The base passes a segment once it is `retention` old;
// only then may the segment be removed, lowest first. A removed number is absent again, which would open the
// fence to a writer paused for that long. So a writer trusts its place in the log only for retention/2 from before
// the call that proved it; later answers are not believed until the log was listed again.
//
// Use: hand events in, then call nextCall(), nextRemoval(), takeAnswers() and wakeAt(). Each call handed out
// must be answered by exactly one of the ...Done or ...Failed functions.
//
// Cost: a map operation a record; memory about 400 bytes a key held and 300 bytes a claim queued.
// Limits: keyLimit keys (further claims are answered Unavailable) and queueLimit claims and ends. A new writer lists the whole log of
// the retention time in one call, which must fit the object client's maxAnswerBytes (32 MB). A key is
// protected for `retention` after its claim: repeats that come later, and requests that run longer, are not. A steady clock
// that stands still for retention/2 while a call is under way (a suspended machine) defeats the clean-up's fence.

#include "base/random.h"
#include "ledger/claimtable.h"
#include "ledger/ledgermessages.h"
#include "platform/objectapi.h"

#include <set>

namespace Rhubarbwind
{

struct LedgerWriterOptions
{
    std::size_t batchRecords = 500; ///< most records in a segment; 1: one object a claim
    std::size_t batchBytes = 262'144; ///< most text in a segment, well under the platform's 1 MB a value
    std::size_t queueLimit = 10'000; ///< most claims waiting, and most ends waiting
    std::size_t keyLimit = 60'000; ///< most keys held; about 400 bytes each in the log, which a new writer lists whole
    Duration retention = 1h; ///< how long a key stays taken after its claim
    Duration endDelay = 200ms; ///< longest that an end waits for claims to ride along with
    Duration appendInterval = 100ms; ///< least time between appends: keeps a host that serves two shards within its part of the writes
    Duration retryFirst = 20ms; ///< first ceiling of the back-off after a failed call
    Duration retryMost = 2s; ///< largest ceiling
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

/** A segment as the platform holds it. */
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
    std::uint64_t brokenLists = 0; ///< lists with a gap or shorter than what was seen before: never believed
};

class LedgerWriter
{
public:
    LedgerWriter(std::string id, const LedgerWriterOptions &options);

    /** Which hosts are alive: a repeat of a claim whose host is gone is told Unknown. */
    void setLive(std::span<const HostId> hosts);

    void claim(const ClaimRequest &request, TimePoint now);
    void end(const HostId &from, const ClaimEnd &end, TimePoint now);
    /** The shard went to another host: forgets what waits (the desks send it there) and makes no further call. */
    void retire();
    /** The shard came back before the retired writer was let go. */
    void resume();

    /** The next call on the log; at most one is under way. */
    std::optional<LedgerCall> nextCall(TimePoint now);
    /** Segments in ascending order of number; those that do not parse must be reported as listFailed(). */
    void listDone(const std::vector<StoredSegment> &segments, TimePoint now, Random &random);
    void listFailed(TimePoint now, Random &random);
    void appendDone(ObjectVersion version, TimePoint now);
    void appendFailed(PlatformErrorKind kind, TimePoint now, Random &random);
    void readBackDone(const StoredSegment &segment, TimePoint now);
    void readBackFailed(PlatformErrorKind kind, TimePoint now, Random &random);

    /** A segment to remove; apart from the log's calls, so that it never delays a claim. */
    std::optional<SegmentRemoval> nextRemoval(TimePoint now);
    /** @param removed false when it must be tried again */
    void removalDone(bool removed, TimePoint now, Random &random);

    std::vector<AddressedAnswer> takeAnswers();
    /** When nextCall() or nextRemoval() may have something new; TimePoint::max() when only an event can bring it. */
    TimePoint wakeAt() const;
    /** True when no call is under way, so that a retired writer may be let go. */
    bool isIdle() const
    {
        return !m_callUnderWay && !m_removalUnderWay;
    }
    LedgerWriterStatus status() const;
    /** Everything that decides the next steps but the time, on one line: for the debug log and for searches. */
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
    struct KeptSegment
    {
        SegmentNumber number;
        ObjectVersion version;
    };

    bool hasWork(TimePoint now) const;
    TimePoint workDueAt() const;
    bool isTrusted(TimePoint now) const;
    Duration logClock(TimePoint now) const;
    LedgerCall startAppend(TimePoint now);
    bool takeClaims(LedgerSegment &segment, std::size_t &bytes, TimePoint now);
    void takeEnds(LedgerSegment &segment, std::size_t &bytes);
    void dropExpired(TimePoint now);
    void returnBatch();
    void markDoubtful();
    void moveTo(SegmentNumber next);
    void callEnded();
    void retryLater(TimePoint now, Random &random);
    void foldNext(const StoredSegment &stored, TimePoint now);
    bool isWhole(const std::vector<StoredSegment> &segments) const;
    void foldList(const std::vector<StoredSegment> &segments, TimePoint now);
    void dropRecordedEnds(const LedgerSegment &segment);
    void settle();
    bool isEndSettled(const ClaimEnd &end) const;
    void answerFromTable(const ClaimRequest &request, const ClaimHolder &holder);
    void acknowledge(const HostId &to, const ClaimEnd &end);
    void forgetQueued(const ClaimToken &token);

    std::string m_id;
    LedgerWriterOptions m_options;
    std::set<HostId> m_live;

    ClaimTable m_table;
    SegmentNumber m_next = firstSegment;
    std::deque<KeptSegment> m_kept; ///< segments believed to exist, ascending; the front is removed first
    Duration m_lastClock{}; ///< the clock of the last folded segment
    TimePoint m_lastFoldedAt;
    TimePoint m_provenAt; ///< before the call was sent that showed m_next to be the end of the log

    LedgerCallKind m_need = LedgerCallKind::List;
    bool m_listed = false;
    bool m_retired = false;
    bool m_callUnderWay = false;
    TimePoint m_sentAt;
    TimePoint m_retryAt;
    TimePoint m_lastAppendAt;
    unsigned m_failures = 0;
    bool m_conflicted = false; ///< m_next was taken, but has not been read yet

    std::deque<QueuedClaim> m_claims;
    std::deque<QueuedEnd> m_ends;
    std::set<ClaimToken> m_known; ///< tokens in m_claims and m_batch
    std::vector<QueuedClaim> m_batch; ///< claims in the append under way
    LedgerSegment m_sent; ///< the append under way
    TimePoint m_endsDue = TimePoint::max();
    std::set<ClaimToken> m_doubtful; ///< tokens in tries at m_doubtNumber whose answers were lost
    SegmentNumber m_doubtNumber = 0;

    bool m_removalUnderWay = false;
    TimePoint m_removeAt;

    std::vector<AddressedAnswer> m_answers;
    LedgerWriterStatus m_counts;
};

} // namespace Rhubarbwind
