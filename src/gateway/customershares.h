#pragma once

// Weighted fair shares of a plain service's slots by customer, in force while the service is short of slots. Pure decision logic; performs no I/O.
//
// Failure: one customer sends several times its usual requests. No slot is reserved for anyone, so its requests and those of all other customers find the
// endpoints full equally often.
//
// A service is short while requests of customers within their share found no free slot within the last seconds. Then one level, as a fraction of all starts
// per unit of weight, limits every customer: its share is level x weight x all starts. The level starts at the use of the customer with most use, falls
// as long as more than `targetFull` of the requests find no slot, and rises again below that. So capacity that other customers leave unused is lent to
// those above the equal split, and what is lent follows from what the service can serve, which no host has to know. The level never falls below the equal
// split, so a customer with less use than that is within its share.
//
// A customer whose requests exceed its share is admitted in proportion: `admission` is its share over what it requests. The fraction is met exactly by a
// credit per customer, not by chance, because a host sees only a few requests of a customer in a second. For a moment after a request of a customer within
// its share found no slot at this host, requests above a share are all refused here.
//
// Hosts exchange sums (SharedCustomerUse) while the service is short. All figures enter as ratios, so a host that hears nothing from its peers decides by
// its own counts in the same way. Sums of peers that fall silent end after `peerLifetime`; larger sums than a host can have are cut to `maxPeerUse`.
//
// Tiers take precedence: a request is refused for its share only if requests of the same or a higher tier found no slot, and only at a host that has
// started no request of a lower tier within `tierMemory`.
//
// Limits: `maxCustomers` entries for each service, of which the one with the least use is evicted; `maxPeers` peers with `maxPeerEntries` sums each.
// Cost: a hash look-up for each request; ten passes a second over the entries of a service that is short.

#include "base/ids.h"
#include "base/tier.h"
#include "base/time.h"
#include "fleet/fleetmessage.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

/** A sum in which past amounts fade with a time constant: at a steady rate it is rate x that time. */
class FadingSum
{
public:
    static constexpr Duration fadeTime = 1500ms; ///< shorter than a burst; a customer of a small fleet has a few requests in it

    void add(double amount, TimePoint now)
    {
        m_value = at(now) + amount;
        m_at = std::max(m_at, now);
    }
    double at(TimePoint now) const
    {
        return now <= m_at ? m_value : m_value * std::exp(-toSeconds(now - m_at) / toSeconds(fadeTime));
    }

private:
    double m_value = 0;
    TimePoint m_at{};
};

struct CustomerShareOptions
{
    double targetFull = 0.005; ///< of requests that find no slot; half of the 1% that may be lost
    double fallPerSecond = 1.0; ///< of the level, at twice the target or more; hosts see the effect after half a second
    double risePerSecond = 0.3; ///< of the level, without any request that finds no slot
    Duration fullHold = 200ms; ///< after a request within its share found no slot at this host; a few times the work of a plain request
    Duration tierMemory = 1s; ///< in which a started request of a lower tier exempts higher ones; twice the age of what a host knows
    Duration peerLifetime = 2s; ///< of a peer's sums; several of its intervals
    double minShare = 2; ///< times the mean use per weight that a request of another customer meets; less is not well above the others
    double minAdmission = 0.05; ///< bounds the effect of wrong sums: one request in 20 is always admitted
    double minKnownUse = 6; ///< starts; with fewer, a share can't be known. A host without peers that has 9 requests a second has 8 to 13
    std::size_t maxCustomers = 512; ///< per service
    std::size_t maxPeers = 512;
    std::size_t maxPeerEntries = 64;
    std::uint32_t maxPeerUse = 50'000; ///< starts per sum and fade time; above what a fleet can have
};

/** For operators and metrics. Use and share are starts per second on all hosts, as far as this host knows. */
struct CustomerRow
{
    CustomerId customer; ///< empty for requests without a key
    ShardId service;
    double weight = 1;
    double share = 0;
    double used = 0;
    std::uint64_t refused = 0; ///< by this host for its share
    bool isShort = false; ///< the service is short of slots
};

struct ShareDecision
{
    bool isAdmitted = true;
    double excess = 0; ///< as by CustomerShares::excess()
    double demand = 0; ///< likewise of what the customer requests; zero while the share is not in force
    Duration retryAfter{}; ///< if refused: until this customer's next request is admitted at this host, as expected
};

class CustomerShares
{
public:
    explicit CustomerShares(CustomerShareOptions options = {})
        : m_options(options)
    {
    }

    /** Sets the weights in force from now on. Customers without one weigh 1. */
    void setWeights(std::unordered_map<CustomerId, double> weights, TimePoint now);

    /** Whether the request may take a slot. To be called once per request, before its first send. */
    ShareDecision decide(const ShardId &service, const CustomerId &customer, Tier tier, TimePoint now);
    /** An endpoint has begun to run the request. @param slots that it occupies */
    void started(const ShardId &service, const CustomerId &customer, double slots, TimePoint now, Tier tier = {});
    /** The request found no free slot: it is refused for that, or waits. To be called once per request. */
    void foundFull(const ShardId &service, const CustomerId &customer, TimePoint now, Tier tier = {});
    /** Sets what the hosts behind `peer` have counted, replacing its earlier sums. */
    void setPeerUse(const std::string &peer, std::span<const SharedCustomerUse> uses, TimePoint now);

    /** Use relative to the customer's share: 1 is exactly its share. At most 1 while the service is not short or the share is not known. */
    double excess(const ShardId &service, const CustomerId &customer, TimePoint now) const;
    /** This host's own sums at services that are short; the customers with most use. */
    std::vector<SharedCustomerUse> sums(std::size_t maxCount, TimePoint now) const;
    /** One row per service and customer with use within the last seconds, most use first. */
    std::vector<CustomerRow> rows(TimePoint now) const;
    bool isShort(const ShardId &service, TimePoint now) const;
    /** Number of customers held, at all services. */
    std::size_t size() const;

private:
    // Digests below this are not customers: 0 sums customers without an entry of their own, 1 to 8 count requests of a tier that found no slot.
    static constexpr std::uint32_t firstCustomerDigest = 16;
    static constexpr std::uint32_t fullDigest = 1;
    static constexpr std::size_t tiers = 8; ///< lower tiers count as the last
    /** Keeps these entries among those with most use in a message, and fractions of a fading count in an integer. */
    static constexpr double fullScale = 1000;

    struct Entry
    {
        CustomerId customer;
        FadingSum used;
        FadingSum requested; ///< including requests refused for the share
        std::uint64_t refused = 0;
        double admission = 1; ///< fraction of requests admitted
        double recentAdmission = 1; ///< mean of `admission` over the time that the sums of use cover
        double credit = 1; ///< at 1 or more a request is admitted
    };

    struct Service
    {
        ShardId name;
        std::unordered_map<std::uint32_t, Entry> customers; ///< by digest
        FadingSum started;
        std::array<FadingSum, tiers> full; ///< own requests of customers within their share that found no slot
        std::array<TimePoint, tiers> fullAt{};
        std::array<TimePoint, tiers> startedAt{};
        TimePoint steppedAt{};
        double level = 0; ///< zero while the service is not short
        double named = 0; ///< use of the customers with entries, as of the last step
        double namedSquares = 0; ///< sum of their squared use over weight
    };

    /** Sums of all peers at one service, by digest. */
    using PeerSums = std::unordered_map<std::uint32_t, std::uint64_t>;

    struct Peer
    {
        std::vector<SharedCustomerUse> uses;
        TimePoint receivedAt{};
    };

    static std::uint32_t serviceDigest(const ShardId &service);
    static std::uint32_t customerDigest(const CustomerId &customer);
    static std::size_t tierIndex(Tier tier);
    double weightOf(const CustomerId &customer) const;
    const Service *find(const ShardId &service) const;
    Service &serviceOf(const ShardId &service);
    Entry &entryOf(Service &service, const CustomerId &customer, TimePoint now);
    void evictLeastActive(Service &service, TimePoint now) const;
    void addPeerUse(const Peer &peer, bool added);
    void expirePeers(TimePoint now);
    double peerSum(const Service &service, std::uint32_t digest) const;
    double useOf(const Service &service, std::uint32_t digest, const Entry *entry, TimePoint now) const;
    double totalUse(const Service &service, TimePoint now) const;
    /** Requests of tiers up to `last` that found no slot, on all hosts. */
    double fullSum(const Service &service, std::size_t last, TimePoint now) const;
    bool isShort(const Service &service, TimePoint now) const;
    double shareOf(const Service &service, double weight, double used, double total) const;
    /** What the customer requests relative to its share; at most 1 if the share is not in force or not known. */
    double demand(const Service &service, const CustomerId &customer, TimePoint now) const;
    /** Whether this host has started no request of a lower tier lately. */
    bool isLowestServed(const Service &service, std::size_t tier, TimePoint now) const;
    /** Sums what shares are compared with. @return the largest demand per weight */
    double measure(Service &service, TimePoint now) const;
    void step(Service &service, TimePoint now);

    CustomerShareOptions m_options;
    std::unordered_map<CustomerId, double> m_weights;
    std::map<std::uint32_t, Service> m_services; ///< by digest
    std::unordered_map<std::uint32_t, PeerSums> m_peerSums; ///< by service
    std::unordered_map<std::string, Peer> m_peers;
};

} // namespace Rhubarbwind
