#pragma once

// PeerNetwork provides links between hosts: authenticated, framed TCP with heartbeats.
//
// It sends bytes to a host and passes received bytes to the handler registered for their kind. It keeps at most one outgoing link a host, opened
// on first use and closed when idle. A frame is
//
//     uint32 payload length | uint16 kind | payload        (little endian; length excludes the 6-byte header)
//
// Guarantees: frames on one link arrive complete and in order, or the link is dropped. A link that is silent for `silenceLimit` is dropped and
// reopened, whatever the state of the TCP connection. The peer has proved the shared secret before any frame is passed on.
// Delivery is not guaranteed: a frame queued on a link that drops is lost, so every message is idempotent and its sender sends it again.
//
// A link carries frames one way, from the host that dialled; an answer uses the link of the answering host. Two hosts that dial each other at
// the same time therefore have one link each way, and no rule is needed to choose between two connections. Heartbeats go both ways on
// each link.
//
// Use: create one, register handlers, start(), call setAddress() as membership learns addresses, send(). A host that dials also reports where it
// listens, so that it can be answered before membership knows it; an address from setAddress() overrides that. Frames to the host itself
// are passed on through the event loop.
//
// Limits: payloads of up to maxPayloadBytes; at most `queueBytes` queued a link, beyond which send() fails. Frames queued for an unreachable
// host are dropped when the attempt fails, within silenceLimit plus the backoff (2 s at most). Silence is detected within silenceLimit
// and one heartbeat interval.
// Cost of an idle link: one 6-byte frame each way per heartbeat interval; none while other frames are sent.

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "wire/messagekind.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace Rhubarbwind
{

/** Maximum payload of one frame: the platform's limit of 1 MB a value, with a margin for encoding. */
inline constexpr std::size_t maxPayloadBytes = std::size_t(2) * 1024 * 1024;

struct PeerAddress
{
    std::string ip;
    std::uint16_t port = 0;
    friend auto operator<=>(const PeerAddress &, const PeerAddress &) = default;
};

enum class SendError : std::uint8_t {
    UnknownHost, ///< no address known for the host
    QueueFull, ///< the link's queue budget is used up
    PayloadTooLarge,
};

enum class StartError : std::uint8_t {
    BadAddress, ///< not an IP address
    ListenFailed, ///< the address is in use or does not belong to this machine
};

/** State of a link that this host dialled. Closing an idle link is not reported; the next send() reopens it. */
enum class LinkState : std::uint8_t {
    Up, ///< the peer is authenticated; frames lost before may be sent again
    Down, ///< dropped, or an attempt failed; queued frames were lost
};

using FrameHandler = std::function<void(const HostId &from, std::span<const std::byte> payload)>;
using LinkHandler = std::function<void(const HostId &peer, LinkState state)>;

struct PeerNetworkOptions
{
    HostId self;
    PeerAddress listen;
    std::string sharedSecret;
    Duration heartbeatInterval = 500ms;
    Duration silenceLimit = 2s;
    Duration idleLimit = 60s;
    std::size_t queueBytes = std::size_t(4) * 1024 * 1024;
};

/** The part of the peer network that other folders use; simple to fake in a test. */
template <class T>
concept PeerTransport = requires(T transport, const HostId &host, MessageKind kind, std::vector<std::byte> payload, FrameHandler handler)
{
    {
        transport.send(host, kind, std::move(payload))
        } -> std::same_as<Result<void, SendError>>;
    transport.onFrame(kind, handler);
};

struct PeerTraffic
{
    std::uint64_t framesIn = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t bytesIn = 0; ///< headers included
    std::uint64_t bytesOut = 0;
    std::uint64_t framesDropped = 0; ///< queued on a link that dropped
    std::uint64_t linkDrops = 0; ///< dropped links and failed attempts
};

struct PeerCounters
{
    std::map<HostId, PeerTraffic> peers; ///< includes heartbeats, but not handshakes
    std::map<MessageKind, PeerTraffic> kinds; ///< frames and bytes only
    std::uint64_t handshakesRefused = 0;
    std::uint64_t silentLinks = 0;
    std::uint64_t unhandledFrames = 0; ///< frames of a kind without a handler
    std::uint64_t connectionsRefused = 0; ///< refused above the limit on incoming connections
};

template <Clock ClockType>
class PeerNetwork
{
public:
    PeerNetwork(boost::asio::io_context &context, PeerNetworkOptions options);
    /** Calls stop(). */
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    Result<void, StartError> start();
    /** Closes all links at once. Queued frames are lost and no handler is called afterwards. */
    void stop();

    void setAddress(const HostId &host, const PeerAddress &address);
    /** Closes the links with a host that left the fleet and removes its address and counters. */
    void forget(const HostId &host);
    Result<void, SendError> send(const HostId &host, MessageKind kind, std::vector<std::byte> payload);

    /** Sets the handler of a kind, replacing the former one. The payload is unverified, aligned to 8 bytes, and valid only during the call. */
    void onFrame(MessageKind kind, FrameHandler handler);
    /** Adds a handler for state changes of links. */
    void onLink(LinkHandler handler);

    const PeerCounters &counters() const;
    /** Returns the port in use, chosen by the system when the options specify port 0. Zero before start(). */
    std::uint16_t listenPort() const;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

extern template class PeerNetwork<SteadyClock>;
extern template class PeerNetwork<ManualClock>;

static_assert(PeerTransport<PeerNetwork<SteadyClock>>);

} // namespace Rhubarbwind
