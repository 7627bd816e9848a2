#pragma once

// Timers for sessions, bound to the session's clock type (see clock.h).

#include "base/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace Rhubarbwind
{

/** Under a manual clock the reactor may not sleep for virtual time, so the wait is reported as due at once or as a short poll. */
template <Clock ClockType>
struct SessionWaitTraits
{
    static Duration to_wait_duration(const Duration &duration) // NOLINT(readability-identifier-naming): name set by Asio
    {
        return duration;
    }
    static Duration to_wait_duration(const TimePoint &point) // NOLINT(readability-identifier-naming): name set by Asio
    {
        return point - ClockType::now();
    }
};

template <Clock ClockType>
using SessionTimer = boost::asio::basic_waitable_timer<ClockType, SessionWaitTraits<ClockType>>;

} // namespace Rhubarbwind
