#pragma once

// The placement owner of one failure domain, as a decision without I/O: which order goes to which endpoint, and when.
//
// What it promises:
//   - Orders go out only while the lease is held and carry its fencing number. An endpoint that checks numbers
//     refuses a former owner's order, so nothing more is needed for it.
//   - For an endpoint that ignores numbers, an order goes out only if the lease lasts longer than the order's time bound
//     and a margin, so the order has ended, one way or the other, before anybody else may hold the lease. A new owner waits one
//     bound more, reads the endpoint's state after that, and only then orders. What remains: a process that is paused between
//     its last look at the clock and the write to the socket. Its late order is found at the next look at the state
//     and put right, since orders state the wanted end.
//   - Stepwise: of the endpoints that serve a model in this domain, at least the part readyFloor stays in service, but one
//     may always go, or a pool of one could never change; at most parallelLoads load at once; loads start no faster
//     than the domain's part of the weight store's rate. An endpoint whose state is not known counts as out of service.
//   - Without the lease nothing is sent, and what runs is left as it is: so it is when the platform is down.
//
// An order whose answer was lost may take effect until its bound has passed; the state is read after that.
//
// Use: setRules(), setEndpoints(), then nextCalls() with the lease's view; each call is answered by exactly one of
// stateDone(), stateFailed() and orderDone(). Cost: a pass over the domain's endpoints a call.

#include "base/tokenbucket.h"
#include "placement/lease.h"
#include "placement/placementorder.h"

#include <map>
#include <span>

namespace Rhubarbwind
{

enum class ChangeMode : std::uint8_t {
    Stepwise,
    AllAtOnce, ///< every endpoint at once: a baseline to measure against
};

struct PlacementOptions
{
    ChangeMode mode = ChangeMode::Stepwise;
    Duration orderBound = 2s; ///< after this an order that was sent no longer takes effect
    Duration margin = 1s; ///< by which the lease must outlast an order's bound
    Duration pollChanging = 1s; ///< between looks at an endpoint that changes
    Duration pollSettled = 15s; ///< between looks at one that holds what it should
    double loadsPerSecond = 0.2; ///< this domain's part of the weight store's rate
    double loadBurst = 2; ///< loads that may start together
};

enum class PlacementCallKind : std::uint8_t {
    ReadState,
    SendOrder,
};

struct PlacementCall
{
    PlacementCallKind kind = PlacementCallKind::ReadState;
    EndpointId endpoint;
    PlacementOrder order; ///< with SendOrder
};

struct PlacementStatus
{
    std::size_t endpoints = 0;
    std::size_t settled = 0;
    std::size_t changing = 0;
    std::size_t unknown = 0; ///< state not read since the lease was won, or not readable
    std::uint64_t orders = 0;
    std::uint64_t staleNumbers = 0;
};

class PlacementOwner
{
public:
    PlacementOwner(const PlacementOptions &options, TimePoint now);

    /** Goals of endpoints that are not in the domain are left to others; endpoints without a goal are left as they are. */
    void setRules(const PlacementRules &rules);
    /** The live endpoints of the domain. */
    void setEndpoints(std::span<const OrderedEndpoint> endpoints);

    std::vector<PlacementCall> nextCalls(const LeaseView &lease, TimePoint now);
    void stateDone(const EndpointId &id, const EndpointPlacement &placement, TimePoint now);
    void stateFailed(const EndpointId &id, TimePoint now);
    /** True when the outcome casts doubt on the lease: call LeaseManager::invalidate(). */
    bool orderDone(const EndpointId &id, OrderOutcome outcome, TimePoint now);

    /** True when there is anything to look after, so that the lease is worth holding. */
    bool hasGoals() const;
    /** False while an order may still take effect. */
    bool mayRelease(TimePoint now) const;
    TimePoint wakeAt(const LeaseView &lease, TimePoint now) const;
    PlacementStatus status() const;
    /** What decides the next steps under this lease, on one line: for the debug log and for searches. Times are in ms from now. */
    std::string describe(const LeaseView &lease, TimePoint now) const;

private:
    struct Target
    {
        OrderedEndpoint endpoint;
        PlacementGoal goal;
        bool hasGoal = false;
        std::optional<EndpointPlacement> state;
        TimePoint stateSentAt; ///< when the look was sent that brought the state
        TimePoint nextLook;
        bool callUnderWay = false;
        TimePoint sentAt;
        bool changing = false; ///< ordered, and not yet seen to be ready again
        TimePoint orderOpenUntil; ///< until then the last order may still take effect
    };

    TimePoint ordersFrom(const Target &target, const LeaseView &lease) const;
    bool needsLook(const Target &target, const LeaseView &lease, TimePoint now) const;
    bool mayOrder(const Target &target, const LeaseView &lease, TimePoint now) const;
    bool mayLoad(const Target &target, TimePoint now);
    bool isOut(const Target &target) const;
    const std::string &poolOf(const Target &target) const;
    bool keepsFloor(const Target &target) const;
    std::size_t loading() const;
    PlacementCall order(Target &target, const LeaseView &lease, TimePoint now);
    /** Under a new lease nothing known from before counts. */
    void lookAfresh(const LeaseView &lease, TimePoint now);
    void applyGoals();

    PlacementOptions m_options;
    PlacementRules m_rules;
    std::map<EndpointId, Target> m_targets;
    TokenBucket m_loads;
    TimePoint m_leaseSince;
    PlacementStatus m_counts;
};

} // namespace Rhubarbwind
