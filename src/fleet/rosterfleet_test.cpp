// Fleets in which hosts don't hear each other directly, whole and on virtual time.

#include "fleet/fleetplaces_test.h"
#include "fleet/fleetview.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <unordered_map>

using namespace Rhubarbwind;
using namespace Rhubarbwind::FleetTest;

namespace
{

constexpr int domains = 5;
constexpr Duration step = 200ms;
constexpr std::size_t entriesEach = 50;

PeerAddress largePlace(int number)
{
    return {"10." + std::to_string(number % domains) + "." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250), 7300};
}

/** Views whose datagrams arrive at the end of the step, but a share that is lost. Hosts find each other from three seeds. */
class LargeFleet
{
public:
    explicit LargeFleet(int hosts, double lost = 0.01)
        : m_lost(lost)
    {
        for (int i = 0; i < hosts; ++i) {
            m_hosts.emplace_back();
            m_numbers[largePlace(i).ip] = static_cast<std::size_t>(i);
            startHost(static_cast<std::size_t>(i));
        }
    }

    void startHost(std::size_t number)
    {
        FleetOptions options;
        options.self = largePlace(static_cast<int>(number));
        options.domain = "domain-" + std::to_string(number % domains);
        options.life = ++m_lives;
        Host &host = m_hosts[number];
        host.view = std::make_unique<FleetView>(options, m_lives);
        host.view->addSeeds(std::vector<PeerAddress>{largePlace(0), largePlace(1), largePlace(2)});
        host.rosterAt = TimePoint();
        host.farAt = TimePoint();
        host.greetings.clear();
    }
    void kill(std::size_t number)
    {
        m_hosts[number].view.reset();
    }
    /** Datagrams between those for whom it holds are lost. */
    void cut(std::function<bool(std::size_t from, std::size_t to)> isCut)
    {
        m_isCut = std::move(isCut);
    }
    /** Hosts whose platform answers; the others hear it no more. */
    void reach(std::function<bool(std::size_t)> hears)
    {
        m_hears = std::move(hears);
    }

    void run(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            round();
        }
    }
    /** @return how long it took, or none within the limit */
    std::optional<Duration> until(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint began = now;
        while (!condition()) {
            if (now - began > limit) {
                return std::nullopt;
            }
            round();
        }
        return now - began;
    }

    std::size_t liveHosts() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [](const Host &host) { return host.view != nullptr; }));
    }
    bool allKnowAll() const
    {
        return isKnownBy([this](const FleetView &view) { return view.alive() + 1 == liveHosts(); });
    }
    bool isKnownBy(const std::function<bool(const FleetView &)> &holds) const
    {
        return std::ranges::all_of(m_hosts, [&holds](const Host &host) { return !host.view || holds(*host.view); });
    }
    std::size_t watchers()
    {
        std::size_t count = 0;
        for (Host &host : m_hosts) {
            count += host.view && host.isWatching ? 1 : 0;
        }
        return count;
    }
    /** Of the watchers that hear the platform. */
    std::size_t freshWatchers()
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            count += m_hosts[i].view && m_hosts[i].isWatching && m_hears(i) ? 1 : 0;
        }
        return count;
    }

    void forgetCounts()
    {
        for (Host &host : m_hosts) {
            host.sent = 0;
        }
        m_countedAt = now;
    }
    double meanSentPerSecond() const
    {
        double sum = 0;
        for (const Host &host : m_hosts) {
            sum += static_cast<double>(host.sent);
        }
        return sum / static_cast<double>(liveHosts()) / toSeconds(now - m_countedAt);
    }
    double mostSentPerSecond() const
    {
        return static_cast<double>(std::ranges::max_element(m_hosts, {}, &Host::sent)->sent) / toSeconds(now - m_countedAt);
    }
    FleetView &view(std::size_t number)
    {
        return *m_hosts[number].view;
    }
    std::size_t size() const
    {
        return m_hosts.size();
    }

    TimePoint now = start;
    std::uint64_t changedAt = 1; ///< that watchers know of topic 0

private:
    struct Host
    {
        std::unique_ptr<FleetView> view;
        TimePoint rosterAt{};
        TimePoint farAt{};
        TimePoint platformAt{};
        std::vector<std::size_t> greetings;
        bool isWatching = false;
        std::size_t sent = 0;
        std::size_t answers = 0; ///< in this step, to hosts that know few
    };
    struct Datagram
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<const Beacon> beacon;
        std::shared_ptr<const PeerRoster> roster;
    };

    void send(std::size_t from, std::span<const PeerAddress> targets, std::shared_ptr<const Beacon> beacon, std::shared_ptr<const PeerRoster> roster)
    {
        for (const PeerAddress &target : targets) {
            ++m_hosts[from].sent;
            m_inFlight.push_back({from, m_numbers.at(target.ip), beacon, roster});
        }
    }

    // The same order as FleetService::sendBeacons().
    void tell(std::size_t number)
    {
        Host &host = m_hosts[number];
        FleetView &view = *host.view;
        const std::shared_ptr<const Beacon> beacon = std::make_shared<Beacon>(view.beacon({}, {}, now));
        if (!view.usesRosters(now)) {
            send(number, view.nearTargets(), beacon, nullptr);
            if (now - host.farAt >= view.farInterval(now)) {
                host.farAt = now;
                send(number, view.farTargets(), beacon, nullptr);
            }
            return;
        }
        if (now - host.rosterAt >= view.rosterInterval()) {
            host.rosterAt = now;
            std::vector<PeerAddress> targets = view.rosterTargets(now);
            if (view.isRosterDue(now)) {
                const std::vector<PeerAddress> members = view.domainPeers();
                targets.insert(targets.end(), members.begin(), members.end());
            }
            for (const PeerRoster &roster : view.rosters(entriesEach, now)) {
                send(number, targets, beacon, std::make_shared<PeerRoster>(roster));
            }
            if (view.isRosterDue(now)) {
                for (const PeerRoster &roster : view.domainRoster(maxRosterEntries, now)) {
                    send(number, view.otherRelays(now), nullptr, std::make_shared<PeerRoster>(roster));
                }
            }
        } else if (view.isStarting(now)) {
            send(number, view.someKnown(4), beacon, std::make_shared<PeerRoster>(view.sampleRoster(entriesEach, now)));
        }
    }

    void round()
    {
        now += step;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            Host &host = m_hosts[i];
            if (!host.view) {
                continue;
            }
            host.view->tick(now);
            host.answers = 0;
            const bool watched = host.isWatching;
            host.isWatching = host.view->shouldWatch(0, now);
            if (!host.greetings.empty()) {
                const std::size_t greeted = host.greetings.back();
                host.greetings.pop_back();
                for (const PeerRoster &roster : host.view->wholeRoster(entriesEach, now)) {
                    send(i, std::vector<PeerAddress>{largePlace(static_cast<int>(greeted))}, nullptr, std::make_shared<PeerRoster>(roster));
                }
            }
            if (m_hears(i) && (host.isWatching || !watched)) {
                host.platformAt = host.isWatching ? now : host.platformAt;
            }
            const Duration age = now - std::max(host.platformAt, start);
            host.view->setPosition(0, {host.isWatching && m_hears(i) ? changedAt : 1, age, host.isWatching}, now);
            tell(i);
        }
        std::vector<Datagram> arriving = std::exchange(m_inFlight, {});
        std::ranges::shuffle(arriving, m_random.engine());
        for (const Datagram &datagram : arriving) {
            Host &to = m_hosts[datagram.to];
            if (!to.view || m_isCut(datagram.from, datagram.to) || m_random.uniform() < m_lost) {
                continue;
            }
            if (datagram.beacon && to.view->receive(*datagram.beacon, now) && to.view->isRosterDue(now)) {
                to.greetings.push_back(datagram.from);
            }
            if (datagram.beacon && to.view->knowsFew(datagram.roster ? datagram.roster->hosts : 0, now) && ++to.answers <= 40) {
                const PeerAddress sender = largePlace(static_cast<int>(datagram.from));
                send(datagram.to, std::span(&sender, 1), nullptr, std::make_shared<PeerRoster>(to.view->sampleRoster(maxRosterEntries, now)));
            }
            if (datagram.roster && to.view->receiveRoster(*datagram.roster, now)) {
                const PeerAddress sender = largePlace(static_cast<int>(datagram.from));
                send(datagram.to, std::span(&sender, 1), std::make_shared<Beacon>(to.view->beacon({}, {}, now)), nullptr);
            }
        }
    }

    std::vector<Host> m_hosts;
    std::unordered_map<std::string, std::size_t> m_numbers;
    std::vector<Datagram> m_inFlight;
    std::function<bool(std::size_t, std::size_t)> m_isCut = [](std::size_t, std::size_t) { return false; };
    std::function<bool(std::size_t)> m_hears = [](std::size_t) { return true; };
    Random m_random{7};
    double m_lost;
    std::uint64_t m_lives = 0;
    TimePoint m_countedAt{};
};

// Stated for the whole fleet: traffic starts 24 s after the hosts do, and a host is in touch again 6 s after a disturbance.
constexpr Duration findLimit = 12s;
constexpr Duration contactLimit = 6s;

} // namespace

TEST_CASE("hosts of a large fleet find each other from three seeds before traffic starts")
{
    LargeFleet fleet(300);
    CHECK(fleet.until([&] { return fleet.allKnowAll(); }, findLimit));
    CHECK(fleet.until([&] { return fleet.watchers() == 3; }, findLimit));
}

TEST_CASE("an idle host of a large fleet sends a tenth of what beacons to all cost")
{
    // Guards against messages that grow with the fleet until they take a small host's whole processor.
    LargeFleet fleet(300);
    fleet.run(findLimit);
    fleet.forgetCounts();
    fleet.run(10s);
    constexpr double beaconsToAll = 350.0;
    CHECK(fleet.meanSentPerSecond() <= beaconsToAll / 10);
    // A relay has a small host's processor as well.
    CHECK(fleet.mostSentPerSecond() <= beaconsToAll);
    CHECK(fleet.allKnowAll());
}

TEST_CASE("the death of a host, relays among them, is known to a whole large fleet", "[config-monotonic]")
{
    LargeFleet fleet(300);
    REQUIRE(fleet.until([&] { return fleet.allKnowAll(); }, findLimit));
    fleet.run(5s);
    SECTION("one host")
    {
        fleet.kill(77);
        CHECK(fleet.until([&] { return fleet.allKnowAll(); }, contactLimit));
    }
    SECTION("both relays of a failure domain")
    {
        std::size_t killed = 0;
        for (std::size_t i = 0; i < fleet.size(); i += domains) {
            if (fleet.view(i).isRelay()) {
                fleet.kill(i);
                ++killed;
            }
        }
        CHECK(killed == 2);
        CHECK(fleet.until([&] { return fleet.allKnowAll(); }, contactLimit * 2));
    }
    SECTION("more than half of the hosts at once, and their return")
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (i % 20 < 11) {
                fleet.kill(i);
            }
        }
        CHECK(fleet.until([&] { return fleet.allKnowAll(); }, contactLimit * 2));
        CHECK(fleet.until([&] { return fleet.watchers() == 3; }, contactLimit));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (i % 20 < 11) {
                fleet.startHost(i);
            }
        }
        CHECK(fleet.until([&] { return fleet.allKnowAll() && fleet.watchers() == 3; }, findLimit));
    }
}

TEST_CASE("a host that starts again at once is known in its new life")
{
    LargeFleet fleet(300);
    REQUIRE(fleet.until([&] { return fleet.allKnowAll(); }, findLimit));
    fleet.run(5s);
    fleet.startHost(123);
    CHECK(fleet.until([&] { return fleet.view(123).alive() + 1 == fleet.size(); }, contactLimit));
    fleet.run(contactLimit);
    CHECK(fleet.allKnowAll());
}

TEST_CASE("failure domains that were cut off from each other find each other again")
{
    LargeFleet fleet(300);
    REQUIRE(fleet.until([&] { return fleet.allKnowAll(); }, findLimit));
    fleet.run(5s);
    fleet.cut([](std::size_t from, std::size_t to) { return (from % domains == 0) != (to % domains == 0); });
    fleet.run(40s);
    CHECK(fleet.view(5).alive() + 1 < fleet.size());
    fleet.cut([](std::size_t, std::size_t) { return false; });
    CHECK(fleet.until([&] { return fleet.allKnowAll(); }, contactLimit * 2));
}

TEST_CASE("watchers of a large fleet whose platform is silent are replaced", "[config-monotonic]")
{
    LargeFleet fleet(300);
    REQUIRE(fleet.until([&] { return fleet.allKnowAll() && fleet.watchers() == 3; }, findLimit));
    fleet.run(10s);
    std::vector<bool> deaf;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        deaf.push_back(fleet.view(i).shouldWatch(0, fleet.now));
    }
    fleet.reach([&deaf](std::size_t host) { return !deaf[host]; });
    CHECK(fleet.until([&] { return fleet.freshWatchers() >= 1; }, 10s));
}

TEST_CASE("every host of a large fleet learns that a watcher knows more", "[config-monotonic]")
{
    LargeFleet fleet(300);
    REQUIRE(fleet.until([&] { return fleet.allKnowAll() && fleet.watchers() == 3; }, findLimit));
    fleet.run(5s);
    fleet.changedAt = 9;
    const auto knows = [&fleet](const FleetView &view) { return view.isBehind(0, fleet.now) || const_cast<FleetView &>(view).shouldWatch(0, fleet.now); };
    CHECK(fleet.until([&] { return fleet.isKnownBy(knows); }, contactLimit));
}

// `fleet_test "[.large]"`; RW_HOSTS for another size.
TEST_CASE("messages and times of whole fleets", "[.large]")
{
    const char *named = std::getenv("RW_HOSTS");
    const int hosts = named ? std::atoi(named) : 985;
    LargeFleet fleet(hosts);
    const std::optional<Duration> found = fleet.until([&] { return fleet.allKnowAll(); }, 60s);
    const double startSent = fleet.meanSentPerSecond();
    fleet.run(10s);
    fleet.forgetCounts();
    fleet.run(10s);
    std::cout << hosts << " hosts: found after " << (found ? toSeconds(*found) : -1) << " s (sent " << startSent << "/s), idle mean "
              << fleet.meanSentPerSecond() << "/s, most " << fleet.mostSentPerSecond() << "/s, watchers " << fleet.watchers() << std::endl;
    fleet.kill(77);
    const std::optional<Duration> death = fleet.until([&] { return fleet.allKnowAll(); }, 60s);
    std::cout << "a death known to all after " << (death ? toSeconds(*death) : -1) << " s" << std::endl;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i % 20 < 11) {
            fleet.kill(i);
        }
    }
    fleet.forgetCounts();
    const std::optional<Duration> deaths = fleet.until([&] { return fleet.allKnowAll(); }, 60s);
    std::cout << "55% killed: known to all after " << (deaths ? toSeconds(*deaths) : -1) << " s, most sent " << fleet.mostSentPerSecond() << "/s" << std::endl;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i % 20 < 11) {
            fleet.startHost(i);
        }
    }
    fleet.forgetCounts();
    const std::optional<Duration> back = fleet.until([&] { return fleet.allKnowAll(); }, 60s);
    std::cout << "back: known to all after " << (back ? toSeconds(*back) : -1) << " s, mean sent " << fleet.meanSentPerSecond() << "/s, most "
              << fleet.mostSentPerSecond() << "/s" << std::endl;
}
