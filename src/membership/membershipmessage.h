#pragma once

// The datagrams between hosts and their encoding.
//
// A datagram is a 16-byte tag (the front of HMAC-SHA256 under the fleet's secret) and a FlatBuffers message of
// membership.fbs; at most maxDatagramBytes, so it is never fragmented. Decoding refuses whatever is not tagged,
// verified and within bounds. The tag does not stop replays; the joins of member.h make them harmless, and an
// answer goes to the address inside the datagram, never to the one it came from.

#include "base/result.h"
#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxDatagramBytes = 1400;
/** Longest host, domain, endpoint or address text in a datagram. */
inline constexpr std::size_t maxMembershipText = 64;
inline constexpr std::size_t maxTellingsPerDatagram = 128;

/** The preset version of a host that the receiver most likely knows; a sixth of a whole telling. */
struct VersionTelling
{
    std::uint64_t life = 0; ///< lifeKey() of the host
    std::uint64_t version = 0;
    friend bool operator==(const VersionTelling &, const VersionTelling &) = default;
};

/** Names one life of one host in 8 bytes; a collision would show a host at another's preset version. */
std::uint64_t lifeKey(const Member &member);

enum class MembershipMessageKind : std::uint8_t {
    Ping, ///< "are you the target, and alive?"
    Ack, ///< answer to a ping, or passed on for a PingRequest
    PingRequest, ///< "ping the target for me"
    Gossip, ///< tellings only
    SyncRequest, ///< "send me all you know if your digest differs"
};

struct MembershipMessage
{
    MembershipMessageKind kind = MembershipMessageKind::Gossip;
    std::uint64_t sequence = 0; ///< of the ping that is asked or answered; 0 where no answer is awaited
    HostId target; ///< who is to answer, or whose answer this is
    PeerAddress targetAddress; ///< of a PingRequest
    std::uint64_t digest = 0; ///< of a SyncRequest
    Member sender; ///< as the sender tells of itself
    std::vector<Member> members;
    std::vector<EndpointFact> endpoints;
    std::vector<VersionTelling> versions;
    friend bool operator==(const MembershipMessage &, const MembershipMessage &) = default;
};

enum class DatagramError : std::uint8_t {
    TooLarge,
    TooShort,
    WrongTag,
    Malformed, ///< tagged, but not a verified message or a field out of bounds
};

/** Upper bounds of what one telling adds to an encoded datagram. */
std::size_t encodedBytesBound(const Member &member);
std::size_t encodedBytesBound(const EndpointFact &fact);
std::size_t encodedBytesBound(const VersionTelling &telling);
/** Upper bound of the encoded datagram without its tellings. */
std::size_t encodedBytesBound(const MembershipMessage &message);

Result<std::vector<std::byte>, DatagramError> encodeDatagram(const MembershipMessage &message, std::string_view secret);
Result<MembershipMessage, DatagramError> decodeDatagram(std::span<const std::byte> datagram, std::string_view secret);

} // namespace Rhubarbwind
