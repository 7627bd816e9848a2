#include "daemon/endpointdirectory.h"

#include <algorithm>
#include <set>

namespace Rhubarbwind
{

namespace
{

std::optional<Endpoint> endpointOf(const ListedHost &listed)
{
    if (listed.role != "engine" && listed.role != "service") {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.id = EndpointId(listed.name);
    endpoint.shard = ShardId(listed.shard);
    endpoint.kind = listed.role == "engine" ? EndpointKind::Engine : EndpointKind::Service;
    endpoint.domain = FailureDomain(listed.domain);
    endpoint.address = listed.ip;
    endpoint.port = listed.port;
    endpoint.slots = std::max<std::uint32_t>(1, listed.slots);
    endpoint.kvTokens = listed.kvTokens;
    endpoint.checksFencing = listed.checksFencing;
    endpoint.state = listed.state == "leaving" ? EndpointState::Leaving : EndpointState::Live;
    return endpoint;
}

} // namespace

bool EndpointDirectory::hostList(TimePoint now, std::span<const ListedHost> listed)
{
    if (listed.empty() && !m_entries.empty()) {
        return false;
    }
    m_leftOut = 0;
    bool changed = false;
    std::set<EndpointId> seen;
    for (const ListedHost &host : listed) {
        const std::optional<Endpoint> endpoint = endpointOf(host);
        if (!endpoint) {
            continue;
        }
        if (seen.size() >= maxEndpoints) {
            ++m_leftOut;
            continue;
        }
        seen.insert(endpoint->id);
        Entry &entry = m_entries[endpoint->id];
        const Endpoint before = effective(entry);
        const EndpointState listedBefore = entry.listed.state;
        entry.listed = *endpoint;
        confirm(entry, listedBefore);
        changed = changed || effective(entry) != before;
    }
    changed = std::erase_if(m_entries, [&seen](const std::pair<const EndpointId, Entry> &entry) { return !seen.contains(entry.first); }) > 0 || changed;
    return tick(now) || changed;
}

void EndpointDirectory::confirm(Entry &entry, EndpointState before)
{
    if (!entry.reportedLeaving) {
        return;
    }
    if (entry.listed.state == EndpointState::Leaving) {
        entry.listAgreed = true;
        return;
    }
    // The list lags: "live" counts as a return only after the list itself has shown the endpoint leaving.
    if (entry.listAgreed && before == EndpointState::Leaving) {
        entry.reportedLeaving.reset();
        entry.listAgreed = false;
    }
}

bool EndpointDirectory::leaving(TimePoint now, const EndpointId &endpoint)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end()) {
        return false;
    }
    const bool news = effective(found->second).state == EndpointState::Live;
    found->second.reportedLeaving = now;
    return news;
}

bool EndpointDirectory::returned(const EndpointId &endpoint)
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() || !found->second.reportedLeaving) {
        return false;
    }
    found->second.reportedLeaving.reset();
    found->second.listAgreed = false;
    return true;
}

bool EndpointDirectory::tick(TimePoint now)
{
    bool changed = false;
    for (auto &[id, entry] : m_entries) {
        const bool unconfirmed = entry.reportedLeaving && !entry.listAgreed;
        if (unconfirmed && now - *entry.reportedLeaving >= m_options.leavingMemory) {
            entry.reportedLeaving.reset();
            changed = true;
        }
    }
    return changed;
}

Endpoint EndpointDirectory::effective(const Entry &entry)
{
    Endpoint endpoint = entry.listed;
    if (entry.reportedLeaving && endpoint.state == EndpointState::Live) {
        endpoint.state = EndpointState::Leaving;
    }
    return endpoint;
}

std::optional<Endpoint> EndpointDirectory::find(const EndpointId &endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? std::nullopt : std::optional<Endpoint>(effective(found->second));
}

std::vector<ShardId> EndpointDirectory::shards() const
{
    std::set<ShardId> shards;
    for (const auto &[id, entry] : m_entries) {
        shards.insert(entry.listed.shard);
    }
    return {shards.begin(), shards.end()};
}

std::vector<Endpoint> EndpointDirectory::endpointsOf(const ShardId &shard) const
{
    std::vector<Endpoint> found;
    for (const auto &[id, entry] : m_entries) {
        if (entry.listed.shard == shard) {
            found.push_back(effective(entry));
        }
    }
    return found;
}

std::vector<Endpoint> EndpointDirectory::all() const
{
    std::vector<Endpoint> found;
    for (const auto &[id, entry] : m_entries) {
        found.push_back(effective(entry));
    }
    return found;
}

} // namespace Rhubarbwind
