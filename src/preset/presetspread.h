#pragma once

// How a host learns of the preset in force, as a decision: when to read the platform, whom to ask, when to watch,
// whom to tell, and whether this host may take requests.
//
// Four ways lead to a new version, each enough by itself:
//  - about two hosts a failure domain, by rendezvous hashing, hold a watch on the platform;
//  - versions ride on membership messages and on announcements: a host that adopts a version tells a few random
//    peers, and a host that hears of a newer one asks the peer it heard from, else the platform;
//  - every host polls the platform now and then, at jittered times: watchers read the object, in case the
//    platform skipped an event; the others mostly make a watch that does not wait, which costs a few bytes
//    where the preset may have a megabyte, and read the object every so often;
//  - a host that cannot reach the platform asks a random peer now and then.
//
// Ready means: a preset is held, and the platform or a peer was heard within isolationLimit. A host beyond it
// can no longer know what is in force, and stops taking requests until it hears again. A starting host also
// waits, for settleLimit at most, while it knows of a newer version than it could get: in an outage of the
// platform the first peer it asked may lag. Not longer, since the only holder of that version may be gone.
//
// Cost a host: one small call in about pollInterval, a watcher one waiting call more; `announceTo` small frames a
// change. Memory: one entry a live host. Driven by events and by advance(), to be called at nextTick().

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

/** Hosts whose versions are remembered; ten times the design size. */
inline constexpr std::size_t maxHeard = 4096;

/** A live host, as membership tells it. */
struct PresetPeer
{
    HostId host;
    FailureDomain domain;
};

struct PresetSpreadOptions
{
    std::size_t watchersPerDomain = 2;
    Duration watchWait = 1500ms; ///< short, so that a silent watch is found out well within the 4 s of a change
    std::uint32_t peeksPerRead = 5; ///< polls without the content between two with it, where no watch is held
    Duration pollInterval = 10s; ///< mean; each wait is uniform in half to one and a half of it
    Duration peerTimeout = 500ms; ///< an unanswered question counts as lost
    Duration firstRetry = 100ms;
    Duration longestRetry = 3s;
    Duration isolationLimit = 20s; ///< above pollInterval's longest wait
    Duration settleLimit = 3s; ///< of a starting host that knows of a newer version than it holds
    /** Hosts told at once of an adoption; each tells as many, so nearly all hear in a few steps. Without it membership
     *  alone must carry the news: at 370 hosts 3.3 s in place of 0.8 s (preset_test '[.measure]'). */
    std::size_t announceTo = 4;
};

struct SpreadAction
{
    enum class Kind : std::uint8_t {
        ReadPlatform, ///< get the object in force; then onPlatformRead
        Peek, ///< watch it after `watchAfter` without waiting; then onPeek
        AskPeer, ///< then onPeerAnswer, if it answers
        Watch, ///< watch the object in force after `watchAfter`; then onWatch
        Announce, ///< tell `peer` the version held
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
    /** A peer holds this version, as itself or membership tells. Any word of a peer counts as contact. */
    void onPeerVersion(const HostId &host, PresetVersion version, TimePoint now);
    /** This host now holds this version. */
    void adopted(PresetVersion version, TimePoint now);
    /** A read ended. @param revision the object's version; nothing when the platform did not answer */
    void onPlatformRead(std::optional<ObjectVersion> revision, TimePoint now);
    void onPeek(const PlatformResult<WatchBatch> &result, TimePoint now);
    /** A peer sent what it holds. */
    void onPeerAnswer(const HostId &host, PresetVersion itsVersion, TimePoint now);
    void onWatch(const PlatformResult<WatchBatch> &result, TimePoint now);

    /** What is due now. Call after every event and at nextTick(). */
    SpreadActions advance(TimePoint now);
    TimePoint nextTick() const;

    bool isReady(TimePoint now) const;
    bool isWatcher() const
    {
        return m_isWatcher;
    }
    /** The greatest version known to exist. */
    PresetVersion newestHeard() const;

private:
    bool isBehind() const;
    void onPlatformSilent(TimePoint now);
    void noteWatched(const WatchBatch &batch, TimePoint now);
    void expirePeerQuestion(TimePoint now);
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
    std::map<HostId, PresetVersion> m_heard; ///< at most maxHeard
    PresetVersion m_held = 0;
    bool m_isWatcher = false;
    bool m_toAnnounce = false;

    bool m_reading = false;
    bool m_readWanted = false; ///< news came while reading: the answer under way may be older
    TimePoint m_readAt;
    std::uint32_t m_peeks = 0; ///< since the last whole read
    Backoff m_readBackoff;
    bool m_platformAnswers = true;

    std::optional<HostId> m_asked;
    TimePoint m_askedUntil;
    TimePoint m_askAt;
    Backoff m_askBackoff;

    bool m_watching = false;
    TimePoint m_watchAt;
    std::uint64_t m_watchAfter = 0;
    Backoff m_watchBackoff;

    TimePoint m_lastContact;
    TimePoint m_settleBy;
    bool m_settled = false; ///< held the newest version known, once
};

} // namespace Rhubarbwind
