#pragma once

// Holds back endpoints of a software version that the platform does not have on record yet. Pure decision logic; performs no I/O.
//
// A stream that such an endpoint began could not be told from one of the recorded versions after a loss of power of all hosts (versionrecord.h). Capacity
// comes first where the platform does not answer: after maxHold the endpoints are used.

#include "gateway/endpointregistry.h"
#include "gateway/versiontracker.h"

#include <functional>
#include <map>
#include <span>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

class EndpointGate
{
public:
    using IsRecorded = std::function<bool(const ShardId &, const SoftwareVersion &)>;
    static constexpr Duration maxHold = 1s;

    /** @return what takes effect now; the rest is returned by release(), unless its endpoint is removed before */
    std::vector<RegistryChange> pass(std::span<const RegistryChange> changes, const IsRecorded &isRecorded, TimePoint now);
    std::vector<RegistryChange> release(const IsRecorded &isRecorded, TimePoint now);
    bool isHolding() const
    {
        return !m_held.empty();
    }
    /** Adds the versions whose endpoints are held back: other hosts may use them already. */
    std::vector<VersionRow> withHeld(std::vector<VersionRow> serving) const;

private:
    bool mayPass(const SelectorEndpoint &endpoint, const IsRecorded &isRecorded, TimePoint now);

    std::map<EndpointId, SelectorEndpoint> m_held;
    std::map<EndpointId, SelectorEndpoint> m_passed;
    std::map<std::pair<ShardId, SoftwareVersion>, TimePoint> m_heldSince; ///< versions that were not recorded when their first endpoint was listed
};

} // namespace Rhubarbwind
