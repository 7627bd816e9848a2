// A reconcile loop: read an endpoint's state, compare it with the goal, order at most one change, read the state again. The stepwise limits are
// checked for each endpoint against what is out of service at that time, as in KIP-435's incremental reassignment of replicas.
// placementmeasure_test.cpp compares it with changing all at once.

#include "placement/placementowner.h"

#include <algorithm>
#include <cmath>

namespace Rhubarbwind
{

namespace
{

// How often a change that a limit holds back is tried again.
constexpr Duration limitPoll = 200ms;
// Absorbs rounding in (1 - readyFloor) * size, e.g. 0.25 * 4.
constexpr double roundingSlack = 1e-9;

} // namespace

PlacementOwner::PlacementOwner(const PlacementOptions &options, TimePoint now)
    : m_options(options)
    , m_loads(options.loadsPerSecond, options.loadBurst, now)
{
}

void PlacementOwner::setRules(const PlacementRules &rules)
{
    m_rules = rules;
    applyGoals();
}

void PlacementOwner::setEndpoints(std::span<const OrderedEndpoint> endpoints)
{
    std::map<EndpointId, Target> updated;
    for (const OrderedEndpoint &endpoint : endpoints) {
        const auto found = m_targets.find(endpoint.id);
        Target &target = updated[endpoint.id];
        if (found != m_targets.end()) {
            target = std::move(found->second);
        }
        target.endpoint = endpoint;
    }
    m_targets = std::move(updated);
    applyGoals();
}

std::vector<PlacementCall> PlacementOwner::nextCalls(const LeaseView &lease, TimePoint now)
{
    std::vector<PlacementCall> calls;
    if (!lease.held) {
        return calls;
    }
    resetPolls(lease, now);
    for (auto &[id, target] : m_targets) {
        if (!target.hasGoal || target.callUnderWay) {
            continue;
        }
        if (needsPoll(target, lease, now)) {
            target.callUnderWay = true;
            target.sentAt = now;
            calls.push_back({PlacementCallKind::ReadState, id, {}});
        } else if (mayOrder(target, lease, now) && (!needsLoad(*target.state, target.goal) || mayLoad(target, now))) {
            calls.push_back(order(target, lease, now));
        }
    }
    return calls;
}

void PlacementOwner::stateDone(const EndpointId &id, const EndpointPlacement &placement, TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    Target &target = found->second;
    target.callUnderWay = false;
    target.state = placement;
    target.stateSentAt = target.sentAt;
    target.changing = placement.loading;
    const bool settled = meetsGoal(placement, target.goal);
    target.nextPoll = now + (settled ? m_options.pollSettled : m_options.pollChanging);
}

void PlacementOwner::stateFailed(const EndpointId &id, TimePoint now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    found->second.callUnderWay = false;
    found->second.state.reset();
    found->second.nextPoll = now + m_options.pollChanging;
}

bool PlacementOwner::orderDone(const EndpointId &id, OrderOutcome outcome, TimePoint now)
{
    const bool stale = outcome == OrderOutcome::StaleNumber;
    m_counts.staleNumbers += stale ? 1 : 0;
    const auto found = m_targets.find(id);
    if (found == m_targets.end()) {
        return stale;
    }
    Target &target = found->second;
    target.callUnderWay = false;
    target.nextPoll = now + m_options.pollChanging;
    if (outcome == OrderOutcome::Unknown) {
        target.nextPoll = std::max(target.nextPoll, target.orderOpenUntil);
    } else {
        target.orderOpenUntil = now;
    }
    target.changing = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Unknown;
    return stale;
}

bool PlacementOwner::hasGoals() const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [](const auto &entry) { return entry.second.hasGoal; });
}

bool PlacementOwner::mayRelease(TimePoint now) const
{
    return std::all_of(m_targets.begin(), m_targets.end(), [now](const auto &entry) { return entry.second.orderOpenUntil <= now; });
}

TimePoint PlacementOwner::wakeAt(const LeaseView &lease, TimePoint now) const
{
    TimePoint wake = TimePoint::max();
    if (!lease.held) {
        return wake;
    }
    for (const auto &[id, target] : m_targets) {
        if (!target.hasGoal || target.callUnderWay) {
            continue;
        }
        const TimePoint pollAt = std::max({target.nextPoll, ordersFrom(target, lease), target.orderOpenUntil});
        const bool heldBack = target.state && !meetsGoal(*target.state, target.goal);
        wake = std::min(wake, heldBack ? std::min(now + limitPoll, pollAt) : pollAt);
    }
    return wake;
}

PlacementStatus PlacementOwner::status() const
{
    PlacementStatus status = m_counts;
    status.endpoints = m_targets.size();
    for (const auto &[id, target] : m_targets) {
        status.unknown += target.hasGoal && !target.state ? 1 : 0;
        status.changing += target.changing ? 1 : 0;
        status.settled += target.hasGoal && target.state && !target.changing && meetsGoal(*target.state, target.goal) ? 1 : 0;
    }
    return status;
}

std::string PlacementOwner::describe(const LeaseView &lease, TimePoint now) const
{
    const auto untilText = [now](TimePoint time) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::max(Duration::zero(), time - now)).count());
    };
    std::string line = lease.since == m_leaseSince ? "" : "new lease";
    for (const auto &[id, target] : m_targets) {
        const TimePoint from = std::max(ordersFrom(target, lease), target.orderOpenUntil);
        line += " " + id.text() + " " + (target.state ? target.state->model + (target.state->loading ? " loading" : "") : "unknown")
            + (target.stateSentAt >= from ? " fresh" : " old") + " look " + untilText(target.nextPoll) + " orders " + untilText(from)
            + (target.callUnderWay ? " calling" : "") + (target.changing ? " changing" : "") + " open " + untilText(target.orderOpenUntil);
    }
    return line;
}

TimePoint PlacementOwner::ordersFrom(const Target &target, const LeaseView &lease) const
{
    return target.endpoint.checksFencing ? lease.since : lease.since + m_options.orderBound;
}

bool PlacementOwner::needsPoll(const Target &target, const LeaseView &lease, TimePoint now) const
{
    return now >= target.nextPoll && now >= std::max(ordersFrom(target, lease), target.orderOpenUntil);
}

bool PlacementOwner::mayOrder(const Target &target, const LeaseView &lease, TimePoint now) const
{
    const TimePoint from = std::max(ordersFrom(target, lease), target.orderOpenUntil);
    if (!target.state || target.stateSentAt < from || target.changing || meetsGoal(*target.state, target.goal)) {
        return false;
    }
    // Failure: an owner that was paused beyond its lease orders what its successor has already changed. Symptom: an endpoint that ignores fencing
    // numbers returns to an old model. The order must have ended before the lease does.
    const bool outlasts = lease.remaining > m_options.orderBound + m_options.margin;
    return now >= from && (target.endpoint.checksFencing || outlasts) && target.state->fencing <= lease.fencing;
}

bool PlacementOwner::mayLoad(const Target &target, TimePoint now)
{
    if (m_options.mode == ChangeMode::AllAtOnce) {
        return true;
    }
    return loading() < m_rules.parallelLoads && keepsFloor(target) && m_loads.tryTake(1, now);
}

bool PlacementOwner::isOutOfService(const Target &target) const
{
    return !target.state || target.changing;
}

const std::string &PlacementOwner::poolOf(const Target &target) const
{
    return target.state ? target.state->model : target.goal.model;
}

bool PlacementOwner::keepsFloor(const Target &target) const
{
    std::size_t size = 0;
    std::size_t out = 0;
    for (const auto &[id, other] : m_targets) {
        if (other.hasGoal && poolOf(other) == poolOf(target)) {
            ++size;
            out += isOutOfService(other) ? 1 : 0;
        }
    }
    const double allowed = std::floor((1.0 - m_rules.readyFloor) * static_cast<double>(size) + roundingSlack);
    return static_cast<double>(out + 1) <= std::max(1.0, allowed);
}

std::size_t PlacementOwner::loading() const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &entry) { return entry.second.changing; }));
}

PlacementCall PlacementOwner::order(Target &target, const LeaseView &lease, TimePoint now)
{
    ++m_counts.orders;
    target.callUnderWay = true;
    target.sentAt = now;
    target.changing = true;
    target.orderOpenUntil = now + m_options.orderBound;
    return {PlacementCallKind::SendOrder, target.endpoint.id, {lease.fencing, target.goal}};
}

void PlacementOwner::resetPolls(const LeaseView &lease, TimePoint now)
{
    if (lease.since == m_leaseSince) {
        return;
    }
    m_leaseSince = lease.since;
    for (auto &[id, target] : m_targets) {
        target.nextPoll = now;
    }
}

void PlacementOwner::applyGoals()
{
    for (auto &[id, target] : m_targets) {
        const auto goal = std::find_if(m_rules.goals.begin(), m_rules.goals.end(), [&id = id](const PlacementGoal &each) { return each.endpoint == id; });
        target.hasGoal = goal != m_rules.goals.end();
        if (target.hasGoal) {
            target.goal = *goal;
        }
    }
}

} // namespace Rhubarbwind
