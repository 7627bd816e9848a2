#include "standins/standinhttp.h"

// HTTP chunks of streams are written directly. Events that arrive during a write are buffered and sent by the next one, so a slow reader costs memory up
// to the limit, and no timer.

#include "base/httpinput.h"

#include <algorithm>
#include <charconv>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view serverName = "rhubarbwind-standin";
constexpr std::string_view lastChunk = "0\r\n\r\n";
/** Number of registered connections from which closed ones are removed. */
constexpr std::size_t sweepConnectionsAt = 1024;

std::string chunkOf(std::string_view text)
{
    std::array<char, 16> size{};
    const auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), text.size(), 16);
    std::string chunk(size.data(), error == std::errc() ? end : size.data());
    chunk.reserve(chunk.size() + text.size() + 4);
    chunk += "\r\n";
    chunk += text;
    chunk += "\r\n";
    return chunk;
}

} // namespace

StandinReply jsonReply(Http::status status, const boost::json::value &body, StandinHeaders headers)
{
    headers.emplace_back("Content-Type", "application/json");
    return {status, std::move(headers), boost::json::serialize(body)};
}

StandinReply errorReply(Http::status status, std::string_view text, StandinHeaders headers)
{
    return jsonReply(status, boost::json::object{{"error", text}}, std::move(headers));
}

std::string headerOf(const StandinRequest &request, std::string_view name)
{
    const boost::string_view value = request[boost::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

double numberMember(const boost::json::object &object, std::string_view name, double defaultValue)
{
    const boost::json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return defaultValue;
    }
    return value->to_number<double>();
}

bool flagMember(const boost::json::object &object, std::string_view name, bool defaultValue)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_bool() ? value->get_bool() : defaultValue;
}

std::optional<boost::json::object> parseObject(std::string_view text)
{
    error_code error;
    boost::json::value value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::string textMember(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

StandinConnection::StandinConnection(tcp::socket socket, StandinHandler handler, const StandinLimits &limits)
    : m_stream(std::move(socket))
    , m_handler(std::move(handler))
    , m_limits(limits)
{
}

void StandinConnection::start()
{
    error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    read();
}

void StandinConnection::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_limits.bodyBytes);
    readHttp(m_stream, m_buffer, *m_parser, HttpReadGoal::Message, [self = shared_from_this()](const error_code &error) {
        if (self->m_silent) {
            return;
        }
        if (error == Http::error::body_limit && self->m_limits.answersTooLarge) {
            self->m_keepAlive = false;
            self->reply({Http::status::payload_too_large, {{"Content-Type", "application/json"}}, {}});
            return;
        }
        if (error) {
            self->drop();
            return;
        }
        self->handle();
    });
}

void StandinConnection::handle()
{
    const StandinRequest request = m_parser->release();
    m_keepAlive = request.keep_alive();
    m_handler(request, shared_from_this());
}

void StandinConnection::reply(StandinReply reply)
{
    if (m_closed || m_silent) {
        return;
    }
    m_response.emplace(reply.status, 11);
    m_response->set(Http::field::server, boost::string_view(serverName.data(), serverName.size()));
    for (const auto &[name, value] : reply.headers) {
        m_response->set(name, value);
    }
    m_response->keep_alive(m_keepAlive);
    m_response->body() = std::move(reply.body);
    m_response->prepare_payload();
    Http::async_write(m_stream, *m_response, [self = shared_from_this()](const error_code &error, std::size_t) { self->afterWrite(error); });
}

void StandinConnection::startStream(const StandinHeaders &headers)
{
    m_streaming = true;
    m_ending = false;
    m_unsent = "HTTP/1.1 200 OK\r\nServer: " + std::string(serverName) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : headers) {
        m_unsent.append(name).append(": ").append(value).append("\r\n");
    }
    m_unsent += "\r\n";
    writeStream();
}

bool StandinConnection::sendEvents(std::string_view text)
{
    if (m_closed || m_silent || !m_streaming) {
        return false;
    }
    m_unsent += chunkOf(text);
    if (m_unsent.size() > maxUnsentBytes) {
        drop();
        return false;
    }
    writeStream();
    return true;
}

void StandinConnection::endStream()
{
    if (m_closed || m_silent || !m_streaming) {
        return;
    }
    m_unsent += lastChunk;
    m_ending = true;
    writeStream();
}

void StandinConnection::writeStream()
{
    if (!m_sending.empty() || m_unsent.empty() || m_silent) {
        return;
    }
    m_sending.swap(m_unsent);
    boost::asio::async_write(m_stream, boost::asio::buffer(m_sending), [self = shared_from_this()](const error_code &error, std::size_t) {
        self->m_sending.clear();
        if (self->m_silent || self->m_closed) {
            return;
        }
        if (!error && (!self->m_ending || !self->m_unsent.empty())) {
            self->writeStream();
            return;
        }
        self->m_streaming = false;
        self->afterWrite(error);
    });
}

void StandinConnection::afterWrite(const error_code &error)
{
    if (m_silent || m_closed) {
        return;
    }
    if (error || !m_keepAlive) {
        drop();
        return;
    }
    read();
}

void StandinConnection::drop()
{
    m_closed = true;
    m_streaming = false;
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
}

void StandinConnection::silence()
{
    m_silent = true;
}

void StandinConnection::holdOpen()
{
    m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &) { self->drop(); });
}

StandinListener::StandinListener(boost::asio::io_context &context, const tcp::endpoint &address, const StandinLimits &limits)
    : m_acceptor(context, address)
    , m_limits(limits)
{
}

void StandinListener::start(StandinHandler handler)
{
    m_handler = std::move(handler);
    accept();
}

std::uint16_t StandinListener::port() const
{
    return m_acceptor.local_endpoint().port();
}

void StandinListener::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void StandinListener::dropOpen()
{
    for (const std::weak_ptr<StandinConnection> &weak : m_connections) {
        if (const std::shared_ptr<StandinConnection> connection = weak.lock()) {
            connection->drop();
        }
    }
}

std::size_t StandinListener::silenceOpen(const StandinConnection *except)
{
    std::size_t silenced = 0;
    for (const std::weak_ptr<StandinConnection> &weak : m_connections) {
        const std::shared_ptr<StandinConnection> connection = weak.lock();
        if (connection && connection.get() != except && connection->isOpen()) {
            connection->silence();
            m_silenced.push_back(connection);
            ++silenced;
        }
    }
    return silenced;
}

void StandinListener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const error_code &error, tcp::socket socket) {
        if (!self->m_acceptor.is_open()) {
            return;
        }
        if (!error) {
            ++self->m_accepted;
            const std::shared_ptr<StandinConnection> connection = std::make_shared<StandinConnection>(std::move(socket), self->m_handler, self->m_limits);
            if (self->m_connections.size() >= sweepConnectionsAt) {
                std::erase_if(self->m_connections, [](const std::weak_ptr<StandinConnection> &weak) { return weak.expired(); });
            }
            self->m_connections.push_back(connection);
            connection->start();
        }
        self->accept();
    });
}

Result<tcp::endpoint, AddressError> parseLoopback(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return AddressError::Malformed;
    }
    error_code error;
    const boost::asio::ip::address address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, parseError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parseError != std::errc() || end != digits.data() + digits.size()) {
        return AddressError::Malformed;
    }
    if (!address.is_loopback()) {
        return AddressError::NotLoopback;
    }
    return tcp::endpoint(address, port);
}

} // namespace Rhubarbwind
