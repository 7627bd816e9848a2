#include "daemon/streamrecords.h"

#include "base/requestid.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>
#include <xxhash.h>

namespace Rhubarbwind
{

namespace
{

constexpr Duration firstReadRetry = 200ms;
constexpr Duration maxReadRetry = 2s;
// After its streams' time: hosts that end and start meanwhile have read a segment later.
constexpr Duration leftoverDelay = 5s;
constexpr std::size_t removalsPerTick = 2;
constexpr std::string_view rankKey = "versions-writer";

/** The store's answer tells nothing about the object. */
bool isUnanswered(const PlatformResult<StoredObject> &object)
{
    return object.has_error() && object.error().kind != PlatformErrorKind::NotFound;
}

ObjectVersion versionOf(const PlatformResult<StoredObject> &object)
{
    return object.has_value() ? object.value().version : 0;
}

std::uint64_t keyOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

/** A store keeps what was written as text or, where it parses values, as the document itself. */
std::string textOf(const boost::json::value &content)
{
    return content.is_string() ? std::string(content.get_string()) : boost::json::serialize(content);
}

bool mayBeWritten(const PlatformError &error)
{
    return error.kind == PlatformErrorKind::Unknown || error.kind == PlatformErrorKind::Conflict || error.kind == PlatformErrorKind::NotFound;
}

} // namespace

std::string segmentOwner(const PeerAddress &host)
{
    std::string owner = host.ip + "_" + std::to_string(host.port);
    std::ranges::replace(owner, ':', '_');
    return owner;
}

StreamRecords::StreamRecords(std::shared_ptr<PlatformConnections<SteadyClock>> connections,
                             const SiteAdapter &adapter,
                             const PeerAddress &self,
                             bool isFirstStart,
                             Metrics &metrics,
                             StreamRecordPorts ports)
    : m_connections(std::move(connections))
    , m_codec(adapter.codec)
    , m_objects(m_connections, adapter.objects, adapter.streamKind)
    , m_kind(adapter.streamKind)
    , m_self(segmentOwner(self))
    , m_name(std::string(segmentNamePrefix) + m_self + "-" + freshId())
    , m_isFirstStart(isFirstStart)
    , m_metrics(metrics)
    , m_ports(std::move(ports))
    , m_segments(m_name)
    , m_random(keyOf(m_name))
    , m_backoff(firstReadRetry, maxReadRetry)
{
}

void StreamRecords::read()
{
    m_readAgainAt = TimePoint::max();
    m_reading.emplace();
    ++m_readNumber;
    m_awaitsVersions = true;
    if (!m_isReadingVersions) {
        readVersions();
    }
    readPage({});
}

void StreamRecords::readPage(const std::string &after)
{
    m_metrics.add("rhubarbwind_stream_record_calls_total", {{"call", "list"}});
    m_connections->call(CallKind::Read,
                        m_codec.listCall(m_kind, after),
                        Duration::zero(),
                        [self = shared_from_this(), number = m_readNumber](const PlatformResult<HttpAnswer> &answer) {
                            if (number == self->m_readNumber) {
                                self->handlePage(answer);
                            }
                        });
}

void StreamRecords::handlePage(const PlatformResult<HttpAnswer> &answer)
{
    if (m_isStopped || !m_reading) {
        return;
    }
    const Result<MirrorPage, MirrorError> page =
        answer.has_error() ? Result<MirrorPage, MirrorError>(MirrorError::Unavailable) : m_codec.readPage(answer.value());
    if (page.has_error()) {
        m_reading.reset();
        m_readAgainAt = SteadyClock::now() + m_backoff.next(m_random);
        return;
    }
    for (const MirroredObject &object : page.value().objects) {
        readObject(object);
    }
    if (page.value().isPartial && !page.value().objects.empty()) {
        readPage(page.value().objects.back().name);
    } else {
        endRead();
    }
}

void StreamRecords::readObject(const MirroredObject &object)
{
    // Where kinds are prefixes, names begin with them.
    const std::string_view whole = object.name;
    const std::string_view name = whole.starts_with(m_kind) ? whole.substr(m_kind.size()) : whole;
    if (name.starts_with(segmentNamePrefix)) {
        const std::vector<SharedAttempt> records = parseAttempts(textOf(object.content)).value_or(std::vector<SharedAttempt>());
        m_reading->insert(m_reading->end(), records.begin(), records.end());
        const bool isKnown = std::ranges::any_of(m_leftovers, [&](const Leftover &each) { return each.segment.name == name; });
        if (!name.starts_with(m_name) && !isKnown) {
            m_leftovers.push_back({{std::string(name), object.revision}, SteadyClock::now()});
        }
    }
}

void StreamRecords::endRead()
{
    const std::vector<SharedAttempt> attempts = *std::exchange(m_reading, std::nullopt);
    m_backoff.reset();
    m_ports.logEvent("stream-records-read", LogFields().number("attempts", static_cast<std::int64_t>(attempts.size())));
    m_ports.onAttempts(attempts);
}

void StreamRecords::readVersions()
{
    m_isReadingVersions = true;
    m_metrics.add("rhubarbwind_stream_record_calls_total", {{"call", "get"}});
    m_objects.get(std::string(versionRecordName), [self = shared_from_this(), number = m_readNumber](const PlatformResult<StoredObject> &object) {
        self->m_isReadingVersions = false;
        if (!self->m_isStopped) {
            self->handleVersions(object, number == self->m_readNumber);
        }
    });
}

void StreamRecords::readVersionsNow(std::function<void(const std::shared_ptr<const VersionReading> &)> handler)
{
    m_metrics.add("rhubarbwind_stream_record_calls_total", {{"call", "confirm"}});
    m_objects.get(std::string(versionRecordName), [self = shared_from_this(), handler = std::move(handler)](const PlatformResult<StoredObject> &object) {
        if (self->m_isStopped) {
            return;
        }
        if (isUnanswered(object)) {
            handler(nullptr);
            return;
        }
        const RecordedVersions recorded = self->recordedIn(object);
        handler(std::make_shared<const VersionReading>(VersionReading{recorded.versions, versionOf(object), recorded.isComplete}));
    });
}

RecordedVersions StreamRecords::recordedIn(const PlatformResult<StoredObject> &object) const
{
    RecordedVersions recorded = object.has_value() ? parseRecordedVersions(object.value().value).value_or(RecordedVersions()) : RecordedVersions();
    recorded.isComplete = recorded.isComplete || (versionOf(object) == 0 && m_isFirstStart);
    return recorded;
}

void StreamRecords::handleVersions(const PlatformResult<StoredObject> &object, bool isCurrent)
{
    if (isUnanswered(object)) {
        m_versions.readFailed(SteadyClock::now());
        return;
    }
    const ObjectVersion version = versionOf(object);
    const RecordedVersions versions = recordedIn(object);
    const bool isAwaited = isCurrent && std::exchange(m_awaitsVersions, false);
    m_versions.setStored(versions, version, isAwaited && versions.isComplete);
    if (isAwaited) {
        LogFields fields;
        fields.number("services", static_cast<std::int64_t>(versions.versions.size())).text("complete", versions.isComplete ? "yes" : "no");
        m_ports.logEvent("stream-versions-read", fields);
        m_ports.onVersions(versions, version);
    } else if (m_awaitsVersions) {
        readVersions();
    }
}

void StreamRecords::writeVersions(TimePoint now)
{
    const std::vector<VersionRow> serving = m_ports.serving();
    const std::optional<ObjectWrite> write = m_versions.toWrite({m_ports.rank(keyOf(rankKey)), serving, m_ports.knowsPast()}, now);
    if (!write) {
        return;
    }
    m_metrics.add("rhubarbwind_stream_record_calls_total", {{"call", "versions"}});
    m_objects.put(
        write->name, write->value, write->condition, [self = shared_from_this(), number = write->number](const PlatformResult<ObjectVersion> &result) {
            if (self->m_isStopped) {
                return;
            }
            if (result.has_error()) {
                self->m_versions.writeFailed(number, SteadyClock::now());
                return;
            }
            const std::vector<RecordedVersion> added = self->m_versions.written(number, result.value());
            if (!added.empty()) {
                self->m_ports.onRecorded(added);
            }
        });
}

void StreamRecords::writeSegment(TimePoint now)
{
    const std::optional<ObjectWrite> write = m_segments.toWrite(now);
    if (!write) {
        return;
    }
    m_metrics.add("rhubarbwind_stream_record_calls_total", {{"call", "attempts"}});
    m_objects.put(write->name, write->value, write->condition, [self = shared_from_this()](const PlatformResult<ObjectVersion> &result) {
        if (result.has_error()) {
            self->m_segments.writeFailed(mayBeWritten(result.error()), SteadyClock::now());
        } else {
            self->m_segments.written(result.value(), SteadyClock::now());
        }
    });
}

bool StreamRecords::ownsLeftover(std::string_view name) const
{
    const std::size_t begin = segmentNamePrefix.size();
    const std::string_view owner = name.substr(begin, name.find('-', begin) - begin);
    const std::vector<PeerAddress> live = m_ports.liveHosts();
    const bool isAlive = std::ranges::any_of(live, [owner](const PeerAddress &host) { return segmentOwner(host) == owner; });
    return owner == m_self || (!isAlive && m_ports.rank(keyOf(name)) == 0);
}

void StreamRecords::removeLeftovers(TimePoint now)
{
    for (const AttemptSegments::StoredSegment &segment : m_segments.takeExpired(now)) {
        m_leftovers.push_back({segment, now - m_memory - leftoverDelay});
    }
    std::size_t removals = 0;
    std::erase_if(m_leftovers, [&](const Leftover &leftover) {
        if (now - leftover.readAt < m_memory + leftoverDelay || removals == removalsPerTick) {
            return false;
        }
        if (ownsLeftover(leftover.segment.name)) {
            ++removals;
            m_metrics.add("rhubarbwind_stream_record_calls_total", {{"call", "remove"}});
            m_objects.remove(leftover.segment.name, leftover.segment.version);
        }
        return true;
    });
}

void StreamRecords::tick(TimePoint now)
{
    if (now >= m_readAgainAt) {
        read();
    }
    if (!m_isReadingVersions && m_versions.needsRead(now)) {
        readVersions();
    }
    writeVersions(now);
    writeSegment(now);
    removeLeftovers(now);
    m_metrics.set("rhubarbwind_stream_records_unwritten", {}, static_cast<double>(m_segments.unwritten()));
}

} // namespace Rhubarbwind
