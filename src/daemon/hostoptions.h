#pragma once

// A host's settings as the options of each part.

#include "arbiter/arbiterhost.h"
#include "daemon/drainsequence.h"
#include "ledger/ledgerhost.h"
#include "membership/membershipservice.h"
#include "platform/platformconnections.h"
#include "preset/presetservice.h"
#include "relay/relayoptions.h"
#include "routing/endpointpool.h"
#include "settings/settings.h"
#include "wire/peernetwork.h"

namespace Rhubarbwind
{

PeerNetworkOptions networkOptions(const Settings &settings);
PlatformOptions platformOptions(const Settings &settings);
MembershipServiceOptions membershipOptions(const Settings &settings, std::uint64_t seed);
PresetServiceOptions presetOptions(const Settings &settings, std::uint64_t seed);
RelayOptions relayOptions(const Settings &settings);
ArbiterHostOptions arbiterOptions(const Settings &settings, std::uint64_t incarnation);
LedgerHostOptions ledgerOptions(const Settings &settings);
EndpointPoolOptions poolOptions(const Settings &settings);
HttpServerOptions adminOptions(const Settings &settings);
DrainOptions drainOptions(const Settings &settings);

} // namespace Rhubarbwind
