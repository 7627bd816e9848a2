#pragma once

// The runtime's clock as a template parameter of every session.
//
// SteadyClock is std::chrono::steady_clock; ManualClock is advanced by tests. Both yield the same TimePoint,
// so decisions need no template. A session's timers are SessionTimer<ClockType>; with ManualClock a test
// advances the clock and calls io_context::poll(), which finds every timer that has become due.

#include "base/time.h"

#include <concepts>

namespace Rhubarbwind
{

template <class T>
concept Clock = requires
{
    typename T::duration;
    typename T::time_point;
    {
        T::now()
        } -> std::same_as<TimePoint>;
};

using SteadyClock = std::chrono::steady_clock;

/** A clock that stands still until a test advances it. One per process; not for use by several threads. */
class ManualClock
{
public:
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = TimePoint;
    static constexpr bool is_steady = true;

    static TimePoint now()
    {
        return s_now;
    }

    static void advance(Duration step)
    {
        s_now += step;
    }

    static void reset()
    {
        s_now = TimePoint(1h);
    }

private:
    // Starts away from the epoch, so that subtracting a window never goes below zero.
    static inline TimePoint s_now = TimePoint(1h);
};

static_assert(Clock<SteadyClock>);
static_assert(Clock<ManualClock>);

} // namespace Rhubarbwind
