#pragma once

// Collects records of attempts into segments, objects that the platform stores. Decides what is written and removed; performs no I/O.
//
// A segment takes the records of an eighth of the time for which streams may be resumed, and is written again as it grows, at most ten times a second. So
// a write is small however many records are kept, and what a loss of power can cost is what was recorded since the last write. Of several records of an
// attempt in a segment the last counts: the endpoints before have not begun its stream. A segment is removed when its streams can't be resumed any more;
// segments of hosts that have ended are removed by the hosts that have read them (streamrecords.h).
//
// Size: 16 bytes for each record, at most maxSegmentRecords of them.

#include "base/time.h"
#include "fleet/fleetmessage.h"
#include "gateway/versionrecord.h"

#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxSegmentRecords = 8192;
/** Names of segments begin so, and continue with the host and the number of its start. */
inline constexpr std::string_view segmentNamePrefix = "attempts-";

std::string formatAttempts(std::span<const SharedAttempt> records);
/** Their age is not stored. @return none for malformed text */
std::optional<std::vector<SharedAttempt>> parseAttempts(std::string_view text);

class AttemptSegments
{
public:
    static constexpr Duration writeInterval = 100ms;
    static constexpr Duration maxRetryDelay = 2s; ///< while writes fail
    static constexpr int segmentsPerMemory = 8;

    /** @param name begins the names of all segments of this start of the host */
    explicit AttemptSegments(std::string name)
        : m_name(std::move(name))
    {
    }

    void setMemory(Duration memory)
    {
        m_memory = memory;
    }
    void put(const SharedAttempt &record, TimePoint now);
    /** @return none if there is nothing to write, the last write was too lately, or one is in progress */
    std::optional<ObjectWrite> toWrite(TimePoint now);
    void written(ObjectVersion version, TimePoint now);
    /** @param mayBeWritten the platform may have executed the write: the records are written again under another name */
    void writeFailed(bool mayBeWritten, TimePoint now);

    struct StoredSegment
    {
        std::string name;
        ObjectVersion version = 0; ///< zero: not known
    };
    /** Segments whose streams can't be resumed any more; each is returned once. */
    std::vector<StoredSegment> takeExpired(TimePoint now);
    std::size_t unwritten() const;

private:
    struct Segment
    {
        std::string name;
        std::vector<SharedAttempt> records;
        std::unordered_map<std::uint64_t, std::size_t> places; ///< in `records`, by attempt
        std::size_t unwritten = 0; ///< records and changes of records since the last write
        ObjectVersion version = 0; ///< zero: not stored yet
        TimePoint begunAt;
        TimePoint lastPutAt;
    };

    Segment &open(TimePoint now);

    std::string m_name;
    Duration m_memory = 30s;
    std::deque<Segment> m_segments; ///< oldest first
    std::uint64_t m_lastNumber = 0;
    std::string m_writing; ///< name of the segment; empty: no write is in progress
    std::size_t m_writingChanges = 0;
    TimePoint m_lastWriteAt{};
    Duration m_retryDelay = writeInterval;
};

} // namespace Rhubarbwind
