#pragma once

// What hosts tell each other about a host and about an endpoint, and how two such tellings combine.
//
// Both combine by a join: commutative, associative, idempotent. So datagrams may be lost, doubled, replayed
// and overtaken, and hosts that have heard the same things hold the same view whatever the order was.

#include "base/ids.h"
#include "wire/peernetwork.h"

#include <compare>
#include <cstdint>

namespace Rhubarbwind
{

/** Order matters: of two states at the same incarnation the greater wins. */
enum class MemberState : std::uint8_t {
    Alive,
    Suspect, ///< missed a probe; has the suspicion time to refute
    Dead,
};

/** Which life of a host a telling is about, and how often the host has refuted its death in that life. */
struct Incarnation
{
    std::uint64_t start = 0; ///< process start, Unix time in milliseconds
    std::uint32_t refutations = 0;
    friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

struct Member
{
    HostId host;
    PeerAddress address; ///< peer TCP and membership UDP use the same number
    FailureDomain domain;
    MemberState state = MemberState::Alive;
    /** Takes no new duties; for the rest of this life, whatever is refuted. */
    bool leaving = false;
    Incarnation incarnation;
    std::uint64_t presetVersion = 0; ///< applied by the host; only rises within a life
    friend bool operator==(const Member &, const Member &) = default;
};

/** The join of two tellings about one host. */
Member joined(const Member &left, const Member &right);

/** What is known of an endpoint; the greater version wins, and leaving wins at the same version. */
struct EndpointFact
{
    EndpointId endpoint;
    /** Unix time in milliseconds of the first signal, so that signals of different sources compare. */
    std::uint64_t version = 0;
    bool leaving = false;
    friend bool operator==(const EndpointFact &, const EndpointFact &) = default;
};

bool supersedes(const EndpointFact &candidate, const EndpointFact &known);

/** A host as the platform's host list tells it, with a lag. */
struct ListedHost
{
    HostId host;
    PeerAddress address;
    FailureDomain domain;
    bool leaving = false;
};

} // namespace Rhubarbwind
