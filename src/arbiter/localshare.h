#pragma once

// What one host may grant by itself: its static share of each endpoint, or a guess from lagged load reports.
//
// Used in two ways, with the same order of tickets:
//
// - StaticShare, the fallback while no arbiter answers. Each endpoint's slots are split over the hosts: every host
//   gets slots / hosts, and the remainder goes to the hosts that rank first for the endpoint by rendezvous hashing,
//   so that all shares together are exactly the slots. A host whose shares of a shard add up to nothing gets one
//   place at the endpoint it ranks best for, so that its callers are served at all; the shares then exceed the slots
//   by at most the number of such hosts. The hosts counted are HostMemory's, not only the live ones.
// - LoadReports, the baseline ArbitrationMode::Local: an endpoint takes work while its last report plus what this
//   host sent there since is under its slots. Every host does so at once, which is what the baseline shows.
//
// Order: the highest tier first, within a tier by arrival. Each grant also credits every class that waits with its
// minimum share of the preset, and a class with a whole credit goes next, so a class of share s runs at the latest
// every 1/s grants; a higher ticket waits for at most the sum of the lower classes' shares of grants. Over the queue
// budget the newest ticket of the lowest waiting tier is shed, never a higher one.
//
// Cost: logarithmic in the tickets a change; a grant costs one pass over classes and endpoints. Bounds: tickets are
// bounded by the desk that adds them; classes by the preset's limit.
// Limits: no fairness between customers, no prefix affinity, no speeds: it stands in, it does not replace.

#include "arbiter/permit.h"
#include "preset/preset.h"
#include "routing/endpoint.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

enum class LocalShareMode : std::uint8_t {
    StaticShare,
    LoadReports,
};

/** How long the largest host list counts after it was last true. */
inline constexpr Duration hostMemorySpan = 60s;

/**
 * The live hosts and the most that were live within the last `hostMemorySpan`.
 *
 * A host that is cut off from the others believes that it is alone. Judged by the live list only, it would take the
 * whole capacity and serve every shard while the others do the same. The price of the memory: after a true loss of
 * half the hosts at once, the survivors use no more than their old shares for this span.
 */
class HostMemory
{
public:
    void update(TimePoint now, std::span<const HostId> hosts);
    std::span<const HostId> live() const
    {
        return m_live;
    }
    /** The largest list within the span. */
    std::span<const HostId> largest(TimePoint now) const;
    /** More than half of `largest` are live as seen from here. */
    bool seesMajority(TimePoint now) const;

private:
    std::vector<HostId> m_live;
    std::vector<HostId> m_largest;
    TimePoint m_largestAt;
};

struct LocalShareOptions
{
    HostId self;
};

/** A place found for a ticket. */
struct LocalGrant
{
    AttemptId id;
    EndpointId endpoint;
};

class LocalShare
{
public:
    explicit LocalShare(LocalShareOptions options);

    void applyPreset(std::shared_ptr<const PresetInForce> preset);
    void setEndpoints(std::span<const Endpoint> endpoints);
    void setHosts(TimePoint now, std::span<const HostId> hosts);
    void loadReport(TimePoint now, const LoadReport &report);

    /** A ticket waits; `since` is its arrival at the entry host. */
    void add(const AttemptId &id, const ClassId &classId, TimePoint since, std::vector<EndpointId> avoid);
    /** It waits no more, for whatever reason. Unknown ids are ignored. */
    void remove(const AttemptId &id);

    /** An attempt of this host runs at the endpoint, whoever granted it. */
    void occupy(TimePoint now, const AttemptId &id, const EndpointId &endpoint);
    void vacate(const AttemptId &id);

    /** The next ticket and its place, or none. The ticket is removed and its place occupied. */
    std::optional<LocalGrant> grantNext(TimePoint now, LocalShareMode mode);
    /** The ticket that must go first when one has to: newest of the lowest waiting tier. */
    std::optional<AttemptId> shedCandidate() const;
    /** Most tickets this host keeps while alone: its part of the classes' queue limits; at least one. */
    std::size_t queueBudget(TimePoint now) const;

    /** This host's places at an endpoint, occupied ones included. */
    std::uint32_t share(TimePoint now, const EndpointId &endpoint);
    std::size_t waiting() const
    {
        return m_tickets.size();
    }
    /** The endpoints were told and none of them takes work. */
    bool hasNoUsableEndpoint() const;
    /** The preset is known and has no such class. */
    bool isUnknownClass(const ClassId &classId) const;

private:
    struct WaitingTicket
    {
        ClassId classId;
        TimePoint since;
        std::vector<EndpointId> avoid;
    };
    using Arrival = std::pair<TimePoint, AttemptId>;
    struct ClassQueue
    {
        std::set<Arrival> arrivals;
        double credit = 0;
    };
    struct Running
    {
        EndpointId endpoint;
        TimePoint since;
    };
    struct Reported
    {
        std::uint32_t load = 0;
        TimePoint at;
    };

    std::map<ClassId, ClassQueue>::iterator nextClass();
    std::map<ClassId, ClassQueue>::const_iterator lowestClass() const;
    Tier tierOf(const ClassId &classId) const;
    double minimumShareOf(const ClassId &classId) const;
    bool isFifo() const;
    void creditWaitingClasses();
    std::optional<EndpointId> findSlot(TimePoint now, LocalShareMode mode, const std::vector<EndpointId> &avoid);
    /** Occupied part of the places, or none when there is no free one. */
    std::optional<double> loadOf(TimePoint now, LocalShareMode mode, const Endpoint &endpoint);
    std::size_t runningAt(const EndpointId &endpoint) const;
    std::size_t startedSince(const EndpointId &endpoint, TimePoint since) const;
    void refreshShares(TimePoint now);
    std::uint32_t exactShare(std::span<const HostId> hosts, const Endpoint &endpoint) const;
    EndpointId fallbackEndpoint(std::span<const HostId> hosts) const;

    LocalShareOptions m_options;
    std::shared_ptr<const PresetInForce> m_preset;
    std::vector<Endpoint> m_endpoints;
    bool m_endpointsKnown = false;
    HostMemory m_hosts;
    std::map<EndpointId, std::uint32_t> m_shares;
    std::size_t m_sharesFor = 0; ///< hosts counted when the shares were split
    bool m_sharesStale = true;
    std::map<AttemptId, WaitingTicket> m_tickets;
    std::map<ClassId, ClassQueue> m_queues;
    std::map<AttemptId, Running> m_running;
    std::map<EndpointId, std::size_t> m_runningAt;
    std::map<EndpointId, Reported> m_reports;
};

} // namespace Rhubarbwind
