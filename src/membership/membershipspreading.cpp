// How news travels. Each telling rides on whatever is sent, the least told first, until it was sent log2(hosts)
// and a few times: epidemic spread reaches all with high probability, and comparing digests with a random host
// repairs the rest. While there is news, gossip goes out between probes. Dead and unheard hosts are probed.

#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <tuple>

#include <xxhash.h>

namespace Rhubarbwind
{

namespace
{

// Listed hosts asked at once while this host knows nobody.
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
    if (!active() || now < m_nextGossip || (m_memberNews.empty() && m_endpointNews.empty())) {
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
    addNews(host, message);
    m_actions.emplace_back(SendDatagram{to, std::move(message)});
}

void Membership::addNews(const HostId &recipient, MembershipMessage &message)
{
    std::size_t bytes = encodedBytesBound(message);
    for (const Member &member : message.members) {
        bytes += encodedBytesBound(member);
    }
    const auto add = [&](auto &list, const auto &telling) {
        const std::size_t added = encodedBytesBound(telling);
        const std::size_t tellings = message.members.size() + message.endpoints.size() + message.versions.size();
        const bool fits = bytes + added <= m_settings.newsBytes && tellings < maxTellingsPerDatagram;
        if (fits) {
            bytes += added;
            list.push_back(telling);
        }
        return fits;
    };
    // Whoever is taken for suspect or dead hears it from everybody who speaks to it, so that it can refute.
    const auto accused = m_members.find(recipient);
    const bool tellAccused = accused != m_members.end() && accused->second.member.state != MemberState::Alive;
    if (tellAccused) {
        add(message.members, accused->second.member);
    }
    const std::size_t limit = transmissionLimit();
    for (auto it = m_endpointNews.begin(); it != m_endpointNews.end();) {
        if (!add(message.endpoints, m_endpoints.at(it->first))) {
            break;
        }
        it = ++it->second.sent >= limit ? m_endpointNews.erase(it) : std::next(it);
    }
    // The least told first: fresh news overtakes what has nearly run its course.
    std::vector<std::pair<std::size_t, const HostId *>> order;
    for (const auto &[host, news] : m_memberNews) {
        order.emplace_back(news.sent, &host);
    }
    const std::size_t candidates = std::min(order.size(), maxTellingsPerDatagram);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(candidates), order.end(), [](const auto &left, const auto &right) {
        return std::tie(left.first, *left.second) < std::tie(right.first, *right.second);
    });
    order.resize(candidates);
    for (const auto &[sent, candidate] : order) {
        const HostId host = *candidate; // A copy: the entry goes with its last transmission.
        const bool carriedAnyway = host == m_self.host || (tellAccused && host == recipient);
        News &news = m_memberNews.at(host);
        const Member &member = host == m_self.host ? m_self : m_members.at(host).member;
        const bool added =
            carriedAnyway || (news.versionOnly ? add(message.versions, VersionTelling{lifeKey(member), member.presetVersion}) : add(message.members, member));
        if (!added) {
            break;
        }
        if (++news.sent >= limit) {
            m_memberNews.erase(host);
        }
    }
}

std::size_t Membership::transmissionLimit() const
{
    return m_settings.extraTransmissions + log2Ceil(liveCount());
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
