#pragma once

// A PeerRoster as FlatBuffers, and the small conversions that all fleet messages share.

#include "fleet/fleet_generated.h"
#include "fleet/peerroster.h"

#include <optional>

namespace Rhubarbwind
{

inline constexpr std::size_t longestDomain = 64;

Fbs::PeerPlace writePlace(const PeerAddress &address);
PeerAddress readPlace(const Fbs::PeerPlace &address);
std::uint32_t millisecondsOf(Duration age);

flatbuffers::Offset<Fbs::PeerRoster> writeRoster(flatbuffers::FlatBufferBuilder &builder, const PeerRoster &roster);
/** @return none for what is out of bounds or names a domain that it does not list */
std::optional<PeerRoster> readRoster(const Fbs::PeerRoster &read);

} // namespace Rhubarbwind
