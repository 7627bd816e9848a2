// A call takes the most recently used idle connection that still looks open, else a new one, else it waits.
// The newest first keeps few connections warm and lets the others age out.

#include "platform/platformconnections.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace Rhubarbwind
{

namespace asio = boost::asio;

template <Clock ClockType>
PlatformConnections<ClockType>::PlatformConnections(asio::any_io_executor executor, PlatformOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_budget(m_options.rates, ClockType::now())
{
}

template <Clock ClockType>
void PlatformConnections<ClockType>::call(CallKind kind, HttpCall call, Duration wait, AnswerHandler handler)
{
    const TimePoint now = ClockType::now();
    if (m_closed) {
        failLater(std::move(handler), PlatformErrorKind::Unreachable);
        return;
    }
    dropExpired(now);
    if (m_queue.size() >= m_options.maxQueued || !m_budget.take(kind, wait, now)) {
        failLater(std::move(handler), PlatformErrorKind::OverBudget);
        return;
    }
    const Duration limit = kind == CallKind::Watch ? wait + m_options.watchGrace : m_options.callTimeout;
    m_queue.push_back({kind, std::move(call), limit, now + m_options.callTimeout, std::move(handler), false});
    startQueued();
}

template <Clock ClockType>
void PlatformConnections<ClockType>::close()
{
    m_closed = true;
    while (!m_queue.empty()) {
        failLater(std::move(m_queue.front().handler), PlatformErrorKind::Unreachable);
        m_queue.pop_front();
    }
    for (const std::shared_ptr<Exchange> &exchange : m_busy) {
        exchange->close();
    }
    m_idle.clear();
}

template <Clock ClockType>
void PlatformConnections<ClockType>::failLater(AnswerHandler handler, PlatformErrorKind kind)
{
    asio::post(m_executor, [handler = std::move(handler), kind] { handler(failure(PlatformError{kind, 0})); });
}

template <Clock ClockType>
bool PlatformConnections<ClockType>::hasRoom(CallKind kind) const
{
    return kind == CallKind::Watch ? m_busyWatches < m_options.maxWatches : m_busyCalls < m_options.maxConnections;
}

template <Clock ClockType>
void PlatformConnections<ClockType>::startQueued()
{
    dropExpired(ClockType::now());
    for (std::size_t i = 0; i < m_queue.size();) {
        if (!hasRoom(m_queue[i].kind)) {
            ++i;
            continue;
        }
        Pending pending = std::move(m_queue[i]);
        m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(i));
        start(std::move(pending));
    }
}

template <Clock ClockType>
void PlatformConnections<ClockType>::dropExpired(TimePoint now)
{
    std::erase_if(m_queue, [&](Pending &pending) {
        if (pending.startBy > now) {
            return false;
        }
        failLater(std::move(pending.handler), PlatformErrorKind::Unreachable);
        return true;
    });
}

template <Clock ClockType>
void PlatformConnections<ClockType>::start(Pending pending)
{
    std::shared_ptr<Exchange> exchange = takeIdle(ClockType::now());
    const bool reused = exchange != nullptr;
    if (!reused) {
        const asio::ip::tcp::endpoint server(asio::ip::make_address(m_options.ip), m_options.port);
        exchange = std::make_shared<Exchange>(m_executor, server, m_options.maxAnswerBytes);
    }
    (pending.kind == CallKind::Watch ? m_busyWatches : m_busyCalls) += 1;
    m_busy.push_back(exchange);
    HttpCall call = pending.call;
    const Duration limit = pending.limit;
    exchange->start(std::move(call),
                    limit,
                    [self = this->shared_from_this(), exchange, reused, pending = std::move(pending)](Result<HttpAnswer, ExchangeError> result) mutable {
                        self->onExchanged(exchange, reused, std::move(pending), std::move(result));
                    });
}

template <Clock ClockType>
void PlatformConnections<ClockType>::onExchanged(const std::shared_ptr<Exchange> &exchange,
                                                 bool reused,
                                                 Pending pending,
                                                 Result<HttpAnswer, ExchangeError> result)
{
    (pending.kind == CallKind::Watch ? m_busyWatches : m_busyCalls) -= 1;
    std::erase(m_busy, exchange);
    if (result.has_value()) {
        exchange->setIdleSince(ClockType::now());
        m_idle.push_back(exchange);
        pending.handler(std::move(result).assume_value());
        startQueued();
        return;
    }
    const ExchangeError error = result.error();
    // The platform may close an idle connection just as it is used again; a read loses nothing by a second try.
    if (reused && !pending.retried && pending.kind != CallKind::Write && error != ExchangeError::TimedOut && !m_closed) {
        m_idle.clear();
        pending.retried = true;
        start(std::move(pending));
        return;
    }
    const PlatformErrorKind kind = error == ExchangeError::NotSent ? PlatformErrorKind::Unreachable : PlatformErrorKind::Unknown;
    pending.handler(failure(PlatformError{kind, 0}));
    startQueued();
}

template <Clock ClockType>
std::shared_ptr<typename PlatformConnections<ClockType>::Exchange> PlatformConnections<ClockType>::takeIdle(TimePoint now)
{
    while (!m_idle.empty()) {
        std::shared_ptr<Exchange> exchange = std::move(m_idle.back());
        m_idle.pop_back();
        if (now - exchange->idleSince() <= m_options.idleLimit && exchange->isReusable()) {
            return exchange;
        }
    }
    return nullptr;
}

template class PlatformConnections<SteadyClock>;
template class PlatformConnections<ManualClock>;

} // namespace Rhubarbwind
