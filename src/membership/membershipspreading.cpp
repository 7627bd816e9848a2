// Dissemination of updates. Every datagram carries pending updates, those sent least often first, and each update is sent
// extraTransmissions + log2(hosts) times. This epidemic spread reaches all hosts with high probability; comparing digests with a random host
// repairs the remaining differences. While updates are pending, gossip is sent between probes. Dead hosts, and listed hosts that were never
// received from, are probed periodically.

#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <xxhash.h>

namespace Rhubarbwind
{

namespace
{

// Listed hosts that are contacted at once while this host knows no live host.
constexpr std::size_t joinFanout = 3;

class ViewHasher
{
public:
    void add(std::string_view text)
    {
        m_hash = XXH3_64bits_withSeed(text.data(), text.size(), m_hash);
    }
    void add(std::uint64_t number)
    {
        m_hash = XXH3_64bits_withSeed(&number, sizeof(number), m_hash);
    }
    void add(const Member &member)
    {
        add(member.host.text());
        add(member.incarnation.start);
        add(member.incarnation.refutations);
        add(member.leaving ? 1 : 0);
    }
    std::uint64_t value() const
    {
        return m_hash;
    }

private:
    std::uint64_t m_hash = 0;
};

} // namespace

void Membership::gossip(TimePoint now)
{
    if (!active() || now < m_nextGossip || (m_pendingMembers.empty() && m_pendingEndpoints.empty())) {
        return;
    }
    m_nextGossip = now + m_settings.gossipInterval;
    for (const Known *known : randomLive(m_settings.gossipFanout, m_self.host)) {
        send(known->member.address, known->member.host, message(MembershipMessageKind::Gossip));
    }
}

std::vector<SeedHost> Membership::unreachedHosts() const
{
    std::set<PeerAddress, bool (*)(const PeerAddress &, const PeerAddress &)> taken(
        [](const PeerAddress &left, const PeerAddress &right) { return std::tie(left.ip, left.port) < std::tie(right.ip, right.port); });
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead) {
            taken.insert(known.member.address);
        }
    }
    std::vector<SeedHost> unreached;
    for (const auto &[host, known] : m_members) {
        const bool mayReturn = known.member.state == MemberState::Dead && !known.member.leaving;
        if (mayReturn && !taken.contains(known.member.address)) {
            unreached.push_back({host, known.member.address, known.member.domain, false});
        }
    }
    for (const auto &[host, listed] : m_listed) {
        if (!m_members.contains(host) && !taken.contains(listed.address)) {
            unreached.push_back(listed);
        }
    }
    return unreached;
}

void Membership::rejoin(TimePoint now)
{
    m_nextRejoin = now + m_settings.rejoinInterval;
    std::vector<SeedHost> unreached = unreachedHosts();
    std::shuffle(unreached.begin(), unreached.end(), m_random.engine());
    const bool alone = liveCount() == 1;
    unreached.resize(std::min(unreached.size(), alone ? joinFanout : std::size_t(1)));
    for (const SeedHost &host : unreached) {
        MembershipMessage ping = message(MembershipMessageKind::Ping);
        ping.target = host.host;
        send(host.address, host.host, std::move(ping));
        if (alone) {
            MembershipMessage request = message(MembershipMessageKind::SyncRequest);
            request.digest = viewDigest();
            send(host.address, host.host, std::move(request));
        }
    }
}

void Membership::sync(TimePoint now)
{
    m_nextSync = now + m_settings.syncInterval;
    for (const Known *known : randomLive(1, m_self.host)) {
        MembershipMessage request = message(MembershipMessageKind::SyncRequest);
        request.digest = viewDigest();
        send(known->member.address, known->member.host, std::move(request));
    }
}

MembershipMessage Membership::message(MembershipMessageKind kind) const
{
    MembershipMessage message;
    message.kind = kind;
    message.sender = m_self;
    return message;
}

void Membership::send(const PeerAddress &to, const HostId &host, MembershipMessage message)
{
    addUpdates(host, message);
    m_actions.emplace_back(SendDatagram{to, std::move(message)});
}

void Membership::addUpdates(const HostId &recipient, MembershipMessage &message)
{
    std::size_t bytes = encodedBytesBound(message);
    for (const Member &member : message.members) {
        bytes += encodedBytesBound(member);
    }
    const auto add = [&](auto &list, const auto &update) {
        const std::size_t added = encodedBytesBound(update);
        const std::size_t updates = message.members.size() + message.endpoints.size() + message.versions.size();
        const bool fits = bytes + added <= m_settings.maxUpdateBytes && updates < maxUpdatesPerDatagram;
        if (fits) {
            bytes += added;
            list.push_back(update);
        }
        return fits;
    };
    // Every datagram to a suspect or dead host reports that state to it, so that it can refute.
    const auto recipientEntry = m_members.find(recipient);
    const bool recipientSuspected = recipientEntry != m_members.end() && recipientEntry->second.member.state != MemberState::Alive;
    if (recipientSuspected) {
        add(message.members, recipientEntry->second.member);
    }
    const std::size_t limit = transmissionLimit();
    for (auto it = m_pendingEndpoints.begin(); it != m_pendingEndpoints.end();) {
        if (!add(message.endpoints, m_endpoints.at(it->first))) {
            break;
        }
        it = ++it->second.sent >= limit ? m_pendingEndpoints.erase(it) : std::next(it);
    }
    // Those sent least often first, so that new updates overtake those that were already sent many times.
    std::vector<std::pair<std::size_t, const HostId *>> order;
    for (const auto &[host, pending] : m_pendingMembers) {
        order.emplace_back(pending.sent, &host);
    }
    const std::size_t candidates = std::min(order.size(), maxUpdatesPerDatagram);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(candidates), order.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, *left.second) < std::tie(right.first, *right.second);
    });
    order.resize(candidates);
    for (const auto &[sent, candidate] : order) {
        const HostId host = *candidate; // A copy: the entry is erased after its last transmission.
        const bool alreadyIncluded = host == m_self.host || (recipientSuspected && host == recipient);
        PendingUpdate &pending = m_pendingMembers.at(host);
        const Member &member = host == m_self.host ? m_self : m_members.at(host).member;
        const bool added = alreadyIncluded
            || (pending.versionOnly ? add(message.versions, VersionUpdate{lifeKey(member), member.presetVersion}) : add(message.members, member));
        if (!added) {
            break;
        }
        if (++pending.sent >= limit) {
            m_pendingMembers.erase(host);
        }
    }
}

std::size_t Membership::transmissionLimit() const
{
    return m_settings.extraTransmissions + bitWidth(liveCount());
}

std::size_t Membership::liveCount() const
{
    if (!m_liveCount) {
        const auto live = std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) { return entry.second.member.state != MemberState::Dead; });
        m_liveCount = static_cast<std::size_t>(live) + 1;
    }
    return *m_liveCount;
}

std::vector<const Membership::Known *> Membership::randomLive(std::size_t count, const HostId &except)
{
    std::vector<const Known *> live;
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead && host != except) {
            live.push_back(&known);
        }
    }
    std::shuffle(live.begin(), live.end(), m_random.engine());
    live.resize(std::min(live.size(), count));
    return live;
}

std::uint64_t Membership::viewDigest() const
{
    std::map<HostId, const Member *> view{{m_self.host, &m_self}};
    for (const auto &[host, known] : m_members) {
        if (known.member.state != MemberState::Dead) {
            view.emplace(host, &known.member);
        }
    }
    ViewHasher hasher;
    for (const auto &[host, member] : view) {
        hasher.add(*member);
    }
    for (const auto &[endpoint, fact] : m_endpoints) {
        hasher.add(endpoint.text());
        hasher.add(fact.version);
        hasher.add(fact.leaving ? 1 : 0);
    }
    return hasher.value();
}

} // namespace Rhubarbwind
