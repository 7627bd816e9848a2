#pragma once

// What operators can ask and order through one host, done with its parts.

#include "daemon/adminfront.h"
#include "daemon/hostparts.h"

#include <functional>
#include <string>

namespace Rhubarbwind
{

/** Where an operator's order to drain an endpoint is kept, so that it outlives every host. */
inline constexpr std::string_view drainOrderPrefix = "drain/";

/** Orders that the wiring carries out. */
struct HostOrders
{
    std::function<void()> stop; ///< planned stop of this host
    std::function<void(const EndpointId &)> endpointLeaving;
    std::function<void(const EndpointId &)> endpointReturned;
};

bool hostIsReady(const HostParts &parts);
/** @param parts must outlive the front */
AdminPorts adminPorts(HostParts &parts, HostOrders orders);

} // namespace Rhubarbwind
