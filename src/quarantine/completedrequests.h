#pragma once

// Requests that were whole and well answered here of late: they do not end what runs them.
//
// A popular request is on many endpoints at every moment, so each crash in the fleet, whatever its cause, ends an endpoint
// that has it. Its completions speak for it. Hosts remember them without being asked, since a request becomes a suspect only afterwards.
//
// Bounds: `most` digests of 16 bytes and a time; the oldest go first. Cost: one fast digest of each request's body: 100 KB take
// what a copy of them takes. The digest is keyed anew in each process, so nobody outside can make two bodies meet; it is never told.

#include "base/time.h"
#include "quarantine/requestidentity.h"

#include <deque>
#include <map>

namespace Rhubarbwind
{

class CompletedRequests
{
public:
    /** @param most to be remembered, some minutes' worth of a busy host's */
    CompletedRequests(std::uint64_t key, std::size_t most = 4096, Duration lifetime = 60s)
        : m_key(key)
        , m_most(most)
        , m_lifetime(lifetime)
    {
    }

    void add(const RequestContent &content, TimePoint now);
    bool has(const RequestContent &content, TimePoint now) const;

private:
    struct Entry
    {
        RequestIdentity digest;
        TimePoint at;
    };

    RequestIdentity digestOf(const RequestContent &content) const;

    std::uint64_t m_key;
    std::size_t m_most;
    Duration m_lifetime;
    std::deque<Entry> m_order; ///< the oldest first
    std::map<RequestIdentity, TimePoint> m_latest; ///< of those in m_order
};

} // namespace Rhubarbwind
