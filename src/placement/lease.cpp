// The lease is one object, and each write is conditional on the version last seen, so of two concurrent writers one fails.

#include "placement/lease.h"

#include "base/jsonreader.h"

#include <algorithm>

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

constexpr unsigned maxDoublings = 20;
constexpr std::size_t maxNameLength = 256;
constexpr std::size_t maxPayloadLength = std::size_t{512} * 1024; // half of the platform's maximum object size
// Beyond any duration that an operator could want; keeps a malformed lease from blocking a domain for days.
constexpr Duration maxLeaseDuration = 10min;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string untilText(TimePoint time, TimePoint now)
{
    return std::to_string(toMilliseconds(std::max(Duration::zero(), time - now)));
}

} // namespace

std::string formatLease(const LeaseRecord &record)
{
    return boost::json::serialize(boost::json::object{{"fencing", record.fencing},
                                                      {"holder", record.holder},
                                                      {"host", record.host.text()},
                                                      {"operation", record.operation.text()},
                                                      {"duration_ms", toMilliseconds(record.duration)},
                                                      {"released", record.released},
                                                      {"note", record.payload}});
}

Result<LeaseRecord, LeaseError> parseLease(std::string_view text, std::uint64_t lowestFencing)
{
    const Result<boost::json::value, DocumentFaults> document = parseDocument(text);
    if (!document) {
        return LeaseError::Malformed;
    }
    LeaseRecord record;
    std::string host;
    std::string operation;
    DocumentFaults faults;
    JsonReader reader(document.value(), "", faults);
    reader.whole("fencing", record.fencing, lowestFencing, std::uint64_t(1) << 62);
    reader.text("holder", record.holder, maxNameLength, true);
    reader.text("host", host, maxNameLength, true);
    reader.text("operation", operation, maxNameLength, true);
    reader.milliseconds("duration_ms", record.duration, 1ms, maxLeaseDuration);
    reader.flag("released", record.released);
    reader.text("note", record.payload, maxPayloadLength);
    if (!faults.empty() || record.fencing < lowestFencing) {
        return LeaseError::Malformed;
    }
    record.host = HostId(host);
    record.operation = OperationId(operation);
    return record;
}

std::string leaseKey(const FailureDomain &domain)
{
    return "placement/lease/" + domain.text();
}

LeaseManager::LeaseManager(const LeaseOptions &options)
    : m_options(options)
{
}

void LeaseManager::setWanted(bool wanted, bool mayRelease)
{
    m_wanted = wanted;
    m_mayRelease = mayRelease;
}

void LeaseManager::invalidate()
{
    m_validUntil = TimePoint();
    m_needRead = true;
}

std::optional<LeaseCall> LeaseManager::nextCall(TimePoint now)
{
    if (m_callUnderWay || now < m_retryAt) {
        return std::nullopt;
    }
    std::optional<LeaseCall> call = m_wanted ? wantedCall(now) : releaseCall(now);
    if (call) {
        m_callUnderWay = true;
        m_sentAt = now;
    }
    return call;
}

std::optional<LeaseCall> LeaseManager::releaseCall(TimePoint now)
{
    if (!isMine() || !m_mayRelease || now >= m_validUntil) {
        return std::nullopt;
    }
    return write(m_known->record.fencing, true);
}

std::optional<LeaseCall> LeaseManager::wantedCall(TimePoint now)
{
    if (!m_needRead && isMine()) {
        const bool hasNewPayload = now < m_validUntil && m_payload != m_known->record.payload;
        return now >= m_renewAt || hasNewPayload ? write(m_known->record.fencing, false) : std::optional<LeaseCall>();
    }
    if (!m_needRead && now >= takeOverAt()) {
        const std::uint64_t counted = m_known ? m_known->record.fencing + 1 : 1;
        return write(m_options.numbersByVersion ? 0 : counted, false);
    }
    return m_needRead || now >= m_pollAt ? LeaseCall{} : std::optional<LeaseCall>();
}

void LeaseManager::readDone(const StoredLease &lease, TimePoint now)
{
    callEnded();
    if (!updateEra(eraOf(lease.version), now)) {
        return;
    }
    m_needRead = false;
    m_missing = false;
    m_failures = 0;
    m_pollAt = now + m_options.pollEvery;
    if (m_known && m_known->version == lease.version) {
        return;
    }
    m_known = lease;
    if (m_options.numbersByVersion && lease.record.fencing == 0) {
        m_known->record.fencing = lease.version;
    }
    m_seenAt = now;
    // Unresolved writes were conditional on an older version, so none of them can take effect any more.
    const std::optional<TimePoint> openSince = std::exchange(m_openSince, std::nullopt);
    if (isMine() && openSince) {
        becomeHolder(m_known->record.fencing, *openSince, now);
    } else {
        m_validUntil = TimePoint();
        m_renewAt = now;
    }
}

void LeaseManager::readMissing(TimePoint now, std::uint64_t era)
{
    callEnded();
    if (!updateEra(era, now)) {
        return;
    }
    if (m_options.numbersByVersion && !m_missing) {
        // The known lease can't be renewed any more, and its holder may trust it for its remaining duration.
        m_known.reset();
        m_validUntil = TimePoint();
        m_openSince.reset();
        m_missingSince = now;
    }
    m_needRead = false;
    m_missing = true;
    m_failures = 0;
    m_pollAt = now + m_options.pollEvery;
}

void LeaseManager::readFailed(TimePoint now, Random &random)
{
    callEnded();
    retryLater(now, random);
}

void LeaseManager::writeDone(ObjectVersion version, TimePoint now)
{
    callEnded();
    // The write took effect in an earlier era, or in a newer one than was known when it was sent: it may have replaced another host's lease.
    const std::uint64_t eraBefore = m_era;
    if (!updateEra(eraOf(version), now) || m_era != eraBefore) {
        m_needRead = true;
        return;
    }
    m_known = StoredLease{version, m_written};
    if (m_options.numbersByVersion && m_written.fencing == 0) {
        m_known->record.fencing = version;
    }
    m_missing = false;
    m_seenAt = now;
    m_failures = 0;
    m_openSince.reset();
    if (m_written.released) {
        m_validUntil = TimePoint();
        return;
    }
    becomeHolder(m_known->record.fencing, m_sentAt, now);
}

void LeaseManager::writeFailed(PlatformErrorKind kind, TimePoint now, Random &random)
{
    callEnded();
    if (m_written.released) {
        // Failure: the release may have taken effect, and a successor sends orders at once. Symptom: two holders. So the own time is given up first.
        m_validUntil = TimePoint();
    }
    if (kind == PlatformErrorKind::Unknown) {
        m_openSince = m_openSince ? std::min(*m_openSince, m_sentAt) : m_sentAt;
    }
    m_needRead = m_needRead || kind == PlatformErrorKind::Unknown || kind == PlatformErrorKind::Conflict;
    retryLater(now, random);
}

LeaseView LeaseManager::view(TimePoint now) const
{
    if (!m_wanted || !isMine() || now >= m_validUntil) {
        return {};
    }
    return {true, m_validUntil - now, m_heldFencing, m_since};
}

TimePoint LeaseManager::wakeAt() const
{
    if (m_callUnderWay || !m_wanted) {
        return TimePoint::max();
    }
    if (m_needRead) {
        return m_retryAt;
    }
    if (isMine()) {
        return m_payload == m_known->record.payload ? std::max(m_retryAt, m_renewAt) : m_retryAt;
    }
    return std::max(m_retryAt, std::min(m_pollAt, takeOverAt()));
}

std::string LeaseManager::describe(TimePoint now) const
{
    std::string line = std::string(m_needRead ? "read " : "") + (m_callUnderWay ? "calling " : "") + (m_missing ? "missing " : "");
    line += "retry " + untilText(m_retryAt, now);
    if (m_callUnderWay) {
        line += " sent " + agoText(m_sentAt, now);
    }
    if (m_openSince) {
        line += " open " + agoText(*m_openSince, now);
    }
    if (isMine()) {
        return line + " valid " + untilText(m_validUntil, now) + " renew " + untilText(m_renewAt, now) + " won " + agoText(m_since, now);
    }
    return line + " poll " + untilText(m_pollAt, now) + (m_known ? " takeover " + untilText(takeOverAt(), now) : "");
}

std::string LeaseManager::agoText(TimePoint time, TimePoint now) const
{
    // Beyond the lease's duration nothing depends on the exact time.
    return std::to_string(toMilliseconds(std::min(now - time, m_options.duration)));
}

bool LeaseManager::isMine() const
{
    const bool isOfThisEra = !m_options.numbersByVersion || (m_known && eraOf(m_known->record.fencing) == m_era);
    return m_known && m_known->record.holder == m_options.holder && !m_known->record.released && isOfThisEra;
}

Duration LeaseManager::waitWithMargin(Duration duration) const
{
    return fromSeconds(toSeconds(duration) * (1 + m_options.rateMargin));
}

// Failure: the store comes back from a copy in which the lease was free or held by another, while its holder goes on acting. Symptom: two holders.
// Every earlier holder's lease has expired one duration after its last renewal, which was before the era began.
TimePoint LeaseManager::takeOverAt() const
{
    const TimePoint eraEnds = m_era == 0 ? TimePoint() : m_eraSince + waitWithMargin(m_options.duration);
    const bool neverExisted = m_options.isFirstStart && m_era == 0;
    if (!m_known && m_missing && m_options.numbersByVersion && !neverExisted) {
        return std::max(eraEnds, m_missingSince + waitWithMargin(m_options.duration));
    }
    if (!m_known) {
        return m_missing ? TimePoint() : TimePoint::max();
    }
    if (m_known->record.released) {
        return eraEnds;
    }
    return std::max(eraEnds, m_seenAt + waitWithMargin(m_known->record.duration));
}

bool LeaseManager::updateEra(std::uint64_t era, TimePoint now)
{
    if (era > m_era) {
        m_era = era;
        m_eraSince = now;
        m_known.reset();
        m_missing = false;
        m_validUntil = TimePoint();
        m_openSince.reset();
        m_needRead = true;
    }
    return era == m_era;
}

void LeaseManager::setPayload(std::string payload)
{
    m_payload = std::move(payload);
}

const std::string &LeaseManager::heldPayload() const
{
    static const std::string none;
    return m_known ? m_known->record.payload : none;
}

LeaseCall LeaseManager::write(std::uint64_t fencing, bool released)
{
    const OperationId operation(m_options.holder + "/" + std::to_string(++m_sequence));
    const std::string payload = isMine() ? m_payload : heldPayload();
    m_written = {fencing, m_options.holder, m_options.host, operation, m_options.duration, released, payload};
    return {LeaseCallKind::Write, m_written, m_known ? WriteCondition::atVersion(m_known->version) : WriteCondition::absent()};
}

void LeaseManager::callEnded()
{
    m_callUnderWay = false;
}

void LeaseManager::retryLater(TimePoint now, Random &random)
{
    const double doubled = toSeconds(m_options.retryFirst) * static_cast<double>(1U << std::min(m_failures, maxDoublings));
    ++m_failures;
    m_retryAt = now + fromSeconds(random.uniform() * std::min(doubled, toSeconds(m_options.retryMax)));
}

void LeaseManager::becomeHolder(std::uint64_t fencing, TimePoint since, TimePoint now)
{
    m_validUntil = since + m_options.duration;
    m_renewAt = since + m_options.renewEvery;
    if (fencing != m_heldFencing) {
        m_payload = m_known->record.payload;
        m_heldFencing = fencing;
        m_since = now;
    }
}

} // namespace Rhubarbwind
