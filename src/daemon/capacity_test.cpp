// Figures for docs/CAPACITY.md: processor time of a whole host list in the directory, by the number of endpoints.

#include "daemon/endpointdirectory.h"

#include <cstdio>
#include <ctime>

#include <malloc.h>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

double processorSeconds()
{
    return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

std::vector<ListedHost> listOf(std::size_t engines, std::size_t shards)
{
    std::vector<ListedHost> listed;
    for (std::size_t i = 0; i < engines; ++i) {
        ListedHost host;
        host.name = "engine-muc-sued-" + std::to_string(i);
        host.role = "engine";
        host.state = "live";
        host.ip = "10.20." + std::to_string(i / 250) + "." + std::to_string(i % 250);
        host.port = 7201;
        host.domain = "domain-" + std::to_string(i % 14);
        host.shard = "model-" + std::to_string(i % shards);
        host.slots = 128;
        listed.push_back(host);
    }
    return listed;
}

} // namespace

TEST_CASE("a host list's processor time and memory in the directory by endpoints", "[.measure]")
{
    struct Row
    {
        std::size_t engines;
        std::size_t shards;
    };
    for (const Row &row : {Row{15, 2}, Row{380, 9}, Row{3800, 36}, Row{3800, 90}}) {
        const std::vector<ListedHost> listed = listOf(row.engines, row.shards);
        const std::size_t memoryBefore = mallinfo2().uordblks;
        EndpointDirectory directory{DirectoryOptions{}};
        TimePoint now = TimePoint{} + 1h;
        REQUIRE(directory.hostList(now, listed));
        const std::size_t memory = mallinfo2().uordblks - memoryBefore;
        const int rounds = 20;
        const double start = processorSeconds();
        for (int i = 0; i < rounds; ++i) {
            now += 2s;
            REQUIRE_FALSE(directory.hostList(now, listed));
        }
        const double compared = processorSeconds();
        std::size_t found = 0;
        for (int i = 0; i < rounds; ++i) {
            for (const ShardId &shard : directory.shards()) {
                found += directory.endpointsOf(shard).size();
            }
        }
        REQUIRE(found == row.engines * rounds);
        std::printf("slope directory endpoints=%zu shards=%zu unchanged_list_ms=%.3f split_by_shard_ms=%.3f memory_bytes_an_endpoint=%zu\n",
                    row.engines,
                    row.shards,
                    (compared - start) * 1000 / rounds,
                    (processorSeconds() - compared) * 1000 / rounds,
                    memory / row.engines);
    }
    std::fflush(stdout);
}
