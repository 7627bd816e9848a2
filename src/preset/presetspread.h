#pragma once

// Decides how a host learns of the preset in force: when to read the platform, from which peer to request it, when to watch, to which peers to
// announce a version, and whether this host may take requests. Pure decision logic; performs no I/O.
//
// Usage: report each event with the current time, call advance() after it and at nextTick(), and carry out the returned actions.
//
// A host learns of a new version in four ways, each sufficient by itself:
//  - about two hosts per failure domain, selected by rendezvous hashing, hold a watch on the platform;
//  - membership messages and announcements carry versions: a host that adopts a version announces it to a few random peers, and a host that
//    receives a newer version requests the preset from that peer, then from the platform;
//  - every host polls the platform at jittered times. Watchers read the object, in case the platform skipped an event. The other hosts mostly
//    make a watch call that does not wait, which costs a few bytes where the preset may have a megabyte, and read the object regularly;
//  - a host that cannot reach the platform requests the preset from a random peer periodically.
//
// A host is ready when it holds a preset and received from the platform or a peer within isolationLimit. Beyond that limit it cannot know
// which preset is in force, and takes no requests until it receives again. A starting host also waits while it knows of a newer version than
// it holds, since the first peer it requested from may lag during an outage of the platform. It waits for settleLimit at most, since the only
// host that holds that version may be unavailable.
//
// Cost per host: one small call in about pollInterval, for a watcher also one long-polling call; `announceTo` small frames per change.
// Memory: one entry per live host.

#include "base/backoff.h"
#include "base/ids.h"
#include "platform/objectapi.h"
#include "preset/preset.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Rhubarbwind
{

/** Maximum number of hosts whose versions are stored; ten times the largest intended fleet. */
inline constexpr std::size_t maxPeerVersions = 4096;

/** A live host, as reported by membership. */
struct PresetPeer
{
    HostId host;
    FailureDomain domain;
};

struct PresetSpreadOptions
{
    std::size_t watchersPerDomain = 2;
    Duration watchWait = 1500ms; ///< short, so that a silent watch is detected well within the 4 s in which a change must reach all hosts
    std::uint32_t peeksPerRead = 5; ///< number of polls that only peek between two that read the object, on hosts that hold no watch
    Duration pollInterval = 10s; ///< mean; each wait is uniform between half and one and a half times this
    Duration peerTimeout = 500ms; ///< an unanswered request to a peer counts as lost
    Duration firstRetry = 100ms;
    Duration longestRetry = 3s;
    Duration isolationLimit = 20s; ///< above pollInterval's longest wait
    Duration settleLimit = 3s; ///< longest wait of a starting host that knows of a newer version than it holds
    /** Number of peers to which a host announces an adoption at once. Each of them does the same, so nearly all hosts receive it in a few steps.
     *  Without announcements only membership carries the version, which takes 3.3 s instead of 0.8 s at 370 hosts (preset_test '[.measure]'). */
    std::size_t announceTo = 4;
};

struct SpreadAction
{
    enum class Kind : std::uint8_t {
        ReadPlatform, ///< get the object in force, then call onPlatformRead
        Peek, ///< watch the object in force after `watchAfter` without waiting, then call onPeek
        RequestFromPeer, ///< request the preset from `peer`; call onPeerAnswer if it answers
        Watch, ///< watch the object in force after `watchAfter`, then call onWatch
        Announce, ///< send `peer` the version that this host holds
    } kind = Kind::ReadPlatform;
    HostId peer;
    std::uint64_t watchAfter = 0;
};

using SpreadActions = std::vector<SpreadAction>;

class PresetSpread
{
public:
    PresetSpread(PresetSpreadOptions options, std::uint64_t seed, TimePoint now);

    /** The live hosts, this one included. */
    void setHosts(const HostId &self, std::span<const PresetPeer> live, TimePoint now);
    /** The peer or membership reported that the peer holds this version. Any version counts as contact with a peer. */
    void onPeerVersion(const HostId &host, PresetVersion version, TimePoint now);
    /** This host adopted this version. */
    void adopted(PresetVersion version, TimePoint now);
    /** A read ended. @param revision the object's version, 0 if there is no object; nullopt if the platform did not answer */
    void onPlatformRead(std::optional<ObjectVersion> revision, TimePoint now);
    void onPeek(const PlatformResult<WatchBatch> &result, TimePoint now);
    /** A peer sent the version that it holds, possibly with the preset. */
    void onPeerAnswer(const HostId &host, PresetVersion peerVersion, TimePoint now);
    void onWatch(const PlatformResult<WatchBatch> &result, TimePoint now);

    /** The actions that are due now. Call after every event and at nextTick(). */
    SpreadActions advance(TimePoint now);
    TimePoint nextTick() const;

    bool isReady(TimePoint now) const;
    bool isWatcher() const
    {
        return m_isWatcher;
    }
    /** The greatest version that a live peer has reported. */
    PresetVersion newestKnown() const;

private:
    bool isBehind() const;
    void onPlatformUnavailable(TimePoint now);
    void applyWatchBatch(const WatchBatch &batch, TimePoint now);
    void expirePeerRequest(TimePoint now);
    void advanceRead(TimePoint now, SpreadActions &actions);
    void advancePeer(TimePoint now, SpreadActions &actions);
    void advanceWatch(TimePoint now, SpreadActions &actions);
    void advanceAnnouncements(SpreadActions &actions);
    std::optional<HostId> choosePeer();
    Duration jitteredPoll();

    PresetSpreadOptions m_options;
    Random m_random;
    HostId m_self;
    std::vector<HostId> m_peers;
    std::map<HostId, PresetVersion> m_peerVersions; ///< at most maxPeerVersions
    PresetVersion m_held = 0;
    bool m_isWatcher = false;
    bool m_toAnnounce = false;

    bool m_reading = false;
    bool m_readWanted = false; ///< a change was reported during a read, whose answer may be older
    TimePoint m_readAt;
    std::uint32_t m_peeks = 0; ///< since the last read of the object
    Backoff m_readBackoff;
    bool m_platformAvailable = true;

    std::optional<HostId> m_requestedPeer;
    TimePoint m_requestExpires;
    TimePoint m_requestAt;
    Backoff m_requestBackoff;

    bool m_watching = false;
    TimePoint m_watchAt;
    std::uint64_t m_watchAfter = 0;
    Backoff m_watchBackoff;

    TimePoint m_lastContact;
    TimePoint m_settleBy;
    bool m_settled = false; ///< has held the newest known version at least once
};

} // namespace Rhubarbwind
