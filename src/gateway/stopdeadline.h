#pragma once

// Decides during a planned stop which requests are still passed on. Pure decision logic; performs no I/O.
//
// The platform kills a host at the end of its grace period. A request that is passed on then is cut off: its caller does not learn whether it ran. So a
// request is refused, while that is still truthful, unless its time limit or the durations of its route's latest answers show that it ends before the
// deadline. Requests that must not be repeated get a margin.
//
// Memory: keptAnswers durations for each of at most maxRoutes routes; without durations a request counts as one that takes its whole time limit.

#include "base/time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Rhubarbwind
{

/** How requests ended that met the stop. */
struct StopCounts
{
    std::size_t refused = 0; ///< they might have outlived the host
    std::size_t incomplete = 0; ///< refused at the deadline, when their last byte had not arrived
    std::size_t unanswered = 0; ///< refused at the deadline before they were passed on
    std::size_t unknown = 0; ///< passed on; answered at the deadline that their outcome is not known
    std::size_t cut = 0; ///< their answers had begun
};

class StopDeadline
{
public:
    static constexpr std::size_t keptAnswers = 128;
    static constexpr std::size_t minAnswers = 16;
    static constexpr std::size_t maxRoutes = 64;

    /** The stop has begun. @param deadline by which all answers must be complete; none: the stop waits for them */
    void begin(std::optional<TimePoint> deadline)
    {
        m_deadline = deadline;
    }
    void answered(std::string_view route, Duration duration)
    {
        auto found = m_routes.find(route);
        if (found == m_routes.end()) {
            if (m_routes.size() == maxRoutes) {
                return;
            }
            found = m_routes.emplace(std::string(route), Answers()).first;
        }
        Answers &answers = found->second;
        answers.durations.at(answers.count++ % keptAnswers) = duration;
    }
    /**
     * Whether a request that is passed on now may be unanswered at the deadline.
     * @param mayRepeat it does no harm if it runs twice  @param limit when it is answered in any case
     */
    bool mayOutlive(std::string_view route, bool mayRepeat, TimePoint limit, TimePoint now) const
    {
        if (!m_deadline || limit <= *m_deadline) {
            return false;
        }
        const std::optional<Duration> longest = longestOf(route);
        return !longest || now + (mayRepeat ? *longest : *longest * 3 / 2) > *m_deadline;
    }

    StopCounts counts;

private:
    struct Answers
    {
        std::array<Duration, keptAnswers> durations{};
        std::size_t count = 0;
    };

    std::optional<Duration> longestOf(std::string_view route) const
    {
        const auto found = m_routes.find(route);
        if (found == m_routes.end() || found->second.count < minAnswers) {
            return std::nullopt;
        }
        return *std::ranges::max_element(found->second.durations);
    }

    std::optional<TimePoint> m_deadline;
    std::map<std::string, Answers, std::less<>> m_routes;
};

} // namespace Rhubarbwind
