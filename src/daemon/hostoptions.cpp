#include "daemon/hostoptions.h"

#include "routing/promptprefix.h"

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t adminConnections = 256;
constexpr std::size_t mostPrefixDigests = 64; ///< 16 KB of prompt: beyond it reuse saves little more

} // namespace

PeerNetworkOptions networkOptions(const Settings &settings)
{
    PeerNetworkOptions options;
    options.self = settings.host;
    options.listen = {settings.peers.ip, settings.peers.port};
    options.sharedSecret = settings.peerSecret;
    return options;
}

PlatformOptions platformOptions(const Settings &settings)
{
    PlatformOptions options;
    options.ip = settings.platform.address.ip;
    options.port = settings.platform.address.port;
    options.callTimeout = settings.platform.timeout;
    options.rates.readsPerSecond = settings.platform.readsPerSecond;
    options.rates.readBurst = settings.platform.readBurst;
    options.rates.writesPerSecond = settings.platform.writesPerSecond;
    options.rates.writeBurst = settings.platform.writeBurst;
    return options;
}

RelayOptions relayOptions(const Settings &settings)
{
    const CallerSettings &limits = settings.callerLimits;
    RelayOptions options;
    options.http.ip = settings.callers.ip;
    options.http.port = settings.callers.port;
    options.http.headerBytes = limits.headerBytes;
    options.http.bodyBytes = limits.bodyBytes;
    options.http.connections = limits.connections;
    options.http.idleTimeout = limits.idleLimit;
    options.requests = limits.queuedRequests;
    options.memoryBytes = limits.answerBytes;
    options.retryBudget.earnedPerSuccess = limits.retryRatio;
    options.engineBounds.connect = limits.connectLimit;
    options.engineBounds.silence = limits.streamSilenceLimit;
    options.serviceBounds.connect = limits.connectLimit;
    options.prefixDigests = [](std::string_view prompt) { return prefixDigests(prompt, mostPrefixDigests); };
    return options;
}

ArbiterHostOptions arbiterOptions(const Settings &settings, std::uint64_t incarnation)
{
    ArbiterHostOptions options;
    options.self = settings.host;
    options.incarnation = incarnation;
    options.desk.flushInterval = settings.arbiter.flushInterval;
    options.desk.fallbackAfter = settings.arbiter.silenceLimit;
    options.arbiter.collectingRound = settings.arbiter.collectingRound;
    options.answerFlushInterval = settings.arbiter.flushInterval;
    return options;
}

PlacementServiceOptions placementOptions(const Settings &settings)
{
    PlacementServiceOptions options;
    options.self = settings.host;
    return options;
}

LedgerHostOptions ledgerOptions(const Settings &settings)
{
    LedgerHostOptions options;
    options.self = settings.host;
    options.shards = settings.ledger.shards;
    options.writer.retention = settings.ledger.retention;
    return options;
}

EndpointPoolOptions poolOptions(const Settings &settings)
{
    EndpointPoolOptions options;
    for (const HopCost &cost : settings.hopCosts) {
        options.hops.named[{cost.from, cost.to}] = cost.cost;
    }
    return options;
}

PresetServiceOptions presetOptions(const Settings &settings, std::uint64_t seed)
{
    PresetServiceOptions options;
    options.self = settings.host;
    options.seed = seed;
    return options;
}

HttpServerOptions adminOptions(const Settings &settings)
{
    HttpServerOptions options;
    options.ip = settings.admin.ip;
    options.port = settings.admin.port;
    options.connections = adminConnections;
    return options;
}

MembershipServiceOptions membershipOptions(const Settings &settings, std::uint64_t seed)
{
    MembershipServiceOptions options;
    options.sharedSecret = settings.peerSecret;
    options.seed = seed;
    return options;
}

DrainOptions drainOptions(const Settings &settings)
{
    DrainOptions options;
    options.balancerDelay = settings.drain.balancerDelay;
    options.limit = settings.drain.limit;
    return options;
}

} // namespace Rhubarbwind
