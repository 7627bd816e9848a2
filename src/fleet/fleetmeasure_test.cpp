// What a host of a large fleet pays for it, step by step: `fleet_test "[.measure]"`.

#include "fleet/fleetmessage.h"
#include "fleet/fleetplaces_test.h"
#include "fleet/fleetview.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Rhubarbwind;
using namespace Rhubarbwind::FleetTest;

namespace
{

constexpr int domains = 5;

PeerAddress largePlace(int number)
{
    return {"10." + std::to_string(number % domains) + "." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250), 7300};
}

Beacon beaconOf(int number)
{
    Beacon beacon;
    beacon.life = static_cast<std::uint64_t>(number) + 1;
    beacon.place = largePlace(number);
    beacon.domain = "domain-" + std::to_string(number % domains);
    beacon.topics = {{100, 1s, false}, {100, 1s, false}};
    return beacon;
}

template <typename Step>
double microseconds(int rounds, Step step)
{
    const std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        step(i);
    }
    return toSeconds(std::chrono::steady_clock::now() - began) * 1e6 / rounds;
}

} // namespace

TEST_CASE("processor time of the fleet's steps on one host", "[.measure]")
{
    for (const int hosts : {30, 195, 985, 2000}) {
        FleetOptions options;
        options.self = largePlace(0);
        options.domain = "domain-0";
        options.life = 1;
        FleetView view(options, 1);
        TimePoint now = start;
        std::vector<Beacon> beacons;
        for (int i = 1; i < hosts; ++i) {
            beacons.push_back(beaconOf(i));
        }
        const double found = microseconds(hosts - 1, [&](int i) { view.heard(beacons[static_cast<std::size_t>(i)], now); });
        view.shouldWatch(0, now);
        now += 5s;
        const double heard = microseconds(hosts - 1, [&](int i) { view.heard(beacons[static_cast<std::size_t>(i)], now); });
        FleetMessage message;
        message.beacon = view.beacon({}, {}, now);
        std::vector<std::byte> bytes = encodeFleet(message, secret).value();
        std::cout << hosts << " hosts, us: found " << found << ", heard " << heard << ", beacon "
                  << microseconds(200, [&](int) { (void)view.beacon({}, {}, now); }) << ", encode "
                  << microseconds(2000, [&](int) { (void)encodeFleet(message, secret); }) << ", decode "
                  << microseconds(2000, [&](int) { (void)decodeFleet(bytes, secret); }) << ", tick " << microseconds(200, [&](int) { view.tick(now); })
                  << ", alive " << microseconds(200, [&](int) { (void)view.alive(); }) << ", shouldWatch "
                  << microseconds(200, [&](int) { (void)view.shouldWatch(0, now); }) << ", isRelay " << microseconds(200, [&](int) { (void)view.isRelay(); })
                  << ", wantsDuty " << microseconds(200, [&](int) { (void)view.wantsDuty(now); }) << ", keepersOf "
                  << microseconds(50, [&](int) { (void)view.keepersOf(5); }) << ", placeFor " << microseconds(50, [&](int) { (void)view.placeFor(5, now); })
                  << ", farRelays " << microseconds(50, [&](int) { (void)view.farRelays(now); }) << ", nearTargets "
                  << microseconds(50, [&](int) { (void)view.nearTargets(); }) << '\n';
    }
}
