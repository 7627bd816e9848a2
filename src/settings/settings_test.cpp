#include "settings/settings.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

const std::string goodDocument = R"({
    // A host of the first failure domain.
    "host": "router-1",
    "domain": "muc-nord",
    "callers": {"ip": "127.0.0.1", "port": 8001},
    "peers": {"ip": "127.0.0.1", "port": 9001},
    "admin": {"ip": "127.0.0.1", "port": 7001},
    "peer_secret": "a secret of enough bytes",
    "platform": {"address": {"ip": "127.0.0.1", "port": 6001}, "timeout_ms": 500},
    "hop_costs": [{"from": "muc-nord", "to": "augsburg", "cost_ms": 2}],
})";

bool names(const DocumentFaults &faults, std::string_view path)
{
    return std::ranges::any_of(faults, [path](const DocumentFault &fault) { return fault.path == path; });
}

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a document with comments is read, absent keys keep their defaults")
{
    const Result<Settings, DocumentFaults> parsed = parseSettings(goodDocument);
    REQUIRE(parsed.has_value());
    REQUIRE(parsed.value().host == HostId("router-1"));
    REQUIRE(parsed.value().platform.timeout == 500ms);
    REQUIRE(parsed.value().callerLimits.bodyBytes == std::size_t{1024} * 1024);
    REQUIRE(parsed.value().hopCosts.front().cost == 2ms);
}

TEST_CASE("every fault is listed with its path")
{
    std::string broken = replaced(goodDocument, "\"ip\": \"127.0.0.1\", \"port\": 8001", "\"ip\": \"localhost\", \"port\": 0");
    broken = replaced(broken, "\"timeout_ms\": 500", "\"timeout_ms\": \"soon\"");
    broken = replaced(broken, "\"domain\": \"muc-nord\"", "\"domian\": \"muc-nord\"");
    broken = replaced(broken, "a secret of enough bytes", "short");
    const Result<Settings, DocumentFaults> parsed = parseSettings(broken);
    REQUIRE(parsed.has_error());
    const std::vector<std::string_view> expected{"callers.ip", "callers.port", "platform.timeout_ms", "domain", "domian", "peer_secret"};
    for (const std::string_view path : expected) {
        CAPTURE(path, describeFaults(parsed.error()));
        CHECK(names(parsed.error(), path));
    }
}

TEST_CASE("a key that stands twice is a fault, though the last one is valid")
{
    // An operator writes the platform's time limit anew and forgets the old line. The JSON library keeps the last of
    // the two without a word, so the host would run with a limit that nobody looked at; the document is refused.
    const Result<Settings, DocumentFaults> parsed =
        parseSettings(replaced(goodDocument, "\"timeout_ms\": 500", "\"timeout_ms\": 500, /* again */ \"timeout\\u005fms\": 600"));
    REQUIRE(parsed.has_error());
    REQUIRE(parsed.error().size() == 1);
    CHECK(parsed.error()[0].path == "platform.timeout_ms");
}

TEST_CASE("truncated and arbitrary documents are refused, never fatal")
{
    rc::prop("a prefix of a good document has faults", [] {
        const std::size_t length = *rc::gen::inRange<std::size_t>(0, goodDocument.size() - 1);
        RC_ASSERT(parseSettings(std::string_view(goodDocument).substr(0, length)).has_error());
    });
    rc::prop("arbitrary bytes have faults", [](const std::string &text) { RC_ASSERT(parseSettings(text).has_error()); });
}
