#include "daemon/adminrouter.h"

#include "base/digest.h"

#include <array>
#include <optional>

namespace Rhubarbwind
{

namespace
{

struct Route
{
    std::string_view method;
    std::string_view pattern;
    AdminCall call;
    bool open;
};

constexpr std::array routes{
    Route{"GET", "/healthz/live", AdminCall::Live, true},
    Route{"GET", "/healthz/ready", AdminCall::Ready, true},
    Route{"GET", "/metrics", AdminCall::Metrics, true},
    Route{"GET", "/admin/status", AdminCall::Status, false},
    Route{"GET", "/admin/hosts", AdminCall::Hosts, false},
    Route{"GET", "/admin/endpoints", AdminCall::Endpoints, false},
    Route{"GET", "/admin/customers", AdminCall::Customers, false},
    Route{"GET", "/admin/explain/{request}", AdminCall::Explain, false},
    Route{"GET", "/admin/presets", AdminCall::PresetList, false},
    Route{"GET", "/admin/presets/{name}", AdminCall::PresetShow, false},
    Route{"PUT", "/admin/presets/{name}", AdminCall::PresetApply, false},
    Route{"POST", "/admin/presets/{name}/switch", AdminCall::PresetSwitch, false},
    Route{"GET", "/admin/history", AdminCall::PresetHistory, false},
    Route{"POST", "/admin/drain/host/{host}", AdminCall::DrainHost, false},
    Route{"POST", "/admin/drain/endpoint/{endpoint}", AdminCall::DrainEndpoint, false},
    Route{"DELETE", "/admin/drain/endpoint/{endpoint}", AdminCall::UndrainEndpoint, false},
    Route{"POST", "/admin/log-level", AdminCall::SetLogLevel, false},
};

std::vector<std::string_view> segmentsOf(std::string_view path)
{
    std::vector<std::string_view> segments;
    std::size_t slash = path.find('/');
    while (slash != std::string_view::npos) {
        segments.push_back(path.substr(0, slash));
        path = path.substr(slash + 1);
        slash = path.find('/');
    }
    segments.push_back(path);
    return segments;
}

std::optional<std::vector<std::string>> match(std::string_view pattern, std::string_view path)
{
    const std::vector<std::string_view> wanted = segmentsOf(pattern);
    const std::vector<std::string_view> given = segmentsOf(path);
    if (wanted.size() != given.size()) {
        return std::nullopt;
    }
    std::vector<std::string> arguments;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        if (wanted[i].starts_with('{') && !given[i].empty()) {
            arguments.emplace_back(given[i]);
        } else if (wanted[i] != given[i]) {
            return std::nullopt;
        }
    }
    return arguments;
}

OperatorName operatorOf(std::span<const OperatorEntry> operators, std::string_view authorization)
{
    static constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return OperatorName();
    }
    const std::string digest = sha256Hex(authorization.substr(scheme.size()));
    OperatorName found;
    for (const OperatorEntry &entry : operators) {
        // Every entry is compared, so that the time does not tell which one matched.
        if (equalInConstantTime(entry.tokenSha256, digest)) {
            found = entry.name;
        }
    }
    return found;
}

} // namespace

Result<RoutedCall, AdminRefusal>
routeAdminCall(std::span<const OperatorEntry> operators, std::string_view method, std::string_view target, std::string_view authorization)
{
    const std::string_view path = target.substr(0, target.find('?'));
    bool pathKnown = false;
    for (const Route &route : routes) {
        const std::optional<std::vector<std::string>> arguments = match(route.pattern, path);
        if (!arguments) {
            continue;
        }
        pathKnown = true;
        if (route.method != method) {
            continue;
        }
        const OperatorName by = operatorOf(operators, authorization);
        if (!route.open && by.empty()) {
            return AdminRefusal::Unauthorized;
        }
        return RoutedCall{route.call, *arguments, by};
    }
    return pathKnown ? AdminRefusal::WrongMethod : AdminRefusal::NoSuchPath;
}

} // namespace Rhubarbwind
