#include "daemon/adminfront.h"

#include "base/jsonreader.h"
#include "daemon/adminanswer.h"
#include "preset/presetjson.h"

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;

constexpr std::size_t maxLevelNameBytes = 16;

AdminAnswer faultsAnswer(const PresetFaults &faults)
{
    AdminAnswer answer = adminError(400, "invalid-preset", "The preset is refused whole: " + describeFaults(faults));
    boost::json::array listed;
    for (const PresetFaults::value_type &fault : faults) {
        listed.push_back(boost::json::object{{"path", fault.path}, {"value", fault.value}, {"allowed", fault.allowed}});
    }
    answer.body.as_object()["faults"] = std::move(listed);
    return answer;
}

struct LevelOrder
{
    LogPart part;
    LogLevel level;
};

enum class LevelOrderError : std::uint8_t {
    Malformed,
};

Result<LevelOrder, LevelOrderError> readLevelOrder(std::string_view body)
{
    const Result<boost::json::value, DocumentFaults> document = parseDocument(body);
    if (document.has_error()) {
        return LevelOrderError::Malformed;
    }
    DocumentFaults faults;
    std::string part;
    std::string level;
    JsonReader reader(document.value(), "", faults);
    reader.text("part", part, maxLevelNameBytes, true);
    reader.text("level", level, maxLevelNameBytes, true);
    reader.finish();
    const Result<LogPart, LogError> parsedPart = parseLogPart(part);
    const Result<LogLevel, LogError> parsedLevel = parseLogLevel(level);
    if (!faults.empty() || parsedPart.has_error() || parsedLevel.has_error()) {
        return LevelOrderError::Malformed;
    }
    return LevelOrder{parsedPart.value(), parsedLevel.value()};
}

} // namespace

class AdminFront::Impl : public std::enable_shared_from_this<AdminFront::Impl>
{
public:
    Impl(std::vector<OperatorEntry> operators, AdminPorts ports)
        : m_operators(std::move(operators))
        , m_ports(std::move(ports))
    {
    }

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
    {
        const Result<RoutedCall, AdminRefusal> routed = routeRequest(m_operators, request);
        if (routed.has_error()) {
            exchange->respond(jsonResponse(refusalAnswer(routed.error())));
            return;
        }
        const AdminReply reply = [exchange](const AdminAnswer &answer) { exchange->respond(jsonResponse(answer)); };
        if (!answerImmediately(routed.value(), exchange, reply)) {
            answerAsync(routed.value(), request.body(), reply);
        }
    }

private:
    bool answerImmediately(const RoutedCall &routed, const std::shared_ptr<HttpExchange> &exchange, const AdminReply &reply)
    {
        switch (routed.call) {
        case AdminCall::Live:
            exchange->respond(textResponse(200, "text/plain", "live\n"));
            return true;
        case AdminCall::Ready:
            exchange->respond(m_ports.ready() ? textResponse(200, "text/plain", "ready\n") : textResponse(503, "text/plain", "not ready\n"));
            return true;
        case AdminCall::Metrics:
            exchange->respond(textResponse(200, "text/plain; version=0.0.4", m_ports.metrics()));
            return true;
        case AdminCall::Status:
            reply({200, m_ports.status()});
            return true;
        case AdminCall::Hosts:
            reply({200, m_ports.hosts()});
            return true;
        case AdminCall::Endpoints:
            reply({200, m_ports.endpoints()});
            return true;
        case AdminCall::Customers:
            reply({200, m_ports.customers()});
            return true;
        default:
            return false;
        }
    }

    void answerAsync(const RoutedCall &routed, const std::string &body, const AdminReply &reply)
    {
        switch (routed.call) {
        case AdminCall::Explain:
            m_ports.explain(RequestId(routed.arguments.front()), reply);
            return;
        case AdminCall::ExplainOtlp:
            m_ports.explainOtlp(RequestId(routed.arguments.front()), reply);
            return;
        case AdminCall::PresetList:
            m_ports.presetList(reply);
            return;
        case AdminCall::PresetShow:
            m_ports.presetShow(PresetName(routed.arguments.front()), reply);
            return;
        case AdminCall::PresetApply:
            applyPreset(routed, body, reply);
            return;
        case AdminCall::PresetSwitch:
            m_ports.presetSwitch(PresetName(routed.arguments.front()), routed.by, reply);
            return;
        case AdminCall::PresetHistory:
            m_ports.presetHistory(reply);
            return;
        case AdminCall::DrainHost:
            m_ports.drainHost(HostId(routed.arguments.front()), routed.by, reply);
            return;
        case AdminCall::DrainEndpoint:
            m_ports.drainEndpoint(EndpointId(routed.arguments.front()), routed.by, reply);
            return;
        case AdminCall::UndrainEndpoint:
            m_ports.undrainEndpoint(EndpointId(routed.arguments.front()), routed.by, reply);
            return;
        case AdminCall::SetLogLevel:
            changeLevel(body, reply);
            return;
        default:
            m_log.error("A routed call has no handler.");
            reply(adminError(500, "internal", "The call has no handler."));
            return;
        }
    }

    void applyPreset(const RoutedCall &routed, const std::string &body, const AdminReply &reply)
    {
        const Result<Preset, PresetFaults> parsed = parsePreset(body);
        if (parsed.has_error()) {
            reply(faultsAnswer(parsed.error()));
            return;
        }
        if (parsed.value().name.text() != routed.arguments.front()) {
            reply(adminError(400, "name-differs", "The preset's name is not the one in the path."));
            return;
        }
        m_ports.presetApply(parsed.value(), routed.by, reply);
    }

    static void changeLevel(const std::string &body, const AdminReply &reply)
    {
        const Result<LevelOrder, LevelOrderError> order = readLevelOrder(body);
        if (order.has_error()) {
            reply(adminError(400, "invalid-level", "A body with part and level is needed; levels are debug, info, warn, error."));
            return;
        }
        setLogLevel(order.value().part, order.value().level);
        reply({200, boost::json::object{{"part", logPartName(order.value().part)}}});
    }

    std::vector<OperatorEntry> m_operators;
    AdminPorts m_ports;
    Log m_log{LogPart::Control};
};

AdminFront::AdminFront(boost::asio::io_context &context, HttpServerOptions options, std::vector<OperatorEntry> operators, AdminPorts ports)
    : m_impl(std::make_shared<Impl>(std::move(operators), std::move(ports)))
    , m_server(context, std::move(options), [impl = m_impl](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
        impl->handle(request, exchange);
    })
{
}

Result<void, HttpServerError> AdminFront::listen()
{
    return m_server.listen();
}

std::uint16_t AdminFront::port() const
{
    return m_server.port();
}

} // namespace Rhubarbwind
