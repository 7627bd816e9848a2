#pragma once

// What the holder of the duties leaves to the next one, in the lease's note (placement/lease.h).

#include "duties/engineorders.h"
#include "duties/usagereports.h"

#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

struct DutyState
{
    std::string usage; ///< as UsageReports writes and reads it; empty: none
    std::vector<EngineGoal> engines;
    friend bool operator==(const DutyState &, const DutyState &) = default;
};

std::string formatDutyState(const DutyState &note);
/** A text that is no note is an empty one: what nobody can know is left out, goals are fixed anew. */
DutyState parseDutyState(std::string_view text);

} // namespace Rhubarbwind
