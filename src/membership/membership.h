#pragma once

// Who is alive, who leaves, at which preset version: the decision, without I/O.
//
// How to use it: feed events with the time (start, hostList, datagram, tick every `tickInterval`, leave, ...),
// carry out the actions that come back, and read members() and aliveHosts() whenever needed. MembershipService
// does this over one UDP socket.
//
// What it promises, once faults stop:
//  - every host holds the same view; a host that lives is alive in it, whatever it was taken for before
//  - a dead host is dead everywhere within detectionBound(n) and the spread of the news
//  - a host told as leaving stays so for its life; an endpoint fact only gives way to a greater version
// Suspect hosts keep their duties until they are dead, so a lost datagram moves nothing.
//
// What it does not promise: that two hosts hold the same view at one moment. Duties placed by aliveHosts()
// must be safe under two owners.
//
// Cost a host in the steady state, whatever the number of hosts: one ping sent and one answered a period.
// News adds datagrams of at most maxDatagramBytes at a bounded rate, each telling a bounded number of times.
// Bounds: maxMembers hosts (the dead included), maxEndpointFacts endpoint facts; the oldest give way.

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
/** A tick this many periods late means that the process stood still; so long without a datagram, that it may be deaf. */
inline constexpr int stallPeriods = 2;

struct MembershipSettings
{
    Duration tickInterval = 100ms;
    Duration period = 500ms; ///< one probe each
    Duration directTimeout = 200ms; ///< then other hosts are asked to probe
    Duration gossipInterval = 200ms; ///< while there is news
    Duration rejoinInterval = 1s; ///< between probes of dead or listed but unheard hosts
    Duration syncInterval = 5s; ///< between comparisons of the whole view with a random host
    Duration deadRetention = 10min; ///< how long a dead host is remembered and probed
    Duration deafGrace = 8s; ///< how long a host that hears nobody at all withholds accusations
    std::size_t indirectProbes = 3;
    std::size_t gossipFanout = 2;
    std::size_t newsBytes = 700; ///< a datagram takes no more news beyond this size, which bounds the cost of any amount of it
    std::size_t extraTransmissions = 3; ///< a telling is sent this and log2(hosts) times by each host
    std::size_t suspicionPeriods = 2; ///< suspicion time is this and log2(hosts) periods
};

struct SendDatagram
{
    PeerAddress to;
    MembershipMessage message;
};
/** State, leaving or address of a host changed, or it is new. */
struct MemberChanged
{
    Member member;
};
/** The host was dead for the retention time and is remembered no more. */
struct MemberForgotten
{
    HostId host;
};
struct EndpointFactChanged
{
    EndpointFact fact;
};
/** A host applies a greater preset version than this one; repeated until this host has caught up. */
struct PresetVersionSeen
{
    HostId host;
    std::uint64_t version = 0;
};
/** Another process started later under this host's name; this one takes no further part. */
struct Superseded
{
};

using MembershipAction = std::variant<SendDatagram, MemberChanged, MemberForgotten, EndpointFactChanged, PresetVersionSeen, Superseded>;
using MembershipActions = std::vector<MembershipAction>;

class Membership
{
public:
    Membership(MembershipSettings settings, std::uint64_t seed);

    /** @param self with the start of this process as its incarnation  @param seeds the host list, as far as known */
    MembershipActions start(TimePoint now, Member self, std::span<const SeedHost> seeds);
    MembershipActions hostList(TimePoint now, std::span<const SeedHost> list);
    MembershipActions datagram(TimePoint now, const MembershipMessage &message);
    MembershipActions tick(TimePoint now);
    /** This host takes no new duties from now on; it goes on taking part. */
    MembershipActions leave(TimePoint now);
    /** The last word of a process that ends: others need not find out by probing. */
    MembershipActions farewell(TimePoint now);
    MembershipActions setPresetVersion(TimePoint now, std::uint64_t version);
    MembershipActions endpointLeaving(TimePoint now, const EndpointId &endpoint, std::uint64_t version);
    /** The endpoint serves again; the version must exceed that of its leaving. */
    MembershipActions endpointReturned(TimePoint now, const EndpointId &endpoint, std::uint64_t version);

    const Member &self() const
    {
        return m_self;
    }
    /** All known hosts but this one, the dead included, by id. */
    std::vector<Member> members() const;
    /**
     * Hosts that should serve duties, this one included, sorted: live (or suspect) and not leaving. When every live
     * host leaves, all live hosts: the last of a fleet must still serve what it holds.
     */
    std::vector<HostId> aliveHosts() const;
    std::vector<EndpointFact> endpointFacts() const;
    bool endpointIsLeaving(const EndpointId &endpoint) const;
    /** False when hosts are known or listed but none was heard for `deafGrace`. */
    bool receivesFromPeers(TimePoint now) const;
    bool superseded() const
    {
        return m_superseded;
    }
    /**
     * The longest a host that died can stay undetected by all of n hosts that hear each other: the last of one
     * prober's round (the random order may place it last), the probe itself, the suspicion. The expected time is
     * far shorter, since every host probes.
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
    /** A telling to pass on. */
    struct News
    {
        std::size_t sent = 0;
        bool versionOnly = false; ///< nothing but the preset version changed since it was last told whole
    };
    struct Probe
    {
        HostId target;
        std::uint64_t sequence = 0;
        TimePoint sent;
        bool indirect = false; ///< other hosts were asked
    };
    /** A probe that this host makes for another. */
    struct Relay
    {
        PeerAddress requester;
        HostId requesterHost;
        std::uint64_t requesterSequence = 0;
        std::uint64_t sequence = 0;
        TimePoint expires;
    };

    MembershipActions takeActions();
    /** Bits of the number: the rounds in which doubling reaches that many hosts. */
    static std::size_t log2Ceil(std::size_t count);
    bool active() const
    {
        return m_started && !m_superseded;
    }

    // Hearing.
    void hearMember(TimePoint now, const Member &telling);
    void hearAboutSelf(TimePoint now, const Member &telling);
    void learn(TimePoint now, const Member &telling);
    void hearVersion(TimePoint now, const VersionTelling &telling);
    void setState(TimePoint now, Known &known);
    void hearEndpoint(const EndpointFact &fact);
    void notePresetVersion(const Member &member);
    void makeRoom();
    void forget(const HostId &host);
    void answer(TimePoint now, const MembershipMessage &message);
    void answerPing(const MembershipMessage &message);
    void answerAck(const MembershipMessage &message);
    void answerPingRequest(TimePoint now, const MembershipMessage &message);
    void answerSync(TimePoint now, const MembershipMessage &message);

    // Probing.
    void noteStall(TimePoint now);
    void restartSuspicions(TimePoint now);
    void withdrawDeaths();
    void finishProbe(TimePoint now);
    void askOthers(const Probe &probe);
    void startProbe(TimePoint now);
    std::optional<HostId> nextProbeTarget();
    void suspect(TimePoint now, const HostId &host);
    void passDeadlines(TimePoint now);
    TimePoint deadlineOf(const Known &known) const;
    void expireSuspicions(TimePoint now);
    void forgetDead(TimePoint now);
    bool withholdsAccusations(TimePoint now) const;
    Duration suspicionTime() const;

    // Spreading.
    void gossip(TimePoint now);
    void rejoin(TimePoint now);
    void sync(TimePoint now);
    std::vector<SeedHost> unreachedHosts() const;
    void send(const PeerAddress &to, const HostId &host, MembershipMessage message);
    void addNews(const HostId &recipient, MembershipMessage &message);
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
    std::map<HostId, News> m_memberNews;
    std::map<EndpointId, News> m_endpointNews;
    std::unordered_map<std::uint64_t, HostId> m_lives; ///< by lifeKey()
    std::vector<HostId> m_probeOrder;
    std::optional<Probe> m_probe;
    std::vector<Relay> m_relays;
    MembershipActions m_actions;
    std::uint64_t m_sequence = 0;
    mutable std::optional<std::size_t> m_liveCount; ///< counted anew after a change
    TimePoint m_nextDeadline = TimePoint::max(); ///< no suspicion or retention ends before
    TimePoint m_startedAt;
    TimePoint m_lastTick;
    TimePoint m_lastHeard;
    TimePoint m_nextPeriod;
    TimePoint m_nextGossip;
    TimePoint m_nextRejoin;
    TimePoint m_nextSync;
    TimePoint m_nextSyncAnswer;
    bool m_started = false;
    bool m_superseded = false;
};

} // namespace Rhubarbwind
