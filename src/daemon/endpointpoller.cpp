#include "daemon/endpointpoller.h"

#include <set>

namespace Rhubarbwind
{

template <Clock ClockType>
EndpointPoller<ClockType>::EndpointPoller(boost::asio::any_io_executor executor, Duration interval, EndpointNews news)
    : m_executor(executor)
    , m_interval(interval)
    , m_news(std::move(news))
    , m_timer(executor)
{
}

template <Clock ClockType>
void EndpointPoller<ClockType>::start()
{
    tick();
}

template <Clock ClockType>
void EndpointPoller<ClockType>::stop()
{
    m_stopped = true;
    m_timer.cancel();
    for (auto &[id, polled] : m_polled) {
        if (polled.exchange) {
            polled.exchange->close();
        }
    }
}

template <Clock ClockType>
void EndpointPoller<ClockType>::setEndpoints(std::span<const Endpoint> endpoints)
{
    std::set<EndpointId> kept;
    for (const Endpoint &endpoint : endpoints) {
        kept.insert(endpoint.id);
        Polled &polled = m_polled[endpoint.id];
        const bool moved = polled.endpoint.address != endpoint.address || polled.endpoint.port != endpoint.port;
        if (moved && polled.exchange) {
            polled.exchange->close();
            polled.exchange.reset();
        }
        polled.endpoint = endpoint;
    }
    std::erase_if(m_polled, [&kept](const std::pair<const EndpointId, Polled> &entry) { return !kept.contains(entry.first); });
}

template <Clock ClockType>
void EndpointPoller<ClockType>::tick()
{
    if (m_stopped) {
        return;
    }
    for (auto &[id, polled] : m_polled) {
        if (!polled.busy) {
            askLoad(polled);
        }
    }
    m_timer.expires_after(m_interval);
    m_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
        const std::shared_ptr<EndpointPoller> self = weak.lock();
        if (self && !error) {
            self->tick();
        }
    });
}

template <Clock ClockType>
void EndpointPoller<ClockType>::askLoad(Polled &polled)
{
    ask(polled, "/v1/load", &EndpointPoller::takeLoad);
}

template <Clock ClockType>
void EndpointPoller<ClockType>::askCacheEvents(Polled &polled)
{
    if (polled.endpoint.kind == EndpointKind::Engine) {
        ask(polled, "/v1/cache-events?after=" + std::to_string(polled.afterEvent), &EndpointPoller::takeCacheEvents);
    }
}

template <Clock ClockType>
void EndpointPoller<ClockType>::ask(Polled &polled, std::string target, void (EndpointPoller::*taken)(Polled &, const HttpAnswer &))
{
    boost::system::error_code bad;
    const boost::asio::ip::address address = boost::asio::ip::make_address(polled.endpoint.address, bad);
    if (bad) {
        return;
    }
    if (!polled.exchange || !polled.exchange->isReusable()) {
        polled.exchange = std::make_shared<Exchange>(m_executor, boost::asio::ip::tcp::endpoint(address, polled.endpoint.port), maxEndpointAnswerBytes);
    }
    polled.busy = true;
    HttpCall call;
    call.target = std::move(target);
    polled.exchange->start(
        std::move(call), m_interval, [weak = this->weak_from_this(), id = polled.endpoint.id, taken](const Result<HttpAnswer, ExchangeError> &result) {
            const std::shared_ptr<EndpointPoller> self = weak.lock();
            if (!self) {
                return;
            }
            const auto found = self->m_polled.find(id);
            if (found == self->m_polled.end()) {
                return;
            }
            Polled &polled = found->second;
            polled.busy = false;
            if (result.has_error() || result.value().status != 200) {
                polled.exchange.reset();
                return;
            }
            ((*self).*taken)(polled, result.value());
        });
}

template <Clock ClockType>
void EndpointPoller<ClockType>::takeLoad(Polled &polled, const HttpAnswer &answer)
{
    const Result<EndpointLoadAnswer, EndpointAnswerError> load = readLoadAnswer(polled.endpoint.id, answer.body);
    if (load.has_error()) {
        return;
    }
    askCacheEvents(polled);
    const bool draining = load.value().draining;
    const EndpointId endpoint = polled.endpoint.id;
    m_news.onLoad(load.value().report);
    if (draining) {
        m_news.onDraining(endpoint);
    }
}

template <Clock ClockType>
void EndpointPoller<ClockType>::takeCacheEvents(Polled &polled, const HttpAnswer &answer)
{
    const Result<CacheEventsAnswer, EndpointAnswerError> events = readCacheEvents(polled.endpoint.id, answer.body);
    if (events.has_error()) {
        return;
    }
    polled.afterEvent = std::max(polled.afterEvent, events.value().next);
    for (const CacheEvent &event : events.value().events) {
        m_news.onCacheEvent(event);
    }
}

template class EndpointPoller<SteadyClock>;
template class EndpointPoller<ManualClock>;

} // namespace Rhubarbwind
