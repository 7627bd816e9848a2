#pragma once

// The admin front of one host: probes, metrics and operators' calls over HTTP.
//
// It reads calls (adminrouter.h), checks bodies and turns answers into JSON; the host's parts do the work
// behind AdminPorts. Every refusal has a status, a stable type and a sentence:
// {"error":{"type","message"}}. A call that needs the platform is answered when the platform has answered or
// its time is up; the connection's budgets are those of HttpServer.

#include "base/ids.h"
#include "daemon/adminrouter.h"
#include "preset/preset.h"
#include "relay/httpserver.h"
#include "telemetry/log.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace Rhubarbwind
{

/** An answer of the admin front. */
struct AdminAnswer
{
    unsigned status = 200;
    boost::json::value body;
};

/** @param type stable text for programs  @param message one sentence for people */
AdminAnswer adminError(unsigned status, std::string_view type, std::string_view message);

using AdminReply = std::function<void(AdminAnswer)>;

/** What the host does for the admin front. Each reply is called exactly once. */
struct AdminPorts
{
    std::function<bool()> ready;
    std::function<std::string()> metrics;
    std::function<boost::json::value()> status;
    std::function<boost::json::value()> hosts;
    std::function<boost::json::value()> endpoints;
    std::function<boost::json::value()> customers;
    std::function<void(const RequestId &, AdminReply)> explain;
    std::function<void(AdminReply)> presetList;
    std::function<void(const PresetName &, AdminReply)> presetShow;
    std::function<void(const Preset &, const OperatorName &, AdminReply)> presetApply;
    std::function<void(const PresetName &, const OperatorName &, AdminReply)> presetSwitch;
    std::function<void(AdminReply)> presetHistory;
    std::function<void(const HostId &, const OperatorName &, AdminReply)> drainHost;
    std::function<void(const EndpointId &, const OperatorName &, AdminReply)> drainEndpoint;
    std::function<void(const EndpointId &, const OperatorName &, AdminReply)> undrainEndpoint;
};

class AdminFront
{
public:
    AdminFront(boost::asio::io_context &context, HttpServerOptions options, std::vector<OperatorEntry> operators, AdminPorts ports);

    Result<void, HttpServerError> listen();
    std::uint16_t port() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
    HttpServer<SteadyClock> m_server;
};

} // namespace Rhubarbwind
