#pragma once

// The relay: callers on one side, endpoints on the other, and between them each request's life.
//
//     Relay<SteadyClock, ArbiterClient, LedgerClient> relay(io, options, permits, claims, preset, endpoints, metrics, spans, host);
//     relay.setFallback(...);          // whatever else is served on the same port
//     relay.onEndpointDraining(...);   // an endpoint said that it is leaving
//     if (!relay.listen()) ...
//     relay.drain([] { ... });         // planned stop
//
// It serves POST /v1/chat/completions, POST /v1/services/{shard}/{path} and GET /v1/streams/{request}; see
// docs/CALLERS.md for headers, outcomes and errors.
//
// What it promises: see RequestLife, which decides, and outcome.h, which names what a caller is told. Each
// caller gets the whole answer to its own request or a typed error; events that are late, doubled or of an
// earlier attempt reach nobody. Refusals are answered at once.
//
// Bounds: RelayOptions; every budget that is used up gives a typed refusal with outcome not-run.
//
// drain() closes the listener, lets running and queued requests end, and calls back when none is left. A
// second call changes nothing but adds its callback. Held answers are not waited for.
//
// The ports, metrics and spans must outlive it. Use it from the io_context's thread only.

#include "base/requestid.h"
#include "relay/relaycore.h"

#include <functional>
#include <memory>
#include <utility>

namespace Rhubarbwind
{

template <Clock ClockType, PermitPort Permits, ClaimPort Claims>
class Relay
{
public:
    Relay(boost::asio::io_context &io,
          RelayOptions options,
          Permits &permits,
          Claims &claims,
          PresetSource preset,
          EndpointLookup findEndpoint,
          Metrics &metrics,
          SpanRing &spans,
          HostId host)
        : m_core(std::make_shared<RelayCore<ClockType>>(
            RelayDependencies{io, std::move(preset), std::move(findEndpoint), metrics, spans, std::move(host), std::hash<std::string>()(freshId())},
            std::move(options),
            portsOf(permits, claims)))
    {
        permits.onPreemption([weak = std::weak_ptr<RelayCore<ClockType>>(m_core)](const AttemptId &id) {
            if (const std::shared_ptr<RelayCore<ClockType>> core = weak.lock()) {
                core->preempted(id);
            }
        });
    }

    Result<void, HttpServerError> listen()
    {
        return m_core->listen();
    }
    std::uint16_t port() const
    {
        return m_core->port();
    }
    void setFallback(HttpFallback fallback)
    {
        m_core->setFallback(std::move(fallback));
    }
    void onEndpointDraining(DrainingHandler handler)
    {
        m_core->onEndpointDraining(std::move(handler));
    }
    void drain(std::function<void()> whenEmpty)
    {
        m_core->drain(std::move(whenEmpty));
    }
    RelayStats stats() const
    {
        return m_core->stats();
    }

private:
    static RelayPorts portsOf(Permits &permits, Claims &claims)
    {
        RelayPorts ports;
        ports.askPermit = [&permits](const ShardId &shard, const Ticket &ticket, PermitHandler handler) { permits.request(shard, ticket, std::move(handler)); };
        ports.cancelTicket = [&permits](const ShardId &shard, const AttemptId &id) { permits.cancel(shard, id); };
        ports.progress = [&permits](const ShardId &shard, const AttemptId &id, std::uint32_t tokens) { permits.progress(shard, id, tokens); };
        ports.release = [&permits](const ShardId &shard, const Release &release) { permits.release(shard, release); };
        ports.claim = [&claims](const ClaimKey &key, const RequestId &request, Duration deadlineIn, ClaimHandler handler) {
            claims.claim(key, request, deadlineIn, std::move(handler));
        };
        ports.finishClaim = [&claims](const ClaimKey &key, const RequestId &request, ClaimState state) { claims.finish(key, request, state); };
        return ports;
    }

    std::shared_ptr<RelayCore<ClockType>> m_core;
};

} // namespace Rhubarbwind
