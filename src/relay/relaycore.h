#pragma once

// The relay behind its ports: reads callers' requests, starts their calls, finds held answers again.
//
// See relay.h for what it promises. RelayCore is compiled once a clock; Relay binds the ports.

#include "relay/customerlookup.h"
#include "relay/relaycall.h"

#include <deque>
#include <unordered_map>

namespace Rhubarbwind
{

/** Serves what the relay does not: true if it took the request and will answer through the exchange. */
using HttpFallback = std::function<bool(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)>;

struct RelayDependencies
{
    boost::asio::io_context &io;
    PresetSource preset;
    EndpointLookup findEndpoint;
    Metrics &metrics;
    SpanRing &spans;
    HostId host;
    std::uint64_t seed = 0; ///< of the jitter in delays
};

template <Clock ClockType>
class RelayCore
{
public:
    RelayCore(RelayDependencies dependencies, RelayOptions options, RelayPorts ports);
    ~RelayCore();
    RelayCore(const RelayCore &) = delete;
    RelayCore &operator=(const RelayCore &) = delete;

    Result<void, HttpServerError> listen();
    std::uint16_t port() const;
    void setFallback(HttpFallback fallback);
    void onEndpointDraining(DrainingHandler handler);
    void preempted(const AttemptId &id);
    void drain(std::function<void()> whenEmpty);
    RelayStats stats() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace Rhubarbwind
