#pragma once

// Keeps what must survive a loss of power of all hosts in the platform's store: which software versions have served, and which version began which stream
// while several served.
//
// Only wiring: VersionRecord and AttemptSegments decide what is written. After each complete listing of endpoints the records are read; until then this
// host does not know which versions served before. The versions are read by a call of their own, since endpoints wait for them (endpointgate.h). Reads are
// repeated until one succeeds. Segments of hosts that are not alive any more are removed once
// their streams can't be resumed, by the host that ranks first for each.
//
// Cost: one listing for each listing of endpoints; writes as versionrecord.h and attemptsegments.h state. Nothing is written while a service has one
// version.

#include "base/backoff.h"
#include "base/clock.h"
#include "base/random.h"
#include "gateway/attemptdirectory.h"
#include "gateway/attemptsegments.h"
#include "gateway/siteadapter.h"
#include "gateway/versionrecord.h"
#include "platform/objectsession.h"
#include "telemetry/decisionlog.h"
#include "telemetry/metrics.h"
#include "wire/peernetwork.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Rhubarbwind
{

/** The host's part in names of its segments: not all stores take colons. */
std::string segmentOwner(const PeerAddress &host);

struct StreamRecordPorts
{
    std::function<std::vector<VersionRow>()> serving;
    std::function<bool()> knowsPast; ///< this host knows what has served for as long as streams may be resumed
    std::function<std::size_t(std::uint64_t key)> rank; ///< of this host by rendezvous hashing of the key
    std::function<std::vector<PeerAddress>()> liveHosts; ///< without this one
    std::function<void(const RecordedVersions &, ObjectVersion)> onVersions; ///< the record was read after a listing of endpoints
    std::function<void(std::span<const SharedAttempt>)> onAttempts; ///< all segments have been read
    std::function<void(std::span<const RecordedVersion>)> onRecorded; ///< this host has written versions
    std::function<void(std::string_view event, const LogFields &)> logEvent;
};

class StreamRecords : public std::enable_shared_from_this<StreamRecords>
{
public:
    /** @param isFirstStart the whole system starts for the first time: nothing has served before */
    StreamRecords(std::shared_ptr<PlatformConnections<SteadyClock>> connections,
                  const SiteAdapter &adapter,
                  const PeerAddress &self,
                  bool isFirstStart,
                  Metrics &metrics,
                  StreamRecordPorts ports);

    /** Endpoints have been listed. */
    void read();
    /** Reads the record of versions by a call that begins now. @param handler called with null if the call failed */
    void readVersionsNow(std::function<void(const std::shared_ptr<const VersionReading> &)> handler);
    void setMemory(Duration memory)
    {
        m_memory = memory;
        m_segments.setMemory(memory);
    }
    bool isRecorded(const ShardId &service, const SoftwareVersion &version) const
    {
        return m_versions.isRecorded(service, version);
    }
    /** An endpoint of this version is listed. Takes effect with the next tick() or writeVersions(). */
    void want(const ShardId &service, const SoftwareVersion &version, TimePoint now)
    {
        m_versions.want(service, version, now);
    }
    /** Writes versions that are not on record, unless a host that ranks before is to do it. */
    void writeVersions(TimePoint now);
    void noteRecorded(std::span<const RecordedVersion> recorded)
    {
        m_versions.noteRecorded(recorded);
    }
    void write(const SharedAttempt &record, TimePoint now)
    {
        m_segments.put(record, now);
    }
    /** Call about ten times a second. */
    void tick(TimePoint now);
    void stop()
    {
        m_ports = {};
        m_isStopped = true;
    }

private:
    void readPage(const std::string &after);
    void handlePage(const PlatformResult<HttpAnswer> &answer);
    void readObject(const MirroredObject &object);
    void endRead();
    void readVersions();
    /** @param object as the store answered; an error that is not NotFound has been handled before */
    RecordedVersions recordedIn(const PlatformResult<StoredObject> &object) const;
    /** @param isCurrent no listing of endpoints has followed the call */
    void handleVersions(const PlatformResult<StoredObject> &object, bool isCurrent);
    void writeSegment(TimePoint now);
    void removeLeftovers(TimePoint now);
    bool ownsLeftover(std::string_view name) const;

    /** A segment of another start of a host. */
    struct Leftover
    {
        AttemptSegments::StoredSegment segment;
        TimePoint readAt;
    };

    std::shared_ptr<PlatformConnections<SteadyClock>> m_connections;
    MirrorCodec m_codec;
    ObjectSession<SteadyClock> m_objects;
    std::string m_kind;
    std::string m_self;
    std::string m_name; ///< of this start, which begins the names of its segments
    bool m_isFirstStart;
    Metrics &m_metrics;
    StreamRecordPorts m_ports;
    VersionRecord m_versions;
    AttemptSegments m_segments;
    Duration m_memory = 30s;
    std::optional<std::vector<SharedAttempt>> m_reading; ///< what a listing in progress has brought
    std::uint64_t m_readNumber = 0; ///< of the latest listing: answers of earlier ones are ignored
    TimePoint m_readAgainAt = TimePoint::max();
    Random m_random;
    Backoff m_backoff;
    bool m_isReadingVersions = false;
    bool m_awaitsVersions = false; ///< endpoints have been listed since they were last read
    std::vector<Leftover> m_leftovers;
    bool m_isStopped = false;
};

} // namespace Rhubarbwind
