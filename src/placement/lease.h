#pragma once

// The lease of a failure domain's placement owner, as a decision without I/O.
//
// The lease is one object, `placement/lease/{domain}`, changed by conditional update alone. It names its holder and
// a fencing number that grows with every change of holder. Leases are Gray and Cheriton's (1989), fencing numbers
// as in Burrows' Chubby (2006).
//
// What it promises: while isHeld() is true no other keeper holds the lease, provided that clocks run at
// rates within rateMargin of each other and do not stand still while a process is paused. A holder counts its time from before
// the write was sent; a successor counts from after it first saw the unchanged version, and waits the whole
// duration. A holder that is paused cannot know that it lost the lease until it looks at its clock again, so orders
// carry the fencing number, and placementowner.h says what protects endpoints that ignore it.
//
// A lost answer is resolved by reading back. If the lease then names this keeper, its time counts from the earliest
// write that was left open, never from the latest.
//
// Use: setWanted(), nextCall(), then exactly one ...Done or ...Failed for each call. Cost: one write a
// renewal, one read a poll. The object must never be deleted: its fencing number would start again.

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "platform/objectapi.h"

#include <optional>
#include <string>

namespace Rhubarbwind
{

struct LeaseRecord
{
    std::uint64_t fencing = 0;
    std::string holder; ///< unique id of the holder's process
    HostId host; ///< for operators
    OperationId operation; ///< the write that made this version
    Duration duration{};
    bool released = false; ///< the holder let go and has no order open
    friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

enum class LeaseError : std::uint8_t {
    Malformed,
};

std::string formatLease(const LeaseRecord &record);
Result<LeaseRecord, LeaseError> parseLease(std::string_view text);
std::string leaseKey(const FailureDomain &domain);

struct StoredLease
{
    ObjectVersion version = 0;
    LeaseRecord record;
};

struct LeaseOptions
{
    std::string holder; ///< unique id of this process
    HostId host;
    Duration duration = 15s;
    Duration renewEvery = 4s; ///< two renewals may fail before the lease is too short for an order
    Duration pollEvery = 3s; ///< how often another's lease is looked at
    double rateMargin = 0.05; ///< by how much two hosts' clocks may differ in rate
    Duration retryFirst = 50ms; ///< first ceiling of the back-off after a failed call
    Duration retryMost = 2s; ///< largest ceiling
};

enum class LeaseCallKind : std::uint8_t {
    Read,
    Write,
};

struct LeaseCall
{
    LeaseCallKind kind = LeaseCallKind::Read;
    LeaseRecord record; ///< with Write
    WriteCondition condition; ///< with Write
};

/** What an owner needs to know of its lease at one moment. */
struct LeaseView
{
    bool held = false;
    Duration remaining{};
    std::uint64_t fencing = 0;
    TimePoint since; ///< when the current fencing number was known to be ours
};

class LeaseKeeper
{
public:
    explicit LeaseKeeper(const LeaseOptions &options);

    /** @param mayRelease false while an order may still take effect: the lease is then kept until it runs out */
    void setWanted(bool wanted, bool mayRelease);
    /** Somebody refused our number: the lease is not trusted until it was read again. */
    void doubt();

    std::optional<LeaseCall> nextCall(TimePoint now);
    void readDone(const StoredLease &lease, TimePoint now);
    /** The object does not exist yet. */
    void readMissing(TimePoint now);
    void readFailed(TimePoint now, Random &random);
    void writeDone(ObjectVersion version, TimePoint now);
    void writeFailed(PlatformErrorKind kind, TimePoint now, Random &random);

    LeaseView view(TimePoint now) const;
    TimePoint wakeAt() const;
    /** What the lease said when it was last seen. */
    const std::optional<StoredLease> &known() const
    {
        return m_known;
    }
    /** What decides the next steps besides known(), on one line: for the debug log and for searches. Times are in ms from now. */
    std::string describe(TimePoint now) const;

private:
    std::string agoText(TimePoint time, TimePoint now) const;
    bool isMine() const;
    bool mayTakeOver(TimePoint now) const;
    TimePoint takeOverAt() const;
    LeaseCall write(std::uint64_t fencing, bool released);
    void callEnded();
    void retryLater(TimePoint now, Random &random);
    void becomeHolder(std::uint64_t fencing, TimePoint since, TimePoint now);

    LeaseOptions m_options;
    bool m_wanted = false;
    bool m_mayRelease = true;

    std::optional<StoredLease> m_known;
    bool m_missing = false; ///< read, and there was none
    TimePoint m_seenAt; ///< when the known version was first seen
    TimePoint m_validUntil;
    TimePoint m_since;
    std::uint64_t m_heldFencing = 0;

    bool m_needRead = true;
    bool m_callUnderWay = false;
    LeaseRecord m_written; ///< the write under way
    TimePoint m_sentAt;
    std::optional<TimePoint> m_openSince; ///< before the earliest write whose answer was lost, until resolved
    TimePoint m_renewAt;
    TimePoint m_pollAt;
    TimePoint m_retryAt;
    unsigned m_failures = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace Rhubarbwind
