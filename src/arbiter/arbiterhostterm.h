#pragma once

// The arbiter's side of one shard on one host, without I/O: passes the clients' batches to Arbiter and batches its answers.
//
// The first batch begins a term. Its epoch is greater than every epoch that any client has reported. A client that reports
// a greater epoch, or the same one from another host, makes this host begin a new term. So two hosts that both believe that
// they serve the shard never send grants of one epoch to the same client, and the client recognises the former one's grants
// by their smaller epoch. While two arbiters serve, an endpoint may get more work than its limit until membership agrees;
// no request runs twice, since a client uses one grant per attempt.
//
// A term begins with a new Arbiter and a new pool: the clients that still hold grants of the former term report them again.
//
// Use: pass events with the time, then takeAnswers(); call tick() at nextWake(). Bounds: those of Arbiter, plus one small
// record per client.

#include "arbiter/arbiter.h"
#include "arbiter/permitclientpeer.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

template <EndpointChooser Pool>
using PoolFactory = std::function<std::unique_ptr<Pool>(const ShardId &shard)>;

struct PermitAnswersTo
{
    HostId to;
    PermitAnswers answers;
};

template <EndpointChooser Pool>
class ArbiterTerm
{
public:
    ArbiterTerm(ShardId shard, HostId self, ArbiterOptions options, Duration flushInterval, PoolFactory<Pool> makePool)
        : m_shard(std::move(shard))
        , m_self(std::move(self))
        , m_options(options)
        , m_flushInterval(flushInterval)
        , m_makePool(std::move(makePool))
    {
    }

    /** Nothing is served without a preset: clients detect the silence and send again. */
    void applyPreset(TimePoint now, std::shared_ptr<const PresetInForce> preset)
    {
        m_preset = std::move(preset);
        if (m_arbiter) {
            m_arbiter->applyPreset(now, m_preset);
            collect();
        }
    }

    void setEndpoints(TimePoint now, std::span<const Endpoint> endpoints)
    {
        m_endpoints.assign(endpoints.begin(), endpoints.end());
        if (m_arbiter) {
            m_pool->update(now, m_endpoints);
            tick(now);
        }
    }

    /** Removes the clients of hosts that are no longer live; their running work keeps its slots for ArbiterOptions::orphanHold. */
    void setHosts(TimePoint now, std::span<const HostId> live)
    {
        std::vector<HostId> removed;
        for (const auto &[host, peer] : m_peers) {
            if (std::find(live.begin(), live.end(), host) == live.end()) {
                removed.push_back(host);
            }
        }
        for (const HostId &host : removed) {
            removeClient(now, host);
        }
    }

    /** Sets the failure domains of the entry hosts, for the hop cost of each choice. */
    void setDomains(const std::map<HostId, FailureDomain> &domains)
    {
        m_domains = domains;
        if (m_arbiter) {
            applyDomains();
        }
    }

    /** Ownership moved to another host: drops the arbiter; its clients send their whole state to the next one. */
    void drop()
    {
        m_arbiter.reset();
        m_pool.reset();
        m_peers.clear();
        m_pending.clear();
    }

    void requests(TimePoint now, const PermitRequests &batch)
    {
        m_greatestEpoch = std::max({m_greatestEpoch, batch.epochSeen, batch.epochElsewhere});
        if (batch.onlyTerm != 0) {
            applyReturnedGrants(now, batch);
            return;
        }
        if (m_preset == nullptr) {
            return;
        }
        const bool superseded = batch.epochSeen > m_epoch || batch.epochElsewhere >= m_epoch;
        if (!m_arbiter || superseded) {
            begin(now);
        }
        const PermitClientPeer::Arrival arrival = m_peers[batch.sender].receive(batch);
        if (arrival == PermitClientPeer::Arrival::Drop) {
            return;
        }
        if (arrival == PermitClientPeer::Arrival::ApplyAfterReset) {
            m_arbiter->hostRemoved(now, batch.sender);
            applyDomains(); // hostRemoved() also removed the host's domain
            m_pending.erase(batch.sender);
        }
        apply(now, batch);
    }

    void tick(TimePoint now)
    {
        if (m_arbiter) {
            m_arbiter->tick(now);
            collect();
        }
    }

    /** Returns the answers that are due; those to this host do not wait for the flush interval. */
    std::vector<PermitAnswersTo> takeAnswers(TimePoint now)
    {
        std::vector<PermitAnswersTo> due;
        const bool flushOthers = now >= m_lastFlush + m_flushInterval;
        for (auto &[host, peer] : m_peers) {
            if ((host == m_self || flushOthers) && isAnswerPending(host, peer)) {
                takeAnswersTo(now, host, peer, due);
            }
        }
        return due;
    }

    std::optional<TimePoint> nextWake() const
    {
        std::optional<TimePoint> wake = m_arbiter ? m_arbiter->nextWake() : std::nullopt;
        const bool anyPending = std::any_of(m_peers.begin(), m_peers.end(), [this](const auto &entry) { return isAnswerPending(entry.first, entry.second); });
        if (anyPending) {
            const TimePoint flush = m_lastFlush + m_flushInterval;
            wake = wake ? std::min(*wake, flush) : flush;
        }
        return wake;
    }

    /** None while no term runs here. */
    std::optional<ArbiterStatus> status() const
    {
        return m_arbiter ? std::optional(m_arbiter->status()) : std::nullopt;
    }

    /** The current term's pool, for endpoint updates; null while no term runs here. */
    Pool *pool()
    {
        return m_pool.get();
    }

private:
    void begin(TimePoint now)
    {
        drop();
        m_epoch = std::min(m_greatestEpoch + 1, maxPermitNumber);
        m_greatestEpoch = m_epoch;
        m_pool = m_makePool(m_shard);
        m_pool->update(now, m_endpoints);
        m_arbiter = std::make_unique<Arbiter<Pool>>(m_shard, m_options, *m_pool, m_epoch, now);
        m_arbiter->applyPreset(now, m_preset);
        applyDomains();
    }

    void applyDomains()
    {
        for (const auto &[host, domain] : m_domains) {
            m_arbiter->hostDomain(host, domain);
        }
    }

    void apply(TimePoint now, const PermitRequests &batch)
    {
        // Slots are freed first, and running work is recorded before anything new is granted.
        for (const AttemptId &id : batch.cancels) {
            m_arbiter->cancel(now, id);
        }
        for (const Release &release : batch.releases) {
            m_arbiter->release(now, release);
        }
        for (const HeldPermit &permit : batch.held) {
            m_arbiter->held(now, permit);
        }
        for (const PermitRequests::Progress &entry : batch.progress) {
            m_arbiter->progress(now, entry.id, entry.tokens);
        }
        for (const Ticket &ticket : batch.tickets) {
            m_arbiter->ticket(now, ticket);
        }
        collect();
    }

    void applyReturnedGrants(TimePoint now, const PermitRequests &batch)
    {
        // Only grants of this term: the attempt may by now hold a valid permit of a later one.
        if (!m_arbiter || batch.onlyTerm != m_epoch) {
            return;
        }
        for (const Release &release : batch.releases) {
            m_arbiter->release(now, release);
        }
        collect();
    }

    void removeClient(TimePoint now, const HostId &host)
    {
        m_peers.erase(host);
        m_pending.erase(host);
        m_arbiter->hostRemoved(now, host);
        collect();
    }

    /** Groups the arbiter's actions by host, in answers of bounded size. */
    void collect()
    {
        for (ArbiterAction &action : m_arbiter->takeActions()) {
            if (!m_peers.contains(action.host)) {
                continue; // removed; a host that returns re-sends its tickets and gets new answers
            }
            std::vector<PermitAnswers> &answers = m_pending[action.host];
            if (answers.empty() || isFull(answers.back())) {
                answers.emplace_back();
            }
            PermitAnswers &last = answers.back();
            if (Grant *grant = std::get_if<Grant>(&action.message)) {
                last.grants.push_back(std::move(*grant));
            } else if (Refusal *refusal = std::get_if<Refusal>(&action.message)) {
                last.refusals.push_back(std::move(*refusal));
            } else {
                last.preemptions.push_back(std::move(std::get<Preemption>(action.message)));
            }
        }
    }

    static bool isFull(const PermitAnswers &answers)
    {
        return answers.grants.size() + answers.refusals.size() + answers.preemptions.size() >= maxBatchEntries;
    }

    bool isAnswerPending(const HostId &host, const PermitClientPeer &peer) const
    {
        return peer.hasPendingAnswer() || m_pending.contains(host);
    }

    void takeAnswersTo(TimePoint now, const HostId &host, PermitClientPeer &peer, std::vector<PermitAnswersTo> &due)
    {
        std::vector<PermitAnswers> answers;
        if (typename std::map<HostId, std::vector<PermitAnswers>>::node_type pending = m_pending.extract(host)) {
            answers = std::move(pending.mapped());
        }
        if (answers.empty()) {
            answers.emplace_back(); // shows that the arbiter is alive and what it has received
        }
        for (PermitAnswers &answer : answers) {
            answer.shard = m_shard;
            answer.epoch = m_epoch;
            peer.stamp(answer);
            due.push_back({host, std::move(answer)});
        }
        if (host != m_self) {
            m_lastFlush = now;
        }
    }

    ShardId m_shard;
    HostId m_self;
    ArbiterOptions m_options;
    Duration m_flushInterval;
    PoolFactory<Pool> m_makePool;
    std::map<HostId, FailureDomain> m_domains;
    std::shared_ptr<const PresetInForce> m_preset;
    std::vector<Endpoint> m_endpoints;
    Epoch m_epoch = 0;
    Epoch m_greatestEpoch = 0; ///< own or reported by a client
    std::unique_ptr<Pool> m_pool;
    std::unique_ptr<Arbiter<Pool>> m_arbiter;
    std::map<HostId, PermitClientPeer> m_peers;
    std::map<HostId, std::vector<PermitAnswers>> m_pending;
    TimePoint m_lastFlush;
};

} // namespace Rhubarbwind
