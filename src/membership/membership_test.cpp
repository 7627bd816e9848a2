#include "membership/membership.h"

#include "base/rendezvous.h"
#include "membership/fakefleet_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;
using FakeFleet::Fleet;
using FakeFleet::Node;

namespace
{

/** Enough for hosts to find each other through the host list, refute and repair their views by digest. */
constexpr Duration settleTime = 60s;

bool everDead(const Node &node, const HostId &host)
{
    return std::any_of(
        node.changes.begin(), node.changes.end(), [&](const Member &change) { return change.host == host && change.state == MemberState::Dead; });
}

void converge(Fleet &fleet)
{
    REQUIRE(fleet.runUntil([&] { return fleet.everyViewIs(fleet.running()); }, settleTime) < settleTime);
}

/** Ends the process at the slot and starts another there, under the same name or a new one. */
void replace(Fleet &fleet, std::size_t slot, bool sameName)
{
    const auto former =
        std::find_if(fleet.nodes.begin(), fleet.nodes.end(), [&](const std::unique_ptr<Node> &node) { return node->running && node->slot == slot; });
    Node &node = **former;
    node.running = false;
    const std::string name = node.self.host.text();
    fleet.add(slot, sameName ? name : name + "+");
}

/** Examines every recorded change of every view, so that no state between two checks is missed. */
bool leavingNeverReverted(const Fleet &fleet)
{
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        std::map<std::pair<HostId, std::uint64_t>, bool> left;
        for (const Member &change : node->changes) {
            bool &before = left[{change.host, change.incarnation.start}];
            if (before && !change.leaving) {
                return false;
            }
            before = change.leaving;
        }
    }
    return true;
}

void randomFault(Fleet &fleet, std::size_t hosts)
{
    const std::size_t slot = *rc::gen::inRange<std::size_t>(0, hosts);
    const std::size_t other = *rc::gen::inRange<std::size_t>(0, hosts);
    Node &node = *fleet.nodes[*rc::gen::inRange<std::size_t>(0, fleet.nodes.size())];
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        fleet.loss = *rc::gen::inRange(0, 40) / 100.0;
        return;
    case 1:
        node.frozen = true;
        return;
    case 2:
        if (node.frozen) {
            fleet.wake(node);
        }
        return;
    case 3:
        fleet.cut = [slot, other](std::size_t from, std::size_t to) { return from == slot && (to == other || other % 2 == 0); };
        return;
    case 4:
        fleet.cut = [slot](std::size_t from, std::size_t to) { return (from % 3 == slot % 3) != (to % 3 == slot % 3); };
        return;
    case 5:
        replace(fleet, slot, *rc::gen::arbitrary<bool>());
        return;
    case 6:
        if (node.running && !node.frozen) {
            fleet.carryOut(node, node.core.leave(fleet.now));
        }
        return;
    default:
        if (node.running && !node.frozen) {
            const std::uint64_t version = *rc::gen::inRange<std::uint64_t>(1, 9);
            fleet.carryOut(node, node.core.endpointLeaving(fleet.now, EndpointId("engine-" + std::to_string(version % 3)), version));
            fleet.carryOut(node, node.core.setPresetVersion(fleet.now, version));
        }
        return;
    }
}

void endFaults(Fleet &fleet)
{
    fleet.loss = 0;
    fleet.cut = [](std::size_t, std::size_t) { return false; };
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        if (node->running && node->frozen) {
            fleet.wake(*node);
        }
    }
    fleet.listAll();
}

bool agreed(const Fleet &fleet)
{
    for (const std::unique_ptr<Node> &viewer : fleet.nodes) {
        for (const std::unique_ptr<Node> &seen : fleet.nodes) {
            if (!viewer->running || !seen->running || viewer == seen) {
                continue;
            }
            const std::vector<Member> members = viewer->core.members();
            if (std::find(members.begin(), members.end(), seen->core.self()) == members.end()) {
                return false;
            }
        }
        if (viewer->running && viewer->core.endpointFacts() != fleet.nodes.back()->core.endpointFacts()) {
            return false;
        }
    }
    return true;
}

} // namespace

// If views do not converge after faults, duties flap or stay without an owner. Hosts are frozen and resumed, cut off in one direction or with
// their whole domain, replaced under old or new names; datagrams are lost; hosts and endpoints leave; all in any order. Once the faults stop,
// every host must hold the same, correct view.
TEST_CASE("views converge to the truth after any faults, and leaving never reverts", "[endpoint-drain][graceful-shutdown]")
{
    rc::prop("every live host sees every live host as that host tells itself", [] {
        const std::size_t hosts = *rc::gen::inRange<std::size_t>(2, 10);
        Fleet fleet(hosts, *rc::gen::arbitrary<std::uint64_t>());
        const int faults = *rc::gen::inRange(1, 15);
        for (int i = 0; i < faults; ++i) {
            randomFault(fleet, hosts);
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(10, 12'000)));
        }
        endFaults(fleet);
        RC_ASSERT(fleet.runUntil([&] { return agreed(fleet); }, settleTime) < settleTime);
        fleet.run(10s);
        RC_ASSERT(leavingNeverReverted(fleet));
        RC_ASSERT(agreed(fleet));
        for (const std::unique_ptr<Node> &node : fleet.nodes) {
            const std::vector<Member> members = node->core.members();
            RC_ASSERT((!node->running || std::none_of(members.begin(), members.end(), [&](const Member &member) {
                const std::vector<HostId> live = fleet.running();
                return member.state != MemberState::Dead && !std::binary_search(live.begin(), live.end(), member.host);
            })));
        }
    });
}

TEST_CASE("a dead host is dead everywhere within the stated bound, and nobody else is")
{
    rc::prop("detectionBound and the spread of the news", [] {
        const std::size_t hosts = *rc::gen::inRange<std::size_t>(2, 24);
        Fleet fleet(hosts, *rc::gen::arbitrary<std::uint64_t>());
        converge(fleet);
        fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
        Node &victim = *fleet.nodes[*rc::gen::inRange<std::size_t>(0, hosts)];
        victim.running = false;
        const Duration bound = victim.core.detectionBound(hosts) + 3s;
        RC_ASSERT(fleet.runUntil([&] { return fleet.everyViewIs(fleet.running()); }, bound) < bound);
        for (const std::unique_ptr<Node> &node : fleet.nodes) {
            for (const Member &change : node->changes) {
                RC_ASSERT((change.state != MemberState::Dead || change.host == victim.self.host));
            }
        }
    });
}

TEST_CASE("a loss of ten percent of the datagrams causes no false death")
{
    Fleet fleet(12, 1);
    fleet.loss = 0.1;
    converge(fleet);
    fleet.run(5min);
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        CHECK(std::none_of(node->changes.begin(), node->changes.end(), [](const Member &change) { return change.state == MemberState::Dead; }));
    }
}

// A host that loses all incoming packets but can still send finds all its peers silent. If it reported them dead, duties would move on every
// host. It cannot distinguish their silence from its own failure to receive, so it reports nothing until its peers consider it dead and
// ignore its reports.
TEST_CASE("a host that receives nothing causes no death but its own")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(9, seed);
        converge(fleet);
        fleet.cut = [](std::size_t, std::size_t to) { return to == 0; };
        fleet.run(60s);
        for (std::size_t i = 1; i < fleet.nodes.size(); ++i) {
            CHECK(everDead(*fleet.nodes[i], HostId("host-0")));
            for (std::size_t other = 1; other < fleet.nodes.size(); ++other) {
                CHECK(!everDead(*fleet.nodes[i], HostId("host-" + std::to_string(other))));
            }
        }
        fleet.cut = [](std::size_t, std::size_t) { return false; };
        converge(fleet);
    }
}

// A host that is cut off for some seconds declares its peers dead one by one. If it spread these deaths on its return, each would last until
// the live host has refuted it, and duties would flap. Its peers consider it dead and ignore these reports; when it refutes its own death, it
// discards the deaths that it has not sent yet.
TEST_CASE("a host that was cut off for a while causes no false death on its return")
{
    for (int seed = 1; seed <= 100; ++seed) {
        Fleet fleet(9, static_cast<std::uint64_t>(seed));
        converge(fleet);
        fleet.cut = [](std::size_t from, std::size_t to) { return from == 0 || to == 0; };
        fleet.run(3s + seed * 170ms);
        fleet.cut = [](std::size_t, std::size_t) { return false; };
        converge(fleet);
        fleet.run(10s);
        std::size_t falseDeaths = 0;
        for (std::size_t viewer = 1; viewer < 9; ++viewer) {
            for (std::size_t other = 1; other < 9; ++other) {
                falseDeaths += everDead(*fleet.nodes[viewer], HostId("host-" + std::to_string(other))) ? 1 : 0;
            }
        }
        CAPTURE(seed);
        CHECK(falseDeaths == 0);
    }
}

// While a host is frozen, every deadline passes. If it evaluated them when it resumes, it would declare all peers dead at once and serve every
// duty itself. It must let its peers answer first. They consider it dead by then; it learns this from them and refutes.
TEST_CASE("a host that was frozen and resumes refutes its own death and declares no other host dead")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(9, seed);
        converge(fleet);
        Node &frozen = *fleet.nodes[4];
        fleet.cut = [](std::size_t, std::size_t to) { return to == 4; }; // It suspects a live host when it freezes.
        fleet.run(1s);
        fleet.cut = [](std::size_t, std::size_t) { return false; };
        frozen.frozen = true;
        fleet.run(40s);
        frozen.unread.clear(); // The socket's buffer held only datagrams older than the refutation.
        fleet.wake(frozen);
        const Duration bound = 10s;
        CHECK(fleet.runUntil([&] { return fleet.everyViewIs(fleet.running()); }, bound) < bound);
        CHECK(frozen.core.self().incarnation.refutations > 0);
        for (std::size_t other = 0; other < 9; ++other) {
            CHECK((other == 4 || !everDead(frozen, HostId("host-" + std::to_string(other)))));
        }
    }
}

// If each half of a partition considered the other dead and probed only live hosts, no datagram would cross after the partition has healed, and
// both halves would serve callers as two separate fleets.
TEST_CASE("two halves of a healed partition find each other")
{
    Fleet fleet(9, 3);
    converge(fleet);
    fleet.cut = [](std::size_t from, std::size_t to) { return (from % 3 == 0) != (to % 3 == 0); };
    fleet.run(60s);
    REQUIRE(fleet.nodes[0]->core.aliveHosts().size() == 3);
    REQUIRE(fleet.nodes[1]->core.aliveHosts().size() == 6);
    fleet.list.clear();
    fleet.cut = [](std::size_t, std::size_t) { return false; };
    converge(fleet);
}

TEST_CASE("half the hosts replaced at once at their addresses are known within the bound")
{
    const bool sameName = GENERATE(true, false);
    Fleet fleet(12, 5);
    converge(fleet);
    for (std::size_t slot = 0; slot < 6; ++slot) {
        replace(fleet, slot, sameName);
    }
    const Duration bound = fleet.nodes[0]->core.detectionBound(12) + 6s;
    CHECK(fleet.runUntil([&] { return fleet.everyViewIs(fleet.running()); }, bound) < bound);
}

// A process that was frozen, was replaced under its name, and resumes would refute its successor forever, and be refuted by it. The greater
// start wins, and the older process is reported as superseded. A young process that receives a greater start only has a clock that is behind,
// and adopts a greater start.
TEST_CASE("of two processes under one name the one that started later stays")
{
    Fleet fleet(5, 7);
    converge(fleet);
    fleet.run(40s);
    Node &old = *fleet.nodes[2];
    old.frozen = true;
    Node &fresh = fleet.add(2, old.self.host.text());
    fleet.run(20s);
    fleet.wake(old);
    fleet.run(20s);
    CHECK(old.core.superseded());
    CHECK(!fresh.core.superseded());
    old.running = false;

    fresh.running = false;
    fleet.run(20s);
    Node slow{Membership(MembershipSettings(), 1), fresh.self, 2, true, false, fleet.now, {}, 0, 0, {}};
    slow.self.incarnation.start = 1;
    fleet.nodes.push_back(std::make_unique<Node>(std::move(slow)));
    Node &late = *fleet.nodes.back();
    fleet.carryOut(late, late.core.start(fleet.now, late.self, fleet.list));
    fleet.run(20s);
    CHECK(!late.core.superseded());
    CHECK(fleet.everyViewIs(fleet.running()));
}

TEST_CASE("replayed datagrams change nothing")
{
    Fleet fleet(6, 9);
    std::vector<std::vector<std::byte>> recorded;
    fleet.recorded = &recorded;
    converge(fleet);
    fleet.nodes[1]->frozen = true;
    fleet.run(20s);
    fleet.wake(*fleet.nodes[1]);
    fleet.carryOut(*fleet.nodes[2], fleet.nodes[2]->core.leave(fleet.now));
    fleet.run(10s);
    fleet.recorded = nullptr;
    REQUIRE(agreed(fleet));
    for (const std::vector<std::byte> &datagram : recorded) {
        for (const std::unique_ptr<Node> &node : fleet.nodes) {
            const MembershipActions actions = node->core.datagram(fleet.now, decodeDatagram(datagram, FakeFleet::secret).value());
            CHECK(std::none_of(actions.begin(), actions.end(), [](const MembershipAction &action) {
                return std::holds_alternative<MemberChanged>(action) || std::holds_alternative<EndpointFactChanged>(action);
            }));
        }
    }
}

// When only one host knows that an endpoint is leaving, the others still grant permits for it, and requests are sent to an endpoint that is
// about to be removed. The fact must reach all hosts within two seconds, and only a greater version may revert it.
TEST_CASE("an endpoint known as leaving by one host is known so by all", "[endpoint-drain]")
{
    const EndpointId endpoint("engine-7");
    Fleet fleet(9, 11);
    fleet.loss = 0.1;
    converge(fleet);
    const auto allHold = [&](bool leaving) {
        return [&fleet, &endpoint, leaving] {
            return std::all_of(
                fleet.nodes.begin(), fleet.nodes.end(), [&](const std::unique_ptr<Node> &node) { return node->core.endpointIsLeaving(endpoint) == leaving; });
        };
    };
    fleet.carryOut(*fleet.nodes[3], fleet.nodes[3]->core.endpointLeaving(fleet.now, endpoint, 100));
    CHECK(fleet.runUntil(allHold(true), 2s) < 2s);
    fleet.carryOut(*fleet.nodes[4], fleet.nodes[4]->core.endpointReturned(fleet.now, endpoint, 100));
    CHECK(fleet.nodes[4]->core.endpointIsLeaving(endpoint));
    fleet.run(5s);
    CHECK(allHold(true)());
    fleet.carryOut(*fleet.nodes[5], fleet.nodes[5]->core.endpointReturned(fleet.now, endpoint, 101));
    CHECK(fleet.runUntil(allHold(false), 2s) < 2s);
}

TEST_CASE("a leaving host gives up its duties at once, and the last host of a fleet keeps them", "[graceful-shutdown]")
{
    Fleet fleet(3, 13);
    converge(fleet);
    for (std::size_t i = 0; i < 3; ++i) {
        Node &node = *fleet.nodes[i];
        fleet.carryOut(node, node.core.leave(fleet.now));
        std::vector<HostId> expected = fleet.running();
        if (i < 2) {
            std::erase_if(expected, [&](const HostId &host) { return host <= node.self.host; });
        }
        CHECK(node.core.aliveHosts() == expected);
        CHECK(fleet.runUntil([&] { return fleet.everyViewIs(expected); }, 2s) < 2s);
    }
    fleet.carryOut(*fleet.nodes[0], fleet.nodes[0]->core.announceShutdown(fleet.now));
    fleet.nodes[0]->running = false;
    CHECK(fleet.runUntil([&] { return fleet.everyViewIs(fleet.running()); }, 1s) < 1s);
}

TEST_CASE("a death moves the dead host's duties and no others")
{
    constexpr std::size_t duties = 1000;
    Fleet fleet(9, 15);
    converge(fleet);
    const std::vector<HostId> before = fleet.nodes[0]->core.aliveHosts();
    fleet.nodes[6]->running = false;
    fleet.run(fleet.nodes[0]->core.detectionBound(9) + 3s);
    const std::vector<HostId> after = fleet.nodes[0]->core.aliveHosts();
    std::size_t owned = 0;
    std::size_t moved = 0;
    for (std::size_t duty = 0; duty < duties; ++duty) {
        const std::string key = "duty-" + std::to_string(duty);
        owned += rendezvousOwner(before, key) == HostId("host-6") ? 1 : 0;
        moved += rendezvousOwner(before, key) != rendezvousOwner(after, key) ? 1 : 0;
    }
    CHECK(owned > 0);
    CHECK(moved == owned);
}

TEST_CASE("a newer preset version reaches every host and a host's version never falls", "[config-monotonic]")
{
    Fleet fleet(9, 17);
    converge(fleet);
    std::map<HostId, std::uint64_t> seen;
    Node &source = *fleet.nodes[0];
    fleet.carryOut(source, source.core.setPresetVersion(fleet.now, 7));
    fleet.carryOut(source, source.core.setPresetVersion(fleet.now, 3));
    const auto allHaveSeen = [&] {
        return std::all_of(fleet.nodes.begin() + 1, fleet.nodes.end(), [&](const std::unique_ptr<Node> &node) {
            const std::vector<Member> members = node->core.members();
            return std::any_of(members.begin(), members.end(), [](const Member &member) { return member.presetVersion == 7; });
        });
    };
    CHECK(fleet.runUntil(allHaveSeen, 2s) < 2s);
    CHECK(source.core.self().presetVersion == 7);
}

TEST_CASE("tellings about a host combine to the same in any order")
{
    rc::prop("commutative, associative, idempotent", [] {
        const auto arbitraryUpdate = [] {
            Member member;
            member.host = HostId("host");
            member.incarnation = {*rc::gen::inRange<std::uint64_t>(0, 3), *rc::gen::inRange<std::uint32_t>(0, 3)};
            member.state = MemberState(*rc::gen::inRange(0, 3));
            member.leaving = *rc::gen::arbitrary<bool>();
            member.presetVersion = *rc::gen::inRange<std::uint64_t>(0, 3);
            return member;
        };
        const Member a = arbitraryUpdate();
        const Member b = arbitraryUpdate();
        const Member c = arbitraryUpdate();
        RC_ASSERT(joined(a, a) == a);
        const bool sameStart = a.incarnation.start == b.incarnation.start;
        RC_ASSERT((!sameStart || joined(a, b) == joined(b, a)));
        RC_ASSERT((sameStart || joined(a, b) == joined(b, a)));
        RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
    });
}
