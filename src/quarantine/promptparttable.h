#pragma once

// Detects prompt parts that crash the endpoints that begin to answer a prompt with them. Pure decision logic; performs no I/O.
//
// Requests that share nothing but one part of their prompts may each crash an engine. A table of requests (suspecttable.h) sees each of them for the first
// time. This table counts the crashes of each part of the interrupted prompts, except the last part, which belongs to one request. Hosts send each other
// crashes and evidence, not decisions; the state of a part depends on these sets alone, so hosts with the same sets come to the same result.
//
// Evidence. Any crash makes suspects of all parts of all prompts at that engine. Unaffected parts are answered elsewhere all the time. An answer on the part
// that began after a crash voids the crash:
//   - one that is complete voids any crash;
//   - one in progress, with at least `earlyEvents` events, voids a crash before which no interrupted request on the part had got so far.
// An answer that began before the crash proves nothing, since what the engines do with a part may have changed meanwhile.
//
// Customers. Callers state the parts themselves. So that nobody clears a part that others use by stating it in a harmless request, an answer voids the
// crashes of its own customer only, unless answers of two customers agree. So that nobody has a part of others refused by stating it in a harmful request, a
// quarantine concerns the customers whose requests were at all of the crashes, and all customers only if there are none.
//
// Decision. The rule is that of requests (crashproof.h). A crash is attributed to one quarantined part only: parts are examined from those without any
// recent answer to those with answers, and from the end of the prompts to their beginning, since an earlier part is shared by more requests; a crash that a
// quarantined part explains does not count for the other parts.
//
// Quarantine. It lasts as that of a request. Then one request in the fleet may try the part (PartState::Trial), and its end decides for all hosts.
//
// Limits: `maxParts` records, with `maxCrashesKept` crashes and `maxEvidenceKept` customers' evidence each, below 1 KB a record. When full, a record with
// the fewest crashes is evicted: of these, one of the customer that has most of them, the oldest first.
//
// Cost: a lookup by shape for each part of each request while the table is not empty.

#include "quarantine/crashproof.h"
#include "quarantine/promptpart.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

/** A crash under requests of one customer on a part. */
struct PartCrash
{
    Crash crash; ///< chance 1 if the reporting host had recently seen answers on the part
    std::uint32_t customer = 0; ///< digest of the customer's id
    bool isEarly = false; ///< a request on the part had less than `earlyEvents` events
    friend bool operator==(const PartCrash &, const PartCrash &) = default;
};

/** An answer to a request on a part. */
struct PartEvidence
{
    std::uint32_t customer = 0;
    TimePoint begunAt{}; ///< when the answer began
    bool isComplete = false; ///< if not, it has at least `earlyEvents` events
    friend bool operator==(const PartEvidence &, const PartEvidence &) = default;
};

/** Events of an answer before which a crash counts as early, and from which on the answer is evidence. */
inline constexpr std::size_t earlyEvents = 3;

struct PartOptions
{
    QuarantineRule rule;
    Duration suspectLifetime = 30min; ///< since the last crash
    Duration evidenceLifetime = 1min; ///< of a record without crashes; longer than hosts are cut off from each other without being considered dead
    std::size_t maxParts = 1024;
    std::size_t maxCrashesKept = 16;
    std::size_t maxEvidenceKept = 4;
};

enum class PartState : std::uint8_t {
    Unsuspected,
    Suspect,
    Quarantined, ///< requests on it are not run for a while
    Trial, ///< its quarantine has ended: one request may run
};

struct PartStatus
{
    PartState state = PartState::Unsuspected;
    std::size_t crashes = 0; ///< that no evidence has voided
    TimePoint quarantinedUntil{};
};

struct PartRow
{
    PartSuspect part;
    PartStatus status;
    std::vector<PartCrash> crashes; ///< in order of time
    std::vector<PartEvidence> evidence; ///< the latest of each customer
    TimePoint liftedAt{}; ///< zero: never
    bool concernsAllCustomers = false; ///< the quarantine
};

/** A part that has become quarantined, or is no longer. */
struct PartChange
{
    PartSuspect part;
    bool isQuarantined = false;
};

class PromptPartTable
{
public:
    explicit PromptPartTable(PartOptions options)
        : m_options(options)
    {
    }

    /** True if a suspected part has this shape. */
    bool knowsShape(std::uint64_t shape) const
    {
        return !m_shapes.empty() && m_shapes.contains(shape);
    }
    /** True if no part is suspected. */
    bool empty() const
    {
        return m_shapes.empty();
    }
    PartStatus status(const PartIdentity &part, std::uint32_t customer, TimePoint now) const;
    /** In order of time; empty if the part is unknown. */
    std::span<const PartCrash> crashes(const PartIdentity &part) const;

    /** @return true if this was new and not void */
    bool addCrash(const PartSuspect &part, const PartCrash &crash);
    /** Whether the evidence would void a crash of the part. */
    bool isUseful(const PartIdentity &part, const PartEvidence &evidence) const;
    /** @return true if this was new */
    bool addEvidence(const PartSuspect &part, const PartEvidence &evidence);
    /** Voids all crashes until then, on behalf of an operator. */
    bool lift(const PartSuspect &part, TimePoint at);
    /** Decides anew after additions. @return what has changed since the previous call */
    std::vector<PartChange> decide();
    /** Removes expired records; to be called about once a second. */
    void forget(TimePoint now);

    /** Records with crashes or evidence, the quarantined ones first, then by their number of crashes. */
    std::vector<PartRow> rows(TimePoint now) const;
    std::size_t size() const
    {
        return m_records.size();
    }

private:
    struct Record
    {
        PartSuspect part;
        std::vector<PartCrash> crashes; ///< not void; in order of time
        std::vector<PartEvidence> evidence; ///< the latest first; one entry a customer and kind
        TimePoint liftedAt{};
        // Decided:
        bool isExplained = false; ///< a quarantined part explains all its crashes
        std::optional<TimePoint> until; ///< end of the quarantine
        std::vector<std::uint32_t> customers; ///< whom the quarantine concerns; empty: all
    };
    using Records = std::map<PartIdentity, Record>;

    bool isVoid(const Record &record, const PartCrash &crash) const;
    Record &recordOf(const PartSuspect &part);
    PartStatus statusOf(const Record &record, TimePoint now) const;
    bool isExpired(const Record &record, TimePoint now) const;
    void voidCrashes(Record &record);
    void trim(std::vector<PartCrash> &crashes) const;
    void evictOne();
    Records::iterator erase(Records::iterator record);

    PartOptions m_options;
    Records m_records;
    std::unordered_map<std::uint64_t, std::size_t> m_shapes; ///< number of records with crashes, by shape
    bool m_isDecided = true;
};

} // namespace Rhubarbwind
