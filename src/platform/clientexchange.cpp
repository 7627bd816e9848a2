// Connect, write, read, each by one asynchronous call; a timer over all three closes the socket, which ends
// whichever is under way. The phase in which an exchange failed decides what is known of it: up to a write
// that moved no byte, nothing was sent.

#include "platform/clientexchange.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace Rhubarbwind
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

HttpAnswer toAnswer(http::response<http::string_body> response)
{
    HttpAnswer answer;
    answer.status = response.result_int();
    answer.etag = std::string(response[http::field::etag]);
    answer.body = std::move(response.body());
    return answer;
}

} // namespace

template <Clock ClockType>
ClientExchange<ClockType>::ClientExchange(const asio::any_io_executor &executor, tcp::endpoint server, std::size_t maxAnswerBytes)
    : m_socket(executor)
    , m_server(std::move(server))
    , m_timer(executor)
    , m_maxAnswerBytes(maxAnswerBytes)
{
}

template <Clock ClockType>
void ClientExchange<ClockType>::start(HttpCall call, Duration limit, ExchangeHandler handler)
{
    m_handler = std::move(handler);
    m_timedOut = false;
    m_request = {call.method, call.target, 11, std::move(call.body)};
    m_request.set(http::field::host, m_server.address().to_string());
    if (!call.ifMatch.empty()) {
        m_request.set(http::field::if_match, call.ifMatch);
    }
    if (!call.ifNoneMatch.empty()) {
        m_request.set(http::field::if_none_match, call.ifNoneMatch);
    }
    m_request.prepare_payload();
    m_timer.expires_after(limit);
    m_timer.async_wait([weak = this->weak_from_this()](beast::error_code error) {
        const std::shared_ptr<ClientExchange> self = weak.lock();
        if (!error && self && self->m_handler) {
            self->m_timedOut = true;
            self->close();
        }
    });
    if (m_socket.is_open()) {
        write();
    } else {
        connect();
    }
}

template <Clock ClockType>
void ClientExchange<ClockType>::connect()
{
    m_socket.async_connect(m_server, [self = this->shared_from_this()](beast::error_code error) {
        if (error || !self->m_socket.is_open()) {
            self->finish(failure(ExchangeError::NotSent));
            return;
        }
        beast::error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->write();
    });
}

template <Clock ClockType>
void ClientExchange<ClockType>::write()
{
    http::async_write(m_socket, m_request, [self = this->shared_from_this()](beast::error_code error, std::size_t sent) {
        if (error) {
            self->finish(failure(sent == 0 ? ExchangeError::NotSent : self->lostError()));
            return;
        }
        self->read();
    });
}

template <Clock ClockType>
void ClientExchange<ClockType>::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_maxAnswerBytes);
    http::async_read(m_socket, m_buffer, *m_parser, [self = this->shared_from_this()](beast::error_code error, std::size_t) {
        if (error) {
            self->finish(failure(self->lostError()));
            return;
        }
        const bool keepAlive = self->m_parser->get().keep_alive();
        HttpAnswer answer = toAnswer(self->m_parser->release());
        if (!keepAlive) {
            self->close();
        }
        self->finish(std::move(answer));
    });
}

template <Clock ClockType>
void ClientExchange<ClockType>::finish(Result<HttpAnswer, ExchangeError> result)
{
    m_timer.cancel();
    if (result.has_error()) {
        close();
    }
    const ExchangeHandler handler = std::exchange(m_handler, nullptr);
    if (handler) {
        handler(std::move(result));
    }
}

template <Clock ClockType>
bool ClientExchange<ClockType>::isReusable()
{
    if (!m_socket.is_open() || m_handler || m_buffer.size() != 0) {
        return false;
    }
    // A closed connection reads as end of stream at once; without this look its loss would show only after the
    // request was sent, when a write can no longer be told from one that took effect.
    char byte = 0;
    beast::error_code error;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

template <Clock ClockType>
void ClientExchange<ClockType>::close()
{
    beast::error_code ignored;
    m_socket.close(ignored);
}

template class ClientExchange<SteadyClock>;
template class ClientExchange<ManualClock>;

} // namespace Rhubarbwind
