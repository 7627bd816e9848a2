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
    return json::serialize(json::object{{"complete", record.isComplete}, {"services", std::move(services)}});
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

void VersionRecord::setStored(RecordedVersions stored, ObjectVersion version)
{
    m_stored = std::move(stored);
    m_version = version;
    m_isRead = true;
    m_hasFailed = false;
    m_writing.reset();
    m_recordedByPeers.clear();
    std::erase_if(m_wanted, [this](const auto &entry) { return holds(entry.first); });
}

bool VersionRecord::holds(const ServiceVersion &version) const
{
    const auto found = m_stored.versions.find(version.first);
    return found != m_stored.versions.end() && found->second.contains(version.second);
}

bool VersionRecord::isRecorded(const ShardId &service, const SoftwareVersion &version) const
{
    return m_recordedByPeers.contains(keysOf(service, version)) || holds({service, version});
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
    std::erase_if(m_wanted, [this](const auto &entry) { return m_recordedByPeers.contains(keysOf(entry.first.first, entry.first.second)); });
}

std::optional<ObjectWrite> VersionRecord::toWrite(const Situation &situation, TimePoint now)
{
    if (!m_isRead || m_writing || now < m_notBefore) {
        return std::nullopt;
    }
    const Duration delay = situation.rank == 0 ? Duration::zero() : waitForFirst + waitPerRank * static_cast<Duration::rep>(situation.rank);
    RecordedVersions next = m_stored;
    for (const auto &[version, since] : m_wanted) {
        if (now - since >= delay) {
            next.versions[version.first].insert(version.second);
        }
    }
    if (situation.rank == 0) {
        next.isComplete = next.isComplete || situation.isComplete;
        // Peers that write versions do not send their object: what is removed here is checked against the version of the object.
        for (auto &[service, versions] : next.versions) {
            std::erase_if(versions, [&, &id = service](const SoftwareVersion &version) {
                const auto isSame = [&](const VersionRow &row) { return row.service == id && row.version == version; };
                return m_seen.contains({id, version}) && !m_wanted.contains({id, version}) && std::ranges::none_of(situation.serving, isSame);
            });
        }
        std::erase_if(next.versions, [](const auto &entry) { return entry.second.empty(); });
    }
    if (next == m_stored) {
        return std::nullopt;
    }
    m_writing = next;
    const WriteCondition condition = m_version == 0 ? WriteCondition::absent() : WriteCondition::atVersion(m_version);
    return ObjectWrite{std::string(versionRecordName), formatRecordedVersions(next), condition};
}

std::vector<RecordedVersion> VersionRecord::written(ObjectVersion version)
{
    std::vector<RecordedVersion> added;
    if (!m_writing) {
        return added;
    }
    const RecordedVersions before = std::exchange(m_stored, *std::exchange(m_writing, std::nullopt));
    m_version = version;
    for (const auto &[service, versions] : m_stored.versions) {
        const auto known = before.versions.find(service);
        for (const SoftwareVersion &each : versions) {
            if (known == before.versions.end() || !known->second.contains(each)) {
                added.push_back(keysOf(service, each));
            }
        }
    }
    std::erase_if(m_wanted, [this](const auto &entry) { return holds(entry.first); });
    return added;
}

void VersionRecord::writeFailed(TimePoint now)
{
    m_writing.reset();
    m_isRead = false;
    m_hasFailed = true;
    m_notBefore = now + retryDelay;
}

} // namespace Rhubarbwind
