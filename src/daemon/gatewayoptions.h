#pragma once

// A gateway host's settings as the options of its parts.

#include "daemon/drainsequence.h"
#include "fleet/fleetservice.h"
#include "gateway/gateway.h"
#include "relay/httpserver.h"
#include "settings/settings.h"

namespace Rhubarbwind
{

/** @param settings of a host that runs the gateway */
GatewayOptions gatewayOptions(const Settings &settings);
FleetServiceOptions gatewayFleetOptions(const Settings &settings);
DrainOptions gatewayStopOptions(const Settings &settings);
/** Of the ready and the admin port. */
HttpServerOptions gatewayHttpOptions(const SocketAddress &address);

} // namespace Rhubarbwind
