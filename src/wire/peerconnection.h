#pragma once

// One TCP connection between two hosts: handshake, frames both ways, silence. Internal to the slice.
//
// PeerNetwork makes connections, calls tick() once a heartbeat interval and hears of everything else through
// Events. A connection keeps itself alive while an operation is pending and calls onClosed exactly once.
// Memory: one read buffer, one frame being received, and what the owner queued.

#include "base/clock.h"
#include "wire/framedecoder.h"
#include "wire/peerhandshake.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Rhubarbwind
{

enum class CloseReason : std::uint8_t {
    ConnectFailed,
    HandshakeFailed,
    HandshakeTimeout,
    Broken, ///< closed by the peer or by the network
    Silent, ///< nothing received for the silence limit
    FrameTooLarge,
    Idle,
    Replaced, ///< the same host connected again, or its address changed
    Stopped,
};

struct PeerConnectionOptions
{
    HandshakeSettings handshake;
    Duration heartbeatInterval{};
    Duration silenceLimit{};
};

struct PeerConnectionEvents
{
    std::function<void()> onReady; ///< the peer is proved; peer() holds
    std::function<void(const Frame &frame)> onFrame; ///< after onReady only; heartbeats included
    std::function<void(MessageKind kind, std::size_t bytes)> onSent; ///< heartbeats included, the handshake not
    std::function<void(CloseReason reason)> onClosed;
};

template <Clock ClockType>
class PeerConnection : public std::enable_shared_from_this<PeerConnection<ClockType>>
{
public:
    PeerConnection(boost::asio::ip::tcp::socket socket, PeerConnectionOptions options, PeerConnectionEvents events);

    void dial(const boost::asio::ip::tcp::endpoint &address);
    /** For a socket that was accepted. */
    void run();
    void send(MessageKind kind, std::vector<std::byte> payload);
    /** Sends a heartbeat when nothing else was sent; closes when the peer is silent or its handshake takes too long. */
    void tick(TimePoint now);
    /** Counts silence from now on: for a host that was itself stalled and has not read what arrived meanwhile. */
    void restartSilence(TimePoint now);
    void close(CloseReason reason);

    bool ready() const
    {
        return m_handshake.done();
    }
    const PeerHandshake &handshake() const
    {
        return m_handshake;
    }
    /** Payload and header bytes not yet written. */
    std::size_t queuedBytes() const
    {
        return m_queuedBytes;
    }
    std::size_t queuedFrames() const
    {
        return m_queue.size() + m_writing.size();
    }
    boost::asio::ip::address remoteAddress() const;

private:
    struct OutgoingFrame
    {
        MessageKind kind{};
        FrameHeader header{};
        std::vector<std::byte> payload;
    };

    void read();
    void handleRead(std::size_t bytes);
    void handleFrame(const Frame &frame);
    void handleHandshakeFrame(const Frame &frame);
    void write();
    void handleWritten();
    void queue(MessageKind kind, std::vector<std::byte> payload);

    static constexpr std::size_t readBytes = 16 * 1024;

    boost::asio::ip::tcp::socket m_socket;
    PeerConnectionOptions m_options;
    PeerConnectionEvents m_events;
    PeerHandshake m_handshake;
    FrameDecoder m_decoder;
    std::array<std::byte, readBytes> m_readBuffer{};
    std::deque<OutgoingFrame> m_queue;
    std::vector<OutgoingFrame> m_writing;
    std::size_t m_queuedBytes = 0;
    TimePoint m_started;
    TimePoint m_lastReceived;
    TimePoint m_lastSent;
    bool m_connected = false;
    bool m_closed = false;
};

extern template class PeerConnection<SteadyClock>;
extern template class PeerConnection<ManualClock>;

} // namespace Rhubarbwind
