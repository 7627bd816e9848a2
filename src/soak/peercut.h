#pragma once

// What a soak and the library that it preloads into hosts share.

#include <cstdint>

namespace Rhubarbwind::Soak
{

inline constexpr const char *peerCutVariable = "RHUBARBWIND_PEER_CUT"; ///< names the file whose first byte is a set of the following
inline constexpr unsigned cutOutgoing = 1;
inline constexpr unsigned cutIncoming = 2;

} // namespace Rhubarbwind::Soak
