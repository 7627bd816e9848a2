// Figures for docs/CAPACITY.md in a few seconds: membershipmeasure_test.cpp repeats each of them many times and takes minutes.

#include "membership/fakefleet_test.h"

#include <cstdio>

#include <malloc.h>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::FakeFleet;

namespace
{

/** Coarse steps, since a look at every host's view is quadratic in the hosts. */
constexpr Duration look = 100ms;
constexpr Duration mostWait = 60s;

template <class Condition>
double secondsUntil(Fleet &fleet, Condition condition)
{
    const TimePoint begin = fleet.now;
    while (!condition() && fleet.now - begin < mostWait) {
        fleet.run(look);
    }
    return toSeconds(fleet.now - begin);
}

std::size_t bytesSoFar(const Fleet &fleet)
{
    std::size_t bytes = 0;
    for (const std::unique_ptr<Node> &node : fleet.nodes) {
        bytes += node->bytesIn + node->bytesOut;
    }
    return bytes;
}

double bytesASecond(Fleet &fleet, Duration time)
{
    const std::size_t before = bytesSoFar(fleet);
    fleet.run(time);
    return static_cast<double>(bytesSoFar(fleet) - before) / toSeconds(time) / static_cast<double>(fleet.nodes.size());
}

/** Every host applies a version as soon as it hears of it, as if the fetch took no time. */
double secondsToSpread(Fleet &fleet, std::uint64_t version)
{
    Node &source = *fleet.nodes.front();
    fleet.carryOut(source, source.core.setPresetVersion(fleet.now, version));
    return secondsUntil(fleet, [&] {
        bool all = true;
        for (const std::unique_ptr<Node> &node : fleet.nodes) {
            if (node->core.self().presetVersion >= version) {
                continue;
            }
            const std::vector<Member> members = node->core.members();
            if (std::any_of(members.begin(), members.end(), [version](const Member &member) { return member.presetVersion >= version; })) {
                fleet.carryOut(*node, node->core.setPresetVersion(fleet.now, version));
            }
            all = all && node->core.self().presetVersion >= version;
        }
        return all;
    });
}

} // namespace

TEST_CASE("membership's bytes, memory and speed by number of hosts, once each", "[.measure]")
{
    const std::size_t hosts = GENERATE(9U, 32U, 96U, 370U);
    const std::size_t memoryBefore = mallinfo2().uordblks;
    Fleet fleet(hosts, 1);
    const double joined = secondsUntil(fleet, [&] { return fleet.everyViewIs(fleet.running()); });
    fleet.run(10s);
    const double steady = bytesASecond(fleet, 5s);
    const std::size_t memory = (mallinfo2().uordblks - memoryBefore) / hosts;
    const double spread = secondsToSpread(fleet, 1);
    const double changing = bytesASecond(fleet, 5s);
    fleet.nodes.back()->running = false;
    const double detected = secondsUntil(fleet, [&] { return fleet.everyViewIs(fleet.running()); });
    std::printf("slope membership hosts=%zu joined_s=%.1f steady_bytes_a_second=%.0f bytes_a_second_after_a_change=%.0f memory_kb_a_host=%.1f "
                "version_everywhere_s=%.1f death_known_everywhere_s=%.1f detection_bound_s=%.1f\n",
                hosts,
                joined,
                steady,
                changing,
                static_cast<double>(memory) / 1024.0,
                spread,
                detected,
                toSeconds(fleet.nodes.front()->core.detectionBound(hosts)));
    std::fflush(stdout);
}
