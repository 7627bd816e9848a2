// Real hosts whose event loops stood still.

#include "soak/realfleet_test.h"

#include <csignal>

using namespace Rhubarbwind;
using namespace Rhubarbwind::Soak;
using namespace Rhubarbwind::GatewayTest;

TEST_CASE("a host that stood still sends no request to an endpoint that left meanwhile", "[drain]")
{
    // Failure: the host read callers' requests before the news in its other sockets, and sent them to an endpoint whose leaving was seconds old.
    Fleet fleet;
    REQUIRE(fleet.areReady());
    fleet.pass(2s);
    HostProcess &late = *fleet.hosts[1];
    std::vector<std::shared_ptr<Peer>> callers;
    const auto send = [&](std::size_t caller) { callers[caller]->send(Scene::request("POST", "/safe/x", "r" + std::to_string(caller), {}, "body")); };
    for (std::size_t i = 0; i < 8; ++i) {
        callers.push_back(fleet.caller(late));
    }
    fleet.pass(100ms);
    late.signal(SIGSTOP);
    fleet.pass(3s);
    // Behind the datagrams of three seconds.
    fleet.putEndpoint("leaves", fleet.leaves, true);
    fleet.pass(2500ms);
    for (std::size_t i = 0; i < 16; ++i) {
        if (i == callers.size()) {
            callers.push_back(fleet.caller(late));
        }
        send(i);
    }
    fleet.pass(50ms);
    late.signal(SIGCONT);
    CHECK(fleet.until([&] { return std::ranges::all_of(callers, [](const auto &caller) { return contains(caller->received, "done"); }); }, 4s));
    CHECK(fleet.leaves.requests.empty());
    CHECK(fleet.stays.requests.size() == 16);
    fleet.pass(500ms);
    CHECK(contains(fleet.linesOf(2), "late-loop-caught-up"));
    // Failure: the host took the time in which it had read nothing for its peers' silence.
    CHECK_FALSE(contains(fleet.linesOf(2), "peer-silent"));
}
