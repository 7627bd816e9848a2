// Figures for docs/CAPACITY.md, on virtual time with real encoded sizes: membership_test "[.measure]"

#include "membership/fakefleet_test.h"

#include <chrono>
#include <cstdio>
#include <numeric>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using FakeFleet::Fleet;
using FakeFleet::Node;

namespace
{

struct Traffic
{
    double mean = 0;
    double maximum = 0;
};

/** Bytes per second and host, received and sent, including UDP and IP headers, over the virtual time that `run` takes. */
template <class Run>
Traffic trafficDuring(Fleet &fleet, Run run)
{
    std::vector<std::size_t> before;
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        before.push_back(node->bytesIn + node->bytesOut);
    }
    const TimePoint begin = fleet.now;
    run();
    const double seconds = toSeconds(fleet.now - begin);
    Traffic traffic;
    std::size_t counted = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const Node &node = *fleet.nodes[i];
        if (node.running) {
            const double rate = static_cast<double>(node.bytesIn + node.bytesOut - before[i]) / seconds;
            traffic.mean += rate;
            traffic.maximum = std::max(traffic.maximum, rate);
            ++counted;
        }
    }
    traffic.mean /= static_cast<double>(counted);
    return traffic;
}

struct Spread
{
    double median = 0;
    double maximum = 0;
};

Spread spreadOf(std::vector<double> seconds)
{
    std::sort(seconds.begin(), seconds.end());
    return {seconds[seconds.size() / 2], seconds.back()};
}

template <class Condition>
double secondsUntil(Fleet &fleet, Condition condition)
{
    constexpr Duration checkInterval = 50ms; // The check costs more than the simulation itself.
    return toSeconds(fleet.runUntil(condition, 5min, checkInterval));
}

void measureDetection(Fleet &fleet, int rounds)
{
    std::vector<double> first;
    std::vector<double> everywhere;
    for (int round = 0; round < rounds; ++round) {
        Node &victim = *fleet.nodes[static_cast<std::size_t>(round)];
        const std::vector<HostId> withVictim = fleet.running();
        victim.running = false;
        const TimePoint died = fleet.now;
        secondsUntil(fleet, [&] {
            return std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const std::unique_ptr<Node> &node) {
                return node->running && node->core.aliveHosts() != withVictim;
            });
        });
        first.push_back(toSeconds(fleet.now - died));
        secondsUntil(fleet, [&] { return fleet.everyViewIs(fleet.running()); });
        everywhere.push_back(toSeconds(fleet.now - died));
        fleet.run(1s);
        Node &back = fleet.add(victim.slot, victim.self.host.text());
        secondsUntil(fleet, [&] { return fleet.everyViewIs(fleet.running()); });
        fleet.nodes[static_cast<std::size_t>(round)] = std::move(fleet.nodes.back());
        fleet.nodes.pop_back();
        (void)back;
    }
    const Spread one = spreadOf(first);
    const Spread all = spreadOf(everywhere);
    std::printf("  death seen by the first host: median %.1f s, most %.1f s; by all: median %.1f s, most %.1f s (%d deaths)\n",
                one.median,
                one.maximum,
                all.median,
                all.maximum,
                rounds);
}

void measureFacts(Fleet &fleet, int rounds)
{
    std::vector<double> endpoint;
    std::vector<double> preset;
    Traffic traffic;
    for (int round = 1; round <= rounds; ++round) {
        Node &source = *fleet.nodes[static_cast<std::size_t>(round)];
        const std::uint64_t version = static_cast<std::uint64_t>(round);
        const EndpointId id("engine-" + std::to_string(round));
        fleet.carryOut(source, source.core.endpointLeaving(fleet.now, id, version));
        endpoint.push_back(secondsUntil(fleet, [&] {
            return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const std::unique_ptr<Node> &node) { return node->core.endpointIsLeaving(id); });
        }));
        fleet.run(15s);
        // Every host applies the version as soon as an update reports it, as if fetching it took no time.
        fleet.carryOut(source, source.core.setPresetVersion(fleet.now, version));
        const Traffic during = trafficDuring(fleet, [&] {
            preset.push_back(secondsUntil(fleet, [&] {
                bool all = true;
                for (const std::unique_ptr<Node> &node : fleet.nodes) {
                    const std::vector<Member> members = node->core.members();
                    const bool received = std::any_of(members.begin(), members.end(), [&](const Member &member) { return member.presetVersion >= version; });
                    if (received && node->core.self().presetVersion < version) {
                        fleet.carryOut(*node, node->core.setPresetVersion(fleet.now, version));
                    }
                    all = all && node->core.self().presetVersion >= version;
                }
                return all;
            }));
            fleet.run(10s);
        });
        traffic.mean = std::max(traffic.mean, during.mean);
        traffic.maximum = std::max(traffic.maximum, during.maximum);
        fleet.run(20s);
    }
    const Spread one = spreadOf(endpoint);
    const Spread all = spreadOf(preset);
    std::printf("  endpoint leaving known by all: median %.2f s, most %.2f s; preset version by all: median %.2f s, most %.2f s (%d each)\n",
                one.median,
                one.maximum,
                all.median,
                all.maximum,
                rounds);
    std::printf("  in the 10 s after a switch: mean %.0f B/s, busiest host %.0f B/s\n", traffic.mean, traffic.maximum);
}

void measureReplacement(Fleet &fleet, std::size_t hosts)
{
    for (std::size_t slot = 0; slot < hosts / 2; ++slot) {
        fleet.nodes[slot]->running = false;
        fleet.add(slot, "new-" + std::to_string(slot));
    }
    double seconds = 0;
    const Traffic traffic = trafficDuring(fleet, [&] { seconds = secondsUntil(fleet, [&] { return fleet.everyViewIs(fleet.running()); }); });
    std::printf("  half replaced at once: all agree after %.1f s, meanwhile mean %.0f B/s, busiest host %.0f B/s\n", seconds, traffic.mean, traffic.maximum);
}

} // namespace

TEST_CASE("membership's cost and speed by number of hosts", "[.measure]")
{
    const std::size_t hosts = GENERATE(9U, 32U, 96U, 370U);
    const int rounds = hosts > 96 ? 3 : 20;
    Fleet fleet(hosts, 1);
    const double joined = secondsUntil(fleet, [&] { return fleet.everyViewIs(fleet.running()); });
    fleet.run(60s);
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    const Traffic steady = trafficDuring(fleet, [&] { fleet.run(60s); });
    const double processor = toSeconds(std::chrono::steady_clock::now() - begin) / 60.0 / static_cast<double>(hosts);
    std::printf("%zu hosts: started together, all agree after %.1f s; steady: mean %.0f B/s, busiest host %.0f B/s, %.4f %% of a core a host\n",
                hosts,
                joined,
                steady.mean,
                steady.maximum,
                processor * 100);
    measureDetection(fleet, std::min(rounds, static_cast<int>(hosts)));
    measureFacts(fleet, std::min(rounds, static_cast<int>(hosts) - 1));
    fleet.run(30s);
    measureReplacement(fleet, hosts);
    std::fflush(stdout);
    CHECK(fleet.everyViewIs(fleet.running()));
}
