#pragma once

// Decides during a planned stop which requests are still passed on. Pure decision logic; performs no I/O.
//
// The platform kills a host at the end of its grace period. A request that is passed on then is cut off: its caller does not learn whether it ran. So a
// request is refused, while that is still truthful, unless its time limit or the durations of its route's latest answers show that it ends before the
// deadline. For a request that may be repeated 95 of 100 answers have to be that short; for any other the longest one, with a margin.
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
        const auto found = m_routes.find(route);
        if (found == m_routes.end() || found->second.count < minAnswers) {
            return true;
        }
        const Duration expected = mayRepeat ? quantileOf(found->second, repeatableShare) : quantileOf(found->second, 1) * 3 / 2;
        return now + expected > *m_deadline;
    }

    StopCounts counts;

private:
    struct Answers
    {
        std::array<Duration, keptAnswers> durations{};
        std::size_t count = 0;
    };

    static constexpr double repeatableShare = 0.95;

    static Duration quantileOf(const Answers &answers, double share)
    {
        std::array<Duration, keptAnswers> durations = answers.durations;
        const std::size_t kept = std::min(answers.count, keptAnswers);
        const std::size_t rank = std::min(kept - 1, static_cast<std::size_t>(share * static_cast<double>(kept)));
        const auto at = durations.begin() + static_cast<std::ptrdiff_t>(rank);
        std::nth_element(durations.begin(), at, durations.begin() + static_cast<std::ptrdiff_t>(kept));
        return *at;
    }

    std::optional<TimePoint> m_deadline;
    std::map<std::string, Answers, std::less<>> m_routes;
};

} // namespace Rhubarbwind
