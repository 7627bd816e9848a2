#pragma once

// Implementation of Arbiter (arbiter.h). Each event changes the queue or the permits and then calls settle(): expired tickets
// and permits end, free slots are granted, tickets over budget are shed, and only then running work may be preempted.

#include <algorithm>
#include <utility>

namespace Rhubarbwind
{

template <EndpointChooser Pool>
Arbiter<Pool>::Arbiter(ShardId shard, ArbiterOptions options, Pool &pool, Epoch epoch, TimePoint now)
    : m_shard(std::move(shard))
    , m_options(options)
    , m_pool(pool)
    , m_epoch(epoch)
    , m_now(now)
    , m_collectingUntil(now + options.collectingRound)
    , m_lastSweep(now)
    , m_order(options)
    , m_ended(options.endedLimit, options.endedMemory)
{
}

template <EndpointChooser Pool>
void Arbiter<Pool>::applyPreset(TimePoint now, std::shared_ptr<const PresetInForce> preset)
{
    const PresetInForce *inForce = m_order.rules().inForce();
    if (!preset || (inForce && preset->version <= inForce->version)) {
        return;
    }
    const std::vector<QueuedTicket> removed = m_order.setRules(RuleIndex(std::move(preset)));
    for (const QueuedTicket &queued : removed) {
        refuse(now, queued, RefusalReason::UnknownClass);
    }
    for (const AttemptId &id : m_permits.all()) {
        const Permit &permit = *m_permits.find(id);
        const ClassRule *rule = m_order.rules().findClass(permit.ticket.classId);
        // The higher of both tiers: a request is stopped only for one that was above it during its whole run.
        const Tier tier = rule ? std::min(rule->tier, permit.tier) : permit.tier;
        m_permits.setRules(id, tier, permit.preemptible && rule && rule->preemptible);
    }
    settle(now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::ticket(TimePoint now, const Ticket &ticket)
{
    if (!m_order.rules().inForce() || answerKnown(now, ticket)) {
        return;
    }
    if (!m_order.rules().findClass(ticket.classId)) {
        refuse(now, QueuedTicket{ticket, Tier{}, now, now, now, 0}, RefusalReason::UnknownClass);
        return;
    }
    m_order.add(now, ticket);
    settle(now);
    refuseIfHopeless(now, ticket.id);
}

template <EndpointChooser Pool>
bool Arbiter<Pool>::answerKnown(TimePoint now, const Ticket &ticket)
{
    if (const EndedAttempts::Ended *ended = m_ended.find(ticket.id)) {
        if (ended->end == AttemptEnd::Refused) {
            send(ticket.entry, ended->refusal);
        }
        return true;
    }
    if (const Permit *permit = m_permits.find(ticket.id)) {
        resendGrant(now, *permit);
        return true;
    }
    return m_order.queue().find(ticket.id) != nullptr;
}

template <EndpointChooser Pool>
void Arbiter<Pool>::resendGrant(TimePoint now, const Permit &permit)
{
    Grant grant = permit.grant;
    const Duration remaining = permit.granted + m_options.grantLifetime - now;
    grant.expiresIn = remaining > Duration::zero() ? remaining : m_options.grantLifetime;
    send(permit.ticket.entry, grant);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::cancel(TimePoint now, const AttemptId &id)
{
    if (m_ended.find(id)) {
        return;
    }
    m_ended.add(now, id, {AttemptEnd::Cancelled, {}});
    m_order.take(id);
    if (const std::optional<Permit> permit = m_permits.take(id)) {
        finish(now, *permit, Release{id, permit->reservation.endpoint, ReleaseKind::Unused});
    }
    settle(now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::release(TimePoint now, const Release &release)
{
    if (m_ended.find(release.id)) {
        return;
    }
    m_ended.add(now, release.id, {AttemptEnd::Released, {}});
    m_order.take(release.id);
    if (const std::optional<Permit> permit = m_permits.take(release.id)) {
        finish(now, *permit, release);
    }
    settle(now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::progress(TimePoint now, const AttemptId &id, std::uint32_t tokens)
{
    m_now = std::max(m_now, now);
    const std::optional<StreamPace> pace = m_permits.renew(m_now, id, tokens, now + m_options.silentPermitLimit);
    if constexpr (ObservesPace<Pool>) {
        // Long streams of a straggler release nothing for minutes; their pace reveals it within seconds.
        if (pace) {
            m_pool.progress(m_now, pace->endpoint, pace->interToken, pace->tokens);
        }
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::held(TimePoint now, const HeldPermit &held)
{
    const AttemptId &id = held.ticket.id;
    const EndedAttempts::Ended *ended = m_ended.find(id);
    if (ended && ended->end != AttemptEnd::Lost) {
        return;
    }
    m_ended.remove(id);
    m_order.take(id);
    const Permit *known = m_permits.find(id);
    if (!known) {
        addHeld(now, held);
    } else if (known->reservation.endpoint != held.endpoint) {
        // Also granted here, while the host ran it under a former arbiter's grant: the running one counts.
        const Permit unused = *m_permits.take(id);
        finish(now, unused, Release{id, unused.reservation.endpoint, ReleaseKind::Unused});
        addHeld(now, held);
    } else {
        m_permits.renew(m_now, id, held.tokensSoFar, now + m_options.silentPermitLimit);
        if (known->preempted) {
            send(held.ticket.entry, Preemption{id});
        }
    }
    settle(now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::addHeld(TimePoint now, const HeldPermit &held)
{
    if (m_permits.size() >= m_options.permitLimit) {
        return;
    }
    const ClassRule *rule = m_order.rules().findClass(held.ticket.classId);
    Permit permit = makePermit(now, held.ticket, rule ? rule->tier : Tier{}, held.endpoint);
    permit.resent = true;
    permit.preemptible = false; // it may have been granted by a minimum share
    permit.tokens = held.tokensSoFar;
    m_pool.reserve(now, permit.reservation, permit.ticket.prefixDigests);
    m_order.correctCharge(permit.tier, permit.ticket.customer, permit.charge);
    m_permits.add(std::move(permit));
}

template <EndpointChooser Pool>
void Arbiter<Pool>::hostDomain(const HostId &host, FailureDomain domain)
{
    m_hostDomains[host] = std::move(domain);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::hostRemoved(TimePoint now, const HostId &host)
{
    m_hostDomains.erase(host);
    std::vector<AttemptId> waiting;
    for (const TicketQueue::Position &position : m_order.queue().byArrival()) {
        if (position.ticket->ticket.entry == host) {
            waiting.push_back(position.ticket->ticket.id);
        }
    }
    for (const AttemptId &id : waiting) {
        m_order.take(id);
    }
    for (const AttemptId &id : m_permits.ofHost(host)) {
        m_permits.orphan(id, now + m_options.orphanHold);
    }
    settle(now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::tick(TimePoint now)
{
    m_ended.removeExpired(now);
    settle(now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::settle(TimePoint now)
{
    m_now = std::max(m_now, now);
    expireTickets(now);
    expirePermits(now);
    refuseWithoutEndpoint(now);
    dispatch(now);
    shed(now);
    sweepHopeless(now);
    preempt(now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::expireTickets(TimePoint now)
{
    const TicketQueue::SortedTickets &byDeadline = m_order.queue().byDeadline();
    while (!byDeadline.empty() && byDeadline.begin()->time <= now) {
        refuse(now, *m_order.take(AttemptId(byDeadline.begin()->ticket->ticket.id)), RefusalReason::DeadlinePassed);
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::expirePermits(TimePoint now)
{
    for (const Permit *next = m_permits.nextExpiring(); next && next->expiresAt <= now; next = m_permits.nextExpiring()) {
        const Permit lost = *m_permits.take(AttemptId(next->ticket.id));
        m_ended.add(now, lost.ticket.id, {AttemptEnd::Lost, {}});
        ++m_counters.lostPermits;
        finish(now, lost, Release{lost.ticket.id, lost.reservation.endpoint, ReleaseKind::Unused});
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::refuseWithoutEndpoint(TimePoint now)
{
    if (m_pool.hasActiveEndpoints()) {
        m_withoutEndpointSince.reset();
        return;
    }
    if (!m_withoutEndpointSince) {
        m_withoutEndpointSince = now;
    }
    if (now - *m_withoutEndpointSince < m_options.noEndpointGrace) {
        return;
    }
    const TicketQueue::SortedTickets &byArrival = m_order.queue().byArrival();
    while (!byArrival.empty()) {
        refuse(now, *m_order.take(AttemptId(byArrival.begin()->ticket->ticket.id)), RefusalReason::NoEndpoint);
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::dispatch(TimePoint now)
{
    while (m_order.queue().size() > 0 && mayGrant(now) && grantOne(now)) { }
    m_preemptedSlots = m_order.queue().size() > 0 ? m_preemptedSlots : 0;
}

template <EndpointChooser Pool>
bool Arbiter<Pool>::mayGrant(TimePoint now)
{
    const std::size_t free = m_pool.freeSlots(now);
    if (free == 0 || m_permits.size() >= m_options.permitLimit) {
        return false;
    }
    if (!isCollecting()) {
        return true;
    }
    const double seen = static_cast<double>(free + m_collectingGrants);
    return static_cast<double>(m_collectingGrants) + 1 <= m_options.collectingFraction * seen;
}

template <EndpointChooser Pool>
bool Arbiter<Pool>::isCollecting() const
{
    return m_now < m_collectingUntil;
}

template <EndpointChooser Pool>
bool Arbiter<Pool>::grantOne(TimePoint now)
{
    const Duration guard = 2 * m_rate.timeFor(1, m_permits.size()).value_or(Duration::zero());
    std::optional<GrantOrder::Pick> pick = m_preemptedSlots > 0 ? m_order.nextInTurn() : m_order.next(now, guard);
    std::optional<EndpointChoice> choice = chooseFor(now, pick->queued->ticket);
    if (!choice && pick->outOfTurn) {
        // The due class's request fits no free slot; the request that is next in order must not wait for it.
        pick = m_order.nextInTurn();
        choice = chooseFor(now, pick->queued->ticket);
    }
    if (!choice) {
        return false; // a smaller request further back might fit, but would overtake
    }
    Permit permit = makePermit(now, pick->queued->ticket, pick->queued->tier, choice->endpoint);
    permit.preemptible = permit.preemptible && !pick->outOfTurn;
    m_counters.progressGrants += pick->outOfTurn ? 1 : 0;
    m_preemptedSlots -= m_preemptedSlots > 0 ? 1 : 0;
    m_collectingGrants += isCollecting() ? 1 : 0;
    ++m_counters.grants;
    m_order.grant(*pick, permit.charge);
    m_pool.reserve(now, permit.reservation, permit.ticket.prefixDigests);
    send(permit.ticket.entry, permit.grant);
    m_permits.add(std::move(permit));
    return true;
}

template <EndpointChooser Pool>
std::optional<EndpointChoice> Arbiter<Pool>::chooseFor(TimePoint now, const Ticket &ticket)
{
    const auto domain = m_hostDomains.find(ticket.entry);
    const FailureDomain entryDomain = domain == m_hostDomains.end() ? FailureDomain() : domain->second;
    return m_pool.choose(now, EndpointQuery{entryDomain, ticket.promptTokens, estimateOf(ticket), ticket.prefixDigests, ticket.avoid});
}

template <EndpointChooser Pool>
Permit Arbiter<Pool>::makePermit(TimePoint now, const Ticket &ticket, Tier tier, const EndpointId &endpoint) const
{
    const std::uint32_t estimate = estimateOf(ticket);
    Permit permit;
    permit.ticket = ticket;
    permit.tier = tier;
    permit.reservation = {endpoint, ticket.promptTokens, estimate};
    permit.grant = {ticket.id, endpoint, m_order.rules().isFifo() ? 0 : tier.level, m_epoch, m_options.grantLifetime};
    permit.granted = now;
    permit.expiresAt = now + m_options.silentPermitLimit;
    permit.charge = chargeFor(ticket, estimate, 0);
    permit.preemptible = isPreemptible(ticket);
    return permit;
}

template <EndpointChooser Pool>
bool Arbiter<Pool>::isPreemptible(const Ticket &ticket) const
{
    const ClassRule *rule = m_order.rules().findClass(ticket.classId);
    return rule && rule->preemptible;
}

template <EndpointChooser Pool>
std::uint32_t Arbiter<Pool>::estimateOf(const Ticket &ticket) const
{
    if (ticket.estimatedTokens > 0) {
        return ticket.estimatedTokens;
    }
    const ClassRule *rule = m_order.rules().findClass(ticket.classId);
    return m_lengths.quantile(ticket.classId, m_options.estimateQuantile, rule ? rule->estimatedTokens : 0);
}

template <EndpointChooser Pool>
double Arbiter<Pool>::chargeFor(const Ticket &ticket, std::uint32_t tokens, std::uint32_t reused) const
{
    const std::uint32_t prompt = ticket.promptTokens - std::min(reused, ticket.promptTokens);
    return tokens + m_options.promptTokenCost * prompt;
}

template <EndpointChooser Pool>
void Arbiter<Pool>::finish(TimePoint now, const Permit &permit, const Release &release)
{
    freeSlot(now, permit, release);
    m_collectingGrants -= m_collectingGrants > 0 && !permit.resent ? 1 : 0;
    m_preemptedSlots += permit.preempted ? 1 : 0;
    const bool ran = release.kind != ReleaseKind::Unused && release.kind != ReleaseKind::EndpointRefused;
    const double used = ran ? chargeFor(permit.ticket, release.tokens, release.reusedPromptTokens) : 0.0;
    m_order.correctCharge(permit.tier, permit.ticket.customer, used - permit.charge);
    if (ran && !permit.resent) {
        m_rate.addHeldTime(now - permit.granted);
    }
    if (release.kind == ReleaseKind::Completed) {
        m_lengths.learn(permit.ticket.classId, release.tokens);
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::freeSlot(TimePoint now, const Permit &permit, const Release &release)
{
    const bool observed = release.endpoint == permit.reservation.endpoint
        && (release.kind == ReleaseKind::Completed || release.kind == ReleaseKind::EndpointFailed
            || (release.kind == ReleaseKind::Cancelled && release.tokens > 0));
    if (!observed) {
        m_pool.freeUnused(now, permit.reservation);
        return;
    }
    const bool failed = release.kind == ReleaseKind::EndpointFailed;
    const ServiceSample sample{release.firstToken, release.meanInterToken, release.tokens, release.reusedPromptTokens, failed, release.slowInterToken};
    m_pool.free(now, permit.reservation, sample);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::shed(TimePoint now)
{
    while (const QueuedTicket *victim = m_order.overBudget()) {
        ++m_counters.shedByTier[victim->tier];
        refuse(now, *m_order.take(AttemptId(victim->ticket.id)), RefusalReason::QueueFull);
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::sweepHopeless(TimePoint now)
{
    if (now - m_lastSweep < m_options.sweepPeriod) {
        return;
    }
    m_lastSweep = now;
    std::vector<const QueuedTicket *> hopeless;
    for (const TicketQueue::Position &position : m_order.queue().byDeadline()) {
        const QueuedTicket &queued = *position.ticket;
        if (isHopeless(now, queued, m_order.minGrantsUntil(queued.tier, queued.ticket.classId))) {
            hopeless.push_back(&queued);
        }
    }
    for (const QueuedTicket *queued : hopeless) {
        if (!m_order.isWithinReserve(queued->ticket.classId)) {
            ++m_counters.hopelessByTier[queued->tier];
            refuse(now, *m_order.take(AttemptId(queued->ticket.id)), RefusalReason::Hopeless);
        }
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::refuseIfHopeless(TimePoint now, const AttemptId &id)
{
    const QueuedTicket *queued = m_order.queue().find(id);
    // The first check is cheap and excludes all but long queues.
    if (queued && isHopeless(now, *queued, m_order.queue().size()) && isHopeless(now, *queued, m_order.grantsUntil(*queued))) {
        ++m_counters.hopelessByTier[queued->tier];
        refuse(now, *m_order.take(id), RefusalReason::Hopeless);
    }
}

template <EndpointChooser Pool>
bool Arbiter<Pool>::isHopeless(TimePoint now, const QueuedTicket &queued, std::size_t grants) const
{
    if (m_order.rules().isFifo() || m_order.isWithinReserve(queued.ticket.classId)) {
        return false;
    }
    const std::optional<Duration> wait = m_rate.timeFor(grants, m_permits.size());
    return wait && toSeconds(*wait) > m_options.hopelessMargin * toSeconds(queued.deadline - now);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::preempt(TimePoint now)
{
    if (!m_order.rules().allowsPreemption() || isCollecting() || m_order.queue().size() == 0) {
        return;
    }
    const QueuedTicket &next = *m_order.nextInTurn()->queued;
    const Permit *victim = m_permits.bestVictim();
    const bool urgent = next.due - now <= m_options.preemptionSlack;
    if (!victim || !urgent || m_pool.freeSlots(now) > 0) {
        return;
    }
    // One preemption per request that waits above the victim's tier, so none when all wait in its tier or below; the slots
    // become free with the releases.
    if (m_permits.preempted() + m_preemptedSlots < m_order.queue().sizeAbove(victim->tier)) {
        send(victim->ticket.entry, Preemption{victim->ticket.id});
        ++m_counters.preemptions;
        m_permits.markPreempted(AttemptId(victim->ticket.id));
    }
}

template <EndpointChooser Pool>
void Arbiter<Pool>::refuse(TimePoint now, const QueuedTicket &queued, RefusalReason reason)
{
    const Refusal refusal{queued.ticket.id, reason, retryAfter(queued, reason)};
    ++m_counters.refusals[static_cast<std::size_t>(reason)];
    m_ended.add(now, queued.ticket.id, {AttemptEnd::Refused, refusal});
    send(queued.ticket.entry, refusal);
}

template <EndpointChooser Pool>
Duration Arbiter<Pool>::retryAfter(const QueuedTicket &queued, RefusalReason reason) const
{
    if (reason == RefusalReason::UnknownClass) {
        return m_options.maxRetryAfter; // only a new preset can add the class
    }
    const Tier nextLower{static_cast<std::uint8_t>(std::min(255, queued.tier.level + 1))};
    const std::size_t before = m_order.queue().sizeAbove(nextLower);
    const Duration drained = m_rate.timeFor(before, m_permits.size()).value_or(Duration::zero());
    return std::clamp(drained, m_options.minRetryAfter, m_options.maxRetryAfter);
}

template <EndpointChooser Pool>
void Arbiter<Pool>::send(const HostId &host, std::variant<Grant, Refusal, Preemption> message)
{
    m_actions.push_back({host, std::move(message)});
}

template <EndpointChooser Pool>
std::vector<ArbiterAction> Arbiter<Pool>::takeActions()
{
    return std::exchange(m_actions, {});
}

template <EndpointChooser Pool>
std::optional<TimePoint> Arbiter<Pool>::nextWake() const
{
    std::optional<TimePoint> wake;
    const auto consider = [&wake](TimePoint time) { wake = wake ? std::min(*wake, time) : time; };
    if (isCollecting()) {
        consider(m_collectingUntil);
    }
    if (!m_order.queue().byDeadline().empty()) {
        consider(m_order.queue().byDeadline().begin()->time);
        consider(m_lastSweep + m_options.sweepPeriod);
    }
    if (const Permit *next = m_permits.nextExpiring()) {
        consider(next->expiresAt);
    }
    return wake;
}

template <EndpointChooser Pool>
ArbiterStatus Arbiter<Pool>::status() const
{
    ArbiterStatus status = m_counters;
    status.shard = m_shard;
    status.epoch = m_epoch;
    status.collecting = isCollecting();
    status.queued = m_order.queue().size();
    status.running = m_permits.size();
    status.orphans = m_permits.orphans();
    for (const TicketQueue::Position &position : m_order.queue().byArrival()) {
        ClassStatus &entry = status.classes[position.ticket->ticket.classId];
        entry.longestWait = std::max(entry.longestWait, m_now - position.ticket->arrived);
        ++entry.queued;
    }
    return status;
}

} // namespace Rhubarbwind
