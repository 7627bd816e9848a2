#pragma once

// What an emulated fleet consists of: hosts, engines, attempts, and the events that move it.

#include "emulator/emulation.h"
#include "gateway/resendbudget.h"
#include "gateway/sendrecord.h"
#include "placing/endpointboard.h"

#include <vector>

namespace Rhubarbwind
{

EndpointId engineId(std::size_t index);
std::size_t engineIndex(const EndpointId &id);
const ShardId &engineService();
BoardOptions boardOptions(const TrafficSheet &sheet, const Mechanisms &with);

struct EmulatedHost
{
    EmulatedHost(const BoardOptions &board, std::uint64_t seed)
        : board(board, seed)
        , budget(ResendBudgetOptions())
    {
    }
    EndpointBoard board;
    ResendBudget budget;
};

enum class EmulatedEventKind : std::uint8_t {
    Arrival, ///< of an attempt
    Decision, ///< the arbiter's answer is there
    EngineStep,
    Beacon, ///< of a host
    Patience, ///< a caller looks whether anything came
    LossBegins,
    LossEnds,
    EngineBack, ///< that a request ended
};

struct EmulatedEvent
{
    TimePoint at;
    std::uint64_t number = 0; ///< breaks ties in order of making
    EmulatedEventKind kind = EmulatedEventKind::Arrival;
    std::size_t subject = 0;
    std::uint64_t mark = 0; ///< engine: its step; patience: the events seen when it was set

    bool operator<(const EmulatedEvent &other) const
    {
        return at != other.at ? at > other.at : number > other.number;
    }
};

struct EmulatedAttempt
{
    std::size_t request = 0;
    std::size_t host = 0;
    TimePoint deadline;
    BoardWork work;
    SendRecord record{RouteKind::Stream, false, 1};
    std::vector<EndpointId> avoid;
    std::size_t engine = 0;
    std::uint32_t unreadTokens = 0;
    double foretoldMs = 0; ///< wait, by the choice
    TimePoint sentAt;
    std::uint64_t eventsSeen = 0;
    TimePoint lastEvent;
    std::uint32_t retriesLeft = 0;
    std::uint64_t arbiterTerm = 0; ///< that counts it; zero: none
    bool isUnderWay = false;
    bool hasEnded = false;
};

struct EmulatedEngine
{
    VirtualEngine model;
    std::uint64_t scheduled = 0; ///< step that an event stands for
    std::uint64_t life = 1; ///< drawn anew when a request ends it
    bool isLost = false;
};

} // namespace Rhubarbwind
