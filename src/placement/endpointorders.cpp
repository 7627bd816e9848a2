#include "placement/endpointorders.h"

#include "base/jsonreader.h"
#include "platform/clientexchange.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ExchangeResult = Result<HttpAnswer, ExchangeError>;

// A state is a few names; an endpoint that sends more is broken.
constexpr std::size_t maxAnswerBytes = 65'536;
constexpr std::size_t longestName = 256;
constexpr std::size_t maxAdapters = 1024;

OrderOutcome orderOutcome(const ExchangeResult &result)
{
    if (!result) {
        return result.error() == ExchangeError::NotSent ? OrderOutcome::NotSent : OrderOutcome::Unknown;
    }
    switch (result.value().status) {
    case 200:
    case 202:
        return OrderOutcome::Accepted;
    case 400:
    case 404:
    case 429:
        return OrderOutcome::Refused;
    case 409:
        return OrderOutcome::StaleNumber;
    default:
        return OrderOutcome::Unknown;
    }
}

Result<EndpointPlacement, StateError> stateOf(const ExchangeResult &result)
{
    if (!result) {
        return StateError::Unreachable;
    }
    constexpr unsigned ok = 200;
    return result.value().status == ok ? parseState(result.value().body) : StateError::Malformed;
}

/** Starts one exchange on a connection of its own, or answers NotSent for an address that is none. */
template <Clock ClockType>
void exchange(const asio::any_io_executor &executor, const OrderedEndpoint &endpoint, HttpCall call, Duration bound, ExchangeHandler handler)
{
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(endpoint.ip, error);
    if (error) {
        asio::post(executor, [handler = std::move(handler)] { handler(ExchangeError::NotSent); });
        return;
    }
    const std::shared_ptr<ClientExchange<ClockType>> connection =
        std::make_shared<ClientExchange<ClockType>>(executor, asio::ip::tcp::endpoint(address, endpoint.port), maxAnswerBytes);
    connection->start(std::move(call), bound, [connection, handler = std::move(handler)](const ExchangeResult &result) {
        connection->close();
        handler(result);
    });
}

} // namespace

std::string formatOrder(const PlacementOrder &order)
{
    boost::json::array adapters;
    for (const std::string &adapter : order.goal.adapters) {
        adapters.emplace_back(adapter);
    }
    return boost::json::serialize(boost::json::object{{"fencing", order.fencing},
                                                      {"model", order.goal.model},
                                                      {"version", order.goal.version},
                                                      {"adapters", std::move(adapters)},
                                                      {"role", order.goal.role}});
}

Result<EndpointPlacement, StateError> parseState(std::string_view body)
{
    const Result<boost::json::value, DocumentFaults> document = parseDocument(body);
    if (!document) {
        return StateError::Malformed;
    }
    EndpointPlacement placement;
    DocumentFaults faults;
    JsonReader reader(document.value(), "", faults);
    reader.text("model", placement.model, longestName, true);
    reader.text("version", placement.version, longestName, true);
    reader.texts("adapters", placement.adapters, maxAdapters);
    reader.text("role", placement.role, longestName, true);
    reader.flag("loading", placement.loading);
    reader.whole("fencing", placement.fencing, 0, std::uint64_t(1) << 62);
    if (!faults.empty()) {
        return StateError::Malformed;
    }
    return placement;
}

template <Clock ClockType>
void HttpEndpointOrders<ClockType>::order(const OrderedEndpoint &endpoint, const PlacementOrder &order, Duration bound, OrderHandler handler)
{
    HttpCall call;
    call.method = http::verb::post;
    call.target = "/v1/orders";
    call.body = formatOrder(order);
    exchange<ClockType>(
        m_executor, endpoint, std::move(call), bound, [handler = std::move(handler)](const ExchangeResult &result) { handler(orderOutcome(result)); });
}

template <Clock ClockType>
void HttpEndpointOrders<ClockType>::state(const OrderedEndpoint &endpoint, Duration bound, StateHandler handler)
{
    HttpCall call;
    call.target = "/v1/state";
    exchange<ClockType>(
        m_executor, endpoint, std::move(call), bound, [handler = std::move(handler)](const ExchangeResult &result) { handler(stateOf(result)); });
}

template class HttpEndpointOrders<SteadyClock>;
template class HttpEndpointOrders<ManualClock>;

} // namespace Rhubarbwind
