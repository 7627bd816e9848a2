#pragma once

// A small HTTP/1.1 server over Boost.Beast with a budget for everything a client can make it hold.
//
// Each request is handed to the handler with an HttpExchange, through which it is answered once: whole by
// respond(), or as a stream by beginStream(), write() and finish(). An exchange may be kept as long as needed
// and answered later; one that is dropped without an answer closes its connection, as does one whose stream
// was not finished, so a caller never takes a cut-off answer for a whole one.
//
// Bounds (HttpServerOptions): header and body bytes, connections, time for a request to arrive, idle time,
// time for a write to be taken. A request that breaks one gets a typed error answer (400, 413, 431, 503; outcome.h),
// a late one is closed, and harms no other connection. Streams are bounded by the writer: unsentBytes() and onDrained().
//
// onGone() is called when the client closes its connection before it was answered whole. It is found by
// waiting for the socket to become readable while a request is answered; a client that sends a second request
// early is found gone only by a failed write.
//
// Single-threaded: use it from the io_context's thread only.

#include "base/clock.h"
#include "base/result.h"
#include "relay/outcome.h"

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

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

struct HttpServerOptions
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free one, see HttpServer::port()
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{1024} * 1024;
    std::size_t connections = 4096;
    Duration requestTimeout = 20s; ///< for a request to arrive whole, from its first byte
    Duration idleTimeout = 60s; ///< between requests of a connection
    Duration writeTimeout = 30s; ///< for a client to take what was written
    Duration drainIdle = 1s; ///< idle time left to a connection once the server drains
};

enum class HttpServerError : std::uint8_t {
    BadAddress,
    CannotListen,
};

/** The answering end of one connection; implemented by the server. */
class HttpAnswerSink
{
public:
    virtual ~HttpAnswerSink() = default;
    virtual void sendResponse(HttpResponse response) = 0;
    virtual void sendHeader(HttpResponse header) = 0;
    virtual void sendChunk(std::string_view bytes) = 0;
    virtual void sendEnd() = 0;
    virtual std::size_t unsentBytes() const = 0;
    virtual void abandon() = 0;
};

/** One request's answer. After it is whole, or the client has gone, every call is without effect. */
class HttpExchange
{
public:
    explicit HttpExchange(std::shared_ptr<HttpAnswerSink> sink)
        : m_sink(std::move(sink))
    {
    }
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    void respond(HttpResponse response);
    /** Sends the status and header of a chunked answer; the response's body is ignored. */
    void beginStream(HttpResponse header);
    void write(std::string_view bytes);
    void finish();
    /** Bytes written that the socket has not taken yet. */
    std::size_t unsentBytes() const;
    /** True until the answer is whole or the client has gone. */
    bool isOpen() const
    {
        return m_sink != nullptr;
    }

    void onGone(std::function<void()> handler)
    {
        m_onGone = std::move(handler);
    }
    /** Called each time all that was written has been taken. */
    void onDrained(std::function<void()> handler)
    {
        m_onDrained = std::move(handler);
    }

    /** For the server. */
    void notifyGone();
    void notifyDrained();

private:
    std::shared_ptr<HttpAnswerSink> m_sink; ///< null once closed
    std::function<void()> m_onGone;
    std::function<void()> m_onDrained;
};

using HttpHandler = std::function<void(HttpRequest request, const std::shared_ptr<HttpExchange> &exchange)>;

template <Clock ClockType>
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    Result<void, HttpServerError> listen();
    std::uint16_t port() const;
    std::size_t connections() const;

    /**
     * Closes the listener; answers what has arrived, then closes each connection. Calls `whenEmpty` once no
     * connection is left. A second call adds its callback and changes nothing else.
     */
    void drain(std::function<void()> whenEmpty);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

/** An error answer with its JSON body, X-Rhubarbwind-Outcome and, if a wait is given, Retry-After. */
HttpResponse errorResponse(RelayError error, Outcome outcome, const RequestId &request, Duration retryAfter = {});

} // namespace Rhubarbwind
