#include "fleet/forwardgroups.h"

#include "fleet/fleetplaces_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace Rhubarbwind;
using namespace Rhubarbwind::FleetTest;

TEST_CASE("groups of a failure domain hold each host once, and no datagram names too many", "[config-monotonic]")
{
    rc::prop("any number of hosts", [] {
        const std::size_t count = *rc::gen::inRange<std::size_t>(0, 1000);
        const std::size_t reliable = *rc::gen::inRange<std::size_t>(0, count + 1);
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        std::vector<PeerAddress> hosts;
        for (std::size_t i = 0; i < count; ++i) {
            hosts.push_back(largeAddress(static_cast<int>(i)));
        }
        const std::vector<ForwardGroup> groups = forwardGroups(hosts, reliable, seed);
        std::set<std::string> heads;
        std::set<std::string> all;
        std::size_t named = 0;
        for (const ForwardGroup &group : groups) {
            heads.insert(group.head.ip);
            all.insert(group.head.ip);
            named += 1 + group.members.size();
            RC_ASSERT(group.members.size() <= maxForwardTargets);
            RC_ASSERT(group.members.size() <= groups.front().members.size());
            for (const PeerAddress &member : group.members) {
                all.insert(member.ip);
            }
        }
        RC_ASSERT(named == count);
        RC_ASSERT(all.size() == count);
        RC_ASSERT(groups.size() <= std::max(maxDirectTargets, count / maxForwardTargets));
        std::set<std::string> reliableHosts;
        for (std::size_t i = 0; i < reliable; ++i) {
            reliableHosts.insert(hosts[i].ip);
        }
        RC_ASSERT(reliable < groups.size() || std::ranges::includes(reliableHosts, heads));
    });
}

TEST_CASE("two senders put a host into different groups, so that one host that does not forward leaves few without the change", "[config-monotonic]")
{
    // Guards against groups that depend on the change alone: then a head that has just failed would cost its members both relays' copies.
    std::vector<PeerAddress> hosts;
    for (int i = 0; i < 197; ++i) {
        hosts.push_back(largeAddress(i));
    }
    const std::vector<ForwardGroup> first = forwardGroups(hosts, hosts.size(), 1);
    const std::vector<ForwardGroup> second = forwardGroups(hosts, hosts.size(), 2);
    for (const ForwardGroup &group : first) {
        const auto sameHead = std::ranges::find(second, group.head, &ForwardGroup::head);
        if (sameHead != second.end()) {
            const std::ptrdiff_t lost = std::ranges::count_if(
                group.members, [&](const PeerAddress &member) { return std::ranges::find(sameHead->members, member) != sameHead->members.end(); });
            CHECK(lost <= 5);
        }
    }
}
