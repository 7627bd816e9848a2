#include "gateway/customershares.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

constexpr Duration stepInterval = 100ms; // peers' sums arrive every few hundred ms
constexpr Duration maxStep = 500ms; // a service without requests is not stepped; what it missed must not move the level at once
constexpr std::uint32_t restDigest = 0; // see SharedCustomerUse
// A single request that found no slot keeps the service short for three times the fade time.
constexpr double minFull = 0.05;
// The delay of peers' sums: the mean admission has to cover the same time as the sums that it is compared with.
constexpr Duration sumDelay = 400ms;
constexpr double minLevel = 1e-4; // of all starts; below any share that `minShare` leaves
constexpr Duration minRetry = 50ms;
constexpr Duration maxRetry = 2500ms;

} // namespace

std::uint32_t CustomerShares::serviceDigest(const ShardId &service)
{
    return loadKey(service.text());
}

std::uint32_t CustomerShares::customerDigest(const CustomerId &customer)
{
    const std::uint32_t digest = loadKey(customer.text());
    return digest < firstCustomerDigest ? digest + firstCustomerDigest : digest;
}

std::size_t CustomerShares::tierIndex(Tier tier)
{
    return std::min<std::size_t>(tier.level, tiers - 1);
}

void CustomerShares::setWeights(std::unordered_map<CustomerId, double> weights, TimePoint now)
{
    m_weights = std::move(weights);
    for (auto &[digest, service] : m_services) {
        measure(service, now);
    }
}

double CustomerShares::weightOf(const CustomerId &customer) const
{
    const auto known = m_weights.find(customer);
    return known == m_weights.end() || !(known->second > 0) ? 1.0 : known->second;
}

const CustomerShares::Service *CustomerShares::find(const ShardId &service) const
{
    const auto known = m_services.find(serviceDigest(service));
    return known == m_services.end() ? nullptr : &known->second;
}

CustomerShares::Service &CustomerShares::serviceOf(const ShardId &service)
{
    Service &entry = m_services[serviceDigest(service)];
    if (entry.name.empty()) {
        entry.name = service;
    }
    return entry;
}

CustomerShares::Entry &CustomerShares::entryOf(Service &service, const CustomerId &customer, TimePoint now)
{
    const std::uint32_t digest = customerDigest(customer);
    const auto known = service.customers.find(digest);
    if (known != service.customers.end()) {
        return known->second;
    }
    if (service.customers.size() >= m_options.maxCustomers) {
        evictLeastActive(service, now);
    }
    Entry &entry = service.customers[digest];
    entry.customer = customer;
    return entry;
}

void CustomerShares::evictLeastActive(Service &service, TimePoint now) const
{
    const auto least = std::ranges::min_element(service.customers, {}, [now](const auto &entry) { return entry.second.requested.at(now); });
    if (least != service.customers.end()) {
        service.customers.erase(least);
    }
}

void CustomerShares::addPeerUse(const Peer &peer, bool added)
{
    for (const SharedCustomerUse &use : peer.uses) {
        PeerSums &sums = m_peerSums[use.service];
        std::uint64_t &sum = sums[use.customer];
        sum = added ? sum + use.used : sum - std::min<std::uint64_t>(sum, use.used);
        if (sum == 0) {
            sums.erase(use.customer);
        }
        if (sums.empty()) {
            m_peerSums.erase(use.service);
        }
    }
}

void CustomerShares::setPeerUse(const std::string &peer, std::span<const SharedCustomerUse> uses, TimePoint now)
{
    const auto known = m_peers.find(peer);
    if (known != m_peers.end()) {
        addPeerUse(known->second, false);
        m_peers.erase(known);
    }
    expirePeers(now);
    if (uses.empty() || m_peers.size() >= m_options.maxPeers) {
        return;
    }
    Peer &entry = m_peers[peer];
    entry.receivedAt = now;
    for (const SharedCustomerUse &use : uses.first(std::min(uses.size(), m_options.maxPeerEntries))) {
        const double scale = use.customer >= fullDigest && use.customer < fullDigest + tiers ? fullScale : 1.0;
        const auto bound = static_cast<std::uint32_t>(m_options.maxPeerUse * scale);
        entry.uses.push_back({use.service, use.customer, std::min(use.used, bound)});
    }
    addPeerUse(entry, true);
}

void CustomerShares::expirePeers(TimePoint now)
{
    std::erase_if(m_peers, [this, now](const auto &entry) {
        const bool isOver = now - entry.second.receivedAt > m_options.peerLifetime;
        if (isOver) {
            addPeerUse(entry.second, false);
        }
        return isOver;
    });
}

double CustomerShares::peerSum(const Service &service, std::uint32_t digest) const
{
    const auto sums = m_peerSums.find(serviceDigest(service.name));
    if (sums == m_peerSums.end()) {
        return 0;
    }
    const auto sum = sums->second.find(digest);
    return sum == sums->second.end() ? 0 : static_cast<double>(sum->second);
}

double CustomerShares::useOf(const Service &service, std::uint32_t digest, const Entry *entry, TimePoint now) const
{
    return (entry ? entry->used.at(now) : 0.0) + peerSum(service, digest);
}

double CustomerShares::totalUse(const Service &service, TimePoint now) const
{
    double total = service.started.at(now);
    const auto sums = m_peerSums.find(serviceDigest(service.name));
    if (sums != m_peerSums.end()) {
        for (const auto &[digest, sum] : sums->second) {
            if (digest == restDigest || digest >= firstCustomerDigest) {
                total += static_cast<double>(sum);
            }
        }
    }
    return total;
}

double CustomerShares::fullSum(const Service &service, std::size_t last, TimePoint now) const
{
    double sum = 0;
    for (std::size_t tier = 0; tier <= last; ++tier) {
        sum += service.full[tier].at(now) + peerSum(service, static_cast<std::uint32_t>(fullDigest + tier)) / fullScale;
    }
    return sum;
}

bool CustomerShares::isShort(const Service &service, TimePoint now) const
{
    return fullSum(service, tiers - 1, now) >= minFull;
}

bool CustomerShares::isShort(const ShardId &service, TimePoint now) const
{
    const Service *known = find(service);
    return known && isShort(*known, now);
}

double CustomerShares::shareOf(const Service &service, double weight, double used, double total) const
{
    // Without others nobody is held back.
    const double others = service.named - used;
    const double mean = others > 0 ? std::max(0.0, service.namedSquares - used * used / weight) / others : total;
    return weight * std::max(service.level * total, m_options.minShare * mean);
}

double CustomerShares::excess(const ShardId &service, const CustomerId &customer, TimePoint now) const
{
    const Service *known = find(service);
    if (!known) {
        return 0;
    }
    const std::uint32_t digest = customerDigest(customer);
    const auto entry = known->customers.find(digest);
    const double used = useOf(*known, digest, entry == known->customers.end() ? nullptr : &entry->second, now);
    const double total = totalUse(*known, now);
    if (known->level <= 0 || !isShort(*known, now) || total < m_options.minKnownUse) {
        // The order among customers stays that of their use, below any that is above its share.
        return total > 0 ? std::min(1.0, used / weightOf(customer) / total) : 0.0;
    }
    return used / shareOf(*known, weightOf(customer), used, total);
}

double CustomerShares::demand(const Service &service, const CustomerId &customer, TimePoint now) const
{
    const std::uint32_t digest = customerDigest(customer);
    const auto entry = service.customers.find(digest);
    const double total = totalUse(service, now);
    if (entry == service.customers.end() || service.level <= 0 || !isShort(service, now) || total < m_options.minKnownUse) {
        return 0;
    }
    const double used = useOf(service, digest, &entry->second, now);
    return used / entry->second.recentAdmission / shareOf(service, weightOf(customer), used, total);
}

double CustomerShares::measure(Service &service, TimePoint now) const
{
    service.named = 0;
    service.namedSquares = 0;
    double highest = 0;
    for (const auto &[digest, entry] : service.customers) {
        const double used = useOf(service, digest, &entry, now);
        const double weight = weightOf(entry.customer);
        service.named += used;
        service.namedSquares += used * used / weight;
        highest = std::max(highest, used / entry.recentAdmission / weight);
    }
    return highest;
}

// The level depends only on ratios of sums, so hosts with the same sums reach the same level, and one without peers a similar one.
void CustomerShares::step(Service &service, TimePoint now)
{
    const Duration elapsed = std::min(maxStep, now - service.steppedAt);
    if (elapsed < stepInterval) {
        return;
    }
    service.steppedAt = now;
    expirePeers(now);
    const double total = totalUse(service, now);
    if (!isShort(service, now) || total < m_options.minKnownUse) {
        if (service.level > 0) {
            service.level = 0;
            for (auto &[digest, entry] : service.customers) {
                entry.admission = 1;
                entry.recentAdmission = 1;
                entry.credit = 1;
            }
        }
        return;
    }
    const double highest = std::max(minLevel, measure(service, now) / total);
    if (service.level <= 0) {
        service.level = highest;
    }
    const double full = fullSum(service, tiers - 1, now);
    const double error = std::clamp(full / (full + total) / m_options.targetFull - 1.0, -1.0, 1.0);
    const double pace = error > 0 ? -error * m_options.fallPerSecond : -error * m_options.risePerSecond;
    service.level = std::clamp(service.level * std::exp(pace * toSeconds(elapsed)), minLevel, highest);
    const double keep = std::exp(-toSeconds(elapsed) / toSeconds(FadingSum::fadeTime + sumDelay));
    for (auto &[digest, entry] : service.customers) {
        const double requested = demand(service, entry.customer, now);
        entry.admission = requested > 1 ? std::max(m_options.minAdmission, 1.0 / requested) : 1.0;
        entry.recentAdmission = entry.recentAdmission * keep + entry.admission * (1 - keep);
    }
}

bool CustomerShares::isLowestServed(const Service &service, std::size_t tier, TimePoint now) const
{
    for (std::size_t lower = tier + 1; lower < tiers; ++lower) {
        if (service.startedAt[lower] != TimePoint() && now - service.startedAt[lower] < m_options.tierMemory) {
            return false;
        }
    }
    return true;
}

ShareDecision CustomerShares::decide(const ShardId &service, const CustomerId &customer, Tier tier, TimePoint now)
{
    Service &known = serviceOf(service);
    Entry &entry = entryOf(known, customer, now);
    entry.requested.add(1, now);
    step(known, now);
    const std::size_t index = tierIndex(tier);
    ShareDecision decision;
    decision.excess = excess(service, customer, now);
    decision.demand = demand(known, customer, now);
    if (decision.demand <= 1 || fullSum(known, index, now) < minFull || !isLowestServed(known, index, now)) {
        return decision;
    }
    bool isHeld = false;
    for (std::size_t other = 0; other <= index; ++other) {
        isHeld = isHeld || (known.fullAt[other] != TimePoint() && now - known.fullAt[other] < m_options.fullHold);
    }
    entry.credit = std::min(entry.credit + entry.admission, 1.0 + entry.admission);
    if (entry.credit >= 1 && !isHeld) {
        entry.credit -= 1;
        return decision;
    }
    ++entry.refused;
    decision.isAdmitted = false;
    const double requestsUntilNext = std::max(1.0, (1.0 - entry.credit) / entry.admission);
    const double perSecond = entry.requested.at(now) / toSeconds(FadingSum::fadeTime);
    const Duration next = fromSeconds(std::min(requestsUntilNext / perSecond, toSeconds(maxRetry)));
    decision.retryAfter = std::max({minRetry, next, isHeld ? m_options.fullHold : Duration::zero()});
    return decision;
}

void CustomerShares::started(const ShardId &service, const CustomerId &customer, double slots, TimePoint now, Tier tier)
{
    Service &known = serviceOf(service);
    known.started.add(slots, now);
    known.startedAt[tierIndex(tier)] = now;
    entryOf(known, customer, now).used.add(slots, now);
    step(known, now);
}

void CustomerShares::foundFull(const ShardId &service, const CustomerId &customer, TimePoint now, Tier tier)
{
    Service &known = serviceOf(service);
    // A customer above its share has no claim on another slot.
    if (demand(known, customer, now) <= 1) {
        known.full[tierIndex(tier)].add(1, now);
        known.fullAt[tierIndex(tier)] = now;
    }
    step(known, now);
}

std::vector<SharedCustomerUse> CustomerShares::sums(std::size_t maxCount, TimePoint now) const
{
    std::vector<SharedCustomerUse> shared;
    for (const auto &[serviceKey, service] : m_services) {
        if (!isShort(service, now) || shared.size() + 1 >= maxCount) {
            continue;
        }
        for (std::size_t tier = 0; tier < tiers && shared.size() + 1 < maxCount; ++tier) {
            const double full = service.full[tier].at(now);
            if (full >= minFull) {
                shared.push_back({serviceKey, static_cast<std::uint32_t>(fullDigest + tier), static_cast<std::uint32_t>(full * fullScale)});
            }
        }
        std::vector<SharedCustomerUse> uses;
        for (const auto &[digest, entry] : service.customers) {
            const std::uint32_t used = static_cast<std::uint32_t>(std::lround(entry.used.at(now)));
            if (used > 0) {
                uses.push_back({serviceKey, digest, used});
            }
        }
        const std::size_t named = std::min(uses.size(), maxCount - shared.size() - 1);
        std::ranges::partial_sort(uses, uses.begin() + static_cast<std::ptrdiff_t>(named), std::ranges::greater(), &SharedCustomerUse::used);
        double rest = service.started.at(now);
        for (std::size_t i = 0; i < named; ++i) {
            rest -= uses[i].used;
            shared.push_back(uses[i]);
        }
        if (rest >= 1) {
            shared.push_back({serviceKey, restDigest, static_cast<std::uint32_t>(rest)});
        }
    }
    return shared;
}

std::vector<CustomerRow> CustomerShares::rows(TimePoint now) const
{
    constexpr double minUse = 0.05;
    const double perSecond = 1.0 / toSeconds(FadingSum::fadeTime);
    std::vector<CustomerRow> rows;
    for (const auto &[serviceKey, service] : m_services) {
        const bool isNowShort = isShort(service, now);
        const double total = totalUse(service, now);
        for (const auto &[digest, entry] : service.customers) {
            const double used = useOf(service, digest, &entry, now);
            if (used < minUse && entry.requested.at(now) < minUse) {
                continue;
            }
            const double weight = weightOf(entry.customer);
            const double share = isNowShort && service.level > 0 ? shareOf(service, weight, used, total) : total;
            rows.push_back({entry.customer, service.name, weight, share * perSecond, used * perSecond, entry.refused, isNowShort});
        }
    }
    std::ranges::stable_sort(rows, std::ranges::greater(), &CustomerRow::used);
    return rows;
}

std::size_t CustomerShares::size() const
{
    std::size_t count = 0;
    for (const auto &[serviceKey, service] : m_services) {
        count += service.customers.size();
    }
    return count;
}

} // namespace Rhubarbwind
