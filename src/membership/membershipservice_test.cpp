// Contract tests over real sockets on 127.0.0.1, on virtual time.

#include "membership/membershipservice.h"

#include <thread>

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

struct ServiceNode
{
    ServiceNode(boost::asio::io_context &context, const std::string &name, const std::string &secret, std::span<const ListedHost> seeds)
        : service(context, {secret, MembershipSettings(), std::hash<std::string>()(name)})
    {
        service.setHandlers({[this](const Member &member) { members.push_back(member); },
                             {},
                             [this] { ++views; },
                             [this](const EndpointFact &fact) { facts.push_back(fact); },
                             [this](const HostId &, std::uint64_t version) { presetVersion = std::max(presetVersion, version); },
                             {}});
        Member self;
        self.host = HostId(name);
        self.address = {"127.0.0.1", 0};
        self.incarnation.start = 1;
        REQUIRE(service.start(self, seeds));
    }
    ListedHost listed() const
    {
        const Member &self = service.view().self();
        return {self.host, self.address, self.domain, false};
    }

    MembershipService<ManualClock> service;
    std::vector<Member> members;
    std::vector<EndpointFact> facts;
    std::uint64_t presetVersion = 0;
    int views = 0;
};

/** Lets virtual time pass until the condition holds; only a hang reaches the bound. */
template <class Condition>
bool advanceUntil(boost::asio::io_context &context, Condition condition)
{
    const SteadyClock::time_point bound = SteadyClock::now() + 20s;
    while (!condition() && SteadyClock::now() < bound) {
        ManualClock::advance(20ms);
        context.poll();
        std::this_thread::sleep_for(500us);
    }
    return condition();
}

} // namespace

TEST_CASE("services find each other, spread facts and see an end at once")
{
    boost::asio::io_context context;
    ServiceNode a(context, "a", "secret", {});
    const std::vector<ListedHost> seeds{a.listed()};
    ServiceNode b(context, "b", "secret", seeds);
    ServiceNode c(context, "c", "secret", seeds);
    const std::vector<HostId> all{HostId("a"), HostId("b"), HostId("c")};
    const auto allSeeAll = [&] { return a.service.view().aliveHosts() == all && b.service.view().aliveHosts() == all && c.service.view().aliveHosts() == all; };
    REQUIRE(advanceUntil(context, allSeeAll));
    CHECK(a.views > 0);

    b.service.endpointLeaving(EndpointId("engine-1"), 5);
    b.service.setPresetVersion(3);
    REQUIRE(advanceUntil(context, [&] { return !a.facts.empty() && !c.facts.empty() && a.presetVersion == 3 && c.presetVersion == 3; }));

    b.service.leave();
    b.service.stop();
    const std::vector<HostId> rest{HostId("a"), HostId("c")};
    const TimePoint stopped = ManualClock::now();
    REQUIRE(advanceUntil(context, [&] { return a.service.view().aliveHosts() == rest && c.service.view().aliveHosts() == rest; }));
    CHECK(ManualClock::now() - stopped < 1s);
    CHECK(a.service.counters().refused == 0);
}

TEST_CASE("datagrams from strangers are refused and harm nothing")
{
    boost::asio::io_context context;
    ServiceNode a(context, "a", "secret", {});
    const std::vector<ListedHost> seeds{a.listed()};
    ServiceNode b(context, "b", "secret", seeds);
    ServiceNode stranger(context, "stranger", "guess", seeds);
    REQUIRE(advanceUntil(context, [&] { return a.service.view().aliveHosts().size() == 2; }));
    boost::asio::ip::udp::socket raw(context, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint to(boost::asio::ip::address_v4::loopback(), a.listed().address.port);
    const std::vector<std::size_t> sizes{0, 1, 15, 16, 17, 400, 1400, 1401, 9000};
    for (const std::size_t size : sizes) {
        raw.send_to(boost::asio::buffer(std::vector<std::byte>(size, std::byte(7))), to);
    }
    REQUIRE(advanceUntil(context, [&] { return a.service.counters().refused > sizes.size(); }));
    CHECK(a.service.view().members().size() == 1);
    CHECK(stranger.service.view().members().empty());
    REQUIRE(advanceUntil(context, [&] { return !stranger.service.hearsPeers(); }));
    CHECK(a.service.hearsPeers());
}

TEST_CASE("a service that can't listen says why")
{
    boost::asio::io_context context;
    ServiceNode a(context, "a", "secret", {});
    MembershipService<ManualClock> second(context, {"secret", MembershipSettings(), 1});
    Member self = a.service.view().self();
    CHECK(second.start(self, {}).error() == StartError::ListenFailed);
    self.address.ip = "nowhere";
    CHECK(second.start(self, {}).error() == StartError::BadAddress);
}
