#pragma once

// Keeps the platform's record of the software versions that have served. Decides what is written; performs no I/O.
//
// The record is one object: the versions of each service that may have begun streams which can still be resumed. A version is added before the first
// endpoint of it is used (endpointgate.h), so after a loss of power of all hosts the record has every version that began a stream, unless the platform did
// not answer for as long as the gate holds. It is removed when no endpoint has it and its streams can't be resumed any more, by a host that has seen it.
// A version that returns after that is written again whether or not the record still has it: a removal may be on its way, and fails after the write.
//
// The record states whether it goes back to the first start of the system. One that does not, since its hosts ran an earlier release or the object was
// lost, does until a host has watched for as long as streams may be resumed.
//
// Cost: a write for each version that begins or ceases to serve. All hosts want a new version written; others wait for the first one by rank, which
// informs them, so that there is one call instead of one for each host.

#include "gateway/versiontracker.h"
#include "platform/objectapi.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::string_view versionRecordName = "versions";

struct RecordedVersions
{
    ServedVersions versions;
    bool isComplete = false; ///< goes back to the first start, or for as long as streams may be resumed
    std::uint64_t writes = 0; ///< lets a write of the same versions change the object
    friend bool operator==(const RecordedVersions &, const RecordedVersions &) = default;
};

std::string formatRecordedVersions(const RecordedVersions &record);
/** @return none for malformed text */
std::optional<RecordedVersions> parseRecordedVersions(std::string_view text);

struct ObjectWrite
{
    std::uint64_t number = 0; ///< tells its result from that of an earlier write
    std::string name;
    std::string value;
    WriteCondition condition;
};

class VersionRecord
{
public:
    // A write and the message about it take two round trips.
    static constexpr Duration waitForFirst = 100ms;
    static constexpr Duration waitPerRank = 2ms;
    static constexpr Duration retryDelay = 200ms;

    /** The record as the platform holds it. @param version zero: there is none  @param isServing VersionTracker counts its versions as serving */
    void setStored(RecordedVersions stored, ObjectVersion version, bool isServing);
    /** A write has failed or its result is not known. */
    bool needsRead(TimePoint now) const
    {
        return m_hasFailed && now >= m_notBefore;
    }
    bool isRecorded(const ShardId &service, const SoftwareVersion &version) const;
    /** An endpoint of this version is listed. */
    void want(const ShardId &service, const SoftwareVersion &version, TimePoint now);
    /** A peer has written them. */
    void noteRecorded(std::span<const RecordedVersion> recorded);

    struct Situation
    {
        std::size_t rank = 0; ///< of this host among those that write
        std::span<const VersionRow> serving; ///< versions whose streams may still be resumed
        bool knowsPast = false; ///< this host knows what has served for as long as streams may be resumed
    };
    /** @return none if there is nothing to write, or a write is in progress */
    std::optional<ObjectWrite> toWrite(const Situation &situation, TimePoint now);
    /** @param number of the write  @return what it has added */
    std::vector<RecordedVersion> written(std::uint64_t number, ObjectVersion version);
    /** The write failed, or its result is not known. */
    void writeFailed(std::uint64_t number, TimePoint now);
    /** The record could not be read. */
    void readFailed(TimePoint now);

private:
    using ServiceVersion = std::pair<ShardId, SoftwareVersion>;

    bool holds(const ServiceVersion &version) const;
    /** Gives up what this host knows of versions that have ceased to serve, and wants those that serve and are not on record. */
    void compare(std::span<const VersionRow> serving, TimePoint now);

    RecordedVersions m_stored;
    ObjectVersion m_version = 0;
    bool m_isRead = false;
    bool m_hasFailed = false;
    std::optional<RecordedVersions> m_writing;
    std::uint64_t m_lastNumber = 0; ///< of writes
    TimePoint m_notBefore{};
    std::map<ServiceVersion, TimePoint> m_wanted; ///< not recorded yet, and since when
    std::set<ServiceVersion> m_seen; ///< that this host has known to serve
    std::set<ServiceVersion> m_ceased; ///< that have ceased to serve since they were recorded
    std::set<RecordedVersion> m_recordedByPeers; ///< since the record was read
};

} // namespace Rhubarbwind
