#pragma once

// A clock that goes on while the host is suspended; the steady clock stands still then.
//
// For what somebody else measures meanwhile: a lease that runs out, whatever became of its holder. Timers and time-outs take the steady clock.

#include "base/time.h"

#include <ctime>

namespace Rhubarbwind
{

inline TimePoint suspendClockNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace Rhubarbwind
