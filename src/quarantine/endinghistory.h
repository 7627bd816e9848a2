#pragma once

// How likely it is that an endpoint ended under a request by chance. A decision without I/O.
//
// Where engines crash one after the other, many requests see one end, then another. What tells chance from cause is how many ended
// anyway while the request ran, and how many are left: of twelve engines of which six went down with a switch, one in two had
// any given request; of twelve that have been well for minutes, one that ends a tenth of a second after a request came to it did so by chance
// in one case of many thousands. So
//
//     chance = expected endings while it ran / endpoints of the service,
//
// where what is expected is the larger of those seen then besides this one, and the rate of late times the run's length.
// Endings under the same request are left out: they are what is to be explained.
//
// Bounds: the endings of `window`, at most `mostKept`.

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <span>

namespace Rhubarbwind
{

/** A request's time at an endpoint that ended with it. */
struct InterruptedRun
{
    std::uint64_t incarnationKey = 0; ///< of the endpoint
    TimePoint began{};
    TimePoint ended{};
    std::size_t endpoints = 1; ///< of its service, before the end
};

struct CrashHistoryOptions
{
    Duration window = 30s; ///< some times as long as engines are away and callers repeat; a longer one thins a spell of crashes out
    Duration blur = 250ms; ///< by which hosts see the same moment at different times
    std::size_t mostKept = 1024;
};

class CrashHistory
{
public:
    explicit CrashHistory(CrashHistoryOptions options)
        : m_options(options)
    {
    }

    /** An endpoint's life is over, whoever saw it; known ones change nothing. */
    void ended(std::uint64_t incarnationKey, TimePoint at);
    /** @param own lives that ended under the same request */
    double chanceOf(const InterruptedRun &run, std::span<const std::uint64_t> own, TimePoint now) const;

private:
    struct Seen
    {
        std::uint64_t incarnationKey = 0;
        TimePoint at{};
    };

    CrashHistoryOptions m_options;
    std::deque<Seen> m_seen; ///< as they were told
};

} // namespace Rhubarbwind
