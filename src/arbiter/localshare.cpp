// The shares split the slots by largest remainder, with rendezvous ranks for the remainders, so that hosts that agree on the
// host list agree on the split without a message. Progress uses credits (deficit round robin of Shreedhar and Varghese, 1995,
// with the class's share as quantum per grant) over a strict tier order.

#include "arbiter/localshare.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <limits>

namespace Rhubarbwind
{

namespace
{

/** Limit of a class's credit, so that an unused class cannot save up a burst. */
constexpr double maxCredit = 1.0;
/** Tolerance for rounding: without it the sum of credits can miss a grant. */
constexpr double wholeCredit = 1.0 - 1e-9;

std::string shareKey(const EndpointId &endpoint)
{
    return "share/" + endpoint.text();
}

bool takesWork(const Endpoint &endpoint)
{
    return endpoint.state == EndpointState::Live;
}

} // namespace

void HostMemory::update(TimePoint now, std::span<const HostId> hosts)
{
    if (m_live.size() >= m_largest.size() || now - m_largestAt > hostMemorySpan) {
        m_largest = m_live;
        m_largestAt = now;
    }
    m_live.assign(hosts.begin(), hosts.end());
}

std::span<const HostId> HostMemory::largest(TimePoint now) const
{
    const bool remembered = m_largest.size() > m_live.size() && now - m_largestAt <= hostMemorySpan;
    return remembered ? m_largest : m_live;
}

bool HostMemory::seesMajority(TimePoint now) const
{
    return 2 * m_live.size() > largest(now).size();
}

LocalShare::LocalShare(LocalShareOptions options)
    : m_options(std::move(options))
{
}

void LocalShare::applyPreset(std::shared_ptr<const PresetInForce> preset)
{
    m_preset = std::move(preset);
}

void LocalShare::setEndpoints(std::span<const Endpoint> endpoints)
{
    m_endpoints.assign(endpoints.begin(), endpoints.end());
    m_endpointsKnown = true;
    m_sharesStale = true;
    std::erase_if(m_reports, [this](const auto &entry) {
        return std::none_of(m_endpoints.begin(), m_endpoints.end(), [&entry](const Endpoint &endpoint) { return endpoint.id == entry.first; });
    });
}

void LocalShare::setHosts(TimePoint now, std::span<const HostId> hosts)
{
    m_hosts.update(now, hosts);
    m_sharesStale = true;
}

void LocalShare::loadReport(TimePoint now, const LoadReport &report)
{
    const bool known = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&report](const Endpoint &endpoint) { return endpoint.id == report.endpoint; });
    if (known) {
        m_reports[report.endpoint] = {report.running + report.waiting, now - report.age};
    }
}

void LocalShare::add(const AttemptId &id, const ClassId &classId, TimePoint since, std::vector<EndpointId> avoid)
{
    if (m_tickets.emplace(id, WaitingTicket{classId, since, std::move(avoid)}).second) {
        m_queues[classId].arrivals.emplace(since, id);
    }
}

void LocalShare::remove(const AttemptId &id)
{
    const auto ticket = m_tickets.find(id);
    if (ticket == m_tickets.end()) {
        return;
    }
    const auto queue = m_queues.find(ticket->second.classId);
    queue->second.arrivals.erase({ticket->second.since, id});
    if (queue->second.arrivals.empty()) {
        m_queues.erase(queue);
    }
    m_tickets.erase(ticket);
}

void LocalShare::occupy(TimePoint now, const AttemptId &id, const EndpointId &endpoint)
{
    vacate(id);
    m_running.emplace(id, Running{endpoint, now});
    ++m_runningAt[endpoint];
}

void LocalShare::vacate(const AttemptId &id)
{
    const auto running = m_running.find(id);
    if (running == m_running.end()) {
        return;
    }
    const auto count = m_runningAt.find(running->second.endpoint);
    if (--count->second == 0) {
        m_runningAt.erase(count);
    }
    m_running.erase(running);
}

std::optional<LocalGrant> LocalShare::grantNext(TimePoint now, LocalShareMode mode)
{
    const auto queue = nextClass();
    if (queue == m_queues.end()) {
        return std::nullopt;
    }
    const AttemptId id = queue->second.arrivals.begin()->second;
    const std::optional<EndpointId> slot = findSlot(now, mode, m_tickets.at(id).avoid);
    if (!slot) {
        return std::nullopt;
    }
    if (queue->second.credit >= wholeCredit) {
        queue->second.credit -= 1.0;
    }
    creditWaitingClasses();
    remove(id);
    occupy(now, id, *slot);
    return LocalGrant{id, *slot};
}

std::optional<AttemptId> LocalShare::shedCandidate() const
{
    const auto queue = lowestClass();
    if (queue == m_queues.end()) {
        return std::nullopt;
    }
    return queue->second.arrivals.rbegin()->second;
}

std::size_t LocalShare::queueBudget(TimePoint now) const
{
    if (m_preset == nullptr) {
        return std::numeric_limits<std::size_t>::max();
    }
    std::size_t limit = 0;
    for (const ClassRule &rule : m_preset->preset.classes) {
        limit += rule.queueLimit;
    }
    return std::max<std::size_t>(1, limit / std::max<std::size_t>(1, m_hosts.largest(now).size()));
}

std::uint32_t LocalShare::share(TimePoint now, const EndpointId &endpoint)
{
    refreshShares(now);
    const auto share = m_shares.find(endpoint);
    return share == m_shares.end() ? 0 : share->second;
}

bool LocalShare::hasNoUsableEndpoint() const
{
    return m_endpointsKnown && std::none_of(m_endpoints.begin(), m_endpoints.end(), takesWork);
}

bool LocalShare::isUnknownClass(const ClassId &classId) const
{
    return m_preset != nullptr && m_preset->preset.findClass(classId) == nullptr;
}

std::map<ClassId, LocalShare::ClassQueue>::iterator LocalShare::nextClass()
{
    const bool fifo = isFifo();
    auto best = m_queues.end();
    for (auto queue = m_queues.begin(); queue != m_queues.end(); ++queue) {
        if (best == m_queues.end()) {
            best = queue;
            continue;
        }
        const bool isDue = !fifo && queue->second.credit >= wholeCredit;
        const bool bestIsDue = !fifo && best->second.credit >= wholeCredit;
        if (isDue != bestIsDue) {
            best = isDue ? queue : best;
            continue;
        }
        const Tier tier = tierOf(queue->first);
        const Tier bestTier = tierOf(best->first);
        if (!fifo && tier != bestTier) {
            best = tier.isHigherThan(bestTier) ? queue : best;
            continue;
        }
        best = *queue->second.arrivals.begin() < *best->second.arrivals.begin() ? queue : best;
    }
    return best;
}

std::map<ClassId, LocalShare::ClassQueue>::const_iterator LocalShare::lowestClass() const
{
    const bool fifo = isFifo();
    auto worst = m_queues.end();
    for (auto queue = m_queues.begin(); queue != m_queues.end(); ++queue) {
        if (worst == m_queues.end()) {
            worst = queue;
            continue;
        }
        const Tier tier = tierOf(queue->first);
        const Tier worstTier = tierOf(worst->first);
        if (!fifo && tier != worstTier) {
            worst = worstTier.isHigherThan(tier) ? queue : worst;
            continue;
        }
        worst = *worst->second.arrivals.rbegin() < *queue->second.arrivals.rbegin() ? queue : worst;
    }
    return worst;
}

Tier LocalShare::tierOf(const ClassId &classId) const
{
    const ClassRule *rule = m_preset == nullptr ? nullptr : m_preset->preset.findClass(classId);
    // A class that the preset does not list goes last: it is about to be refused.
    return rule == nullptr ? Tier{std::numeric_limits<std::uint8_t>::max()} : rule->tier;
}

double LocalShare::minimumShareOf(const ClassId &classId) const
{
    const ClassRule *rule = m_preset == nullptr ? nullptr : m_preset->preset.findClass(classId);
    return rule == nullptr ? 0.0 : rule->minimumShare;
}

bool LocalShare::isFifo() const
{
    return m_preset != nullptr && m_preset->preset.arbitration == ArbitrationMode::Fifo;
}

void LocalShare::creditWaitingClasses()
{
    for (auto &[classId, queue] : m_queues) {
        queue.credit = std::min(maxCredit, queue.credit + minimumShareOf(classId));
    }
}

std::optional<EndpointId> LocalShare::findSlot(TimePoint now, LocalShareMode mode, const std::vector<EndpointId> &avoid)
{
    std::optional<EndpointId> best;
    bool bestAvoided = false;
    double bestLoad = 0;
    for (const Endpoint &endpoint : m_endpoints) {
        const std::optional<double> load = loadOf(now, mode, endpoint);
        if (!load) {
            continue;
        }
        const bool avoided = std::find(avoid.begin(), avoid.end(), endpoint.id) != avoid.end();
        const bool better = !best || std::pair(avoided, *load) < std::pair(bestAvoided, bestLoad);
        if (better) {
            best = endpoint.id;
            bestAvoided = avoided;
            bestLoad = *load;
        }
    }
    return best;
}

std::optional<double> LocalShare::loadOf(TimePoint now, LocalShareMode mode, const Endpoint &endpoint)
{
    if (!takesWork(endpoint)) {
        return std::nullopt;
    }
    std::size_t slots = endpoint.slots;
    std::size_t used = 0;
    if (mode == LocalShareMode::StaticShare) {
        slots = share(now, endpoint.id);
        used = runningAt(endpoint.id);
    } else {
        const auto report = m_reports.find(endpoint.id);
        used = report == m_reports.end() ? runningAt(endpoint.id) : report->second.load + startedSince(endpoint.id, report->second.at);
    }
    if (used >= slots) {
        return std::nullopt;
    }
    return static_cast<double>(used) / static_cast<double>(slots);
}

std::size_t LocalShare::runningAt(const EndpointId &endpoint) const
{
    const auto count = m_runningAt.find(endpoint);
    return count == m_runningAt.end() ? 0 : count->second;
}

std::size_t LocalShare::startedSince(const EndpointId &endpoint, TimePoint since) const
{
    return static_cast<std::size_t>(
        std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) { return entry.second.endpoint == endpoint && entry.second.since > since; }));
}

void LocalShare::refreshShares(TimePoint now)
{
    const std::span<const HostId> hosts = m_hosts.largest(now);
    if (!m_sharesStale && hosts.size() == m_sharesFor) {
        return;
    }
    m_sharesStale = false;
    m_sharesFor = hosts.size();
    m_shares.clear();
    if (hosts.empty()) {
        return;
    }
    std::uint32_t total = 0;
    for (const Endpoint &endpoint : m_endpoints) {
        if (takesWork(endpoint)) {
            const std::uint32_t exact = exactShare(hosts, endpoint);
            m_shares[endpoint.id] = exact;
            total += exact;
        }
    }
    if (total == 0 && !m_shares.empty()) {
        m_shares[fallbackEndpoint(hosts)] = 1;
    }
}

std::uint32_t LocalShare::exactShare(std::span<const HostId> hosts, const Endpoint &endpoint) const
{
    const std::uint32_t count = static_cast<std::uint32_t>(hosts.size());
    const std::vector<HostId> first = rendezvousRank(hosts, shareKey(endpoint.id), endpoint.slots % count);
    const bool ranksFirst = std::find(first.begin(), first.end(), m_options.self) != first.end();
    return endpoint.slots / count + (ranksFirst ? 1 : 0);
}

EndpointId LocalShare::fallbackEndpoint(std::span<const HostId> hosts) const
{
    EndpointId best;
    std::size_t bestRank = std::numeric_limits<std::size_t>::max();
    for (const Endpoint &endpoint : m_endpoints) {
        if (!takesWork(endpoint)) {
            continue;
        }
        const std::vector<HostId> rank = rendezvousRank(hosts, shareKey(endpoint.id), hosts.size());
        const std::size_t position = static_cast<std::size_t>(std::find(rank.begin(), rank.end(), m_options.self) - rank.begin());
        if (position < bestRank) {
            best = endpoint.id;
            bestRank = position;
        }
    }
    return best;
}

} // namespace Rhubarbwind
