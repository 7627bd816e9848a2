#pragma once

// Asks endpoints for their load and cache news, for the shards whose arbiter runs on this host.
//
// Reports are a check on what the arbiter has seen itself, so a lost one is simply not retried. One connection
// an endpoint, at most one call under way on it: an endpoint that hangs costs one connection and nothing else.
// Cost: two calls an endpoint and interval, only from the arbiter's host.

#include "base/sessiontimer.h"
#include "daemon/endpointanswers.h"
#include "platform/clientexchange.h"

#include <functional>
#include <map>
#include <memory>
#include <span>

namespace Rhubarbwind
{

inline constexpr std::size_t maxEndpointAnswerBytes = 1024 * 1024;

struct EndpointNews
{
    std::function<void(const LoadReport &)> onLoad;
    std::function<void(const CacheEvent &)> onCacheEvent;
    std::function<void(const EndpointId &)> onDraining;
};

template <Clock ClockType>
class EndpointPoller : public std::enable_shared_from_this<EndpointPoller<ClockType>>
{
public:
    EndpointPoller(boost::asio::any_io_executor executor, Duration interval, EndpointNews news);

    void start();
    void stop();
    /** Replaces the set that is asked. */
    void setEndpoints(std::span<const Endpoint> endpoints);

private:
    using Exchange = ClientExchange<ClockType>;
    struct Polled
    {
        Endpoint endpoint;
        std::shared_ptr<Exchange> exchange;
        std::uint64_t afterEvent = 0;
        bool busy = false;
    };

    void tick();
    void askLoad(Polled &polled);
    void askCacheEvents(Polled &polled);
    void ask(Polled &polled, std::string target, void (EndpointPoller::*taken)(Polled &, const HttpAnswer &));
    void takeLoad(Polled &polled, const HttpAnswer &answer);
    void takeCacheEvents(Polled &polled, const HttpAnswer &answer);

    boost::asio::any_io_executor m_executor;
    Duration m_interval;
    EndpointNews m_news;
    SessionTimer<ClockType> m_timer;
    std::map<EndpointId, Polled> m_polled;
    bool m_stopped = false;
};

} // namespace Rhubarbwind
