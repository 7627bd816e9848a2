// What the entry host and its surroundings tell the desk; permitdeskanswers.cpp takes the arbiter's answers, and
// permitdesksend.cpp tells the arbiter.

#include "arbiter/permitdesk.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

constexpr Duration localRetryAfter = 1s;

} // namespace

PermitDesk::PermitDesk(PermitDeskOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_share(LocalShareOptions{m_options.self})
    , m_lastFlush(now - m_options.keepAliveInterval)
    , m_lastProgress(now)
    , m_lastRenewal(now)
    , m_lastTick(now)
{
}

void PermitDesk::request(TimePoint now, Ticket ticket)
{
    const AttemptId id = ticket.id;
    if (m_waiting.contains(id) || m_held.contains(id)) {
        ++m_counts.unexpected;
        return;
    }
    ticket.entry = m_options.self;
    const TimePoint arrived = now - ticket.waited;
    const TimePoint deadline = now + std::clamp(ticket.deadlineIn, Duration::zero(), maxPermitDuration);
    m_share.add(id, ticket.classId, arrived, ticket.avoid);
    Waiting &waiting = m_waiting.emplace(id, Waiting{std::move(ticket), arrived, deadline}).first->second;
    m_deadlines.emplace(deadline, id);
    listTicket(id, waiting);
    m_localWork = true;
    if (m_waiting.size() > m_options.maxWaiting) {
        refuse(*m_share.lowest(), RefusalReason::QueueFull, localRetryAfter, true);
    }
}

void PermitDesk::cancel(TimePoint now, const AttemptId &id)
{
    const auto waiting = m_waiting.find(id);
    if (waiting != m_waiting.end()) {
        forget(waiting, true);
        return;
    }
    const auto held = m_held.find(id);
    if (held != m_held.end()) {
        // The grant and the cancel crossed on this host: the caller of cancel() never saw the grant.
        Release unused;
        unused.id = id;
        unused.endpoint = held->second.endpoint;
        unused.kind = ReleaseKind::Unused;
        release(now, unused);
    }
}

void PermitDesk::progress(TimePoint, const AttemptId &id, std::uint32_t tokens)
{
    const auto held = m_held.find(id);
    if (held == m_held.end()) {
        ++m_counts.unexpected;
        return;
    }
    held->second.tokens = std::max(held->second.tokens, tokens);
    listProgress(id, held->second);
}

void PermitDesk::release(TimePoint, const Release &release)
{
    const auto held = m_held.find(release.id);
    if (held == m_held.end()) {
        ++m_counts.unexpected;
        return;
    }
    const bool ownerCannotKnow = isLocalMode() && held->second.granter.empty() && !held->second.told;
    m_held.erase(held);
    m_share.vacate(release.id);
    m_localWork = true;
    if (!ownerCannotKnow) {
        addUnacknowledged(release.id, release);
    }
}

void PermitDesk::answers(TimePoint now, const HostId &from, const PermitAnswers &answers)
{
    if (answers.incarnation != m_options.incarnation) {
        return; // meant for what this host was before; the arbiter forgets it when it hears the new number
    }
    const bool current = isCurrentTerm(from, answers);
    if (current && answers.epoch > m_epoch) {
        m_answerSequence = 0;
    }
    noteEpoch(from, answers.epoch);
    if (!current) {
        // A former arbiter, frozen and woken or not yet told of its successor. Its grants are for places that the
        // present one hands out as well, and the ticket may have been answered: used, they would run work twice or
        // above the limit. They go back; the ticket stays with the present arbiter.
        for (const Grant &grant : answers.grants) {
            giveBack(now, from, grant);
        }
        return;
    }
    m_fallback = false;
    const std::optional<TimePoint> madeAfter = answers.needComplete ? std::nullopt : sentAt(answers.acknowledged);
    if (!answers.needComplete) {
        acknowledge(answers.acknowledged);
    }
    m_silentSince = m_sent.empty() ? std::nullopt : std::optional(now);
    noteAnswerSequence(answers);
    for (const Grant &grant : answers.grants) {
        acceptGrant(now, from, grant, madeAfter);
    }
    for (const Refusal &refusal : answers.refusals) {
        refuse(refusal.id, refusal.reason, refusal.retryAfter, false);
    }
    for (const Preemption &preemption : answers.preemptions) {
        acceptPreemption(preemption);
    }
}

void PermitDesk::ownerChanged(TimePoint, const HostId &owner)
{
    if (owner == m_owner) {
        return;
    }
    m_owner = owner;
    m_answerSequence = 0;
    m_sent.clear();
    m_acknowledgedSentAt.reset();
    resendAll();
}

void PermitDesk::linkUp(TimePoint)
{
    resendAll();
}

void PermitDesk::linkDown(TimePoint now)
{
    if (hasOutstanding() && !m_silentSince) {
        m_silentSince = now;
    }
}

void PermitDesk::applyPreset(TimePoint, std::shared_ptr<const PresetInForce> preset)
{
    const bool wasLocal = isLocalMode();
    m_preset = preset;
    m_share.applyPreset(std::move(preset));
    m_localWork = true;
    if (wasLocal == isLocalMode()) {
        return;
    }
    if (wasLocal) {
        resendAll();
        return;
    }
    // From now on nobody else decides: the arbiter gives up what it queues for this host.
    m_fallback = false;
    m_untoldTickets.clear();
    m_untoldHeld.clear();
    for (auto &[id, waiting] : m_waiting) {
        if (waiting.told) {
            addUnacknowledged(id, std::nullopt);
        }
        waiting.told = false;
        waiting.listed = false;
    }
    for (auto &[id, held] : m_held) {
        held.listed = false;
    }
}

void PermitDesk::setEndpoints(TimePoint now, std::span<const Endpoint> endpoints)
{
    m_share.setEndpoints(endpoints);
    m_localWork = true;
    if (!m_share.hasNoTaker()) {
        m_noTakerSince.reset();
    } else if (!m_noTakerSince) {
        m_noTakerSince = now;
    }
}

void PermitDesk::setHosts(TimePoint now, std::span<const HostId> hosts)
{
    m_share.setHosts(now, hosts);
    m_localWork = true;
}

void PermitDesk::loadReport(TimePoint now, const LoadReport &report)
{
    m_share.loadReport(now, report);
    m_localWork = true;
}

void PermitDesk::tick(TimePoint now)
{
    m_lastTick = now;
    expireDeadlines(now);
    checkSilence(now);
    decideLocally(now);
    renewHeld(now);
    flush(now);
    sendGivenBack(now);
}

std::vector<PermitDeskAction> PermitDesk::takeActions()
{
    return std::exchange(m_actions, {});
}

std::optional<TimePoint> PermitDesk::nextWake() const
{
    std::optional<TimePoint> wake = nextSend();
    const auto atLatest = [&wake](TimePoint at) { wake = wake ? std::min(*wake, at) : at; };
    if (!m_deadlines.empty()) {
        atLatest(m_deadlines.begin()->first);
    }
    if (m_silentSince && !m_fallback && !isLocalMode()) {
        atLatest(*m_silentSince + m_options.fallbackAfter);
    }
    for (const GivenBack &grant : m_givenBack) {
        atLatest(grant.nextSend);
    }
    const bool alone = grantsLocally() || m_owner.empty();
    if (alone && !m_waiting.empty()) {
        // Places also come free by time: shares grow when the host memory ends.
        atLatest(m_localWork ? m_lastTick : m_lastTick + m_options.keepAliveInterval);
    }
    return wake;
}

PermitDeskStatus PermitDesk::status() const
{
    PermitDeskStatus status = m_counts;
    status.owner = m_owner;
    status.epoch = m_epoch;
    status.fallback = m_fallback;
    status.waiting = m_waiting.size();
    status.held = m_held.size();
    status.unacknowledged = m_unacknowledged.size();
    return status;
}

bool PermitDesk::isLocalMode() const
{
    return m_preset != nullptr && m_preset->preset.arbitration == ArbitrationMode::Local;
}

bool PermitDesk::grantsLocally() const
{
    return m_fallback || isLocalMode();
}

bool PermitDesk::hasOutstanding() const
{
    return !m_unacknowledged.empty() || (!isLocalMode() && (!m_waiting.empty() || !m_held.empty()));
}

} // namespace Rhubarbwind
