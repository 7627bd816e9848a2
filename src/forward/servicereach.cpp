#include "forward/servicereach.h"

#include <algorithm>
#include <utility>

namespace Rhubarbwind
{

ServiceReach::Service *ServiceReach::serviceOf(const EndpointId &endpoint)
{
    const auto found = m_serviceOf.find(endpoint);
    return found == m_serviceOf.end() ? nullptr : &m_services[found->second];
}

void ServiceReach::put(const EndpointId &endpoint, const ShardId &service)
{
    const auto [known, isNew] = m_serviceOf.try_emplace(endpoint, service);
    if (!isNew && known->second != service) {
        m_services[known->second].endpoints.erase(endpoint);
        m_services[known->second].failed.erase(endpoint);
        known->second = service;
    }
    Service &entry = m_services[service];
    entry.endpoints.insert(endpoint);
    entry.failed.erase(endpoint);
}

void ServiceReach::remove(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_serviceOf.find(endpoint);
    if (found == m_serviceOf.end()) {
        return;
    }
    const ShardId id = found->second;
    m_serviceOf.erase(found);
    Service &service = m_services[id];
    service.endpoints.erase(endpoint);
    service.failed.erase(endpoint);
    service.regained.erase(endpoint);
    if (service.endpoints.empty()) {
        if (!service.isReachable) {
            regain(id, service, now);
        }
        m_services.erase(id);
    }
}

void ServiceReach::connected(const EndpointId &endpoint, TimePoint startedAt, TimePoint now)
{
    Service *service = serviceOf(endpoint);
    if (!service) {
        return;
    }
    if (service->isReachable) {
        service->lastSuccessAt = now;
        forgetFailures(*service);
        return;
    }
    if (startedAt < service->lostAt) {
        return;
    }
    service->regained.insert(endpoint);
    if (service->regained.size() >= std::min(m_options.endpointsToReturn, service->endpoints.size())) {
        regain(m_serviceOf.at(endpoint), *service, now);
    }
}

void ServiceReach::connectFailed(const EndpointId &endpoint, ConnectFailure how, TimePoint startedAt, TimePoint now)
{
    Service *service = serviceOf(endpoint);
    if (!service || startedAt < service->lastSuccessAt) {
        return;
    }
    if (service->failures() == 0) {
        service->firstFailureAt = startedAt;
    }
    service->failed.insert(endpoint);
    service->regained.clear();
    ++(how == ConnectFailure::Refused ? service->refused : service->silent);
    const std::size_t needed = std::min(m_options.endpointsToLose, service->endpoints.size());
    if (service->isReachable && service->failed.size() >= needed && service->failures() >= m_options.failuresToLose) {
        lose(m_serviceOf.at(endpoint), *service, now);
    }
}

bool ServiceReach::isReachable(const ShardId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || found->second.isReachable;
}

void ServiceReach::forgetFailures(Service &service) const
{
    service.failed.clear();
    service.regained.clear();
    service.refused = 0;
    service.silent = 0;
}

void ServiceReach::lose(const ShardId &id, Service &service, TimePoint now)
{
    service.isReachable = false;
    service.lostAt = now;
    ReachChange change;
    change.service = id;
    change.firstFailureAge = now - service.firstFailureAt;
    change.endpoints = service.endpoints.size();
    change.failedEndpoints = service.failed.size();
    change.refused = service.refused;
    change.silent = service.silent;
    m_changes.push_back(std::move(change));
}

void ServiceReach::regain(const ShardId &id, Service &service, TimePoint now)
{
    ReachChange change;
    change.service = id;
    change.isReachable = true;
    change.lasted = now - service.firstFailureAt;
    change.endpoints = service.endpoints.size();
    change.failedEndpoints = service.failed.size();
    change.refused = service.refused;
    change.silent = service.silent;
    m_changes.push_back(std::move(change));
    service.isReachable = true;
    service.lastSuccessAt = now;
    forgetFailures(service);
}

std::vector<ReachChange> ServiceReach::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<ReachRow> ServiceReach::rows(TimePoint now) const
{
    std::vector<ReachRow> rows;
    for (const auto &[id, service] : m_services) {
        ReachRow row;
        row.service = id;
        row.isReachable = service.isReachable;
        row.lasted = service.isReachable ? Duration::zero() : now - service.firstFailureAt;
        row.endpoints = service.endpoints.size();
        row.failedEndpoints = service.failed.size();
        row.refused = service.refused;
        row.silent = service.silent;
        rows.push_back(row);
    }
    return rows;
}

} // namespace Rhubarbwind
