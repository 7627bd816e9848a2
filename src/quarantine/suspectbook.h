#pragma once

// Which requests end the endpoints that run them. A decision without I/O.
//
// A request may crash each endpoint that begins to run it, and its caller sends it again, to any host, under a new id. Every such run
// breaks the streams of everybody there. The book knows requests by identity (requestidentity.h) and counts endings: lives of endpoints
// that ended while they had the request. Hosts tell each other endings, not opinions, and the verdict follows from the set of endings
// alone. So news may come late, twice, in any order and by any way, and hosts that know the same endings say the same.
//
// Verdict. All requests that an endpoint had when it ended are suspects, the guilty one and up to a whole engine's worth of
// innocent ones. What parts them is that the innocent ones complete: a request that crashes whatever runs it never does. So:
//   - one that is whole and well answered anywhere is cleared: all endings before that are void, on every host;
//   - one with `crashesToQuarantine` endings, in at least `crashEventsToQuarantine` moments, and no completion since the first, is held: it is not run again.
//     Where engines end one after the other anyway, so that all its endings together may be chance (`chanceToQuarantine`), it takes `sufficientCrashes`.
// Endings within `crashEventWindow` count as one moment: when a rack loses power, a popular request that is on all of its engines sees
// several endings at once, and one cause. Copies of a guilty request that come in pairs need a second moment, not a third.
//
// Hold. For `firstQuarantine` from its last ending; then it may run again as any suspect does, once at a time on a host. If that ends an endpoint too, it
// is held for twice as long, up to `maxQuarantine`. So a request that a new engine version has mended is found to be well with one run, and
// one that has not been mended costs at most an engine's streams in each hold. On-call lifts a hold by clearing it.
//
// Bounds: `maxSuspects` records, `maxCrashesKept` endings each, about 0.4 KB a record. When full, the record with the fewest endings goes, of the
// customer that has most of these, the oldest first: a caller that sends thousands of bad requests displaces its own.
//
// Cost: a search by shape for each request while the book is not empty; an insertion into a full book looks at all records.

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

/** The life of an endpoint that ended while it had the request. */
struct Crash
{
    std::uint64_t incarnationKey = 0; ///< digest of the endpoint's id and incarnation
    std::uint32_t addressDigest = 0; ///< digest of its address
    TimePoint at{};
    float chance = 0; ///< that it ended under the request without its doing (endinghistory.h)
    friend bool operator==(const Crash &, const Crash &) = default;
};

/** A request as the book knows it. */
struct Suspect
{
    RequestIdentity identity;
    std::uint64_t shape = 0;
    std::uint32_t customer = 0; ///< digest of its id
    friend bool operator==(const Suspect &, const Suspect &) = default;
};

struct SuspectOptions
{
    std::size_t crashesToQuarantine = 3; ///< two coincide by chance where engines crash often; at three a caller has had its second chance
    std::size_t crashEventsToQuarantine = 2;
    double chanceToQuarantine = 0.0001; ///< of ten thousand suspects of which so much is known, one may be innocent
    /** However likely chance is: beyond it the streams that break with each further engine weigh more than one caller's request. */
    std::size_t sufficientCrashes = 5;
    Duration crashEventWindow = 250ms; ///< a rack's engines break off within it, seen by hosts with full links too
    Duration suspectLifetime = 30min; ///< since the last ending; callers repeat within seconds or minutes, and a completion clears at once
    Duration firstQuarantine = 10min; ///< long against the seconds that an engine is away, short against a day without a service that is owed
    Duration maxQuarantine = 2h;
    std::size_t maxSuspects = 2048; ///< eight engines' worth of requests for each of a few crashes at a time, below 1 MB
    std::size_t maxCrashesKept = 10; ///< the first ones, which hold it, and the latest, which tell for how long
};

enum class SuspectState : std::uint8_t {
    Unsuspected,
    Suspect, ///< runs with care
    Quarantined, ///< is not run
};

struct SuspectStatus
{
    SuspectState state = SuspectState::Unsuspected;
    std::size_t crashes = 0;
    TimePoint quarantinedUntil{};
};

/** What a piece of news changed. */
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

    /** False for nearly all requests: nothing of this shape is suspected. */
    bool knowsShape(std::uint64_t shape) const
    {
        return m_shapes.contains(shape);
    }
    SuspectStatus state(const RequestIdentity &identity, TimePoint now) const;
    /** In order of time; empty if it is not known. */
    std::span<const Crash> crashes(const RequestIdentity &identity) const;

    /** An endpoint ended that had the request. */
    SuspectChange addCrash(const Suspect &suspect, const Crash &ending, TimePoint now);
    /** It was whole and well answered, or on-call cleared it. @return true if that was news */
    bool markCleared(const Suspect &suspect, TimePoint at, TimePoint now);
    /** To be called about once a second. */
    void forget(TimePoint now);

    /** All records, the held ones first, then by their number of endings. */
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

    SuspectStatus standingOf(const Record &record, TimePoint now) const;
    std::optional<TimePoint> quarantinedUntil(std::span<const Crash> crashes) const;
    std::size_t momentsOf(std::span<const Crash> crashes) const;
    bool proves(std::span<const Crash> crashes) const;
    bool add(Record &record, const Crash &ending) const;
    bool isOver(const Record &record, TimePoint now) const;
    Record &recordOf(const Suspect &suspect);
    void makeRoom();
    Records::iterator erase(Records::iterator record);
    void dropShape(std::uint64_t shape);

    SuspectOptions m_options;
    Records m_records;
    std::unordered_map<std::uint64_t, std::size_t> m_shapes; ///< to the number of records with endings
};

} // namespace Rhubarbwind
