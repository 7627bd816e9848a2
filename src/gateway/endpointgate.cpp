#include "gateway/endpointgate.h"

#include <utility>

namespace Rhubarbwind
{

bool EndpointGate::mayPass(const SelectorEndpoint &endpoint, const IsRecorded &isRecorded, TimePoint now)
{
    const std::pair version(endpoint.service, endpoint.softwareVersion);
    if (isRecorded(endpoint.service, endpoint.softwareVersion)) {
        m_heldSince.erase(version);
        return true;
    }
    return now - m_heldSince.try_emplace(version, now).first->second >= maxHold;
}

std::vector<RegistryChange> EndpointGate::pass(std::span<const RegistryChange> changes, const IsRecorded &isRecorded, TimePoint now)
{
    std::vector<RegistryChange> passed;
    for (const RegistryChange &change : changes) {
        const EndpointId &id = change.endpoint.id;
        const auto before = m_passed.find(id);
        if (change.isRemoved) {
            m_held.erase(id);
            if (before != m_passed.end()) {
                m_passed.erase(before);
                passed.push_back(change);
            }
        } else if ((before != m_passed.end() && before->second.softwareVersion == change.endpoint.softwareVersion
                    && before->second.service == change.endpoint.service)
                   || mayPass(change.endpoint, isRecorded, now)) {
            m_held.erase(id);
            m_passed[id] = change.endpoint;
            passed.push_back(change);
        } else {
            m_held[id] = change.endpoint;
            if (before != m_passed.end()) {
                // Its process was replaced by one of the version that is held back.
                passed.push_back({before->second, true});
                m_passed.erase(before);
            }
        }
    }
    return passed;
}

std::vector<RegistryChange> EndpointGate::release(const IsRecorded &isRecorded, TimePoint now)
{
    std::vector<RegistryChange> released;
    for (auto held = m_held.begin(); held != m_held.end();) {
        const auto next = std::next(held);
        if (mayPass(held->second, isRecorded, now)) {
            released.push_back({held->second, false});
            m_passed[held->first] = held->second;
            m_held.erase(held);
        }
        held = next;
    }
    return released;
}

std::vector<VersionRow> EndpointGate::withHeld(std::vector<VersionRow> serving) const
{
    std::map<std::pair<ShardId, SoftwareVersion>, std::uint32_t> counts;
    for (const auto &[id, endpoint] : m_held) {
        ++counts[{endpoint.service, endpoint.softwareVersion}];
    }
    for (const auto &[version, count] : counts) {
        serving.push_back({version.first, version.second, count});
    }
    return serving;
}

} // namespace Rhubarbwind
