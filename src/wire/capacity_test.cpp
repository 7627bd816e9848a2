// Figures for docs/CAPACITY.md: what a frame costs in processor time when it travels alone, and what a link holds.

#include "wire/peernetwork.h"

#include <cstdio>
#include <ctime>

#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

double processorSeconds()
{
    return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

using MeasuredNetwork = PeerNetwork<SteadyClock>;

PeerNetworkOptions optionsOf(const std::string &name)
{
    PeerNetworkOptions options;
    options.self = HostId(name);
    options.listen = {"127.0.0.1", 0};
    options.sharedSecret = "capacity";
    return options;
}

} // namespace

TEST_CASE("a frame's processor time and a link's memory", "[.measure]")
{
    boost::asio::io_context context;
    MeasuredNetwork target(context, optionsOf("target"));
    REQUIRE(target.start().has_value());
    std::size_t arrived = 0;
    target.onFrame(MessageKind::ArbiterRequests, [&arrived](const HostId &, std::span<const std::byte>) { ++arrived; });

    const std::size_t links = 200;
    const std::vector<std::byte> payload(300);
    const std::size_t memoryBefore = mallinfo2().uordblks;
    std::vector<std::unique_ptr<MeasuredNetwork>> senders;
    for (std::size_t i = 0; i < links; ++i) {
        senders.push_back(std::make_unique<MeasuredNetwork>(context, optionsOf("host-" + std::to_string(i))));
        REQUIRE(senders.back()->start().has_value());
        senders.back()->setAddress(HostId("target"), {"127.0.0.1", target.listenPort()});
        REQUIRE(senders.back()->send(HostId("target"), MessageKind::ArbiterRequests, payload).has_value());
    }
    while (arrived < links) {
        context.run_one_for(std::chrono::seconds(20));
    }
    const std::size_t memory = (mallinfo2().uordblks - memoryBefore) / links / 2;

    const std::size_t frames = 20'000;
    const double start = processorSeconds();
    for (std::size_t i = 0; i < frames; ++i) {
        REQUIRE(senders[i % links]->send(HostId("target"), MessageKind::ArbiterRequests, payload).has_value());
        while (arrived < links + i + 1) {
            context.run_one_for(std::chrono::seconds(20));
        }
    }
    std::printf("slope wire frame_us_both_ends=%.1f memory_kb_an_end_of_a_link=%.1f\n",
                (processorSeconds() - start) * 1e6 / static_cast<double>(frames),
                static_cast<double>(memory) / 1024.0);
    std::fflush(stdout);
}
