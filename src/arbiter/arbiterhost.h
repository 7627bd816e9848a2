#pragma once

// Permits on one host: a permit client (permitclient.h) for each shard, which serves the relay's requests, and an arbiter
// (arbiterhostterm.h) for each shard that rendezvous hashing over the live hosts assigns to this host.
//
// A thin session: it passes events from the relay, the links and one timer to the decision classes and carries out their
// actions. It meets PermitPort. When owner and entry host are this host, batches are passed without a socket.
//
// Use: construct with make_shared, call start(), then setPreset(), setEndpoints() and setHosts() whenever they change, and
// linkChanged() when the peer network reports a link. A request's handler is called exactly once, never from inside
// request(), and not after cancel(). A host that sees no majority of the recently live hosts (HostMemory) does not serve as
// arbiter; its clients grant from their static share.
//
// Cost: one pass over the shards for each event-loop turn in which something happened. Bounds: the shards are those passed
// to setEndpoints(); each is bounded by its client and arbiter.

#include "arbiter/arbiterhostterm.h"
#include "arbiter/permitclient.h"
#include "arbiter/permitport.h"
#include "base/sessiontimer.h"
#include "telemetry/log.h"
#include "wire/peernetwork.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Rhubarbwind
{

struct ArbiterHostOptions
{
    HostId self;
    std::uint64_t incarnation = 1; ///< from 1; differs for each process of this host, e.g. random
    PermitClientOptions desk; ///< options of the permit clients; shard, self and incarnation are filled in
    ArbiterOptions arbiter;
    Duration answerFlushInterval = 2ms; ///< minimum time between two answers of a shard to other hosts
};

/** Traffic of the permit messages to and from one host. */
struct PermitLinkBytes
{
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0; ///< payload, without the wire's 6 bytes per frame
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesRefused = 0; ///< not sent: no address, or the link's queue was full
    std::uint64_t framesMalformed = 0;
};

struct PermitShardStatus
{
    ShardId shard;
    PermitClientStatus desk;
    std::optional<ArbiterStatus> arbiter; ///< set while this host serves the shard
};

struct ArbiterHostStatus
{
    bool seesMajority = false;
    std::vector<PermitShardStatus> shards;
    std::map<HostId, PermitLinkBytes> links;
};

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
class ArbiterHost : public std::enable_shared_from_this<ArbiterHost<ClockType, Transport, Pool>>
{
public:
    /** @param transport must outlive the io_context's run  @param makePool creates the pool of a shard for a new term */
    ArbiterHost(boost::asio::io_context &context, Transport &transport, ArbiterHostOptions options, PoolFactory<Pool> makePool);

    void start();
    /** No handler is called after this. */
    void stop();

    // PermitPort
    void request(const ShardId &shard, const Ticket &ticket, PermitHandler onAnswer);
    void cancel(const ShardId &shard, const AttemptId &id);
    void progress(const ShardId &shard, const AttemptId &id, std::uint32_t tokens);
    void release(const ShardId &shard, const Release &release);
    void onPreemption(PreemptionHandler onPreempt);

    void setHosts(std::vector<HostId> live);
    /** Sets the failure domain of each entry host; a host without one has no hop cost. */
    void setDomains(std::map<HostId, FailureDomain> domains);
    void setEndpoints(const ShardId &shard, std::vector<Endpoint> endpoints);
    void setPreset(std::shared_ptr<const PresetInForce> preset);
    void loadReport(const LoadReport &report);
    void linkChanged(const HostId &peer, LinkState state);

    /** Calls use(pool) with the shard's pool if this host serves the shard now, e.g. to forward cache events. */
    template <class Use>
    void withPool(const ShardId &shard, Use use)
    {
        const auto found = m_shards.find(shard);
        Pool *pool = found == m_shards.end() ? nullptr : found->second.term.pool();
        if (pool != nullptr) {
            use(*pool);
            schedulePump();
        }
    }

    ArbiterHostStatus status() const;

private:
    struct Shard
    {
        PermitClient client;
        ArbiterTerm<Pool> term;
        HostId owner;
        std::vector<Endpoint> endpoints;
        std::map<AttemptId, PermitHandler> handlers;
        bool inFallback = false; ///< as last logged
    };

    Shard &shardOf(const ShardId &id);
    void refuseUnknownShard(const AttemptId &id, PermitHandler onAnswer);
    void assignOwners(TimePoint now);
    void schedulePump();
    void pump();
    /** Carries out the shard's pending actions; true if there were any. */
    bool carryOut(TimePoint now, Shard &shard);
    void carryOut(TimePoint now, Shard &shard, PermitClientAction &action);
    void answer(Shard &shard, const AttemptId &id, const PermitAnswer &answer);
    void sendRequests(TimePoint now, Shard &shard, const SendPermitRequests &message);
    void sendAnswers(TimePoint now, Shard &shard, const PermitAnswersTo &message);
    void sendFrame(const HostId &to, MessageKind kind, std::vector<std::byte> payload);
    void receiveRequests(const HostId &from, std::span<const std::byte> payload);
    void receiveAnswers(const HostId &from, std::span<const std::byte> payload);
    bool serves(const Shard &shard) const
    {
        return shard.owner == m_options.self;
    }
    void logFallback(const ShardId &id, Shard &shard);
    void arm(TimePoint now);

    boost::asio::io_context &m_context;
    Transport &m_transport;
    ArbiterHostOptions m_options;
    PoolFactory<Pool> m_makePool;
    SessionTimer<ClockType> m_timer;
    Log m_log{LogPart::Arbiter};
    PreemptionHandler m_onPreempt;
    std::shared_ptr<const PresetInForce> m_preset;
    HostMemory m_hosts;
    std::map<HostId, FailureDomain> m_domains;
    std::map<ShardId, Shard> m_shards;
    std::map<HostId, PermitLinkBytes> m_links;
    std::optional<TimePoint> m_armedFor;
    bool m_pumpScheduled = false;
    bool m_sawMajority = false;
    bool m_stopped = false;
};

} // namespace Rhubarbwind

#include "arbiter/arbiterhostimpl.h"
