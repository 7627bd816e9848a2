#pragma once

// The parts of one host, made in the order in which they depend on each other, with the types they have in the
// daemon. Wiring is in hostruntime.cpp, operators' calls in hostadmin.cpp.

#include "arbiter/arbiterhost.h"
#include "daemon/drainsequence.h"
#include "daemon/endpointdirectory.h"
#include "daemon/endpointpoller.h"
#include "daemon/explaingather.h"
#include "ledger/ledgerhost.h"
#include "membership/membershipservice.h"
#include "placement/endpointorders.h"
#include "placement/placementservice.h"
#include "platform/objectclient.h"
#include "preset/presetservice.h"
#include "relay/relay.h"
#include "routing/endpointpool.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace Rhubarbwind
{

using HostNetwork = PeerNetwork<SteadyClock>;
using HostObjects = ObjectClient<SteadyClock>;
using HostPresets = PresetService<SteadyClock, HostObjects, HostNetwork>;
using HostPermits = ArbiterHost<SteadyClock, HostNetwork, EndpointPool>;
using HostClaims = LedgerHost<SteadyClock, HostObjects, HostNetwork>;
using HostPlacement = PlacementService<SteadyClock, HostObjects, HttpEndpointOrders<SteadyClock>>;
using HostRelay = Relay<SteadyClock, HostPermits, HostClaims>;

struct HostParts
{
    HostParts(boost::asio::io_context &context, const Settings &given);

    boost::asio::io_context &context;
    Settings settings;
    TimePoint started;
    std::uint64_t incarnation; ///< process start, Unix time in milliseconds
    Metrics metrics;
    SpanRing spans;
    HostNetwork network;
    std::shared_ptr<PlatformConnections<SteadyClock>> platform;
    HostObjects objects;
    HostListClient<SteadyClock> hostList;
    MembershipService<SteadyClock> members;
    std::shared_ptr<HostPresets> presets;
    EndpointDirectory directory;
    std::shared_ptr<HostPermits> permits;
    std::shared_ptr<HostClaims> claims;
    HostRelay relay;
    HttpEndpointOrders<SteadyClock> endpointOrders;
    std::shared_ptr<HostPlacement> placement;
    std::shared_ptr<ExplainGather<SteadyClock, HostNetwork>> explain;
    DrainSequence drain;
    bool platformReached = false;
};

/** Unix time in milliseconds: for people, and to order facts of several sources; no decision measures time by it. */
std::uint64_t unixMilliseconds();

} // namespace Rhubarbwind
