#include "fleet/changeteller.h"

#include <algorithm>

#include <boost/asio.hpp>

namespace Rhubarbwind
{

namespace
{

// Of datagrams passed on lately, so that the copies of three watchers and two relays go round once: a few changes' datagrams.
constexpr std::size_t rememberedForwards = 128;
// Between questions to peers for a change; each unanswered one doubles it.
constexpr Duration firstQuestionPause = 300ms;
constexpr Duration longestQuestionPause = 5s;
// Answers to hosts that are behind: a failure domain of fifty whose relays have died, in two seconds.
constexpr double answersPerSecond = 25.0;
constexpr double answerBurst = 10.0;
constexpr std::uint64_t oddFactor = 0x9e3779b97f4a7c15; // spreads neighbouring revisions

/** The same for all copies of a batch between the same revisions, whoever sent it. */
std::uint64_t forwardKey(const SharedBatch &batch)
{
    return (batch.since * oddFactor + batch.until) * oddFactor + batch.topic;
}

/** The same for all copies of news, or of a batch. */
std::uint64_t forwardKey(const FleetMessage &message)
{
    if (!message.suspects) {
        return forwardKey(*message.batch);
    }
    std::uint64_t key = message.suspects->clearings.size();
    for (const SharedEnding &ending : message.suspects->endings) {
        key = (key ^ ending.identityLow ^ ending.life) * oddFactor;
    }
    for (const SharedClearing &clearing : message.suspects->clearings) {
        key = (key ^ clearing.identityLow) * oddFactor;
    }
    return key;
}

} // namespace

template <Clock ClockType>
ChangeTeller<ClockType>::ChangeTeller(boost::asio::io_context &context, FleetView &view, FleetCounters &counters, ChangePorts ports)
    : m_view(view)
    , m_counters(counters)
    , m_ports(std::move(ports))
    , m_timer(context)
    , m_answers(answersPerSecond, answerBurst, ClockType::now())
{
}

template <Clock ClockType>
void ChangeTeller<ClockType>::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_ports = {};
}

template <Clock ClockType>
bool ChangeTeller<ClockType>::share(const SharedBatch &batch, bool standsAlone)
{
    if (standsAlone) {
        hold(batch);
    }
    return queue(batch, standsAlone, ChangeReach::Fleet);
}

template <Clock ClockType>
void ChangeTeller<ClockType>::hold(const SharedBatch &batch)
{
    if (batch.objects.size() != 1) {
        return;
    }
    SharedBatch &held = m_held[batch.topic];
    if (batch.until > held.until) {
        held = batch;
    }
}

template <Clock ClockType>
void ChangeTeller<ClockType>::askPeers(std::size_t topic, std::uint64_t known)
{
    const TimePoint now = ClockType::now();
    Question &question = m_questions[topic];
    if (question.known != known) {
        question = {known, TimePoint(), firstQuestionPause};
    }
    if (m_stopped || now < question.nextAt) {
        return;
    }
    const std::vector<PeerAddress> ahead = m_view.peersAhead(topic, now);
    if (ahead.empty()) {
        return;
    }
    question.nextAt = now + question.pause;
    question.pause = std::min(question.pause * 2, longestQuestionPause);
    m_counters.questionsOut += ahead.size();
    FleetMessage message;
    message.question = ChangeQuestion{static_cast<std::uint8_t>(topic), known};
    m_ports.send(message, ahead);
}

template <Clock ClockType>
void ChangeTeller<ClockType>::answer(const ChangeQuestion &question, const PeerAddress &asker)
{
    const auto held = m_held.find(question.topic);
    const bool isNewer = held != m_held.end() && held->second.until > question.known;
    std::vector<FleetMessage> messages;
    if (m_stopped || !isNewer || !m_answers.tryTake(1.0, ClockType::now()) || !cutToFit(held->second, messages)) {
        return;
    }
    ++m_counters.questionsAnswered;
    for (FleetMessage &message : messages) {
        message.forward = false;
        m_ports.send(message, std::span(&asker, 1));
    }
}

template <Clock ClockType>
std::optional<SharedBatch> ChangeTeller<ClockType>::heard(const BatchPiece &piece, bool forward)
{
    std::optional<SharedBatch> batch = m_assembler.add(piece);
    if (batch && forward) {
        passOnWhole(*batch);
    }
    return batch;
}

// Failure: each of three watchers tells a storm's configurations, each skipping others, and a relay of ten megabits a second passed every
// piece on at once: its link was full for seconds, its own questions to the platform went unanswered, and a host served by an
// old configuration 4.6 s after the newest was acknowledged. Passed on whole, newest only and paced, they take half of its link.
template <Clock ClockType>
void ChangeTeller<ClockType>::passOnWhole(const SharedBatch &batch)
{
    const bool standsAlone = batch.objects.size() == 1 && batch.since + 1 == batch.until;
    if (!standsAlone && !isFirstForward(forwardKey(batch))) {
        return;
    }
    if (!queue(batch, standsAlone, ChangeReach::Domain)) {
        ++m_counters.unsent;
    }
}

template <Clock ClockType>
bool ChangeTeller<ClockType>::isFirstForward(std::uint64_t key)
{
    if (std::ranges::find(m_forwarded, key) != m_forwarded.end()) {
        return false;
    }
    m_forwarded.push_back(key);
    if (m_forwarded.size() > rememberedForwards) {
        m_forwarded.pop_front();
    }
    return true;
}

template <Clock ClockType>
void ChangeTeller<ClockType>::passOn(FleetMessage message)
{
    if (m_stopped || !isFirstForward(forwardKey(message))) {
        return;
    }
    message.beacon.reset();
    message.digest.reset();
    tellDomain(std::move(message));
}

template <Clock ClockType>
std::size_t ChangeTeller<ClockType>::tellDomain(FleetMessage message)
{
    const std::vector<PeerAddress> peers = m_view.domainPeers();
    message.forward = false;
    m_ports.send(message, peers);
    return peers.size();
}

template <Clock ClockType>
std::size_t ChangeTeller<ClockType>::tellAll(FleetMessage message)
{
    if (m_stopped) {
        return 0;
    }
    std::vector<PeerAddress> ends;
    std::vector<PeerAddress> relays;
    for (const ShareTarget &target : m_view.shareTargets(ClockType::now())) {
        (target.forward ? relays : ends).push_back(target.place);
    }
    message.forward = true;
    m_ports.send(message, relays);
    message.forward = false;
    m_ports.send(message, ends);
    return relays.size() + ends.size();
}

template <Clock ClockType>
bool ChangeTeller<ClockType>::queue(const SharedBatch &batch, bool standsAlone, ChangeReach reach)
{
    std::vector<FleetMessage> messages;
    if (m_stopped || !cutToFit(batch, messages)) {
        return false;
    }
    const std::string object = standsAlone && batch.objects.size() == 1 ? batch.objects.front().name : std::string();
    const bool isSending = !m_changes.isEmpty();
    if (!m_changes.add(std::move(messages), batch.topic, object, batch.until, reach)) {
        return false;
    }
    if (!isSending && !m_changes.isEmpty()) {
        sendNext();
    }
    return true;
}

template <Clock ClockType>
bool ChangeTeller<ClockType>::cutToFit(const SharedBatch &batch, std::vector<FleetMessage> &messages) const
{
    FleetMessage message;
    message.batch = batch;
    message.forward = true;
    if (m_ports.fits(message)) {
        messages.push_back(std::move(message));
        return true;
    }
    // Entries are much alike: deflated, eight times as many fit, and each datagram is still good without the others.
    const std::vector<BatchPiece> pieces = cutBatch(batch);
    const std::optional<BatchHalves> halves = pieces.size() == 1 ? std::nullopt : halve(batch);
    if (halves) {
        return cutToFit(halves->first, messages) && cutToFit(halves->second, messages);
    }
    message.batch.reset();
    for (const BatchPiece &piece : pieces) {
        message.piece = piece;
        messages.push_back(message);
    }
    return !pieces.empty();
}

template <Clock ClockType>
void ChangeTeller<ClockType>::sendNext()
{
    const ChangeQueue::Item &next = m_changes.front();
    const std::size_t targets = next.reach == ChangeReach::Domain ? tellDomain(next.message) : tellAll(next.message);
    m_timer.expires_after(ChangeQueue::pauseAfter(next, targets));
    m_timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
        const std::shared_ptr<ChangeTeller> self = weak.lock();
        if (error || !self || self->m_stopped) {
            return;
        }
        self->m_changes.pop();
        if (!self->m_changes.isEmpty()) {
            self->sendNext();
        }
    });
}

template class ChangeTeller<SteadyClock>;
template class ChangeTeller<ManualClock>;

} // namespace Rhubarbwind
