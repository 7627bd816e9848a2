#pragma once

// One keep-alive HTTP connection to the platform: one exchange at a time, under one time limit.
//
// The result of an exchange tells the one thing that a caller cannot find out later: whether any byte of the
// request left this host. NotSent means that nothing can have happened; NoAnswer means that it may have.
// After a failed exchange the connection is closed and must not be used again.

#include "base/result.h"
#include "base/sessiontimer.h"
#include "platform/platformanswer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Rhubarbwind
{

struct HttpCall
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string ifMatch;
    std::string ifNoneMatch;
    std::string body;
};

enum class ExchangeError : std::uint8_t {
    NotSent, ///< no byte of the request was sent
    NoAnswer, ///< some were, and no whole answer came
    TimedOut, ///< some were, and the time limit passed
};

using ExchangeHandler = std::function<void(Result<HttpAnswer, ExchangeError>)>;

template <Clock ClockType>
class ClientExchange : public std::enable_shared_from_this<ClientExchange<ClockType>>
{
public:
    ClientExchange(const boost::asio::any_io_executor &executor, boost::asio::ip::tcp::endpoint server, std::size_t maxAnswerBytes);

    /** Connects first when needed. The handler is called once, never from within. */
    void start(HttpCall call, Duration limit, ExchangeHandler handler);

    /** Open, nothing under way, and the other end has neither closed nor sent anything unasked. */
    bool isReusable();
    void close();

    void setIdleSince(TimePoint now)
    {
        m_idleSince = now;
    }
    TimePoint idleSince() const
    {
        return m_idleSince;
    }

private:
    void connect();
    void write();
    void read();
    void finish(Result<HttpAnswer, ExchangeError> result);
    ExchangeError lostError() const
    {
        return m_timedOut ? ExchangeError::TimedOut : ExchangeError::NoAnswer;
    }

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::ip::tcp::endpoint m_server;
    SessionTimer<ClockType> m_timer;
    std::size_t m_maxAnswerBytes;
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    ExchangeHandler m_handler;
    TimePoint m_idleSince{};
    bool m_timedOut = false;
};

} // namespace Rhubarbwind
