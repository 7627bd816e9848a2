// Figures for docs/CAPACITY.md: the host list's bytes and the processor time to read it, by its length.

#include "platform/platformanswer.h"

#include <cstdio>
#include <ctime>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

double processorSeconds()
{
    return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

/** Compact JSON, as the stand-in prints it. */
std::string hostsAnswerOf(std::size_t routers, std::size_t engines)
{
    std::string text = R"({"hosts":[)";
    for (std::size_t i = 0; i < routers + engines; ++i) {
        const bool router = i < routers;
        const std::string number = std::to_string(router ? i : i - routers);
        text += i == 0 ? "" : ",";
        text += R"({"name":")" + std::string(router ? "host-" : "worker-") + number + R"(","role":")" + (router ? "router" : "engine")
            + R"(","state":"live","ip":"10.20.)" + std::to_string(i / 250) + "." + std::to_string(i % 250) + R"(","port":7301,"domain":"domain-)"
            + std::to_string(i % 14) + "\"";
        if (!router) {
            text += R"(,"shard":"model-)" + std::to_string(i % 36) + R"(","slots":128,"kv_tokens":1048576,"checks_fencing":true)";
        }
        text += "}";
    }
    return text + "]}";
}

} // namespace

TEST_CASE("the host list's bytes and processor time by its length", "[.measure]")
{
    struct Row
    {
        std::size_t routers;
        std::size_t engines;
    };
    for (const Row &row : {Row{9, 15}, Row{37, 380}, Row{370, 3800}}) {
        const std::string body = hostsAnswerOf(row.routers, row.engines);
        const int rounds = row.engines > 1000 ? 20 : 200;
        const double start = processorSeconds();
        for (int i = 0; i < rounds; ++i) {
            const PlatformResult<std::vector<ListedHost>> hosts = readHostsAnswer({200, "", body});
            REQUIRE(hosts.has_value());
            REQUIRE(hosts.value().size() == row.routers + row.engines);
        }
        std::printf("slope host-list routers=%zu endpoints=%zu bytes=%zu read_ms=%.3f\n",
                    row.routers,
                    row.engines,
                    body.size(),
                    (processorSeconds() - start) * 1000 / rounds);
    }
    std::fflush(stdout);
}
