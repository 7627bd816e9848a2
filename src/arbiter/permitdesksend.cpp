// What the desk tells the arbiter, and what it decides while none answers.
//
// Loss is found by numbers, not by timers an entry: both directions count their batches, the arbiter tells up to where
// it has lost none, and either side that sees a gap has the whole state told again (the go-back-N of a link protocol
// with the state itself as the window). A timer for each ticket was ruled out: a burst's waiting tickets, told again
// every second, would alone fill the control budget of a link.

#include "arbiter/permitdesk.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

/** Most frames a flush; the rest waits for the next one, so that a full re-send does not fill the link's queue at once. */
constexpr std::size_t maxBatchesPerFlush = 16;
/** Batches whose sending time is remembered: a keep-alive every 250 ms fills this in a quarter of an hour. */
constexpr std::size_t maxSentRemembered = 4096;
constexpr Duration givenBackInterval = 500ms;
constexpr Duration localRetryAfter = 1s;

/** The ticket with what has waited and what remains as of now. */
Ticket asOfNow(TimePoint now, const Ticket &ticket, TimePoint arrived, Duration remaining)
{
    Ticket current = ticket;
    current.waited = now - arrived;
    current.deadlineIn = std::max(Duration::zero(), remaining);
    return current;
}

} // namespace

void PermitDesk::listTicket(const AttemptId &id, Waiting &waiting)
{
    if (!waiting.listed && !isLocalMode()) {
        waiting.listed = true;
        m_untoldTickets.push_back(id);
    }
}

void PermitDesk::listHeld(const AttemptId &id, Held &held)
{
    if (!held.listed && !isLocalMode()) {
        held.listed = true;
        m_untoldHeld.push_back(id);
    }
}

void PermitDesk::listProgress(const AttemptId &id, Held &held)
{
    if (!held.progressListed) {
        held.progressListed = true;
        m_changedProgress.push_back(id);
    }
}

void PermitDesk::renewHeld(TimePoint now)
{
    // A plain service's call or a long prefill shows no tokens for minutes. Without a sign of life the arbiter would
    // hand its place on and overfill the endpoint.
    if (now - m_lastRenewal < m_options.renewalInterval) {
        return;
    }
    m_lastRenewal = now;
    for (auto &[id, held] : m_held) {
        listProgress(id, held);
    }
}

void PermitDesk::addUnacknowledged(const AttemptId &id, std::optional<Release> release)
{
    m_unacknowledged[id] = Unacknowledged{std::move(release)};
    m_unsent.push_back(id);
    if (m_unacknowledged.size() > m_options.maxReleases) {
        startAfresh();
    }
}

void PermitDesk::resendAll()
{
    ++m_counts.fullSends;
    m_completeNext = true;
    m_untoldTickets.clear();
    m_untoldHeld.clear();
    m_unsent.clear();
    m_sentUnacknowledged.clear();
    for (auto &[id, waiting] : m_waiting) {
        waiting.listed = false;
        listTicket(id, waiting);
    }
    for (auto &[id, held] : m_held) {
        held.told = false;
        held.listed = false;
        listHeld(id, held);
    }
    for (auto &[id, entry] : m_unacknowledged) {
        entry.sequence = 0;
        m_unsent.push_back(id);
    }
}

void PermitDesk::startAfresh()
{
    // An arbiter out of reach leaves releases without end. Under a new number it takes this host for a new one: it
    // forgets all permits of the former, so the releases are not needed any more.
    ++m_options.incarnation;
    m_unacknowledged.clear();
    m_sent.clear();
    m_acknowledgedSentAt.reset();
    m_answerSequence = 0;
    resendAll();
}

void PermitDesk::checkSilence(TimePoint now)
{
    if (isLocalMode() || m_fallback) {
        return;
    }
    const bool nobody = m_owner.empty() && !m_waiting.empty();
    const bool silent = m_silentSince && now - *m_silentSince >= m_options.fallbackAfter;
    if (nobody || silent) {
        m_fallback = true;
        m_localWork = true;
        ++m_counts.fallbacks;
    }
}

void PermitDesk::expireDeadlines(TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const AttemptId id = m_deadlines.begin()->second;
        refuse(id, RefusalReason::DeadlinePassed, localRetryAfter, true);
    }
}

void PermitDesk::decideLocally(TimePoint now)
{
    if (!grantsLocally() || m_waiting.empty()) {
        return;
    }
    if (m_localWork) {
        refuseImpossible(now);
        m_localWork = false;
    }
    const LocalShareMode mode = isLocalMode() ? LocalShareMode::LoadReports : LocalShareMode::StaticShare;
    for (std::optional<LocalGrant> place = m_share.grantNext(now, mode); place; place = m_share.grantNext(now, mode)) {
        Grant grant;
        grant.id = place->id;
        grant.endpoint = place->endpoint;
        const auto waiting = m_waiting.find(place->id);
        const ClassRule *rule = m_preset == nullptr ? nullptr : m_preset->preset.findClass(waiting->second.ticket.classId);
        grant.enginePriority = rule == nullptr ? 0 : rule->tier.level;
        grant.expiresIn = m_options.localGrantExpiry;
        hold(now, waiting, grant, HostId());
    }
    // Granted before shed: what can run is not refused.
    while (m_waiting.size() > m_share.queueBudget(now)) {
        refuse(*m_share.lowest(), RefusalReason::QueueFull, localRetryAfter, true);
    }
}

void PermitDesk::refuseImpossible(TimePoint now)
{
    const bool noEndpoint = m_noTakerSince && now - *m_noTakerSince >= m_options.noEndpointGrace;
    std::vector<std::pair<AttemptId, RefusalReason>> impossible;
    for (const auto &[id, waiting] : m_waiting) {
        if (m_share.isUnknownClass(waiting.ticket.classId)) {
            impossible.emplace_back(id, RefusalReason::UnknownClass);
        } else if (noEndpoint) {
            impossible.emplace_back(id, RefusalReason::NoEndpoint);
        }
    }
    for (const auto &[id, reason] : impossible) {
        refuse(id, reason, localRetryAfter, true);
    }
}

void PermitDesk::flush(TimePoint now)
{
    if (m_owner.empty() || now < m_lastFlush + flushWait()) {
        return;
    }
    const bool keepAliveDue = hasOutstanding() && now - m_lastFlush >= m_options.keepAliveInterval;
    if (!keepAliveDue && !hasUntold() && !isProgressDue(now)) {
        return;
    }
    m_lastFlush = now;
    sendBatch(now);
    for (std::size_t batches = 1; hasUntold() && batches < maxBatchesPerFlush; ++batches) {
        sendBatch(now);
    }
}

Duration PermitDesk::flushWait() const
{
    // On this very host there is no frame to save.
    return m_owner == m_options.self ? Duration::zero() : m_options.flushInterval;
}

bool PermitDesk::hasUntold() const
{
    return !m_untoldTickets.empty() || !m_untoldHeld.empty() || !m_unsent.empty();
}

bool PermitDesk::isProgressDue(TimePoint now) const
{
    return !m_changedProgress.empty() && now - m_lastProgress >= m_options.progressInterval;
}

void PermitDesk::sendBatch(TimePoint now)
{
    PermitRequests batch;
    batch.shard = m_options.shard;
    batch.sender = m_options.self;
    batch.incarnation = m_options.incarnation;
    batch.epochSeen = m_epoch;
    batch.epochElsewhere = epochElsewhere();
    batch.sequence = ++m_sequence;
    batch.complete = std::exchange(m_completeNext, false);
    if (batch.complete) {
        m_completeSequence = batch.sequence;
    }
    fillUnacknowledged(batch);
    fillHeld(now, batch);
    fillTickets(now, batch);
    fillProgress(now, batch);
    m_sent.push_back({batch.sequence, now});
    if (m_sent.size() > maxSentRemembered) {
        m_sent.pop_front();
    }
    if (!m_silentSince) {
        m_silentSince = now;
    }
    m_actions.emplace_back(SendPermitRequests{m_owner, std::move(batch)});
}

void PermitDesk::fillTickets(TimePoint now, PermitRequests &batch)
{
    while (!m_untoldTickets.empty() && batch.tickets.size() < maxBatchEntries) {
        const auto waiting = m_waiting.find(m_untoldTickets.front());
        m_untoldTickets.pop_front();
        if (waiting == m_waiting.end() || !waiting->second.listed) {
            continue;
        }
        waiting->second.listed = false;
        waiting->second.told = true;
        batch.tickets.push_back(asOfNow(now, waiting->second.ticket, waiting->second.arrived, waiting->second.deadline - now));
    }
}

void PermitDesk::fillHeld(TimePoint now, PermitRequests &batch)
{
    while (!m_untoldHeld.empty() && batch.held.size() < maxBatchEntries) {
        const auto held = m_held.find(m_untoldHeld.front());
        m_untoldHeld.pop_front();
        if (held == m_held.end() || !held->second.listed) {
            continue;
        }
        held->second.listed = false;
        held->second.told = true;
        const Ticket ticket = asOfNow(now, held->second.ticket, held->second.arrived, Duration::zero());
        batch.held.push_back({ticket, held->second.endpoint, held->second.tokens});
    }
}

void PermitDesk::fillUnacknowledged(PermitRequests &batch)
{
    while (!m_unsent.empty() && batch.releases.size() + batch.cancels.size() < maxBatchEntries) {
        const AttemptId id = m_unsent.front();
        m_unsent.pop_front();
        const auto entry = m_unacknowledged.find(id);
        if (entry == m_unacknowledged.end() || entry->second.sequence != 0) {
            continue;
        }
        entry->second.sequence = batch.sequence;
        m_sentUnacknowledged.emplace_back(batch.sequence, id);
        if (entry->second.release) {
            batch.releases.push_back(*entry->second.release);
        } else {
            batch.cancels.push_back(id);
        }
    }
}

void PermitDesk::fillProgress(TimePoint now, PermitRequests &batch)
{
    if (!isProgressDue(now)) {
        return;
    }
    while (!m_changedProgress.empty() && batch.progress.size() < maxBatchEntries) {
        const auto held = m_held.find(m_changedProgress.front());
        m_changedProgress.pop_front();
        if (held != m_held.end() && held->second.progressListed) {
            held->second.progressListed = false;
            batch.progress.push_back({held->first, held->second.tokens});
        }
    }
    if (m_changedProgress.empty()) {
        m_lastProgress = now;
    }
}

void PermitDesk::sendGivenBack(TimePoint now)
{
    for (GivenBack &grant : m_givenBack) {
        if (grant.nextSend > now) {
            continue;
        }
        PermitRequests batch;
        batch.shard = m_options.shard;
        batch.sender = m_options.self;
        batch.incarnation = m_options.incarnation;
        batch.epochSeen = m_epoch;
        batch.onlyTerm = grant.term;
        batch.releases.push_back(grant.release);
        m_actions.emplace_back(SendPermitRequests{grant.to, std::move(batch)});
        --grant.sendsLeft;
        grant.nextSend = now + givenBackInterval;
    }
    std::erase_if(m_givenBack, [](const GivenBack &grant) { return grant.sendsLeft == 0; });
}

std::optional<TimePoint> PermitDesk::nextSend() const
{
    if (m_owner.empty()) {
        return std::nullopt;
    }
    if (hasUntold()) {
        return m_lastFlush + flushWait();
    }
    std::optional<TimePoint> next;
    if (hasOutstanding()) {
        // Also often enough for renewHeld().
        next = m_lastFlush + m_options.keepAliveInterval;
    }
    if (!m_changedProgress.empty()) {
        const TimePoint progress = std::max(m_lastProgress + m_options.progressInterval, m_lastFlush + flushWait());
        next = next ? std::min(*next, progress) : progress;
    }
    return next;
}

} // namespace Rhubarbwind
