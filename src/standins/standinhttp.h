#pragma once

// The HTTP side that all endpoint stand-ins share: a listener and connections that answer whole or stream events.
//
// A handler gets each request with its connection and answers once, by reply() or by startStream(), sendEvents()
// and endStream(). The connection keeps itself alive while it reads or writes; between the events of a stream the
// handler's shared_ptr does. Faults: silence() leaves a connection open and never moves another byte on it; drop() closes it.
//
// Bounds: maxBodyBytes a request, maxUnsentBytes of a stream that its reader does not take (then it is dropped).

#include "base/result.h"
#include "base/time.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::uint64_t maxBodyBytes = std::uint64_t{4} * 1024 * 1024;
inline constexpr std::size_t maxUnsentBytes = std::size_t{4} * 1024 * 1024;

using StandinRequest = boost::beast::http::request<boost::beast::http::string_body>;
using StandinHeaders = std::vector<std::pair<std::string, std::string>>;

struct StandinReply
{
    boost::beast::http::status status = boost::beast::http::status::ok;
    StandinHeaders headers;
    std::string body;
};

/** A JSON answer. */
StandinReply jsonReply(boost::beast::http::status status, const boost::json::value &body, StandinHeaders headers = {});
/** `{"error": text}` with a status. */
StandinReply errorReply(boost::beast::http::status status, std::string_view text, StandinHeaders headers = {});
std::string headerOf(const StandinRequest &request, std::string_view name);
/** The value of a query parameter as a number; the default when it is missing or not a number. */
std::uint64_t queryNumber(std::string_view target, std::string_view name, std::uint64_t otherwise);
/** A member as a number; the default when it is missing or not a number. */
double numberMember(const boost::json::object &object, std::string_view name, double otherwise);
bool flagMember(const boost::json::object &object, std::string_view name, bool otherwise);
/** A JSON object from text; none when it is anything else. */
std::optional<boost::json::object> parseObject(std::string_view text);
std::string textMember(const boost::json::object &object, std::string_view name);

class StandinConnection;
using StandinHandler = std::function<void(const StandinRequest &, const std::shared_ptr<StandinConnection> &)>;

class StandinConnection : public std::enable_shared_from_this<StandinConnection>
{
public:
    StandinConnection(boost::asio::ip::tcp::socket socket, StandinHandler handler);

    void start();
    void reply(StandinReply reply);
    void startStream(const StandinHeaders &headers);
    /** Queues text of the event stream; false once the reader is gone or the connection is silent. */
    bool sendEvents(std::string_view text);
    void endStream();
    /** Closes in mid-stream, without the end that a whole stream has. */
    void drop();
    void silence();
    bool isOpen() const
    {
        return !m_closed;
    }

private:
    void read();
    void handle();
    void writeStream();
    void afterWrite(const boost::system::error_code &error);

    boost::beast::tcp_stream m_stream;
    StandinHandler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::optional<boost::beast::http::response<boost::beast::http::string_body>> m_response;
    std::string m_unsent;
    std::string m_sending;
    bool m_keepAlive = true;
    bool m_streaming = false;
    bool m_ending = false;
    bool m_closed = false;
    bool m_silent = false;
};

class StandinListener : public std::enable_shared_from_this<StandinListener>
{
public:
    StandinListener(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &address);

    void start(StandinHandler handler);
    std::uint16_t port() const;
    /** No further connections; open ones go on. */
    void close();
    /** Silences every connection that is open now but `except`; later ones work. */
    std::size_t silenceOpen(const StandinConnection *except);

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    StandinHandler m_handler;
    std::vector<std::weak_ptr<StandinConnection>> m_connections;
    std::vector<std::shared_ptr<StandinConnection>> m_silenced; ///< kept, so that their sockets stay open
};

enum class AddressError : std::uint8_t {
    Malformed,
    NotLoopback,
};

/** Reads `IP:PORT`; stand-ins and load stay on 127.0.0.0/8. */
Result<boost::asio::ip::tcp::endpoint, AddressError> parseLoopback(std::string_view text);

} // namespace Rhubarbwind
