#pragma once

// Detects requests that crash the endpoints that run them. Pure decision logic; performs no I/O.
//
// A request may crash each endpoint that begins to run it, and its caller sends it again, to any host, under a new id. Every such run breaks all
// streams of that endpoint. The table identifies requests by identity (requestidentity.h) and counts crashes: incarnations of endpoints that ended while
// they had the request. Hosts send each other crashes, not decisions, and the state of a request depends on the set of its crashes alone. So updates may
// arrive late, twice, in any order and by any path, and hosts that know the same crashes come to the same result.
//
// Decision. All requests that an endpoint had when it ended are suspects: the one that caused the crash, and up to a whole engine's worth of unaffected ones.
// They differ in that the latter complete, while a request that crashes whatever runs it never does. So:
//   - a request that is answered completely and successfully anywhere is cleared: all crashes before that are void, on every host;
//   - one with `crashesToQuarantine` crashes, in at least `crashEventsToQuarantine` crash events, and no completion since the first, is quarantined: it is
//     not run again for a while. Where engines crash one after the other anyway, so that all its crashes may be a coincidence (`chanceToQuarantine`), it
//     takes `sufficientCrashes`.
// Crashes within `crashEventWindow` count as one crash event: when a rack loses power, a popular request that is on all of its engines sees several
// crashes at once, with one cause. Copies of a crashing request that come in pairs need a second event, not a third.
//
// Quarantine. It lasts for `firstQuarantine` from the last crash; then the request may run again as any suspect does, one run at a time on a host. If that
// crashes an endpoint too, the quarantine is twice as long, up to `maxQuarantine`. So a request that a new engine version has fixed is cleared with one run,
// and one that is not fixed costs at most the streams of one engine per quarantine. On-call ends a quarantine by clearing the request.
//
// Limits: `maxSuspects` records with `maxCrashesKept` crashes each, about 0.4 KB a record. When full, a record with the fewest crashes is evicted: of these,
// one of the customer that has most of them, the oldest first. So a caller that sends thousands of bad requests displaces its own.
//
// Cost: a lookup by shape for each request while the table is not empty; an insertion into a full table scans all records.

#include "base/time.h"
#include "quarantine/requestidentity.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

/** The crash of an endpoint: an incarnation that ended unannounced while it had the request. */
struct Crash
{
    std::uint64_t incarnationKey = 0; ///< digest of the endpoint's id and incarnation
    std::uint32_t addressDigest = 0; ///< digest of the endpoint's address
    TimePoint at{};
    float chance = 0; ///< probability that the request did not cause it (crashhistory.h)
    friend bool operator==(const Crash &, const Crash &) = default;
};

/** A request as identified in the table. */
struct Suspect
{
    RequestIdentity identity;
    std::uint64_t shape = 0;
    std::uint32_t customer = 0; ///< digest of the customer's id
    friend bool operator==(const Suspect &, const Suspect &) = default;
};

struct SuspectOptions
{
    std::size_t crashesToQuarantine = 3; ///< two may be a coincidence where engines crash often; with three the caller has had a second try
    std::size_t crashEventsToQuarantine = 2;
    double chanceToQuarantine = 0.0001; ///< of ten thousand suspects with such crashes, one may be unaffected
    /** However likely a coincidence: beyond it the streams that break with each further engine outweigh one caller's request. */
    std::size_t sufficientCrashes = 5;
    Duration crashEventWindow = 250ms; ///< the connections to a rack's engines break within it, also as seen by hosts with full links
    Duration suspectLifetime = 30min; ///< since the last crash; callers retry within seconds or minutes, and a completion clears at once
    Duration firstQuarantine = 10min; ///< long compared with the seconds that an engine is unavailable, short compared with a day of wrongly refused service
    Duration maxQuarantine = 2h;
    std::size_t maxSuspects = 2048; ///< the requests of eight engines for each of a few concurrent crashes; below 1 MB
    std::size_t maxCrashesKept = 10; ///< the first ones, which decide the quarantine, and the latest, which decide its duration
};

enum class SuspectState : std::uint8_t {
    Unsuspected,
    Suspect, ///< runs one at a time on a host
    Quarantined, ///< is not run again for a while
};

struct SuspectStatus
{
    SuspectState state = SuspectState::Unsuspected;
    std::size_t crashes = 0;
    TimePoint quarantinedUntil{};
};

/** The effect of a reported crash. */
struct SuspectChange
{
    bool isNew = false;
    SuspectState before = SuspectState::Unsuspected;
    SuspectStatus after;

    bool startsQuarantine() const
    {
        return before != SuspectState::Quarantined && after.state == SuspectState::Quarantined;
    }
};

struct SuspectRow
{
    Suspect suspect;
    SuspectStatus state;
    std::vector<Crash> crashes; ///< in order of time
    TimePoint clearedAt{}; ///< zero: never
};

class SuspectTable
{
public:
    explicit SuspectTable(SuspectOptions options)
        : m_options(options)
    {
    }

    /** True if a suspect has this shape; false for nearly all requests. */
    bool knowsShape(std::uint64_t shape) const
    {
        return m_shapes.contains(shape);
    }
    SuspectStatus state(const RequestIdentity &identity, TimePoint now) const;
    /** In order of time; empty if the request is unknown. */
    std::span<const Crash> crashes(const RequestIdentity &identity) const;

    /** Records the crash of an endpoint that had the request. */
    SuspectChange addCrash(const Suspect &suspect, const Crash &crash, TimePoint now);
    /** Clears a request that was answered completely and successfully, or that on-call cleared. @return true if this was new */
    bool markCleared(const Suspect &suspect, TimePoint at, TimePoint now);
    /** Removes expired records; to be called about once a second. */
    void forget(TimePoint now);

    /** All records, the quarantined ones first, then by their number of crashes. */
    std::vector<SuspectRow> rows(TimePoint now) const;
    std::size_t size() const
    {
        return m_records.size();
    }

private:
    struct Record
    {
        Suspect suspect;
        std::vector<Crash> crashes; ///< in order of time
        TimePoint clearedAt{};
    };
    using Records = std::map<RequestIdentity, Record>;

    SuspectStatus statusOf(const Record &record, TimePoint now) const;
    std::optional<TimePoint> quarantinedUntil(std::span<const Crash> crashes) const;
    std::size_t crashEventsOf(std::span<const Crash> crashes) const;
    bool isProven(std::span<const Crash> crashes) const;
    bool add(Record &record, const Crash &crash) const;
    bool isExpired(const Record &record, TimePoint now) const;
    Record &recordOf(const Suspect &suspect);
    void evictOne();
    Records::iterator erase(Records::iterator record);
    void dropShape(std::uint64_t shape);

    SuspectOptions m_options;
    Records m_records;
    std::unordered_map<std::uint64_t, std::size_t> m_shapes; ///< number of records with crashes, by shape
};

} // namespace Rhubarbwind
