#pragma once

// The admin front's answers as JSON, from the values that the parts report. Field names are an interface:
// rhubarbwindctl and operators' scripts read them.

#include "arbiter/arbiterhost.h"
#include "daemon/drainsequence.h"
#include "daemon/endpointdirectory.h"
#include "ledger/ledgerhost.h"
#include "membership/member.h"
#include "preset/presetservice.h"
#include "relay/relayoptions.h"
#include "routing/endpointpool.h"
#include "telemetry/span.h"

#include <map>
#include <span>
#include <vector>

#include <boost/json/value.hpp>

namespace Rhubarbwind
{

/** Everything `status` tells of one host. */
struct HostReport
{
    HostId host;
    FailureDomain domain;
    bool ready = false;
    DrainStage drain = DrainStage::Serving;
    PresetPointer preset;
    PresetAlarms alarms;
    bool platformReached = false; ///< the last host list was answered
    bool hearsPeers = false;
    RelayStats relay;
    ArbiterHostStatus permits;
    LedgerHostStatus ledger;
    Duration uptime{};
};

boost::json::value statusJson(const HostReport &report);
/** One row a member, this host first. */
boost::json::value hostsJson(const Member &self, std::span<const Member> members);
/** @param seen what the arbiters on this host know, by endpoint */
boost::json::value endpointsJson(std::span<const Endpoint> endpoints, const std::map<EndpointId, EndpointStatus> &seen);
boost::json::value explainJson(std::span<const Span> spans);
/** One OTLP JSON document a span. */
boost::json::value otlpJson(std::span<const Span> spans);
boost::json::value presetListJson(std::span<const LibraryPreset> library, const PresetPointer &inForce);
boost::json::value historyJson(std::span<const PresetHistoryEntry> history);

} // namespace Rhubarbwind
