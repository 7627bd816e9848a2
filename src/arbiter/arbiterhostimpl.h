#pragma once

// Implementation of ArbiterHost (arbiterhost.h). Every event updates a decision class and schedules one pump for the end of
// the event-loop turn; the pump ticks each shard and carries out its actions until none remain. So all requests of a turn
// share a batch, and handlers never run while a decision is in progress.

#include "base/rendezvous.h"

#include <boost/asio/post.hpp>

#include <string>
#include <utility>

namespace Rhubarbwind
{

/** Maximum rounds of a pump: client to own arbiter and back takes two; further ones wait for the next event-loop turn. */
inline constexpr int permitPumpRounds = 4;
/** How often a host without a majority checks whether hostMemorySpan has ended. */
inline constexpr Duration permitMajorityCheck = 1s;

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
ArbiterHost<ClockType, Transport, Pool>::ArbiterHost(boost::asio::io_context &context,
                                                     Transport &transport,
                                                     ArbiterHostOptions options,
                                                     PoolFactory<Pool> makePool)
    : m_context(context)
    , m_transport(transport)
    , m_options(std::move(options))
    , m_makePool(std::move(makePool))
    , m_timer(context)
{
    m_options.incarnation = std::max<std::uint64_t>(1, m_options.incarnation % maxPermitNumber);
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::start()
{
    const std::weak_ptr<ArbiterHost> weak = this->weak_from_this();
    m_transport.onFrame(MessageKind::ArbiterRequests, [weak](const HostId &from, std::span<const std::byte> payload) {
        if (const std::shared_ptr<ArbiterHost> self = weak.lock()) {
            self->receiveRequests(from, payload);
        }
    });
    m_transport.onFrame(MessageKind::ArbiterAnswers, [weak](const HostId &from, std::span<const std::byte> payload) {
        if (const std::shared_ptr<ArbiterHost> self = weak.lock()) {
            self->receiveAnswers(from, payload);
        }
    });
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::stop()
{
    m_stopped = true;
    m_timer.cancel();
    for (auto &[id, shard] : m_shards) {
        shard.handlers.clear();
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::request(const ShardId &shardId, const Ticket &ticket, PermitHandler onAnswer)
{
    const auto found = m_shards.find(shardId);
    if (found == m_shards.end()) {
        refuseUnknownShard(ticket.id, std::move(onAnswer));
        return;
    }
    if (found->second.handlers.emplace(ticket.id, std::move(onAnswer)).second) {
        found->second.client.request(ClockType::now(), ticket);
        schedulePump();
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::refuseUnknownShard(const AttemptId &id, PermitHandler onAnswer)
{
    boost::asio::post(m_context, [id, onAnswer = std::move(onAnswer)] { onAnswer(Refusal{id, RefusalReason::NoEndpoint, 1s}); });
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::cancel(const ShardId &shardId, const AttemptId &id)
{
    const auto found = m_shards.find(shardId);
    if (found == m_shards.end()) {
        return;
    }
    found->second.handlers.erase(id);
    found->second.client.cancel(ClockType::now(), id);
    schedulePump();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::progress(const ShardId &shardId, const AttemptId &id, std::uint32_t tokens)
{
    const auto found = m_shards.find(shardId);
    if (found != m_shards.end()) {
        found->second.client.progress(ClockType::now(), id, tokens);
        schedulePump();
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::release(const ShardId &shardId, const Release &release)
{
    const auto found = m_shards.find(shardId);
    if (found != m_shards.end()) {
        found->second.client.release(ClockType::now(), release);
        schedulePump();
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::onPreemption(PreemptionHandler onPreempt)
{
    m_onPreempt = std::move(onPreempt);
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::setHosts(std::vector<HostId> live)
{
    const TimePoint now = ClockType::now();
    m_hosts.update(now, live);
    for (auto &[id, shard] : m_shards) {
        shard.client.setHosts(now, live);
        shard.term.setHosts(now, live);
    }
    std::erase_if(m_links, [&live](const auto &link) { return std::find(live.begin(), live.end(), link.first) == live.end(); });
    assignOwners(now);
    schedulePump();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::setDomains(std::map<HostId, FailureDomain> domains)
{
    m_domains = std::move(domains);
    for (auto &[id, shard] : m_shards) {
        shard.term.setDomains(m_domains);
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::setEndpoints(const ShardId &shardId, std::vector<Endpoint> endpoints)
{
    const TimePoint now = ClockType::now();
    Shard &shard = shardOf(shardId);
    shard.client.setEndpoints(now, endpoints);
    shard.term.setEndpoints(now, endpoints);
    shard.endpoints = std::move(endpoints);
    schedulePump();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::setPreset(std::shared_ptr<const PresetInForce> preset)
{
    const TimePoint now = ClockType::now();
    m_preset = std::move(preset);
    for (auto &[id, shard] : m_shards) {
        shard.client.applyPreset(now, m_preset);
        shard.term.applyPreset(now, m_preset);
    }
    schedulePump();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::loadReport(const LoadReport &report)
{
    const TimePoint now = ClockType::now();
    for (auto &[id, shard] : m_shards) {
        const bool has =
            std::any_of(shard.endpoints.begin(), shard.endpoints.end(), [&report](const Endpoint &endpoint) { return endpoint.id == report.endpoint; });
        if (!has) {
            continue;
        }
        shard.client.loadReport(now, report);
        if constexpr (requires(Pool & pool) { pool.loadReport(now, report); }) {
            if (Pool *pool = shard.term.pool()) {
                pool->loadReport(now, report);
            }
        }
    }
    schedulePump();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::linkChanged(const HostId &peer, LinkState state)
{
    const TimePoint now = ClockType::now();
    for (auto &[id, shard] : m_shards) {
        if (shard.owner != peer) {
            continue;
        }
        if (state == LinkState::Up) {
            shard.client.linkUp(now);
        } else {
            shard.client.linkDown(now);
        }
    }
    schedulePump();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
ArbiterHostStatus ArbiterHost<ClockType, Transport, Pool>::status() const
{
    ArbiterHostStatus status;
    status.seesMajority = m_hosts.seesMajority(ClockType::now());
    for (const auto &[id, shard] : m_shards) {
        status.shards.push_back({id, shard.client.status(), shard.term.status()});
    }
    status.links = m_links;
    return status;
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
typename ArbiterHost<ClockType, Transport, Pool>::Shard &ArbiterHost<ClockType, Transport, Pool>::shardOf(const ShardId &id)
{
    const auto found = m_shards.find(id);
    if (found != m_shards.end()) {
        return found->second;
    }
    const TimePoint now = ClockType::now();
    PermitClientOptions clientOptions = m_options.desk;
    clientOptions.shard = id;
    clientOptions.self = m_options.self;
    clientOptions.incarnation = m_options.incarnation;
    Shard shard{PermitClient(clientOptions, now),
                ArbiterTerm<Pool>(id, m_options.self, m_options.arbiter, m_options.answerFlushInterval, m_makePool),
                HostId(),
                {},
                {},
                false};
    shard.client.setHosts(now, m_hosts.live());
    if (m_preset != nullptr) {
        shard.client.applyPreset(now, m_preset);
        shard.term.applyPreset(now, m_preset);
    }
    shard.term.setDomains(m_domains);
    Shard &added = m_shards.emplace(id, std::move(shard)).first->second;
    assignOwners(now);
    return added;
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::assignOwners(TimePoint now)
{
    // Cut off from the majority, this host would assign an arbiter on its own side of the partition while the other side keeps
    // another: the endpoints would be filled twice. A host's static share is its own on either side.
    m_sawMajority = m_hosts.seesMajority(now);
    for (auto &[id, shard] : m_shards) {
        const HostId owner = m_sawMajority ? rendezvousOwner(m_hosts.live(), "arbiter/" + id.text()) : HostId();
        if (owner == shard.owner) {
            continue;
        }
        if (serves(shard)) {
            shard.term.drop();
        }
        shard.owner = owner;
        shard.client.ownerChanged(now, owner);
        m_log.info("Shard " + id.text() + " is served by " + (owner.empty() ? "nobody" : owner.text()) + ".");
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::schedulePump()
{
    if (m_pumpScheduled || m_stopped) {
        return;
    }
    m_pumpScheduled = true;
    boost::asio::post(m_context, [self = this->shared_from_this()] {
        self->m_pumpScheduled = false;
        self->pump();
    });
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::pump()
{
    if (m_stopped) {
        return;
    }
    const TimePoint now = ClockType::now();
    if (m_hosts.seesMajority(now) != m_sawMajority) {
        assignOwners(now);
    }
    bool busy = true;
    for (int round = 0; busy && round < permitPumpRounds; ++round) {
        busy = false;
        for (auto &[id, shard] : m_shards) {
            busy = carryOut(now, shard) || busy;
            logFallback(id, shard);
        }
    }
    if (busy) {
        schedulePump();
    }
    arm(now);
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
bool ArbiterHost<ClockType, Transport, Pool>::carryOut(TimePoint now, Shard &shard)
{
    shard.client.tick(now);
    std::vector<PermitClientAction> actions = shard.client.takeActions();
    for (PermitClientAction &action : actions) {
        carryOut(now, shard, action);
    }
    shard.term.tick(now);
    const std::vector<PermitAnswersTo> answers = shard.term.takeAnswers(now);
    for (const PermitAnswersTo &message : answers) {
        sendAnswers(now, shard, message);
    }
    return !actions.empty() || !answers.empty();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::carryOut(TimePoint now, Shard &shard, PermitClientAction &action)
{
    if (const SendPermitRequests *message = std::get_if<SendPermitRequests>(&action)) {
        sendRequests(now, shard, *message);
    } else if (const Grant *grant = std::get_if<Grant>(&action)) {
        answer(shard, grant->id, *grant);
    } else if (const Refusal *refusal = std::get_if<Refusal>(&action)) {
        answer(shard, refusal->id, *refusal);
    } else if (m_onPreempt) {
        m_onPreempt(std::get<Preemption>(action).id);
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::answer(Shard &shard, const AttemptId &id, const PermitAnswer &answer)
{
    // Without a handler the request was cancelled in this event-loop turn; the client returns the grant.
    if (typename std::map<AttemptId, PermitHandler>::node_type handler = shard.handlers.extract(id)) {
        handler.mapped()(answer);
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::sendRequests(TimePoint now, Shard &shard, const SendPermitRequests &message)
{
    if (message.to != m_options.self) {
        sendFrame(message.to, MessageKind::ArbiterRequests, encodePermitRequests(message.batch));
    } else if (serves(shard)) {
        shard.term.requests(now, message.batch);
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::sendAnswers(TimePoint now, Shard &shard, const PermitAnswersTo &message)
{
    if (message.to == m_options.self) {
        shard.client.answers(now, m_options.self, message.answers);
    } else {
        sendFrame(message.to, MessageKind::ArbiterAnswers, encodePermitAnswers(message.answers));
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::sendFrame(const HostId &to, MessageKind kind, std::vector<std::byte> payload)
{
    PermitLinkBytes &link = m_links[to];
    const std::size_t size = payload.size();
    // A frame that is not sent leaves a gap in the sequence numbers, which the other end detects.
    if (m_transport.send(to, kind, std::move(payload))) {
        ++link.framesSent;
        link.bytesSent += size;
    } else {
        ++link.framesRefused;
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::receiveRequests(const HostId &from, std::span<const std::byte> payload)
{
    PermitLinkBytes &link = m_links[from];
    ++link.framesReceived;
    link.bytesReceived += payload.size();
    const Result<PermitRequests, PermitDecodeError> requests = decodePermitRequests(payload);
    if (!requests || requests.value().sender != from) {
        ++link.framesMalformed;
        return;
    }
    const auto found = m_shards.find(requests.value().shard);
    // In this host's view of membership another host serves the shard. The sender gets no answer and re-sends everything once
    // both views agree; serving it now would start a second arbiter.
    if (found == m_shards.end() || !serves(found->second)) {
        return;
    }
    found->second.term.requests(ClockType::now(), requests.value());
    schedulePump();
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::receiveAnswers(const HostId &from, std::span<const std::byte> payload)
{
    PermitLinkBytes &link = m_links[from];
    ++link.framesReceived;
    link.bytesReceived += payload.size();
    const Result<PermitAnswers, PermitDecodeError> answers = decodePermitAnswers(payload);
    if (!answers) {
        ++link.framesMalformed;
        return;
    }
    const auto found = m_shards.find(answers.value().shard);
    if (found != m_shards.end()) {
        found->second.client.answers(ClockType::now(), from, answers.value());
        schedulePump();
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::logFallback(const ShardId &id, Shard &shard)
{
    const bool inFallback = shard.client.status().fallback;
    if (inFallback == shard.inFallback) {
        return;
    }
    shard.inFallback = inFallback;
    if (inFallback) {
        m_log.warn("Shard " + id.text() + " has no answer from its arbiter, granting from the static share.");
    } else {
        m_log.info("Shard " + id.text() + " is answered by its arbiter again.");
    }
}

template <Clock ClockType, PeerTransport Transport, EndpointChooser Pool>
void ArbiterHost<ClockType, Transport, Pool>::arm(TimePoint now)
{
    std::optional<TimePoint> wake;
    const auto atLatest = [&wake](const std::optional<TimePoint> &at) {
        if (at) {
            wake = wake ? std::min(*wake, *at) : *at;
        }
    };
    for (const auto &[id, shard] : m_shards) {
        atLatest(shard.client.nextWake());
        atLatest(shard.term.nextWake());
    }
    if (!m_sawMajority) {
        atLatest(now + permitMajorityCheck);
    }
    if (wake == m_armedFor && wake) {
        return;
    }
    m_armedFor = wake;
    if (!wake) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(*wake);
    m_timer.async_wait([weak = this->weak_from_this(), armedFor = *wake](const boost::system::error_code &error) {
        const std::shared_ptr<ArbiterHost> self = weak.lock();
        if (!self || error || self->m_armedFor != armedFor) {
            return;
        }
        self->m_armedFor.reset();
        self->pump();
    });
}

} // namespace Rhubarbwind
