// Uses Beast's incremental parser over a buffer_body: each read passes on the bytes that have arrived, so a token is sent without waiting
// for further bytes, however the answer is chunked.

#include "relay/endpointexchange.h"

#include "base/httpinput.h"
#include "base/sessiontimer.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace Rhubarbwind
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::uint32_t answerHeaderBytes = 16 * 1024;
constexpr std::size_t readBytes = std::size_t{16} * 1024;
// Capacity for one read's body bytes and its chunk framing, and for the header.
constexpr std::size_t bufferBytes = 2 * readBytes + answerHeaderBytes;

bool isTrue(boost::string_view value)
{
    return beast::iequals(value, "true");
}

EndpointHeader readHeader(const http::response<http::buffer_body> &message)
{
    EndpointHeader header;
    header.status = message.result_int();
    header.notStarted = isTrue(message["X-Not-Started"]);
    header.draining = isTrue(message["X-Draining"]);
    header.contentType = std::string(message[http::field::content_type]);
    const boost::string_view wait = message[http::field::retry_after];
    std::uint32_t seconds = 0;
    constexpr std::uint32_t maxSeconds = 3600;
    if (std::from_chars(wait.data(), wait.data() + wait.size(), seconds).ec == std::errc()) {
        header.retryAfter = std::chrono::seconds(std::min(seconds, maxSeconds));
    }
    return header;
}

template <Clock ClockType>
class BeastExchange final : public EndpointExchange<ClockType>
{
public:
    explicit BeastExchange(asio::io_context &context)
        : m_context(context)
        , m_socket(context)
        , m_timer(context)
    {
    }

    void start(const EndpointAddress &address, typename EndpointExchange<ClockType>::Request request, ExchangeBounds bounds, ExchangeEvents events) override
    {
        m_request = std::move(request);
        m_request.version(11);
        m_request.keep_alive(false);
        m_request.prepare_payload();
        m_bounds = bounds;
        m_events = std::move(events);
        m_open = true;
        error_code error;
        const asio::ip::address ip = asio::ip::make_address(address.ip, error);
        if (error) {
            asio::post(m_context, [self = self()] { self->end(ExchangeEnd::ConnectFailed); });
            return;
        }
        armTimer(m_bounds.connect, ExchangeEnd::ConnectFailed);
        m_socket.async_connect(Tcp::endpoint(ip, address.port), [self = self()](error_code connectError) { self->connected(connectError); });
    }

    void pause() override
    {
        m_paused = true;
    }

    void resume() override
    {
        if (std::exchange(m_paused, false) && m_open && m_headerSeen && !m_reading) {
            readBody();
        }
    }

    void cancel() override
    {
        m_open = false;
        m_events = {};
        closeSocket(true);
    }

private:
    std::shared_ptr<BeastExchange> self()
    {
        return std::static_pointer_cast<BeastExchange>(this->shared_from_this());
    }

    void connected(error_code error)
    {
        if (!m_open) {
            return;
        }
        if (error) {
            end(ExchangeEnd::ConnectFailed);
            return;
        }
        error_code ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        const std::function<void()> onSending = m_events.onSending;
        if (onSending) {
            onSending();
        }
        if (!m_open) {
            return;
        }
        armTimer(m_bounds.firstByte, ExchangeEnd::Silent);
        http::async_write(m_socket, m_request, [self = self()](error_code, std::size_t) { self->sent(); });
    }

    void sent()
    {
        if (!m_open) {
            return;
        }
        // The result of the write is ignored: an endpoint may refuse and close before it has read the whole body, and its answer still has
        // to be read.
        m_parser.emplace();
        m_parser->header_limit(answerHeaderBytes);
        m_parser->body_limit(boost::none);
        readHttp(m_socket, m_buffer, *m_parser, HttpReadGoal::Head, [self = self()](error_code readError) { self->headerRead(readError); });
    }

    void headerRead(error_code error)
    {
        if (!m_open) {
            return;
        }
        if (error || !isFinalStatus(m_parser->get().result_int())) {
            end(ExchangeEnd::Broken);
            return;
        }
        m_headerSeen = true;
        const std::function<void(const EndpointHeader &)> onHeader = m_events.onHeader;
        if (onHeader) {
            EndpointHeader header = readHeader(m_parser->get());
            header.framed = !m_parser->need_eof();
            onHeader(header);
        }
        if (m_open && !m_paused) {
            readBody();
        }
    }

    void readBody()
    {
        if (m_parser->is_done()) {
            end(ExchangeEnd::Whole);
            return;
        }
        m_reading = true;
        m_parser->get().body().data = m_bytes.data();
        m_parser->get().body().size = m_bytes.size();
        armTimer(m_bounds.silence, ExchangeEnd::Silent);
        readHttp(m_socket, m_buffer, *m_parser, HttpReadGoal::Some, [self = self()](error_code error) { self->bodyRead(error); });
    }

    void bodyRead(error_code error)
    {
        m_reading = false;
        if (!m_open) {
            return;
        }
        m_timer.cancel();
        const std::size_t size = m_bytes.size() - m_parser->get().body().size;
        if (size > 0 && m_events.onBody) {
            const std::function<void(std::string_view)> onBody = m_events.onBody;
            onBody(std::string_view(m_bytes.data(), size));
        }
        if (!m_open) {
            return;
        }
        if (error && error != http::error::need_buffer) {
            end(ExchangeEnd::Broken);
            return;
        }
        if (!m_paused) {
            readBody();
        }
    }

    void end(ExchangeEnd how)
    {
        if (!m_open) {
            return;
        }
        m_open = false;
        closeSocket(how != ExchangeEnd::Whole);
        const ExchangeEvents events = std::exchange(m_events, {});
        if (events.onEnd) {
            events.onEnd(how);
        }
    }

    /** @param discardsUnsent resets the connection: after a plain close the kernel goes on sending what it holds of the request */
    void closeSocket(bool discardsUnsent)
    {
        m_timer.cancel();
        error_code ignored;
        if (discardsUnsent) {
            m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        m_socket.close(ignored);
    }

    void armTimer(Duration bound, ExchangeEnd how)
    {
        m_timer.expires_after(bound);
        m_timer.async_wait([self = self(), how](error_code error) {
            if (!error && self->m_timer.expiry() <= ClockType::now()) {
                self->end(how);
            }
        });
    }

    asio::io_context &m_context;
    Tcp::socket m_socket;
    SessionTimer<ClockType> m_timer;
    typename EndpointExchange<ClockType>::Request m_request;
    ExchangeBounds m_bounds;
    ExchangeEvents m_events;
    beast::flat_buffer m_buffer{bufferBytes};
    std::array<char, readBytes> m_bytes{};
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    bool m_open = false;
    bool m_paused = false;
    bool m_reading = false;
    bool m_headerSeen = false;
};

} // namespace

template <Clock ClockType>
std::shared_ptr<EndpointExchange<ClockType>> EndpointExchange<ClockType>::create(asio::io_context &context)
{
    return std::make_shared<BeastExchange<ClockType>>(context);
}

template class EndpointExchange<SteadyClock>;
template class EndpointExchange<ManualClock>;

} // namespace Rhubarbwind
