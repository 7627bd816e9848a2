#pragma once

// Decides during a planned stop which requests are still passed on. Pure decision logic; performs no I/O.
//
// The platform kills a host at the end of its grace period. A request that is passed on then is cut off: its caller does not learn whether it ran. So a
// request is refused, while that is still truthful, unless its time limit ends before the deadline.
//
// For the first part of a stop, which the settings state, the platform tolerates that a request is cut off at the deadline. Requests that arrived by then
// are also passed on if the durations of their route's latest answers indicate that they end before the deadline. For a request that may be repeated 95 of
// 100 answers have to be that short; for any other the longest one, with a margin.
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

/** When a planned stop ends requests. */
struct StopPlan
{
    std::optional<TimePoint> deadline; ///< by which all answers must be complete; none: the stop waits for them
    TimePoint estimateUntil; ///< requests that arrived by then may be passed on by the durations of earlier answers
};

/** A request that is about to be passed on. */
struct StopRequest
{
    std::string_view route;
    bool mayRepeat = false; ///< it does no harm if it runs twice
    TimePoint receivedAt; ///< its last byte
    TimePoint limit; ///< when it is answered in any case
};

/** How requests ended that met the stop. */
struct StopCounts
{
    std::size_t refused = 0; ///< they might have outlived the host
    std::size_t incomplete = 0; ///< refused at the deadline, when their last byte had not arrived
    std::size_t unanswered = 0; ///< refused at the deadline before they were passed on
    std::size_t unknown = 0; ///< passed on; answered at the deadline that their outcome is not known
    std::size_t cut = 0; ///< their answers had begun
    std::size_t undelivered = 0; ///< answered, but their callers had not received the whole answer at the deadline
};

class StopDeadline
{
public:
    static constexpr std::size_t keptAnswers = 128;
    static constexpr std::size_t minAnswers = 16;
    static constexpr std::size_t maxRoutes = 64;

    /** The stop has begun. */
    void begin(const StopPlan &plan)
    {
        m_plan = plan;
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
    /** Whether a request that is passed on now may be unanswered at the deadline. */
    bool mayOutlive(const StopRequest &request, TimePoint now) const
    {
        if (!m_plan.deadline || request.limit <= *m_plan.deadline) {
            return false;
        }
        if (request.receivedAt > m_plan.estimateUntil) {
            return true;
        }
        const auto found = m_routes.find(request.route);
        if (found == m_routes.end() || found->second.count < minAnswers) {
            return true;
        }
        const Duration expected = request.mayRepeat ? quantileOf(found->second, repeatableShare) : quantileOf(found->second, 1) * 3 / 2;
        return now + expected > *m_plan.deadline;
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

    StopPlan m_plan;
    std::map<std::string, Answers, std::less<>> m_routes;
};

} // namespace Rhubarbwind
