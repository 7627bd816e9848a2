// One session object per connection: it reads a request, passes it to the handler, writes the answer, and repeats. While a request is
// answered, the session waits for readability and peeks one byte. End of file means that the client has disconnected. A byte means that it
// has sent its next request early; it stays in the socket until that request is read. A pending read in its place would have to buffer pipelined
// requests without bound.
//
// Chunks written while a write is in progress are joined into one chunk, so a burst of small events costs one system call.

#include "relay/httpserver.h"

#include "base/httpinput.h"
#include "base/sessiontimer.h"
#include "telemetry/log.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <optional>
#include <set>
#include <vector>

namespace Rhubarbwind
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr unsigned httpVersion11 = 11;

const Log &httpLog()
{
    static const Log log{LogPart::Relay};
    return log;
}

} // namespace

HttpExchange::~HttpExchange()
{
    if (m_sink) {
        m_sink->abandon();
    }
}

void HttpExchange::respond(HttpResponse response)
{
    if (const std::shared_ptr<HttpAnswerSink> sink = std::exchange(m_sink, nullptr)) {
        sink->sendResponse(std::move(response));
    }
}

void HttpExchange::beginStream(HttpResponse header)
{
    if (m_sink) {
        m_sink->sendHeader(std::move(header));
    }
}

void HttpExchange::write(std::string_view bytes)
{
    if (m_sink && !bytes.empty()) {
        m_sink->sendChunk(bytes);
    }
}

void HttpExchange::finish()
{
    if (const std::shared_ptr<HttpAnswerSink> sink = std::exchange(m_sink, nullptr)) {
        sink->sendEnd();
    }
}

std::size_t HttpExchange::unsentBytes() const
{
    return m_sink ? m_sink->unsentBytes() : 0;
}

void HttpExchange::notifyDisconnected()
{
    m_sink = nullptr;
    m_onDrained = nullptr;
    if (const std::function<void()> handler = std::exchange(m_onGone, nullptr)) {
        handler();
    }
}

void HttpExchange::notifyDrained()
{
    if (m_onDrained) {
        const std::function<void()> handler = m_onDrained;
        handler();
    }
}

HttpResponse errorResponse(RelayError error, Outcome outcome, const RequestId &request, Duration retryAfter)
{
    HttpResponse response(static_cast<http::status>(relayErrorInfo(error).status), httpVersion11);
    response.set(http::field::content_type, "application/json");
    response.set("X-Rhubarbwind-Outcome", outcomeName(outcome));
    if (!request.empty()) {
        response.set("X-Request-Id", request.text());
    }
    if (retryAfter > Duration::zero()) {
        response.set(http::field::retry_after, retryAfterSeconds(retryAfter));
    }
    response.body() = errorJson(error, outcome, request);
    return response;
}

template <Clock ClockType>
class HttpServer<ClockType>::Impl : public std::enable_shared_from_this<Impl>
{
public:
    class Connection;

    Impl(asio::io_context &context, HttpServerOptions options, HttpHandler handler)
        : m_context(context)
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_acceptor(context)
        , m_acceptRetry(context)
    {
    }

    Result<void, HttpServerError> listen();
    void accept();
    void serve(Tcp::socket socket);
    void acceptWaiting();
    void drain(std::function<void()> whenEmpty);
    void close();
    void remove(Connection *connection);

    asio::io_context &m_context;
    HttpServerOptions m_options;
    HttpHandler m_handler;
    Tcp::acceptor m_acceptor;
    SessionTimer<ClockType> m_acceptRetry;
    std::set<Connection *> m_connections;
    std::vector<std::function<void()>> m_whenEmpty;
    std::uint16_t m_port = 0;
    std::size_t m_arrivingBytes = 0; ///< reserved for bodies being received
    bool m_draining = false;
    bool m_closed = false;
};

template <Clock ClockType>
class HttpServer<ClockType>::Impl::Connection : public HttpAnswerSink, public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Impl> server, Tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
        , m_timer(m_server->m_context)
    {
        error_code ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        m_socket.non_blocking(true, ignored);
        m_server->m_connections.insert(this);
    }

    ~Connection() override
    {
        reserve(0);
        m_server->remove(this);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void readNext()
    {
        m_state = State::Idle;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->m_options.headerBytes));
        m_parser->body_limit(m_server->m_options.bodyBytes);
        if (m_buffer.size() > 0) {
            readRequest();
            return;
        }
        armTimer(m_server->m_draining ? m_server->m_options.drainIdle : m_server->m_options.idleTimeout);
        const std::shared_ptr<Connection> self = this->shared_from_this();
        m_socket.async_wait(Tcp::socket::wait_read, [self](error_code error) {
            if (!error && self->m_state == State::Idle) {
                self->readRequest();
            }
        });
    }

    /** Shortens the timeout of an idle connection. A request that the client has already sent is still answered. */
    void startDraining()
    {
        if (m_state == State::Idle) {
            armTimer(m_server->m_options.drainIdle);
        }
    }

    void refuseOverload()
    {
        m_state = State::Answering;
        m_close = true;
        sendResponse(errorResponse(RelayError::HostOverloaded, Outcome::NotRun, {}, 1s));
    }

    void closeNow()
    {
        if (m_state == State::Closed) {
            return;
        }
        m_state = State::Closed;
        m_timer.cancel();
        error_code ignored;
        m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        if (const std::shared_ptr<HttpExchange> exchange = m_exchange.lock()) {
            exchange->notifyDisconnected();
        }
    }

    void sendResponse(HttpResponse response) override
    {
        if (m_state != State::Answering) {
            return;
        }
        finishHeader(response);
        response.prepare_payload();
        m_response = std::move(response);
        m_ended = true;
        armTimer(m_server->m_options.writeTimeout);
        const std::shared_ptr<Connection> self = this->shared_from_this();
        http::async_write(m_socket, *m_response, [self](error_code error, std::size_t) { self->answerWritten(error); });
    }

    void sendHeader(HttpResponse header) override
    {
        if (m_state != State::Answering || m_serializer) {
            return;
        }
        finishHeader(header);
        m_header.emplace(std::move(header.base()));
        m_header->chunked(true);
        m_serializer.emplace(*m_header);
        m_writing = true;
        armTimer(m_server->m_options.writeTimeout);
        const std::shared_ptr<Connection> self = this->shared_from_this();
        http::async_write_header(m_socket, *m_serializer, [self](error_code error, std::size_t) { self->chunkWritten(error); });
    }

    void sendChunk(std::string_view bytes) override
    {
        if (m_state != State::Answering || !m_serializer || m_ended) {
            return;
        }
        m_pending.append(bytes);
        writeMore();
    }

    void sendEnd() override
    {
        if (m_state != State::Answering || !m_serializer || m_ended) {
            closeNow();
            return;
        }
        m_ended = true;
        writeMore();
    }

    std::size_t unsentBytes() const override
    {
        return m_pending.size() + m_chunk.size();
    }

    void abandon() override
    {
        closeNow();
    }

private:
    enum class State : std::uint8_t {
        Idle, ///< waiting for a request to begin
        Reading,
        Answering,
        Closed,
    };

    void readRequest()
    {
        m_state = State::Reading;
        armTimer(m_server->m_options.requestTimeout);
        const std::shared_ptr<Connection> self = this->shared_from_this();
        readHttp(m_socket, m_buffer, *m_parser, HttpReadGoal::Head, [self](error_code error) {
            if (self->m_state == State::Reading) {
                self->headerRead(error);
            }
        });
    }

    void headerRead(error_code error)
    {
        if (error) {
            requestRead(error);
            return;
        }
        const HttpServerOptions &options = m_server->m_options;
        const std::size_t unknown = m_parser->chunked() ? options.bodyBytes : 0;
        const std::size_t body = m_parser->content_length() ? static_cast<std::size_t>(*m_parser->content_length()) : unknown;
        if (m_server->m_arrivingBytes + body > options.arrivingBytes) {
            refuseOverload();
            return;
        }
        reserve(body);
        const std::shared_ptr<Connection> self = this->shared_from_this();
        readHttp(m_socket, m_buffer, *m_parser, HttpReadGoal::Message, [self](error_code readError) {
            if (self->m_state == State::Reading) {
                self->requestRead(readError);
            }
        });
    }

    void reserve(std::size_t bytes)
    {
        m_server->m_arrivingBytes = m_server->m_arrivingBytes - m_reserved + bytes;
        m_reserved = bytes;
    }

    void requestRead(error_code error)
    {
        if (error == http::error::end_of_stream || (error && error.category() != http::make_error_code(http::error::bad_method).category())) {
            closeNow();
            return;
        }
        reserve(0);
        m_timer.cancel();
        m_state = State::Answering;
        m_ended = false;
        m_serializer.reset();
        if (error) {
            m_close = true;
            sendResponse(errorResponse(readError(error), Outcome::NotRun, {}));
            return;
        }
        HttpRequest request = m_parser->release();
        m_close = !request.keep_alive() || request.version() < httpVersion11 || request.method() == http::verb::head;
        watchCaller();
        const std::shared_ptr<HttpExchange> exchange = std::make_shared<HttpExchange>(this->shared_from_this());
        m_exchange = exchange;
        m_server->m_handler(std::move(request), exchange);
    }

    static RelayError readError(error_code error)
    {
        if (error == http::error::header_limit) {
            return RelayError::HeaderTooLarge;
        }
        return error == http::error::body_limit ? RelayError::BodyTooLarge : RelayError::BadRequest;
    }

    void watchCaller()
    {
        const std::shared_ptr<Connection> self = this->shared_from_this();
        const std::uint64_t answer = m_answers;
        m_socket.async_wait(Tcp::socket::wait_read, [self, answer](error_code error) {
            if (error || self->m_state != State::Answering || self->m_answers != answer) {
                return;
            }
            char byte = 0;
            error_code peekError;
            const std::size_t size = self->m_socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, peekError);
            if (peekError == asio::error::would_block) {
                self->watchCaller();
            } else if (peekError || size == 0) {
                self->closeNow();
            }
        });
    }

    void finishHeader(HttpResponse &response)
    {
        m_close = m_close || m_server->m_draining;
        response.version(httpVersion11);
        response.keep_alive(!m_close);
        response.set(http::field::server, "rhubarbwind");
    }

    void writeMore()
    {
        if (m_writing || m_state != State::Answering) {
            return;
        }
        const std::shared_ptr<Connection> self = this->shared_from_this();
        if (!m_pending.empty()) {
            m_writing = true;
            m_chunk.swap(m_pending);
            armTimer(m_server->m_options.writeTimeout);
            asio::async_write(m_socket, http::make_chunk(asio::buffer(m_chunk)), [self](error_code error, std::size_t) { self->chunkWritten(error); });
            return;
        }
        if (m_ended) {
            m_writing = true;
            armTimer(m_server->m_options.writeTimeout);
            asio::async_write(m_socket, http::make_chunk_last(), [self](error_code error, std::size_t) {
                self->m_writing = false;
                self->answerWritten(error);
            });
        }
    }

    void chunkWritten(error_code error)
    {
        m_writing = false;
        m_chunk.clear();
        if (m_state != State::Answering) {
            return;
        }
        if (error) {
            closeNow();
            return;
        }
        m_timer.cancel();
        if (m_pending.empty() && !m_ended) {
            if (const std::shared_ptr<HttpExchange> exchange = m_exchange.lock()) {
                exchange->notifyDrained();
            }
        }
        writeMore();
    }

    void answerWritten(error_code error)
    {
        if (m_state != State::Answering) {
            return;
        }
        m_response.reset();
        m_serializer.reset();
        m_exchange.reset();
        ++m_answers;
        if (error) {
            closeNow();
        } else if (m_close || m_server->m_closed) {
            lingerAndClose();
        } else {
            // Ends the wait of watchCaller(), which would otherwise take bytes of the next request as an event of the finished answer.
            error_code ignored;
            m_socket.cancel(ignored);
            readNext();
        }
    }

    /** Gives the client time to read the answer, since closing a socket with unread input resets the connection. */
    void lingerAndClose()
    {
        error_code ignored;
        m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
        m_state = State::Reading;
        armTimer(m_server->m_options.drainIdle);
        lingerRead();
    }

    void lingerRead()
    {
        const std::shared_ptr<Connection> self = this->shared_from_this();
        m_socket.async_read_some(asio::buffer(m_scratch), [self](error_code error, std::size_t) {
            if (self->m_state == State::Closed) {
                return;
            }
            if (error && error != asio::error::operation_aborted) {
                self->closeNow();
                return;
            }
            self->lingerRead();
        });
    }

    void armTimer(Duration bound)
    {
        m_timer.expires_after(bound);
        const std::shared_ptr<Connection> self = this->shared_from_this();
        m_timer.async_wait([self](error_code error) {
            if (!error && self->m_timer.expiry() <= ClockType::now()) {
                self->closeNow();
            }
        });
    }

    std::shared_ptr<Impl> m_server;
    Tcp::socket m_socket;
    SessionTimer<ClockType> m_timer;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<HttpResponse> m_response;
    std::optional<http::response<http::empty_body>> m_header;
    std::optional<http::response_serializer<http::empty_body>> m_serializer;
    std::weak_ptr<HttpExchange> m_exchange;
    std::string m_pending; ///< not passed to the socket yet
    std::string m_chunk; ///< being written
    std::array<char, 4096> m_scratch{};
    std::uint64_t m_answers = 0;
    std::size_t m_reserved = 0; ///< this connection's part of the server's m_arrivingBytes
    State m_state = State::Idle;
    bool m_writing = false;
    bool m_ended = false;
    bool m_close = false;
};

template <Clock ClockType>
Result<void, HttpServerError> HttpServer<ClockType>::Impl::listen()
{
    error_code error;
    const asio::ip::address address = asio::ip::make_address(m_options.ip, error);
    if (error) {
        return failure(HttpServerError::BadAddress);
    }
    const Tcp::endpoint endpoint(address, m_options.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure(HttpServerError::CannotListen);
    }
    m_port = m_acceptor.local_endpoint(error).port();
    accept();
    return success();
}

template <Clock ClockType>
void HttpServer<ClockType>::Impl::accept()
{
    const std::shared_ptr<Impl> self = this->shared_from_this();
    m_acceptor.async_accept([self](error_code error, Tcp::socket socket) {
        if (self->m_closed || (error && self->m_draining)) {
            return;
        }
        if (error) {
            // Probably out of file descriptors; accepting again at once would spin.
            constexpr Duration acceptRetryDelay = 100ms;
            httpLog().warn("A connection could not be accepted.");
            self->m_acceptRetry.expires_after(acceptRetryDelay);
            self->m_acceptRetry.async_wait([self](error_code) { self->accept(); });
            return;
        }
        self->serve(std::move(socket));
        if (!self->m_draining) {
            self->accept();
        }
    });
}

template <Clock ClockType>
void HttpServer<ClockType>::Impl::serve(Tcp::socket socket)
{
    const std::shared_ptr<Connection> connection = std::make_shared<Connection>(this->shared_from_this(), std::move(socket));
    if (m_connections.size() > m_options.connections) {
        connection->refuseOverload();
    } else {
        connection->readNext();
    }
}

// Accepts the connections that the kernel has already completed. Closing the listener would reset them, and their clients would see a
// request cut off by a planned stop.
template <Clock ClockType>
void HttpServer<ClockType>::Impl::acceptWaiting()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error) {
            serve(std::move(socket));
        }
    }
}

template <Clock ClockType>
void HttpServer<ClockType>::Impl::drain(std::function<void()> whenEmpty)
{
    if (whenEmpty) {
        m_whenEmpty.push_back(std::move(whenEmpty));
    }
    if (!m_draining) {
        m_draining = true;
        acceptWaiting();
        error_code ignored;
        m_acceptor.close(ignored);
        m_acceptRetry.cancel();
        for (Connection *connection : m_connections) {
            connection->startDraining();
        }
    }
    remove(nullptr);
}

template <Clock ClockType>
void HttpServer<ClockType>::Impl::close()
{
    m_closed = true;
    m_whenEmpty.clear();
    m_handler = [](const HttpRequest &, const std::shared_ptr<HttpExchange> &) {};
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptRetry.cancel();
    const std::set<Connection *> connections = m_connections;
    for (Connection *connection : connections) {
        const std::shared_ptr<Connection> alive = connection->weak_from_this().lock();
        if (alive) {
            alive->closeNow();
        }
    }
}

template <Clock ClockType>
void HttpServer<ClockType>::Impl::remove(Connection *connection)
{
    m_connections.erase(connection);
    if (!m_draining || !m_connections.empty() || m_whenEmpty.empty()) {
        return;
    }
    // Posted, since the caller may be the destructor of a connection.
    asio::post(m_context, [handlers = std::exchange(m_whenEmpty, {})] {
        for (const std::function<void()> &handler : handlers) {
            handler();
        }
    });
}

template <Clock ClockType>
HttpServer<ClockType>::HttpServer(asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(handler)))
{
}

template <Clock ClockType>
HttpServer<ClockType>::~HttpServer()
{
    m_impl->close();
}

template <Clock ClockType>
Result<void, HttpServerError> HttpServer<ClockType>::listen()
{
    return m_impl->listen();
}

template <Clock ClockType>
std::uint16_t HttpServer<ClockType>::port() const
{
    return m_impl->m_port;
}

template <Clock ClockType>
std::size_t HttpServer<ClockType>::connections() const
{
    return m_impl->m_connections.size();
}

template <Clock ClockType>
void HttpServer<ClockType>::drain(std::function<void()> whenEmpty)
{
    m_impl->drain(std::move(whenEmpty));
}

template class HttpServer<SteadyClock>;
template class HttpServer<ManualClock>;

} // namespace Rhubarbwind
