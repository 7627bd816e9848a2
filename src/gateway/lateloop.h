#pragma once

// Detects that the host's event loop stood still, and holds requests until the host knows again which endpoints have left and
// which configuration is in force.
//
// Failure: a busy machine runs a host's process again after seconds. Its sockets hold requests and the news that an endpoint leaves, and are read in
// any order, so requests were sent to endpoints that had long left. A datagram buffer that overflowed meanwhile has lost news, so requests are held until
// the datagrams have been read and then a peer or the platform has confirmed what the host knows.
//
// Use: call tick() often and holds() before each send. Without ports nothing is held. While the loop runs, holds() compares two times.

#include "base/time.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace Rhubarbwind
{

struct LateLoopPorts
{
    std::function<void()> readWaiting; ///< reads the datagrams that have arrived
    /** Who has confirmed since that time that this host knows all changes of endpoints and configuration; empty: nobody. */
    std::function<std::string_view(TimePoint since)> confirmedBy;
};

/** A hold that has ended. */
struct LateLoopHold
{
    Duration late{}; ///< the event loop stood still for so long
    Duration held{};
    std::size_t requests = 0; ///< that waited
    std::string_view endedBy;
};

class LateLoop
{
public:
    void setPorts(LateLoopPorts ports)
    {
        m_ports = std::move(ports);
    }

    /** Whether requests must not be sent to endpoints now. */
    bool holds(TimePoint now)
    {
        if (now - m_ranAt > maxLateness) {
            m_late = m_isHolding ? std::max(m_late, now - m_ranAt) : now - m_ranAt;
            m_heldSince = m_isHolding ? m_heldSince : now;
            m_ranAt = now;
            m_isHolding = true;
            m_readAt.reset();
        }
        return m_isHolding;
    }

    void requestHeld()
    {
        ++m_requests;
    }

    /** @return the hold that has just ended */
    std::optional<LateLoopHold> tick(TimePoint now)
    {
        if (!m_ports.confirmedBy) {
            return std::nullopt;
        }
        const bool isHolding = holds(now);
        m_ranAt = now;
        if (!isHolding) {
            return std::nullopt;
        }
        if (!m_readAt) {
            m_ports.readWaiting();
            m_readAt = now;
            return std::nullopt;
        }
        const bool isOver = now - *m_readAt >= maxHold;
        const std::string_view by = m_ports.confirmedBy(*m_readAt);
        if (by.empty() && !isOver) {
            return std::nullopt;
        }
        m_isHolding = false;
        return LateLoopHold{m_late, now - m_heldSince, std::exchange(m_requests, 0), by.empty() ? "time" : by};
    }

private:
    // A leaving endpoint allows two seconds at least. Its leaving reaches a host that is late by less within them.
    static constexpr Duration maxLateness = 500ms;
    // A host that is cut off from peers and the platform serves by what it knows.
    static constexpr Duration maxHold = 1s;

    LateLoopPorts m_ports;
    TimePoint m_ranAt = TimePoint::max(); ///< when the loop is known to have run
    TimePoint m_heldSince{};
    std::optional<TimePoint> m_readAt; ///< when the datagrams were read that had arrived while the loop stood still
    Duration m_late{};
    std::size_t m_requests = 0;
    bool m_isHolding = false;
};

} // namespace Rhubarbwind
