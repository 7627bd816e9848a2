#pragma once

// What a duty's holder asks of the platform's API, and how its words become calls: data and pure functions.

#include "base/ids.h"
#include "duties/engineorders.h"
#include "duties/usagereports.h"
#include "platform/clientexchange.h"

#include <cstdint>
#include <string>

namespace Rhubarbwind
{

/** In whose name a call is made. */
struct DutyHolder
{
    HostId host;
    std::uint64_t number = 0; ///< fencing number of the lease
};

struct DutyCodec
{
    std::string_view usageKind; ///< what the platform calls the duty to report usage
    std::string_view engineKind; ///< and that to order engines
    HttpCall (*usageCall)(const DutyHolder &holder, const UsageReport &report) = nullptr;
    HttpCall (*orderCall)(const DutyHolder &holder, const EngineOrder &order) = nullptr;
    bool (*isAccepted)(const HttpAnswer &answer) = nullptr;
    OrderAnswer (*readOrderAnswer)(const HttpAnswer &answer) = nullptr;
};

} // namespace Rhubarbwind
