#pragma once

// Links between hosts: authenticated, framed, heartbeat-checked TCP.
//
// PeerNetwork sends a slice's bytes to a host and hands received bytes to the slice that registered for their
// kind. It keeps at most one outgoing link a host, opened on first use, closed when idle. A frame is
//
//     uint32 payload length | uint16 kind | payload        (little endian; length excludes the 6-byte header)
//
// What it promises: frames on one link arrive whole and in order or the link is dropped; a link that is
// silent for `silenceLimit` is dropped and reopened, however healthy TCP believes it to be; the peer proved
// the shared secret before any frame is handed on. What it does not promise: delivery. A frame queued on a
// link that drops is lost, so every message of every slice is idempotent and sent again by its owner.
//
// Bounds: payloads up to maxPayloadBytes; at most `queueBytes` queued a link, beyond which send() refuses.

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "wire/messagekind.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Rhubarbwind
{

/** Largest payload of one frame: the platform's 1 MB a value and some room for framing. */
inline constexpr std::size_t maxPayloadBytes = 2 * 1024 * 1024;

struct PeerAddress
{
    std::string ip;
    std::uint16_t port = 0;
    friend bool operator==(const PeerAddress &, const PeerAddress &) = default;
};

enum class SendError : std::uint8_t {
    UnknownHost, ///< no address known for the host
    QueueFull, ///< the link's queue budget is used up
    PayloadTooLarge,
};

enum class LinkState : std::uint8_t {
    Up,
    Down,
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
    std::size_t queueBytes = 4 * 1024 * 1024;
};

/** What slices need of the peer network; a test's fake meets it with a few lines. */
template <class T>
concept PeerTransport = requires(T transport, const HostId &host, MessageKind kind, std::vector<std::byte> payload, FrameHandler handler)
{
    {
        transport.send(host, kind, std::move(payload))
        } -> std::same_as<Result<void, SendError>>;
    transport.onFrame(kind, handler);
};

} // namespace Rhubarbwind
