#pragma once

// Remembers that an endpoint said it is leaving, against a host list that does not know it yet.
//
// Failure: an endpoint drains and says so in its own answers, while the host list, which lags, still shows it
// live. Symptom without the mark: each read of the list makes the endpoint eligible again, and new work lands
// on it until the list catches up. The mark outweighs "live" until the list has shown the endpoint leaving or
// gone after the signal, for then the list is no older than the signal, or until a stated time has passed, so
// that a false signal cannot take an endpoint out for good.
//
// Limit: the list is taken to move forward only. If it replays an earlier leave and return after the signal,
// the mark ends too early; the endpoint's next answer sets it again.

#include "base/time.h"

#include <optional>

namespace Rhubarbwind
{

/** How one read of the host list shows an endpoint. */
enum class ListedAs : std::uint8_t {
    Live,
    Leaving,
    Absent, ///< not listed, or listed as gone
};

class LeavingMark
{
public:
    void mark(TimePoint until)
    {
        m_until = until;
    }

    void onList(ListedAs shown)
    {
        // An endpoint that was never listed may just be too new for the list: its absence proves nothing.
        const bool provesNewer = shown == ListedAs::Leaving || (shown == ListedAs::Absent && m_wasListed);
        if (provesNewer) {
            m_until.reset();
        }
        m_wasListed = shown != ListedAs::Absent;
    }

    bool inForce(TimePoint now) const
    {
        return m_until && now < *m_until;
    }

private:
    std::optional<TimePoint> m_until;
    bool m_wasListed = false;
};

} // namespace Rhubarbwind
