#pragma once

// What one host may grant by itself: its static share of each endpoint, or an estimate from lagged load reports.
//
// Two modes, with the same order of tickets:
//
// - StaticShare, the fallback while no arbiter answers. The slots of each endpoint are split over the hosts: every host gets
//   slots / hosts, and the remainder goes to the hosts that rank first for the endpoint by rendezvous hashing, so that all
//   shares together are exactly the slots. A host whose shares of a shard add up to zero gets one slot at the endpoint for
//   which it ranks best, so that its callers are served at all; the shares then exceed the slots by at most the number of
//   such hosts. The hosts counted are those of HostMemory, not only the live ones.
// - LoadReports, the baseline ArbitrationMode::Local: an endpoint takes work while its last report plus the work that this
//   host has sent there since is below its slots. Since every host does the same at once, the endpoints may be overfilled.
//
// Order: the highest tier first, within a tier by arrival. Each grant also credits every waiting class with its minimum
// share of the preset, and a class with a whole credit is served next. So a class of share s runs at least every 1/s grants,
// and a higher ticket waits for at most the sum of the lower classes' shares of the grants. Over the queue budget the newest
// ticket of the lowest waiting tier is shed, never a higher one.
//
// Cost: logarithmic in the tickets per change; a grant takes one pass over classes and endpoints. Bounds: tickets are bounded
// by the permit client that adds them; classes by the preset's limit.
// Limits: no fairness between customers, no prefix affinity, no endpoint speeds. It does not replace an arbiter.

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

/** How long the largest host list counts after the last time it was the live list. */
inline constexpr Duration hostMemorySpan = 60s;

/**
 * The live hosts, and the largest set of hosts that was live within the last `hostMemorySpan`.
 *
 * A host that is cut off from the others sees only itself. By the live list alone it would use the whole capacity and
 * serve every shard while the other hosts do the same. The cost: after a real loss of half the hosts at once, the
 * remaining ones use no more than their former shares for this span.
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
    /** Whether this host sees more than half of largest() as live. */
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

/** A ticket and the endpoint that it was granted. */
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

    /** Adds a waiting ticket. @param since its arrival at the entry host */
    void add(const AttemptId &id, const ClassId &classId, TimePoint since, std::vector<EndpointId> avoid);
    /** Removes a ticket that no longer waits. Unknown ids are ignored. */
    void remove(const AttemptId &id);

    /** An attempt of this host runs at the endpoint, whether granted here or by an arbiter. */
    void occupy(TimePoint now, const AttemptId &id, const EndpointId &endpoint);
    void vacate(const AttemptId &id);

    /** Grants the next ticket if a slot is free: removes the ticket and occupies the slot. */
    std::optional<LocalGrant> grantNext(TimePoint now, LocalShareMode mode);
    /** The ticket to shed first: the newest of the lowest waiting tier. */
    std::optional<AttemptId> shedCandidate() const;
    /** Maximum waiting tickets without an arbiter: this host's part of the classes' queue limits; at least one. */
    std::size_t queueBudget(TimePoint now) const;

    /** This host's slots at an endpoint, including occupied ones. */
    std::uint32_t share(TimePoint now, const EndpointId &endpoint);
    std::size_t waiting() const
    {
        return m_tickets.size();
    }
    /** The endpoints are known and none of them takes work. */
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
    /** Occupied part of the slots, or none when no slot is free. */
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
    std::size_t m_sharesFor = 0; ///< number of hosts when the shares were computed
    bool m_sharesStale = true;
    std::map<AttemptId, WaitingTicket> m_tickets;
    std::map<ClassId, ClassQueue> m_queues;
    std::map<AttemptId, Running> m_running;
    std::map<EndpointId, std::size_t> m_runningAt;
    std::map<EndpointId, Reported> m_reports;
};

} // namespace Rhubarbwind
