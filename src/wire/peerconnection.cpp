// Writes are gathered: all frames queued while one write is pending are sent by the next, up to framesPerWrite, so that many small frames cost one
// system call. Each side sends heartbeats on its own timer instead of echoing the other's, so a large frame in one direction does not delay the
// heartbeats of the other direction.

#include "wire/peerconnection.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/write.hpp>

namespace Rhubarbwind
{

namespace
{

// A peer may send no more than the two handshake messages before it is authenticated.
constexpr std::size_t maxHandshakePayload = 1024;
// Bounds the buffer list of one gathered write; Linux accepts at most 1,024 buffers a call.
constexpr std::size_t framesPerWrite = 64;

} // namespace

template <Clock ClockType>
PeerConnection<ClockType>::PeerConnection(boost::asio::ip::tcp::socket socket, PeerConnectionOptions options, PeerConnectionEvents events)
    : m_socket(std::move(socket))
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_handshake(m_options.handshake, freshChallenge())
    , m_decoder(maxHandshakePayload)
    , m_started(ClockType::now())
    , m_lastReceived(m_started)
    , m_lastSent(m_started)
{
}

template <Clock ClockType>
void PeerConnection<ClockType>::dial(const boost::asio::ip::tcp::endpoint &address)
{
    m_socket.async_connect(address, [self = this->shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            self->close(CloseReason::ConnectFailed);
            return;
        }
        self->run();
    });
}

template <Clock ClockType>
void PeerConnection<ClockType>::run()
{
    if (m_closed) {
        return;
    }
    boost::system::error_code ignored; // Without this option a link is slower, but still correct.
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_connected = true;
    for (HandshakeFrame &frame : m_handshake.begin()) {
        queue(frame.kind, std::move(frame.payload));
    }
    read();
}

template <Clock ClockType>
void PeerConnection<ClockType>::send(MessageKind kind, std::vector<std::byte> payload)
{
    queue(kind, std::move(payload));
}

template <Clock ClockType>
void PeerConnection<ClockType>::queue(MessageKind kind, std::vector<std::byte> payload)
{
    if (m_closed) {
        return;
    }
    m_queuedBytes += frameHeaderBytes + payload.size();
    const FrameHeader header = encodeFrameHeader(kind, payload.size());
    m_queue.push_back({kind, header, std::move(payload)});
    m_lastSent = ClockType::now();
    write();
}

template <Clock ClockType>
void PeerConnection<ClockType>::write()
{
    if (!m_connected || m_closed || !m_writing.empty() || m_queue.empty()) {
        return;
    }
    const std::size_t count = std::min(m_queue.size(), framesPerWrite);
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
    m_writing.assign(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
    std::vector<boost::asio::const_buffer> buffers;
    buffers.reserve(m_writing.size() * 2);
    for (const OutgoingFrame &frame : m_writing) {
        buffers.push_back(boost::asio::buffer(frame.header));
        buffers.push_back(boost::asio::buffer(frame.payload));
    }
    boost::asio::async_write(m_socket, buffers, [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
        if (error) {
            self->close(CloseReason::Broken);
            return;
        }
        self->handleWritten();
    });
}

template <Clock ClockType>
void PeerConnection<ClockType>::handleWritten()
{
    if (m_closed) {
        return;
    }
    for (const OutgoingFrame &frame : m_writing) {
        const std::size_t bytes = frame.header.size() + frame.payload.size();
        m_queuedBytes -= bytes;
        if (frame.kind != MessageKind::Hello && frame.kind != MessageKind::HelloProof) {
            m_events.onSent(frame.kind, bytes);
        }
    }
    m_writing.clear();
    write();
}

template <Clock ClockType>
void PeerConnection<ClockType>::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer), [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
        if (error) {
            self->close(CloseReason::Broken);
            return;
        }
        self->handleRead(bytes);
    });
}

template <Clock ClockType>
void PeerConnection<ClockType>::handleRead(std::size_t bytes)
{
    if (m_closed) {
        return;
    }
    m_lastReceived = ClockType::now();
    m_decoder.append(std::span<const std::byte>(m_readBuffer).first(bytes));
    while (!m_closed) {
        const Result<std::optional<Frame>, FrameError> frame = m_decoder.next();
        if (!frame) {
            close(CloseReason::FrameTooLarge);
            return;
        }
        if (!frame.value()) {
            read();
            return;
        }
        handleFrame(*frame.value());
    }
}

template <Clock ClockType>
void PeerConnection<ClockType>::handleFrame(const Frame &frame)
{
    if (ready()) {
        m_events.onFrame(frame);
    } else {
        handleHandshakeFrame(frame);
    }
}

template <Clock ClockType>
void PeerConnection<ClockType>::handleHandshakeFrame(const Frame &frame)
{
    Result<std::vector<HandshakeFrame>, HandshakeError> answers = m_handshake.receive(frame.kind, frame.payload);
    if (!answers) {
        close(CloseReason::HandshakeFailed);
        return;
    }
    for (HandshakeFrame &answer : answers.value()) {
        queue(answer.kind, std::move(answer.payload));
    }
    if (ready()) {
        m_decoder.setMaxPayload(maxPayloadBytes);
        m_events.onReady();
    }
}

template <Clock ClockType>
void PeerConnection<ClockType>::tick(TimePoint now)
{
    if (!ready()) {
        // An unauthenticated peer that sends a byte now and then must not hold a connection forever.
        if (now - m_started >= m_options.silenceLimit) {
            close(CloseReason::HandshakeTimeout);
        }
        return;
    }
    // A device between the hosts may drop its state of the connection: nothing arrives, nothing fails, and TCP considers the connection open for many
    // minutes. Since peers send heartbeats, silence shows that the link has failed.
    if (now - m_lastReceived >= m_options.silenceLimit) {
        close(CloseReason::Silent);
        return;
    }
    if (m_queuedBytes == 0 && now - m_lastSent >= m_options.heartbeatInterval) {
        queue(MessageKind::Heartbeat, {});
    }
}

template <Clock ClockType>
void PeerConnection<ClockType>::restartSilence(TimePoint now)
{
    m_lastReceived = now;
}

template <Clock ClockType>
void PeerConnection<ClockType>::close(CloseReason reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored; // The socket is no longer used; a failure needs no handling.
    m_socket.close(ignored);
    const std::function<void(CloseReason)> onClosed = std::move(m_events.onClosed);
    onClosed(reason);
}

template <Clock ClockType>
boost::asio::ip::address PeerConnection<ClockType>::remoteAddress() const
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint remote = m_socket.remote_endpoint(error);
    return error ? boost::asio::ip::address() : remote.address();
}

template class PeerConnection<SteadyClock>;
template class PeerConnection<ManualClock>;

} // namespace Rhubarbwind
