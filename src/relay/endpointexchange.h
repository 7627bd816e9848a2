#pragma once

// One HTTP exchange with an endpoint over a connection of its own.
//
// Connects, reports `onSending` just before the first byte is handed to the socket, sends the request, then
// hands on the header, the body's bytes as they come, and the end. Exactly one of the ending events is
// reported (connect failed, ended, broken, silent), unless cancel() came first, after which nothing is.
//
// Every exchange opens a new connection. A pooled one may have gone silent without either end knowing, and a
// request written to it would be lost in a way that looks like an endpoint at work; a new one costs a round
// trip, which is small against the answers of this system.
//
// Silence: no byte for `firstByteBound` before the header, or for `silenceBound` after it, ends the exchange,
// however healthy TCP believes the connection to be. Bounds: header 16 KB; the body is not held here, and
// pause() stops reading until resume().

#include "base/clock.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
}

namespace Rhubarbwind
{

struct EndpointAddress
{
    std::string ip;
    std::uint16_t port = 0;
};

/** What the relay reads from an endpoint's answer header. */
struct EndpointHeader
{
    unsigned status = 0;
    bool notStarted = false; ///< X-Not-Started: true
    bool draining = false; ///< X-Draining: true
    Duration retryAfter{}; ///< zero when not told
    std::string contentType;
    bool framed = true; ///< the answer tells its length; false: a cut-off one cannot be told from a whole one
};

enum class ExchangeEnd : std::uint8_t {
    ConnectFailed, ///< nothing was handed to the socket
    Whole, ///< the answer ended as its framing says
    Broken,
    Silent,
};

struct ExchangeEvents
{
    std::function<void()> onSending; ///< the point of no return; cancel() in it sends nothing
    std::function<void(const EndpointHeader &)> onHeader;
    std::function<void(std::string_view)> onBody;
    std::function<void(ExchangeEnd)> onEnd;
};

struct ExchangeBounds
{
    Duration connect = 2s;
    Duration firstByte = 60s;
    Duration silence = 10s;
};

template <Clock ClockType>
class EndpointExchange : public std::enable_shared_from_this<EndpointExchange<ClockType>>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    static std::shared_ptr<EndpointExchange> create(boost::asio::io_context &context);
    virtual ~EndpointExchange() = default;

    virtual void start(const EndpointAddress &address, Request request, ExchangeBounds bounds, ExchangeEvents events) = 0;
    virtual void pause() = 0;
    virtual void resume() = 0;
    /** Closes the connection; nothing is reported after it. */
    virtual void cancel() = 0;
};

} // namespace Rhubarbwind
