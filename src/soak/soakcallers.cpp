#include "soak/soakcallers.h"

#include "base/httptext.h"

#include <boost/asio.hpp>

#include <netinet/tcp.h>

namespace Rhubarbwind::Soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration reconnectDelay = 50ms;
constexpr std::uint64_t maxKeptPauseMs = 150;
constexpr std::uint64_t maxSlowPauseMs = 8000;
constexpr std::uint64_t maxStartMs = 2000;
constexpr std::string_view lastChunk = "0\r\n\r\n";

std::string headOf(const std::string &path, const std::string &request, std::size_t bodySize)
{
    return "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + request + "\r\nAuthorization: Bearer key\r\nX-Time-Limit-Ms: "
        + std::to_string(stopTimeLimit.count()) + "\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n";
}

unsigned statusOf(const std::string &answer)
{
    constexpr std::size_t begin = 9;
    return answer.size() < begin + 3 ? 0U : static_cast<unsigned>(std::strtoul(answer.substr(begin, 3).c_str(), nullptr, 10));
}

} // namespace

StopCaller::StopCaller(World &world, std::string name, HostAddress host, Pace pace)
    : m_world(world)
    , m_name(std::move(name))
    , m_host(std::move(host))
    , m_pace(pace)
    , m_socket(world.io)
    , m_timer(world.io)
{
}

void StopCaller::run()
{
    later(std::chrono::milliseconds(m_world.random.below(maxStartMs)), &StopCaller::connect);
}

void StopCaller::stop()
{
    m_stopped = true;
    m_timer.cancel();
    close();
}

void StopCaller::later(Duration wait, void (StopCaller::*then)())
{
    m_timer.expires_after(wait);
    m_timer.async_wait([self = shared_from_this(), then](error_code error) {
        if (!error && !self->m_stopped) {
            ((*self).*then)();
        }
    });
}

void StopCaller::connect()
{
    m_socket = tcp::socket(m_world.io, tcp::v4());
    if (m_pace == Pace::Reading) {
        constexpr int windowBytes = 4096;
        constexpr int segmentBytes = 1460;
        const int segment = segmentBytes;
        error_code ignored;
        m_socket.set_option(asio::socket_base::receive_buffer_size(windowBytes), ignored);
        static_cast<void>(setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment)));
    }
    ++m_connection;
    m_socket.async_connect({asio::ip::make_address(m_host.ip), m_host.port}, [self = shared_from_this()](error_code error) {
        if (self->m_stopped) {
            return;
        }
        if (error) {
            self->later(reconnectDelay, &StopCaller::connect);
            return;
        }
        error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        self->read();
        self->send();
    });
}

std::string StopCaller::path()
{
    switch (m_pace) {
    case Pace::Kept:
        return "/unsafe/";
    case Pace::Slow:
        return m_world.random.below(2) == 0 ? "/unsafe/" : "/stream/";
    case Pace::Reading:
        return std::string(largeAnswerPath);
    }
    return {};
}

void StopCaller::send()
{
    constexpr std::size_t bodySize = 200;
    m_request = m_name + "-" + std::to_string(++m_number);
    // Bodies differ, so that no content is taken for the cause of an endpoint's end.
    std::string body = m_request;
    body.resize(bodySize, '.');
    m_received.clear();
    m_reads = 0;
    m_waiting = true;
    m_world.runs[m_request].takenBy = m_host.incarnation;
    const std::string head = headOf(path(), m_request, body.size());
    const std::size_t now = m_pace != Pace::Slow ? body.size() : m_world.random.below(body.size());
    error_code error;
    asio::write(m_socket, asio::buffer(head + body.substr(0, now)), error);
    m_rest = body.substr(now);
    if (m_rest.empty()) {
        m_world.runs[m_request].sentAt = std::chrono::steady_clock::now();
    } else {
        later(std::chrono::milliseconds(m_world.random.below(maxSlowPauseMs)), &StopCaller::sendRest);
    }
}

Duration StopCaller::readPause()
{
    // Slow at first, so that the kernel takes little of the answer at once.
    constexpr int slowReads = 20;
    return ++m_reads <= slowReads ? 40ms : 1ms;
}

void StopCaller::sendRest()
{
    if (!m_waiting) {
        return;
    }
    error_code error;
    asio::write(m_socket, asio::buffer(m_rest), error);
    m_rest.clear();
    m_world.runs[m_request].sentAt = std::chrono::steady_clock::now();
}

void StopCaller::read()
{
    m_socket.async_read_some(asio::buffer(m_bytes), [self = shared_from_this(), connection = m_connection](error_code error, std::size_t size) {
        if (self->m_stopped || connection != self->m_connection) {
            return;
        }
        self->m_received.append(self->m_bytes.data(), size);
        if (self->m_waiting && self->isAnswered(error == asio::error::eof)) {
            self->answered();
        }
        if (!error) {
            self->m_pace == Pace::Reading && self->m_waiting ? self->later(self->readPause(), &StopCaller::read) : self->read();
            return;
        }
        if (self->m_waiting) {
            self->m_waiting = false;
            self->m_world.recordCut(self->m_request, self->m_host.incarnation);
        }
        self->close();
        self->later(reconnectDelay, &StopCaller::connect);
    });
}

bool StopCaller::isAnswered(bool hasEnded) const
{
    const std::size_t head = m_received.find("\r\n\r\n");
    if (head == std::string::npos) {
        return false;
    }
    if (!headerOf(m_received, "Transfer-Encoding").empty()) {
        return m_received.ends_with(lastChunk);
    }
    return headerOf(m_received, "Content-Length").empty() ? hasEnded : wholeMessage(m_received) != 0;
}

void StopCaller::answered()
{
    m_waiting = false;
    const unsigned status = statusOf(m_received);
    if (meansNotRun(status)) {
        m_world.recordRefusal(m_request);
    }
    ++m_world.stopAnswers[status];
    if (!m_rest.empty()) {
        // The answer came before the request's end; the rest would be taken for the next request.
        close();
        later(reconnectDelay, &StopCaller::connect);
        return;
    }
    if (headerOf(m_received, "Connection") == "close") {
        return; // the end of the connection follows
    }
    later(std::chrono::milliseconds(m_world.random.below(maxKeptPauseMs)), &StopCaller::send);
}

void StopCaller::close()
{
    ++m_connection;
    error_code ignored;
    m_socket.close(ignored);
}

EndlessCaller::EndlessCaller(World &world, std::string name, HostAddress host, bool reads)
    : m_world(world)
    , m_name(std::move(name))
    , m_host(std::move(host))
    , m_reads(reads)
    , m_socket(world.io)
    , m_timer(world.io)
{
}

void EndlessCaller::run()
{
    m_socket = tcp::socket(m_world.io);
    m_socket.async_connect({asio::ip::make_address(m_host.ip), m_host.port}, [self = shared_from_this()](error_code error) {
        if (error) {
            self->again();
            return;
        }
        const std::string request = self->m_name + "-" + std::to_string(++self->m_number);
        const std::string body = "body of " + request;
        asio::write(
            self->m_socket, asio::buffer(headOf(self->m_world.random.below(2) == 0 ? "/endless/" : "/endless-stream/", request, body.size()) + body), error);
        if (self->m_reads) {
            self->read();
        } else {
            constexpr Duration patience = 3s;
            self->m_timer.expires_after(patience);
            self->m_timer.async_wait([self](error_code) {
                error_code ignored;
                self->m_socket.close(ignored);
                self->again();
            });
        }
    });
}

void EndlessCaller::stop()
{
    m_stopped = true;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

void EndlessCaller::read()
{
    m_socket.async_read_some(asio::buffer(m_bytes), [self = shared_from_this()](error_code error, std::size_t) { error ? self->again() : self->read(); });
}

void EndlessCaller::again()
{
    if (m_stopped) {
        return;
    }
    m_timer.expires_after(reconnectDelay);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->m_stopped) {
            self->run();
        }
    });
}

GreedyCaller::GreedyCaller(World &world, std::string name, HostAddress host)
    : m_world(world)
    , m_name(std::move(name))
    , m_host(std::move(host))
    , m_socket(world.io)
    , m_timer(world.io)
{
}

void GreedyCaller::run()
{
    m_socket = tcp::socket(m_world.io);
    m_socket.async_connect({asio::ip::make_address(m_host.ip), m_host.port}, [self = shared_from_this()](error_code error) {
        if (!error) {
            constexpr std::size_t bodyBytes = std::size_t{2} * 1024 * 1024;
            constexpr std::size_t smallChunk = 16;
            constexpr std::size_t largeChunk = std::size_t{32} * 1024;
            const std::size_t size = self->m_world.random.below(2) == 0 ? smallChunk : largeChunk;
            const std::string chunk = chunkOf(std::string(size, 'x'));
            self->m_chunk.clear();
            while (self->m_chunk.size() < largeChunk) {
                self->m_chunk += chunk;
            }
            self->m_left = bodyBytes;
            const std::string request = self->m_name + "-" + std::to_string(++self->m_number);
            asio::write(self->m_socket,
                        asio::buffer("POST /safe/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + request + "\r\nTransfer-Encoding: chunked\r\n\r\n"),
                        error);
            self->write();
        }
        self->read();
    });
}

void GreedyCaller::write()
{
    if (m_left < m_chunk.size()) {
        return;
    }
    m_left -= m_chunk.size();
    asio::async_write(m_socket, asio::buffer(m_chunk), [self = shared_from_this(), number = m_number](error_code error, std::size_t) {
        if (!error && number == self->m_number) {
            self->write();
        }
    });
}

void GreedyCaller::read()
{
    m_socket.async_read_some(asio::buffer(m_bytes), [self = shared_from_this()](error_code error, std::size_t) {
        if (!error) {
            self->read();
            return;
        }
        error_code ignored;
        self->m_socket.close(ignored);
        self->m_timer.expires_after(reconnectDelay);
        self->m_timer.async_wait([self](error_code) {
            if (!self->m_stopped) {
                self->run();
            }
        });
    });
}

void GreedyCaller::stop()
{
    m_stopped = true;
    error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
}

} // namespace Rhubarbwind::Soak
