#include "daemon/gatewayoptions.h"

#include "base/requestid.h"
#include "daemon/hostoptions.h"

namespace Rhubarbwind
{

namespace
{

// Of the callers', endpoints' and peers' descriptors together; the rest is for files and the platform.
constexpr std::size_t descriptorsPerCaller = 2;

} // namespace

GatewayOptions gatewayOptions(const Settings &settings)
{
    const GatewaySettings &own = *settings.gateway;
    GatewayOptions options;
    options.ip = settings.callers.ip;
    options.port = settings.callers.port;
    options.connections = own.descriptors / descriptorsPerCaller;
    options.board.domain = settings.domain;
    options.board.promptTokensPerMs = own.promptTokensPerMs;
    options.resends.window = own.resendWindow;
    options.resends.ratio = own.resendRatio;
    options.resends.allowance = own.resendAllowance;
    options.seed = std::hash<std::string>()(freshId());
    return options;
}

FleetServiceOptions gatewayFleetOptions(const Settings &settings)
{
    FleetServiceOptions options;
    options.fleet.self = {settings.peers.ip, settings.peers.port};
    options.fleet.domain = settings.domain.text();
    options.fleet.incarnation = std::hash<std::string>()(freshId());
    options.sharedSecret = settings.peerSecret;
    options.seed = std::hash<std::string>()(freshId());
    for (const std::string &seed : settings.gateway->seeds) {
        // All hosts of a deployment listen for peers at the same port; a seed may name another one.
        options.seeds.push_back({seed.substr(0, seed.find(':')), settings.peers.port});
    }
    return options;
}

DrainOptions gatewayStopOptions(const Settings &settings)
{
    DrainOptions options = drainOptions(settings);
    options.handOver = Duration::zero(); // no duty moves
    return options;
}

HttpServerOptions gatewayHttpOptions(const SocketAddress &address)
{
    constexpr std::size_t askers = 64;
    HttpServerOptions options;
    options.ip = address.ip;
    options.port = address.port;
    options.connections = askers;
    return options;
}

} // namespace Rhubarbwind
