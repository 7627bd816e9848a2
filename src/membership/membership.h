#pragma once

// Gossip membership: which hosts are alive or leaving, which preset version each applies, and which endpoints are leaving.
// Pure decision logic; performs no I/O.
//
// Usage: pass each event with the current time (start, hostList, datagram, tick every `tickInterval`, leave, ...), carry out the returned
// actions, and read members() and aliveHosts() whenever needed. MembershipService does this over one UDP socket.
//
// Guarantees, once faults stop:
//  - all hosts hold the same view, and every live host is alive in it, whatever state it was in before
//  - a dead host is dead in every view within detectionBound(n) plus the time that the update needs to spread
//  - a host that was reported as leaving stays leaving for its incarnation; only a greater version replaces an endpoint fact
// Suspect hosts keep their duties until they are dead, so one lost datagram moves no duty.
//
// Not guaranteed: that two hosts hold the same view at one moment. Duties assigned by aliveHosts() must be safe under two owners.
//
// Cost per host in the steady state, whatever the number of hosts: one ping sent and one answered per period. Updates add datagrams of at
// most maxDatagramBytes at a bounded rate; each host sends an update a bounded number of times.
// Limits: maxMembers hosts (dead ones included) and maxEndpointFacts endpoint facts; the oldest are evicted.

#include "base/random.h"
#include "base/time.h"
#include "membership/membershipmessage.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxMembers = 1024;
inline constexpr std::size_t maxEndpointFacts = 512;
/** A tick that is this many periods late means that the process was stalled. This many periods without a datagram mean that it may be unable to receive. */
inline constexpr int stallPeriods = 2;

struct MembershipSettings
{
    Duration tickInterval = 100ms;
    Duration period = 500ms; ///< one probe per period
    Duration directTimeout = 200ms; ///< wait for the direct answer before other hosts are requested to probe
    Duration gossipInterval = 200ms; ///< while updates are pending
    Duration rejoinInterval = 1s; ///< between probes of dead hosts and of listed hosts that were never received from
    Duration syncInterval = 5s; ///< between comparisons of the view digest with a random host
    Duration deadRetention = 10min; ///< how long a dead host is remembered and probed
    Duration isolationGrace = 8s; ///< how long a host that receives nothing does not declare others suspect or dead
    std::size_t indirectProbes = 3;
    std::size_t gossipFanout = 2;
    std::size_t maxUpdateBytes = 700; ///< no update is added beyond this datagram size; bounds the cost of any number of updates
    std::size_t extraTransmissions = 3; ///< each host sends an update this plus log2(hosts) times
    std::size_t suspicionPeriods = 2; ///< the suspicion time is this plus log2(hosts) periods
};

struct SendDatagram
{
    PeerAddress to;
    MembershipMessage message;
};
/** A host is new, or its state, leaving flag, address or process changed. */
struct MemberChanged
{
    Member member;
};
/** The host was dropped from the table: dead for the retention time, or evicted from a full table. */
struct MemberForgotten
{
    HostId host;
};
struct EndpointFactChanged
{
    EndpointFact fact;
};
/** The host applies a greater preset version than this one does. Repeated until this host has caught up. */
struct PresetVersionSeen
{
    HostId host;
    std::uint64_t version = 0;
};
/** Another process was started later under this host's name; this one stops taking part. */
struct Superseded
{
};

using MembershipAction = std::variant<SendDatagram, MemberChanged, MemberForgotten, EndpointFactChanged, PresetVersionSeen, Superseded>;
using MembershipActions = std::vector<MembershipAction>;

class Membership
{
public:
    Membership(MembershipSettings settings, std::uint64_t seed);

    /** @param self its incarnation holds the start time of this process  @param seeds the host list, as far as known */
    MembershipActions start(TimePoint now, Member self, std::span<const SeedHost> seeds);
    MembershipActions hostList(TimePoint now, std::span<const SeedHost> list);
    MembershipActions datagram(TimePoint now, const MembershipMessage &message);
    MembershipActions tick(TimePoint now);
    /** From now on this host takes no new duties; it still takes part in membership. */
    MembershipActions leave(TimePoint now);
    /** Reports this process as dead before it ends, so that others need not detect it by probing. */
    MembershipActions announceShutdown(TimePoint now);
    MembershipActions setPresetVersion(TimePoint now, std::uint64_t version);
    MembershipActions endpointLeaving(TimePoint now, const EndpointId &endpoint, std::uint64_t version);
    /** The endpoint serves again. The version must exceed the one at which it was leaving. */
    MembershipActions endpointReturned(TimePoint now, const EndpointId &endpoint, std::uint64_t version);

    const Member &self() const
    {
        return m_self;
    }
    /** All known hosts except this one, dead ones included, ordered by id. */
    std::vector<Member> members() const;
    /**
     * Hosts that should serve duties, this one included, sorted: alive or suspect, and not leaving. When every live host is leaving, all
     * live hosts are returned, since the last hosts of a fleet must still serve the duties they hold.
     */
    std::vector<HostId> aliveHosts() const;
    std::vector<EndpointFact> endpointFacts() const;
    bool endpointIsLeaving(const EndpointId &endpoint) const;
    /** False when hosts are known or listed but no datagram arrived for `isolationGrace`. */
    bool receivesFromPeers(TimePoint now) const;
    bool superseded() const
    {
        return m_superseded;
    }
    /**
     * The longest time for which a dead host can stay undetected by n hosts that receive from each other: the rest of a probe round in
     * which the random order places it last, the probe itself, and the suspicion time. The expected time is far shorter, since every
     * host probes.
     */
    Duration detectionBound(std::size_t hosts) const;

private:
    struct Known
    {
        Member member;
        std::optional<TimePoint> suspectUntil;
        TimePoint diedAt;
        bool listedLeaving = false;
    };
    /** An update that is still to be sent to other hosts. */
    struct PendingUpdate
    {
        std::size_t sent = 0;
        bool versionOnly = false; ///< only the preset version changed since the whole entry was last sent
    };
    struct Probe
    {
        HostId target;
        std::uint64_t sequence = 0;
        TimePoint sent;
        bool indirect = false; ///< other hosts were requested to probe too
    };
    /** A probe that this host makes on behalf of another. */
    struct Relay
    {
        PeerAddress requester;
        HostId requesterHost;
        std::uint64_t requesterSequence = 0;
        std::uint64_t sequence = 0;
        TimePoint expires;
    };

    MembershipActions takeActions();
    /** Number of bits of `count`: the rounds of doubling that reach that many hosts. */
    static std::size_t bitWidth(std::size_t count);
    bool active() const
    {
        return m_started && !m_superseded;
    }

    // Receiving (membershiphearing.cpp).
    void applyUpdate(TimePoint now, const Member &update);
    void applyUpdateAboutSelf(TimePoint now, const Member &update);
    void mergeMember(TimePoint now, const Member &update);
    void applyVersionUpdate(TimePoint now, const VersionUpdate &update);
    void setState(TimePoint now, Known &known);
    void mergeEndpoint(const EndpointFact &fact);
    void reportPresetVersion(const Member &member);
    void evictIfFull();
    void forget(const HostId &host);
    void answer(TimePoint now, const MembershipMessage &message);
    void answerPing(const MembershipMessage &message);
    void answerAck(const MembershipMessage &message);
    void answerPingRequest(TimePoint now, const MembershipMessage &message);
    void answerSync(TimePoint now, const MembershipMessage &message);

    // Probing (membershipprobing.cpp).
    void detectStall(TimePoint now);
    void restartSuspicions(TimePoint now);
    void discardPendingDeaths();
    void finishProbe(TimePoint now);
    void requestIndirectProbes(const Probe &probe);
    void startProbe(TimePoint now);
    std::optional<HostId> nextProbeTarget();
    void suspect(TimePoint now, const HostId &host);
    void processDeadlines(TimePoint now);
    TimePoint deadlineOf(const Known &known) const;
    void expireSuspicions(TimePoint now);
    void forgetDead(TimePoint now);
    bool suppressesSuspicions(TimePoint now) const;
    Duration suspicionTime() const;

    // Spreading (membershipspreading.cpp).
    void gossip(TimePoint now);
    void rejoin(TimePoint now);
    void sync(TimePoint now);
    std::vector<SeedHost> unreachedHosts() const;
    void send(const PeerAddress &to, const HostId &host, MembershipMessage message);
    void addUpdates(const HostId &recipient, MembershipMessage &message);
    std::size_t transmissionLimit() const;
    std::size_t liveCount() const;
    std::vector<const Known *> randomLive(std::size_t count, const HostId &except);
    std::uint64_t viewDigest() const;
    MembershipMessage message(MembershipMessageKind kind) const;

    MembershipSettings m_settings;
    Random m_random;
    Member m_self;
    std::map<HostId, Known> m_members;
    std::map<HostId, SeedHost> m_listed;
    std::map<EndpointId, EndpointFact> m_endpoints;
    std::map<HostId, PendingUpdate> m_pendingMembers;
    std::map<EndpointId, PendingUpdate> m_pendingEndpoints;
    std::unordered_map<std::uint64_t, HostId> m_hostsByIncarnation; ///< by lifeKey()
    std::vector<HostId> m_probeOrder;
    std::optional<Probe> m_probe;
    std::vector<Relay> m_relays;
    MembershipActions m_actions;
    std::uint64_t m_sequence = 0;
    mutable std::optional<std::size_t> m_liveCount; ///< recounted after a change
    TimePoint m_nextDeadline = TimePoint::max(); ///< no suspicion or retention time ends earlier
    TimePoint m_startedAt;
    TimePoint m_lastTick;
    TimePoint m_lastReceived;
    TimePoint m_nextPeriod;
    TimePoint m_nextGossip;
    TimePoint m_nextRejoin;
    TimePoint m_nextSync;
    TimePoint m_nextSyncAnswer;
    bool m_started = false;
    bool m_superseded = false;
};

} // namespace Rhubarbwind
