// Loss is found by numbers, not by timers an entry: both directions count their batches, the arbiter tells up to where
// it has lost none, and either side that sees a gap has the whole state told again (the go-back-N of a link protocol
// with the state itself as the window). A timer for each ticket was ruled out: a burst's waiting tickets, told again
// every second, would alone fill the control budget of a link.
//
// How old a grant is, is judged without a shared clock: the answer names the last batch that the arbiter had heard,
// so it was made after that batch was sent. A grant that was held up, by a frozen arbiter or a slow link, is thereby
// taken for at least as old as it is.

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
/** Hosts whose epochs are remembered; owners of one shard within any useful time are fewer. */
constexpr std::size_t maxEpochsRemembered = 64;
/** Grants on their way back to former arbiters; beyond it the arbiter's own expiry has to do. */
constexpr std::size_t maxGivenBack = 1000;
constexpr std::uint32_t givenBackSends = 3;
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

bool PermitDesk::isCurrentTerm(const HostId &from, const PermitAnswers &answers) const
{
    if (from != m_owner) {
        return false;
    }
    return answers.epoch > m_epoch || (answers.epoch == m_epoch && from == m_epochHost);
}

void PermitDesk::noteEpoch(const HostId &from, Epoch epoch)
{
    Epoch &greatest = m_epochs[from];
    greatest = std::max(greatest, epoch);
    if (epoch > m_epoch) {
        m_epoch = epoch;
        m_epochHost = from;
    }
    if (m_epochs.size() > maxEpochsRemembered) {
        const auto least = std::min_element(m_epochs.begin(), m_epochs.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
        m_epochs.erase(least);
    }
}

Epoch PermitDesk::epochElsewhere() const
{
    Epoch greatest = 0;
    for (const auto &[host, epoch] : m_epochs) {
        if (host != m_owner) {
            greatest = std::max(greatest, epoch);
        }
    }
    return greatest;
}

std::optional<TimePoint> PermitDesk::sentAt(std::uint64_t sequence) const
{
    if (sequence == m_acknowledged) {
        return m_acknowledgedSentAt;
    }
    const auto batch = std::find_if(m_sent.begin(), m_sent.end(), [sequence](const SentBatch &sent) { return sent.sequence == sequence; });
    return batch == m_sent.end() ? std::nullopt : std::optional(batch->at);
}

void PermitDesk::acknowledge(std::uint64_t sequence)
{
    if (sequence > m_sequence || sequence <= m_acknowledged) {
        return;
    }
    m_acknowledgedSentAt = sentAt(sequence);
    m_acknowledged = sequence;
    while (!m_sent.empty() && m_sent.front().sequence <= sequence) {
        m_sent.pop_front();
    }
    while (!m_sentUnacknowledged.empty() && m_sentUnacknowledged.front().first <= sequence) {
        const auto [sentIn, id] = m_sentUnacknowledged.front();
        m_sentUnacknowledged.pop_front();
        const auto entry = m_unacknowledged.find(id);
        // Another number means that it was changed or listed again since.
        if (entry != m_unacknowledged.end() && entry->second.sequence == sentIn) {
            m_unacknowledged.erase(entry);
        }
    }
}

void PermitDesk::noteAnswerSequence(const PermitAnswers &answers)
{
    if (answers.needComplete) {
        // Said before our last full re-send arrived, it is answered already.
        if (!m_completeNext && answers.acknowledged >= m_completeSequence) {
            m_answerSequence = answers.sequence;
            resendAll();
        }
        return;
    }
    if (answers.sequence > m_answerSequence + 1) {
        // An answer is lost and may have held a grant: the tickets, told again, are answered again.
        resendAll();
    }
    m_answerSequence = std::max(m_answerSequence, answers.sequence);
}

void PermitDesk::acceptGrant(TimePoint now, const HostId &from, const Grant &grant, std::optional<TimePoint> madeAfter)
{
    const auto waiting = m_waiting.find(grant.id);
    if (waiting != m_waiting.end()) {
        const Duration age = madeAfter ? now - *madeAfter : maxPermitDuration;
        if (age >= grant.expiresIn) {
            // The arbiter may have handed the place on. It answers the ticket, told again, with what holds now.
            ++m_counts.grantsTooOld;
            listTicket(grant.id, waiting->second);
            return;
        }
        Grant rest = grant;
        rest.expiresIn = grant.expiresIn - age;
        hold(now, waiting, rest, from);
        return;
    }
    const auto held = m_held.find(grant.id);
    if (held != m_held.end()) {
        const bool same = held->second.granter == from && held->second.epoch == grant.epoch && held->second.endpoint == grant.endpoint;
        if (!same) {
            listHeld(grant.id, held->second); // taken from the own share or a former arbiter meanwhile
        }
        return;
    }
    const auto ended = m_unacknowledged.find(grant.id);
    if (ended != m_unacknowledged.end() && ended->second.release) {
        return; // on its way back already
    }
    ++m_counts.grantsGivenBack;
    Release unused;
    unused.id = grant.id;
    unused.endpoint = grant.endpoint;
    unused.kind = ReleaseKind::Unused;
    addUnacknowledged(grant.id, unused);
}

void PermitDesk::acceptPreemption(const Preemption &preemption)
{
    if (m_held.contains(preemption.id)) {
        m_actions.emplace_back(preemption);
    }
}

void PermitDesk::giveBack(TimePoint now, const HostId &from, const Grant &grant)
{
    const auto held = m_held.find(grant.id);
    const bool inUse = held != m_held.end() && held->second.granter == from && held->second.epoch == grant.epoch;
    if (inUse || m_givenBack.size() >= maxGivenBack) {
        return; // the first copy of this very grant is in use, or the arbiter's expiry has to do
    }
    ++m_counts.grantsGivenBack;
    Release unused;
    unused.id = grant.id;
    unused.endpoint = grant.endpoint;
    unused.kind = ReleaseKind::Unused;
    m_givenBack.push_back({from, grant.epoch, unused, givenBackSends, now});
}

void PermitDesk::hold(TimePoint now, std::map<AttemptId, Waiting>::iterator waiting, const Grant &grant, const HostId &granter)
{
    const AttemptId id = grant.id;
    // A ticket that waits to be told again belongs to a full re-send, which voids what the owner knows: the permit has
    // to be in it.
    const bool ownerForgets = waiting->second.listed;
    Held held;
    held.ticket = std::move(waiting->second.ticket);
    held.arrived = waiting->second.arrived;
    held.endpoint = grant.endpoint;
    held.granter = granter;
    held.epoch = grant.epoch;
    held.told = !granter.empty();
    m_deadlines.erase({waiting->second.deadline, id});
    m_waiting.erase(waiting);
    m_share.remove(id);
    m_share.occupy(now, id, grant.endpoint);
    Held &kept = m_held.emplace(id, std::move(held)).first->second;
    if (granter.empty() || ownerForgets) {
        listHeld(id, kept);
    }
    ++(granter.empty() ? m_counts.localGrants : m_counts.grants);
    m_actions.emplace_back(grant);
}

void PermitDesk::forget(std::map<AttemptId, Waiting>::iterator waiting, bool tellOwner)
{
    const AttemptId id = waiting->first;
    const bool told = waiting->second.told;
    m_deadlines.erase({waiting->second.deadline, id});
    m_waiting.erase(waiting);
    m_share.remove(id);
    m_localWork = true;
    if (tellOwner && told) {
        addUnacknowledged(id, std::nullopt);
    }
}

void PermitDesk::refuse(const AttemptId &id, RefusalReason reason, Duration retryAfter, bool tellOwner)
{
    const auto waiting = m_waiting.find(id);
    if (waiting == m_waiting.end()) {
        return; // answered already
    }
    const Refusal refusal{id, reason, retryAfter};
    forget(waiting, tellOwner);
    ++m_counts.refusals;
    m_actions.emplace_back(refusal);
}

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
