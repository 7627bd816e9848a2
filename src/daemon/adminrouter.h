#pragma once

// Which admin call goes where, and who may make it: a decision over method, path and token.
//
// Probes and metrics are open, since the balancer and the collector carry no token; everything else needs an
// operator's token. A pattern is a path whose segments in braces match any one segment. Paths are matched
// whole; the caller's segments are handed on in order. Tokens are compared as digests in constant time.

#include "base/ids.h"
#include "base/result.h"
#include "settings/settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

enum class AdminCall : std::uint8_t {
    Live,
    Ready,
    Metrics,
    Status,
    Hosts,
    Endpoints,
    Customers,
    Explain,
    PresetList,
    PresetShow,
    PresetApply,
    PresetSwitch,
    PresetHistory,
    DrainHost,
    DrainEndpoint,
    UndrainEndpoint,
    SetLogLevel,
};

enum class AdminRefusal : std::uint8_t {
    NoSuchPath,
    WrongMethod,
    Unauthorized,
};

struct RoutedCall
{
    AdminCall call = AdminCall::Live;
    std::vector<std::string> arguments; ///< the segments that stood in braces
    OperatorName by; ///< empty for open calls
};

/** @param method in upper case  @param authorization the header's whole value, empty when absent */
Result<RoutedCall, AdminRefusal>
routeAdminCall(std::span<const OperatorEntry> operators, std::string_view method, std::string_view target, std::string_view authorization);

} // namespace Rhubarbwind
