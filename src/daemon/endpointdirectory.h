#pragma once

// Which endpoints each shard has and in what state: a decision over three sources.
//
// The host list names endpoints and lags; an endpoint's own answer (draining), a peer's fact or an operator's
// order says "leaving" earlier. Leaving wins: an endpoint said to leave stays leaving until the host list has
// shown it gone, or shown it leaving and then live again, or until `leavingMemory` passed without the list
// agreeing (so a false report can't take capacity out for good). An empty host list after a full one is taken
// for an outage of the list and ignored.
//
// Bound: at most maxEndpoints endpoints are kept; further ones of a list are left out and counted.

#include "base/ids.h"
#include "base/time.h"
#include "platform/objectapi.h"
#include "routing/endpoint.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxEndpoints = 8192;

struct DirectoryOptions
{
    /** The host list lags by seconds; a minute is far beyond it and short enough for a false report. */
    Duration leavingMemory = 60s;
};

class EndpointDirectory
{
public:
    explicit EndpointDirectory(DirectoryOptions options)
        : m_options(options)
    {
    }

    /** Takes a whole host list. @return true if any endpoint changed */
    bool hostList(TimePoint now, std::span<const ListedHost> listed);
    /** An endpoint is known to leave, by its own answer, a peer or an operator. @return true if that is news */
    bool leaving(TimePoint now, const EndpointId &endpoint);
    /** An operator took the order back, or a peer told so. @return true if that is news */
    bool returned(const EndpointId &endpoint);
    /** Forgets reports of leaving that the list never confirmed. @return true if any endpoint changed */
    bool tick(TimePoint now);

    std::optional<Endpoint> find(const EndpointId &endpoint) const;
    std::vector<ShardId> shards() const;
    std::vector<Endpoint> endpointsOf(const ShardId &shard) const;
    std::vector<Endpoint> all() const;
    std::size_t leftOut() const
    {
        return m_leftOut;
    }

private:
    struct Entry
    {
        Endpoint listed; ///< as the host list says
        std::optional<TimePoint> reportedLeaving; ///< by another source
        bool listAgreed = false; ///< the list has shown it leaving since the report
    };

    static Endpoint effective(const Entry &entry);
    static void confirm(Entry &entry, EndpointState before);

    DirectoryOptions m_options;
    std::map<EndpointId, Entry> m_entries;
    std::size_t m_leftOut = 0;
};

} // namespace Rhubarbwind
