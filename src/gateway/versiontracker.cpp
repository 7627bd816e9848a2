#include "gateway/versiontracker.h"

#include <algorithm>

namespace Rhubarbwind
{

void VersionTracker::put(const EndpointId &endpoint, const ShardId &service, const SoftwareVersion &version, TimePoint now)
{
    const auto found = m_listed.find(endpoint);
    if (found != m_listed.end() && found->second.service == service && found->second.version == version) {
        return;
    }
    remove(endpoint, now);
    m_listed[endpoint] = {service, version};
    ++m_services[service].versions[version].endpoints;
}

void VersionTracker::remove(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_listed.find(endpoint);
    if (found == m_listed.end()) {
        return;
    }
    Service &service = m_services[found->second.service];
    Version &version = service.versions[found->second.version];
    --version.endpoints;
    version.lastListedAt = now;
    m_listed.erase(found);
    dropFormer(service, now);
}

void VersionTracker::dropFormer(Service &service, TimePoint now) const
{
    std::erase_if(service.versions, [&](const auto &entry) { return !serves(entry.second, now); });
    const auto isFormer = [](const auto &entry) { return entry.second.endpoints == 0; };
    while (static_cast<std::size_t>(std::ranges::count_if(service.versions, isFormer)) > maxFormerVersions) {
        service.versions.erase(std::ranges::min_element(
            service.versions, {}, [](const auto &entry) { return entry.second.endpoints == 0 ? entry.second.lastListedAt : TimePoint::max(); }));
    }
}

bool VersionTracker::hasSeveral(const ShardId &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && std::ranges::count_if(found->second.versions, [&](const auto &entry) { return serves(entry.second, now); }) > 1;
}

std::vector<VersionChange> VersionTracker::takeChanges(TimePoint now)
{
    std::vector<VersionChange> changes;
    for (auto &[id, service] : m_services) {
        const bool several = service.versions.size() > 1 && hasSeveral(id, now);
        if (several != service.hadSeveral) {
            service.hadSeveral = several;
            changes.push_back({id, several, rowsOf(id, service, now)});
        }
    }
    return changes;
}

std::vector<VersionRow> VersionTracker::rowsOf(const ShardId &id, const Service &service, TimePoint now) const
{
    std::vector<VersionRow> rows;
    for (const auto &[version, state] : service.versions) {
        if (serves(state, now)) {
            rows.push_back({id, version, state.endpoints});
        }
    }
    return rows;
}

std::vector<VersionRow> VersionTracker::rows(TimePoint now) const
{
    std::vector<VersionRow> rows;
    for (const auto &[id, service] : m_services) {
        const std::vector<VersionRow> own = rowsOf(id, service, now);
        rows.insert(rows.end(), own.begin(), own.end());
    }
    return rows;
}

} // namespace Rhubarbwind
