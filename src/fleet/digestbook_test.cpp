// Sums of what failure domains have at endpoints, against a host that is told all at once.

#include "fleet/digestbook.h"
#include "fleet/fleetview.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <memory>

using namespace Rhubarbwind;

namespace
{

const TimePoint start = TimePoint(1h);
constexpr std::array domainNames{"north", "south", "east", "west", "centre"};

using Loads = std::map<std::uint32_t, SharedLoad>;

Loads byEndpoint(std::span<const SharedLoad> loads)
{
    Loads all;
    for (const SharedLoad &load : sumOf(loads)) {
        all.emplace(load.endpoint, load);
    }
    return all;
}

/** A host with what it knows of others: of its own domain by beacons, of the rest by sums. */
struct Host
{
    Host(int number, std::string itsDomain)
        : place{"10.2.0." + std::to_string(number), 7300}
        , domain(itsDomain)
        , view(optionsOf(place, itsDomain, number), static_cast<std::uint64_t>(number))
        , book(itsDomain)
    {
    }

    static FleetOptions optionsOf(const PeerAddress &place, const std::string &domain, int number)
    {
        FleetOptions options;
        options.self = place;
        options.domain = domain;
        options.life = static_cast<std::uint64_t>(number) + 1;
        return options;
    }

    PeerAddress place;
    std::string domain;
    FleetView view;
    DigestBook book;
    std::vector<SharedLoad> loads;
    std::map<std::uint8_t, std::vector<SharedLoad>> rest;
    bool isLive = true;
};

/** Sixty hosts in five domains. */
class Fleet
{
public:
    Fleet()
    {
        constexpr int hostCount = 60;
        for (int i = 0; i < hostCount; ++i) {
            hosts.push_back(std::make_unique<Host>(i, domainNames.at(static_cast<std::size_t>(i) % domainNames.size())));
        }
    }

    Host *at(const PeerAddress &place)
    {
        const auto found = std::ranges::find_if(hosts, [&place](const std::unique_ptr<Host> &host) { return host->place == place; });
        return found == hosts.end() || !(*found)->isLive ? nullptr : found->get();
    }

    /** Each host's beacon to all (far ones without loads), then each relay's sums. */
    void round()
    {
        now += 400ms;
        for (const std::unique_ptr<Host> &from : hosts) {
            for (const std::unique_ptr<Host> &to : hosts) {
                if (from != to && from->isLive && to->isLive) {
                    const bool isNear = from->domain == to->domain;
                    to->view.heard(from->view.beacon(isNear ? from->loads : std::vector<SharedLoad>(), {}, now), now);
                }
            }
        }
        for (const std::unique_ptr<Host> &host : hosts) {
            host->view.tick(now);
        }
        for (const std::unique_ptr<Host> &host : hosts) {
            if (host->isLive && host->view.isRelay()) {
                tellSums(*host);
            }
        }
    }

    void tellSums(Host &relay)
    {
        std::vector<SharedLoad> near = relay.view.nearLoads();
        near.insert(near.end(), relay.loads.begin(), relay.loads.end());
        for (const LoadDigest &digest : relay.book.ownDomain(near)) {
            for (const PeerAddress &place : relay.view.farRelays(now)) {
                if (Host *other = at(place)) {
                    other->book.heardDomain(digest, now);
                }
            }
        }
        for (const LoadDigest &digest : relay.book.rest(now)) {
            if (!digest.hasLoads) {
                continue;
            }
            relay.rest[digest.number] = digest.loads;
            for (const PeerAddress &place : relay.view.domainPeers()) {
                if (Host *other = at(place)) {
                    other->rest[digest.number] = digest.loads;
                }
            }
        }
    }

    Loads truthBeyond(const std::string &domain) const
    {
        std::vector<SharedLoad> all;
        for (const std::unique_ptr<Host> &host : hosts) {
            if (host->isLive && host->domain != domain) {
                all.insert(all.end(), host->loads.begin(), host->loads.end());
            }
        }
        return byEndpoint(all);
    }

    static Loads known(const Host &host)
    {
        std::vector<SharedLoad> all;
        for (const auto &[number, loads] : host.rest) {
            all.insert(all.end(), loads.begin(), loads.end());
        }
        return byEndpoint(all);
    }

    std::size_t relaysOf(const std::string &domain) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(hosts, [&](const std::unique_ptr<Host> &host) { return host->isLive && host->domain == domain && host->view.isRelay(); }));
    }

    std::vector<std::unique_ptr<Host>> hosts;
    TimePoint now = start;
};

std::vector<SharedLoad> someLoads()
{
    std::vector<SharedLoad> loads;
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        loads.push_back({*rc::gen::inRange<std::uint32_t>(1, 150), *rc::gen::inRange<std::uint32_t>(0, 20'000), *rc::gen::inRange<std::uint16_t>(1, 9), 0});
    }
    return loads;
}

} // namespace

TEST_CASE("every host comes to know what the other failure domains have, whichever hosts die")
{
    // Hosts die, relays among them, and loads change. Summed by nobody, the engines that the other domains use would look free, and all
    // of this domain's requests go there; summed twice, they would look full.
    rc::prop("any loads, any deaths", [] {
        Fleet fleet;
        fleet.round();
        fleet.round();
        const int deaths = *rc::gen::inRange(0, 12);
        for (int i = 0; i < deaths; ++i) {
            fleet.hosts.at(*rc::gen::inRange<std::size_t>(0, fleet.hosts.size()))->isLive = false;
        }
        // The far life time of a beacon is four seconds; then the views agree on who relays.
        for (int i = 0; i < 12; ++i) {
            fleet.round();
        }
        for (const std::unique_ptr<Host> &host : fleet.hosts) {
            host->loads = someLoads();
        }
        fleet.round();
        fleet.round();
        fleet.round();
        for (const std::unique_ptr<Host> &host : fleet.hosts) {
            if (host->isLive) {
                RC_ASSERT(Fleet::known(*host) == fleet.truthBeyond(host->domain));
            }
        }
        for (const char *domain : domainNames) {
            RC_ASSERT(fleet.relaysOf(domain) == 2U);
        }
    });
}

TEST_CASE("a failure domain that falls silent is believed for a while, then nothing is known of it")
{
    // All links of a domain are cut. Its requests still run: taken for gone at once, the engines that it fills would get twice as
    // many. Believed for ever, they would stay closed to the others.
    DigestBook book("north");
    DigestBook south("south");
    const std::vector<SharedLoad> loads{{7, 5000, 3, 1}};
    for (const LoadDigest &digest : south.ownDomain(loads)) {
        book.heardDomain(digest, start);
    }
    const auto total = [&book](TimePoint now) {
        std::uint32_t running = 0;
        for (const LoadDigest &digest : book.rest(now)) {
            for (const SharedLoad &load : digest.loads) {
                running += load.running;
            }
        }
        return running;
    };
    CHECK(total(start + 2900ms) == 3);
    CHECK(total(start + 3100ms) == 0);
}

TEST_CASE("parts that engines have read are told on once, bounded")
{
    DigestBook north("north");
    DigestBook south("south");
    std::vector<SharedPart> parts;
    for (std::uint64_t i = 0; i < 2000; ++i) {
        parts.push_back({i, 1});
    }
    north.nearParts(parts);
    north.nearParts(parts); // both relays of another domain tell the same
    std::size_t told = 0;
    for (int i = 0; i < 10; ++i) {
        for (const LoadDigest &digest : north.ownDomain({})) {
            CHECK(digest.parts.size() <= (digest.hasLoads ? maxBeaconParts : maxDigestParts));
            told += digest.parts.size();
            south.heardDomain(digest, start);
        }
    }
    CHECK(told == 1024);
    std::size_t passedOn = 0;
    for (int i = 0; i < 10; ++i) {
        for (const LoadDigest &digest : south.rest(start)) {
            passedOn += digest.parts.size();
        }
    }
    CHECK(passedOn == 1024);
}

TEST_CASE("a sum at its bounds fits its datagrams, the endpoints with the most in them")
{
    DigestBook north("north");
    std::vector<SharedLoad> loads;
    for (std::uint32_t i = 0; i < 4000; ++i) {
        loads.push_back({i * 2654435761U, i, static_cast<std::uint16_t>(i % 500 + 1), 0});
    }
    std::vector<SharedPart> parts;
    for (std::uint64_t i = 0; i < 400; ++i) {
        parts.push_back({i, 2});
    }
    north.nearParts(parts);
    std::size_t withoutLoads = 0;
    for (const LoadDigest &digest : north.ownDomain(loads)) {
        FleetMessage message;
        message.digest = digest;
        const Result<std::vector<std::byte>, DatagramError> bytes = encodeFleet(message, "a secret of the fleet");
        REQUIRE(bytes.has_value());
        CHECK(*decodeFleet(bytes.value(), "a secret of the fleet").value().digest == digest);
        if (!digest.hasLoads) {
            ++withoutLoads;
            CHECK(digest.loads.empty());
            continue;
        }
        CHECK(digest.loads.size() == maxDigestLoads);
        CHECK(std::ranges::all_of(digest.loads, [](const SharedLoad &load) { return load.running > 400; }));
    }
    CHECK(withoutLoads == 5);
}
