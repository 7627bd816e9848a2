#pragma once

// Liveness of many hosts in one datagram.
//
// In a large fleet hosts are not heard directly: relays and randomly chosen peers tell what they know. An entry carries the age of that knowledge,
// so it can be passed on any number of times and the youngest wins, whatever the order of arrival. An entry of a host that
// its relay has declared gone says so; it holds only against knowledge that is not younger, so a host that was cut off from one relay alone stays.
// Lives are compared by a digest of 32 bits, since one address has few of them.
//
// Bounds: maxRosterEntries entries of 16 bytes, maxRosterDomains names. With them goes what every host must know of the few hosts that
// watch the platform or hold the duties, since it does not hear those either.

#include "base/time.h"
#include "wire/peernetwork.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Rhubarbwind
{

struct RosterEntry
{
    PeerAddress address;
    std::uint32_t incarnation = 0; ///< the low half of its Beacon::life
    Duration age{}; ///< since somebody heard it directly, or since its silence began if it is gone; rounded up to 10 ms
    std::uint8_t domain = 0; ///< index into PeerRoster::domains
    bool leaving = false;
    bool down = false; ///< its beacons have ended
    friend bool operator==(const RosterEntry &, const RosterEntry &) = default;
};

/** What the sender knows of a topic's watchers. */
struct WatchAge
{
    std::uint64_t newest = 0; ///< revision of the last change that a watcher announced
    Duration age = 1h; ///< since a watcher was last known to hear the platform
    friend bool operator==(const WatchAge &, const WatchAge &) = default;
};

/** The host that holds the fleet's duties. */
struct DutyClaim
{
    PeerAddress address;
    std::uint64_t number = 0; ///< fencing number
    Duration age{}; ///< since it was heard
    friend bool operator==(const DutyClaim &, const DutyClaim &) = default;
};

struct PeerRoster
{
    std::uint32_t hosts = 0; ///< that the sender believes alive, itself included
    std::vector<std::string> domains;
    std::vector<RosterEntry> entries;
    std::vector<WatchAge> watches; ///< a topic
    std::optional<DutyClaim> duty;
    friend bool operator==(const PeerRoster &, const PeerRoster &) = default;
};

inline constexpr std::size_t maxRosterEntries = 60;
inline constexpr std::size_t maxRosterDomains = 32;
inline constexpr std::size_t rosterEntryBytes = 16;

} // namespace Rhubarbwind
