#pragma once

// What an emulated fleet's hosts know of requests that end engines: one book for all, with news that take their time.

#include "base/time.h"
#include "quarantine/crashhistory.h"
#include "quarantine/suspecttable.h"

#include <deque>

namespace Rhubarbwind
{

class EmulatedSuspects
{
public:
    /** @param request its number, the same for all its attempts */
    SuspectState state(std::uint64_t request, TimePoint now);
    std::vector<std::uint32_t> placesOf(std::uint64_t request) const;
    void addCrash(std::uint64_t request, std::size_t engine, const InterruptedRun &run, TimePoint now);
    void completed(std::uint64_t request, TimePoint now);

private:
    struct News
    {
        TimePoint at;
        Suspect suspect;
        Crash ending;
    };

    static Suspect suspectOf(std::uint64_t request)
    {
        return {{0, request}, request, 0};
    }
    void deliver(TimePoint now);

    SuspectTable m_book{SuspectOptions()};
    CrashHistory m_history{CrashHistoryOptions()};
    std::deque<News> m_news; ///< on their way, in order of time
};

} // namespace Rhubarbwind
