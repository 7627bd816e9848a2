#pragma once

// The permits that are out: who holds them, what they hold of the endpoints, and when they are given up.
//
// Cost: O(log n) a call. Memory: bounded by the owner, which asks size() before it adds.

#include "arbiter/arbitertypes.h"
#include "arbiter/permit.h"
#include "base/tier.h"
#include "routing/endpointchoice.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

struct Permit
{
    Ticket ticket;
    Tier tier; ///< at the grant; raised when a later preset raises the class's
    Grant grant; ///< expiresIn is as of `granted`
    Reservation reservation;
    TimePoint granted;
    TimePoint givenUp; ///< without news by then, the place is taken back
    std::uint32_t tokens = 0; ///< seen so far
    std::optional<TimePoint> paceSince; ///< when `paceTokens` had been seen; none before the first token
    std::uint32_t paceTokens = 0;
    double charge = 0; ///< what the customer was charged, in tokens
    bool resent = false; ///< granted by a former arbiter
    bool preemptible = false;
    bool preempted = false; ///< told to stop
    bool orphan = false; ///< its host is dead
};

/** How fast a stream went since it was last looked at. */
struct StreamPace
{
    EndpointId endpoint;
    Duration interToken{}; ///< mean
    std::uint32_t tokens = 0; ///< that the mean is over
};

/** Fewer tokens than this say little of the pace: news of them comes in batches. */
inline constexpr std::uint32_t leastPaceTokens = 8;

class PermitTable
{
public:
    void add(Permit permit);
    std::optional<Permit> take(const AttemptId &id);
    const Permit *find(const AttemptId &id) const;

    /** A sign of life. @return the stream's pace, when enough tokens came since the last one */
    std::optional<StreamPace> renew(TimePoint now, const AttemptId &id, std::uint32_t tokens, TimePoint givenUp);
    /** Its host is dead: kept until `givenUp`, or less if less was left. */
    void orphan(const AttemptId &id, TimePoint givenUp);
    /** Work under it counts as of this tier from now on, and may be stopped or not. */
    void setRules(const AttemptId &id, Tier tier, bool preemptible);
    void markPreempted(const AttemptId &id);

    /** Of the permits that may be stopped the lowest tier's newest, which has the least work to lose, or null. */
    const Permit *bestVictim() const;
    /** The permit that is given up first, or null. */
    const Permit *nextGivenUp() const;

    std::size_t size() const;
    std::size_t orphans() const;
    /** Stopped but not yet released. */
    std::size_t preempted() const;

    std::vector<AttemptId> all() const;
    std::vector<AttemptId> ofHost(const HostId &host) const;

private:
    static std::optional<StreamPace> takePace(TimePoint now, Permit &permit);
    struct VictimKey
    {
        Tier tier;
        TimePoint granted;
        AttemptId id;
        friend auto operator<=>(const VictimKey &, const VictimKey &) = default;
    };

    static VictimKey victimKey(const Permit &permit);
    void link(const Permit &permit);
    void unlink(const Permit &permit);

    template <class Change>
    void change(const AttemptId &id, Change change)
    {
        const auto found = m_permits.find(id);
        if (found != m_permits.end()) {
            unlink(found->second);
            change(found->second);
            link(found->second);
        }
    }

    std::unordered_map<AttemptId, Permit, AttemptHash> m_permits;
    std::set<std::pair<TimePoint, AttemptId>> m_byGivenUp;
    std::set<VictimKey> m_victims;
    std::size_t m_orphans = 0;
    std::size_t m_preempted = 0;
};

} // namespace Rhubarbwind
