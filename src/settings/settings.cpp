#include "settings/settings.h"

#include <algorithm>
#include <regex>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t longestName = 64;
constexpr std::size_t longestSecret = 256;
constexpr std::size_t mostHopCosts = 1024;
constexpr std::size_t mostOperators = 256;
constexpr std::uint64_t highestPort = 65'535;
constexpr std::size_t kilobyte = 1024;
constexpr std::size_t gigabyte = kilobyte * kilobyte * kilobyte;
// Shorter secrets could be guessed from one captured proof.
constexpr std::size_t shortestSecret = 16;

bool isIpv4(const std::string &text)
{
    static const std::regex pattern(R"(((25[0-5]|2[0-4]\d|1?\d?\d)\.){3}(25[0-5]|2[0-4]\d|1?\d?\d))");
    return std::regex_match(text, pattern);
}

bool isName(const std::string &text)
{
    static const std::regex pattern("[A-Za-z0-9._-]+");
    return std::regex_match(text, pattern);
}

bool isSha256Hex(const std::string &text)
{
    static const std::regex pattern("[0-9a-f]{64}");
    return std::regex_match(text, pattern);
}

template <class Id>
void readName(JsonReader &reader, std::string_view key, Id &target)
{
    std::string text;
    reader.text(key, text, longestName, true);
    if (!text.empty() && !isName(text)) {
        reader.fault(key, text, "letters, digits, dot, underscore and hyphen");
    }
    target = Id(text);
}

void readAddress(JsonReader &reader, std::string_view key, SocketAddress &target)
{
    bool present = false;
    reader.object(key, [&](JsonReader &address) {
        present = true;
        address.text("ip", target.ip, longestName, true);
        if (!target.ip.empty() && !isIpv4(target.ip)) {
            address.fault("ip", target.ip, "an IPv4 number");
        }
        address.integer("port", target.port, 1, highestPort);
        if (target.port == 0) {
            address.fault("port", "missing", "a whole number from 1 to 65535");
        }
    });
    if (!present) {
        reader.fault(key, "missing", "an object with ip and port");
    }
}

void readPlatform(JsonReader &reader, PlatformSettings &target)
{
    readAddress(reader, "address", target.address);
    reader.milliseconds("timeout_ms", target.timeout, 10ms, 60s);
    reader.number("reads_per_second", target.readsPerSecond, 0.1, 2000);
    reader.number("read_burst", target.readBurst, 1, 10'000);
    reader.number("writes_per_second", target.writesPerSecond, 0.1, 2000);
    reader.number("write_burst", target.writeBurst, 1, 10'000);
    reader.milliseconds("host_list_interval_ms", target.hostListInterval, 100ms, 60s);
    reader.milliseconds("load_report_interval_ms", target.loadReportInterval, 100ms, 60s);
}

void readCallers(JsonReader &reader, CallerSettings &target)
{
    reader.integer("header_bytes", target.headerBytes, kilobyte, kilobyte * kilobyte);
    reader.integer("body_bytes", target.bodyBytes, kilobyte, 64 * kilobyte * kilobyte);
    reader.integer("connections", target.connections, 1, 100'000);
    reader.integer("queued_requests", target.queuedRequests, 1, 100'000);
    reader.integer("answer_bytes", target.answerBytes, kilobyte, gigabyte);
    reader.milliseconds("idle_limit_ms", target.idleLimit, 1s, 1h);
    reader.milliseconds("stream_silence_limit_ms", target.streamSilenceLimit, 100ms, 10min);
    reader.milliseconds("connect_limit_ms", target.connectLimit, 10ms, 60s);
    reader.number("retry_ratio", target.retryRatio, 0, 1);
}

void readArbiter(JsonReader &reader, ArbiterSettings &target)
{
    reader.milliseconds("flush_interval_ms", target.flushInterval, 1ms, 1s);
    reader.milliseconds("silence_limit_ms", target.silenceLimit, 100ms, 60s);
    reader.milliseconds("collecting_round_ms", target.collectingRound, 10ms, 10s);
    if (target.collectingRound >= target.silenceLimit) {
        // Otherwise every change of arbiter would send its entry hosts into fallback.
        reader.fault("collecting_round_ms", "not below silence_limit_ms", "less than silence_limit_ms");
    }
}

void readHopCost(JsonReader &reader, std::vector<HopCost> &target)
{
    HopCost cost;
    readName(reader, "from", cost.from);
    readName(reader, "to", cost.to);
    reader.milliseconds("cost_ms", cost.cost, 0ms, 10s);
    target.push_back(cost);
}

void readOperator(JsonReader &reader, std::vector<OperatorEntry> &target)
{
    OperatorEntry entry;
    readName(reader, "name", entry.name);
    reader.text("token_sha256", entry.tokenSha256, longestName, true);
    if (!entry.tokenSha256.empty() && !isSha256Hex(entry.tokenSha256)) {
        reader.fault("token_sha256", entry.tokenSha256, "64 lower-case hex digits");
    }
    target.push_back(entry);
}

void readLogs(JsonReader &reader, Settings &target)
{
    static const std::vector<std::string_view> layouts{"text", "json"};
    static const std::vector<std::string_view> levels{"debug", "info", "warn", "error"};
    std::size_t layout = 0;
    std::size_t level = 1;
    reader.choice("layout", layout, layouts);
    reader.choice("level", level, levels);
    target.logLayout = layouts[layout];
    target.logLevel = levels[level];
}

void readSecret(JsonReader &reader, std::string &target)
{
    reader.text("peer_secret", target, longestSecret, true);
    if (!target.empty() && target.size() < shortestSecret) {
        reader.fault("peer_secret", "too short", "at least " + std::to_string(shortestSecret) + " bytes");
    }
}

void readAll(JsonReader &reader, Settings &target)
{
    readName(reader, "host", target.host);
    readName(reader, "domain", target.domain);
    readAddress(reader, "callers", target.callers);
    readAddress(reader, "peers", target.peers);
    readAddress(reader, "admin", target.admin);
    readSecret(reader, target.peerSecret);
    bool platform = false;
    reader.object("platform", [&](JsonReader &inner) {
        platform = true;
        readPlatform(inner, target.platform);
    });
    if (!platform) {
        reader.fault("platform", "missing", "an object with address");
    }
    reader.object("caller_limits", [&](JsonReader &inner) { readCallers(inner, target.callerLimits); });
    reader.object("drain", [&](JsonReader &inner) {
        inner.milliseconds("balancer_delay_ms", target.drain.balancerDelay, 0ms, 10min);
        inner.milliseconds("limit_ms", target.drain.limit, 0ms, 24h);
    });
    reader.object("arbiter", [&](JsonReader &inner) { readArbiter(inner, target.arbiter); });
    reader.object("ledger", [&](JsonReader &inner) {
        inner.integer("shards", target.ledger.shards, 1, 64);
        inner.milliseconds("append_interval_ms", target.ledger.appendInterval, 0ms, 10s);
        inner.milliseconds("retention_ms", target.ledger.retention, 1min, 30 * 24h);
    });
    reader.objects("hop_costs", mostHopCosts, [&](JsonReader &inner) { readHopCost(inner, target.hopCosts); });
    reader.objects("operators", mostOperators, [&](JsonReader &inner) { readOperator(inner, target.operators); });
    reader.object("logs", [&](JsonReader &inner) { readLogs(inner, target); });
    reader.integer("span_ring", target.spanRing, 0, 1'000'000);
}

} // namespace

Result<Settings, DocumentFaults> parseSettings(std::string_view text)
{
    Settings settings;
    DocumentFaults faults = readDocument(text, [&](JsonReader &reader) { readAll(reader, settings); });
    if (!faults.empty()) {
        return failure(std::move(faults));
    }
    return settings;
}

} // namespace Rhubarbwind
