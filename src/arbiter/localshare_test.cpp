#include "arbiter/localshare.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

const TimePoint start = TimePoint(1h);

std::vector<HostId> hostsOf(std::size_t count)
{
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.emplace_back("host-" + std::to_string(i));
    }
    return hosts;
}

Endpoint endpointOf(const std::string &name, std::uint32_t slots)
{
    Endpoint endpoint;
    endpoint.id = EndpointId(name);
    endpoint.slots = slots;
    return endpoint;
}

std::shared_ptr<const PresetInForce> threeTiers(ArbitrationMode mode = ArbitrationMode::Permits)
{
    PresetInForce inForce;
    inForce.version = 1;
    inForce.preset.arbitration = mode;
    for (std::uint8_t level = 0; level < 3; ++level) {
        ClassRule rule;
        rule.name = ClassId("tier-" + std::to_string(level));
        rule.tier = Tier{level};
        rule.minimumShare = 0.05;
        rule.queueLimit = 40;
        inForce.preset.classes.push_back(rule);
    }
    return std::make_shared<const PresetInForce>(inForce);
}

LocalShare shareOf(const HostId &self, const std::vector<HostId> &hosts, const std::vector<Endpoint> &endpoints)
{
    LocalShare share(LocalShareOptions{self});
    share.applyPreset(threeTiers());
    share.setEndpoints(endpoints);
    share.setHosts(start, hosts);
    return share;
}

AttemptId attempt(int number)
{
    return {RequestId("r" + std::to_string(number)), 0};
}

} // namespace

TEST_CASE("the hosts' shares of an endpoint are its slots, and every host has a place")
{
    rc::prop("sum and floor", [] {
        const std::vector<HostId> hosts = hostsOf(*rc::gen::inRange<std::size_t>(1, 12));
        std::vector<Endpoint> endpoints;
        for (std::size_t i = *rc::gen::inRange<std::size_t>(1, 6); i > 0; --i) {
            endpoints.push_back(endpointOf("e" + std::to_string(i), *rc::gen::inRange<std::uint32_t>(0, 20)));
        }
        std::uint32_t slots = 0;
        std::uint32_t shares = 0;
        std::uint32_t fallbackShares = 0;
        for (const Endpoint &endpoint : endpoints) {
            slots += endpoint.slots;
        }
        for (const HostId &host : hosts) {
            LocalShare share = shareOf(host, hosts, endpoints);
            std::uint32_t own = 0;
            for (const Endpoint &endpoint : endpoints) {
                own += share.share(start, endpoint.id);
            }
            RC_ASSERT(own >= 1U);
            shares += own;
            fallbackShares += own == 1 ? 1 : 0;
        }
        RC_ASSERT(shares >= slots);
        RC_ASSERT(shares <= slots + fallbackShares);
    });
}

TEST_CASE("a host that sees no other host grants only its share among the hosts that it knew")
{
    // Guards against overfilled engines: a host that is cut off takes the others for dead and grants by itself. By the live
    // list its share would be every slot, while the others still use theirs.
    const std::vector<HostId> hosts = hostsOf(8);
    LocalShare share = shareOf(hosts[0], hosts, {endpointOf("e", 16)});
    REQUIRE(share.share(start, EndpointId("e")) == 2);
    share.setHosts(start + 1s, std::vector{hosts[0]});
    REQUIRE(share.share(start + 2s, EndpointId("e")) == 2);
    REQUIRE(share.share(start + 2s + hostMemorySpan, EndpointId("e")) == 16);
}

TEST_CASE("alone, a host grants by tier, sheds from below and starves no class", "[tier-order][no-starvation]")
{
    // While the arbiter is unavailable, a higher request must not wait behind a lower one or be shed for it, and lower classes
    // must still run. A queue of all tiers builds up, then slots become free one by one, then the queue is shed.
    rc::prop("against the definition", [] {
        LocalShare share = shareOf(HostId("host-0"), hostsOf(1), {endpointOf("e", 1)});
        const std::vector<int> tiers = *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 3));
        std::map<AttemptId, int> waiting;
        for (int i = 0; i < static_cast<int>(tiers.size()); ++i) {
            waiting[attempt(i)] = tiers[static_cast<std::size_t>(i)];
            share.add(attempt(i), ClassId("tier-" + std::to_string(waiting[attempt(i)])), start + 1ms * i, {});
        }
        std::map<int, int> sinceLast;
        for (int granted = 0; granted < 60; ++granted) {
            const std::optional<LocalGrant> grant = share.grantNext(start + 1s, LocalShareMode::StaticShare);
            RC_ASSERT(grant.has_value());
            share.vacate(grant->id);
            const int tier = waiting.at(grant->id);
            waiting.erase(grant->id);
            int highest = 2;
            std::set<int> remainingTiers;
            for (const auto &[id, waitingTier] : waiting) {
                highest = std::min(highest, waitingTier);
                remainingTiers.insert(waitingTier);
            }
            // Out of order only by a class's share: at most every 20th grant for a class with a share of 0.05.
            RC_ASSERT((tier <= highest || sinceLast[tier] >= 19));
            for (int level = 0; level < 3; ++level) {
                sinceLast[level] = level == tier ? 0 : sinceLast[level] + 1;
                RC_ASSERT((!remainingTiers.contains(level) || sinceLast[level] <= 22));
            }
        }
        while (share.waiting() > 0) {
            const AttemptId victim = *share.shedCandidate();
            for (const auto &[id, tier] : waiting) {
                RC_ASSERT(tier <= waiting.at(victim));
            }
            waiting.erase(victim);
            share.remove(victim);
        }
    });
}

TEST_CASE("with load reports, a host sends to an endpoint until the last report plus its own work since fills the slots")
{
    LocalShare share = shareOf(HostId("host-0"), hostsOf(8), {endpointOf("e1", 4), endpointOf("e2", 4)});
    share.loadReport(start, {EndpointId("e1"), 3, 0, 0, 0s});
    share.loadReport(start, {EndpointId("e2"), 1, 1, 0, 0s});
    std::vector<EndpointId> granted;
    for (int i = 0; i < 5; ++i) {
        share.add(attempt(i), ClassId("tier-0"), start, {});
        if (const std::optional<LocalGrant> grant = share.grantNext(start + 1ms, LocalShareMode::LoadReports)) {
            granted.push_back(grant->endpoint);
        }
    }
    const EndpointId e1("e1");
    const EndpointId e2("e2");
    REQUIRE(granted == std::vector<EndpointId>{e2, e1, e2});
    share.loadReport(start + 2ms, {e1, 0, 0, 0, 0s});
    REQUIRE(share.grantNext(start + 3ms, LocalShareMode::LoadReports)->endpoint == e1);
}

TEST_CASE("leaving endpoints are never used, and those to avoid only when no other is free", "[endpoint-drain]")
{
    Endpoint leaving = endpointOf("leaving", 8);
    leaving.state = EndpointState::Leaving;
    LocalShare share = shareOf(HostId("host-0"), hostsOf(1), {leaving, endpointOf("e1", 1), endpointOf("e2", 1)});
    share.add(attempt(0), ClassId("tier-0"), start, {EndpointId("e1")});
    share.add(attempt(1), ClassId("tier-0"), start + 1ms, {EndpointId("e1")});
    share.add(attempt(2), ClassId("tier-0"), start + 2ms, {});
    REQUIRE(share.grantNext(start, LocalShareMode::StaticShare)->endpoint == EndpointId("e2"));
    REQUIRE(share.grantNext(start, LocalShareMode::StaticShare)->endpoint == EndpointId("e1")); // no other is free
    REQUIRE_FALSE(share.grantNext(start, LocalShareMode::StaticShare).has_value());
    share.setEndpoints(std::vector{leaving});
    REQUIRE(share.hasNoUsableEndpoint());
}
