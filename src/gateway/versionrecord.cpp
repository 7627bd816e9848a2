#include "gateway/versionrecord.h"

#include "base/foreignjson.h"
#include "placing/endpointselector.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

RecordedVersion keysOf(const ShardId &service, const SoftwareVersion &version)
{
    return {softwareVersionKey(version), loadKey(service.text())};
}

} // namespace

std::string formatRecordedVersions(const RecordedVersions &record)
{
    json::object services;
    for (const auto &[service, versions] : record.versions) {
        json::array names;
        for (const SoftwareVersion &version : versions) {
            names.emplace_back(version.text());
        }
        services[service.text()] = std::move(names);
    }
    return json::serialize(json::object{{"complete", record.isComplete}, {"writes", record.writes}, {"services", std::move(services)}});
}

std::optional<RecordedVersions> parseRecordedVersions(std::string_view text)
{
    json::error_code error;
    const json::value document = parseForeignJson(text, error);
    const json::object *object = error ? nullptr : document.if_object();
    const json::value *complete = object == nullptr ? nullptr : object->if_contains("complete");
    const json::value *services = object == nullptr ? nullptr : object->if_contains("services");
    if (complete == nullptr || !complete->is_bool() || services == nullptr || !services->is_object()) {
        return std::nullopt;
    }
    RecordedVersions record;
    record.isComplete = complete->get_bool();
    const json::value *writes = object->if_contains("writes");
    record.writes = writes == nullptr ? 0 : writes->to_number<std::uint64_t>(error);
    if (error) {
        return std::nullopt;
    }
    for (const json::key_value_pair &entry : services->get_object()) {
        const json::array *names = entry.value().if_array();
        if (names == nullptr || !std::ranges::all_of(*names, [](const json::value &name) { return name.is_string(); })) {
            return std::nullopt;
        }
        std::set<SoftwareVersion> &versions = record.versions[ShardId(std::string(entry.key()))];
        for (const json::value &name : *names) {
            versions.emplace(std::string(name.get_string()));
        }
    }
    return record;
}

void VersionRecord::setStored(RecordedVersions stored, ObjectVersion version, bool isServing)
{
    m_stored = std::move(stored);
    m_version = version;
    m_isRead = true;
    m_hasFailed = false;
    m_writing.reset();
    m_recordedByPeers.clear();
    std::erase_if(m_wanted, [this](const auto &entry) { return holds(entry.first) && !m_ceased.contains(entry.first); });
    if (isServing) {
        for (const auto &[service, versions] : m_stored.versions) {
            for (const SoftwareVersion &each : versions) {
                m_seen.insert({service, each});
            }
        }
    }
}

bool VersionRecord::holds(const ServiceVersion &version) const
{
    const auto found = m_stored.versions.find(version.first);
    return found != m_stored.versions.end() && found->second.contains(version.second);
}

bool VersionRecord::isRecorded(const ShardId &service, const SoftwareVersion &version) const
{
    return !m_ceased.contains({service, version}) && (m_recordedByPeers.contains(keysOf(service, version)) || holds({service, version}));
}

void VersionRecord::want(const ShardId &service, const SoftwareVersion &version, TimePoint now)
{
    m_seen.insert({service, version});
    if (!isRecorded(service, version)) {
        m_wanted.try_emplace({service, version}, now);
    }
}

void VersionRecord::noteRecorded(std::span<const RecordedVersion> recorded)
{
    m_recordedByPeers.insert(recorded.begin(), recorded.end());
    const auto isNoted = [&](const ServiceVersion &version) { return std::ranges::find(recorded, keysOf(version.first, version.second)) != recorded.end(); };
    std::erase_if(m_ceased, isNoted);
    std::erase_if(m_wanted, [&](const auto &entry) { return isNoted(entry.first); });
}

void VersionRecord::compare(std::span<const VersionRow> serving, TimePoint now)
{
    std::set<ServiceVersion> served;
    for (const VersionRow &row : serving) {
        served.insert({row.service, row.version});
        if (row.endpoints > 0) {
            want(row.service, row.version, now);
        }
    }
    std::erase_if(m_seen, [&](const ServiceVersion &version) {
        const bool hasCeased = !served.contains(version) && !m_wanted.contains(version);
        if (hasCeased) {
            m_ceased.insert(version);
            m_recordedByPeers.erase(keysOf(version.first, version.second));
        }
        return hasCeased;
    });
}

std::optional<ObjectWrite> VersionRecord::toWrite(const Situation &situation, TimePoint now)
{
    if (!m_isRead || m_writing || now < m_notBefore) {
        return std::nullopt;
    }
    if (situation.knowsPast) {
        compare(situation.serving, now);
    }
    const Duration delay = situation.rank == 0 ? Duration::zero() : waitForFirst + waitPerRank * static_cast<Duration::rep>(situation.rank);
    RecordedVersions next = m_stored;
    bool mustWrite = false;
    for (const auto &[version, since] : m_wanted) {
        if (now - since >= delay) {
            next.versions[version.first].insert(version.second);
            mustWrite = true;
        }
    }
    if (situation.rank == 0 && situation.knowsPast) {
        next.isComplete = true;
        for (const ServiceVersion &version : m_ceased) {
            const auto found = next.versions.find(version.first);
            if (found != next.versions.end() && !m_wanted.contains(version)) {
                found->second.erase(version.second);
            }
        }
        std::erase_if(next.versions, [](const auto &entry) { return entry.second.empty(); });
    }
    if (!mustWrite && next == m_stored) {
        return std::nullopt;
    }
    ++next.writes;
    m_writing = next;
    const WriteCondition condition = m_version == 0 ? WriteCondition::absent() : WriteCondition::atVersion(m_version);
    return ObjectWrite{++m_lastNumber, std::string(versionRecordName), formatRecordedVersions(next), condition};
}

std::vector<RecordedVersion> VersionRecord::written(std::uint64_t number, ObjectVersion version)
{
    std::vector<RecordedVersion> added;
    if (!m_writing || number != m_lastNumber) {
        return added;
    }
    m_stored = *std::exchange(m_writing, std::nullopt);
    m_version = version;
    std::erase_if(m_wanted, [&](const auto &entry) {
        if (!holds(entry.first)) {
            return false;
        }
        added.push_back(keysOf(entry.first.first, entry.first.second));
        m_ceased.erase(entry.first);
        return true;
    });
    return added;
}

void VersionRecord::writeFailed(std::uint64_t number, TimePoint now)
{
    if (m_writing && number == m_lastNumber) {
        m_writing.reset();
        readFailed(now);
    }
}

void VersionRecord::readFailed(TimePoint now)
{
    m_isRead = false;
    m_hasFailed = true;
    m_notBefore = now + retryDelay;
}

} // namespace Rhubarbwind
