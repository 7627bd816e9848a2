#pragma once

// The placement owner of one failure domain: decides which order goes to which endpoint, and when. Pure decision logic; performs no I/O.
//
// Guarantees:
//   - Orders are sent only while the lease is held and carry its fencing number. An endpoint that checks numbers refuses a former owner's order and
//     needs no further protection.
//   - An endpoint that ignores numbers gets an order only if the lease lasts longer than the order's time bound and a margin, so the order has taken
//     effect or failed before another host can hold the lease. A new owner waits for one more bound, reads the endpoint's state after that, and only
//     then sends orders. Not covered: a process that is paused between its last read of the clock and the write to the socket. Its late order is
//     detected at the next poll of the state and corrected, since orders state the wanted result.
//   - Stepwise: of the endpoints that serve a model in this domain, at least the share readyFloor stays in service, but one may always be taken out,
//     since otherwise a pool of one could never change; at most parallelLoads load at once; loads start no faster than the domain's share of the
//     weight store's rate. An endpoint whose state is unknown counts as out of service.
//   - Without the lease nothing is sent and the running placement is left as it is. The same holds while the platform is unavailable.
//
// An order whose answer was lost may take effect until its bound has passed; the state is read after that.
//
// Use: setRules(), setEndpoints(), then nextCalls() with the lease's view; each call is answered by exactly one of stateDone(), stateFailed() and
// orderDone(). Cost: one pass over the domain's endpoints per call.

#include "base/tokenbucket.h"
#include "placement/lease.h"
#include "placement/placementorder.h"

#include <map>
#include <span>

namespace Rhubarbwind
{

enum class ChangeMode : std::uint8_t {
    Stepwise,
    AllAtOnce, ///< every endpoint at once: a baseline for measurements
};

struct PlacementOptions
{
    ChangeMode mode = ChangeMode::Stepwise;
    Duration orderBound = 2s; ///< after this an order that was sent no longer takes effect
    Duration margin = 1s; ///< by which the lease must outlast an order's bound
    Duration pollChanging = 1s; ///< between polls of an endpoint that changes
    Duration pollSettled = 15s; ///< between polls of an endpoint that meets its goal
    double loadsPerSecond = 0.2; ///< this domain's share of the weight store's rate
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
    std::size_t unknown = 0; ///< state not read since the lease was acquired, or not readable
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
    /** @return true when the outcome means that the lease may be lost: call LeaseManager::invalidate() */
    bool orderDone(const EndpointId &id, OrderOutcome outcome, TimePoint now);

    /** True when any endpoint has a goal, so that the lease is needed. */
    bool hasGoals() const;
    /** False while an order may still take effect. */
    bool mayRelease(TimePoint now) const;
    TimePoint wakeAt(const LeaseView &lease, TimePoint now) const;
    PlacementStatus status() const;
    /** The state that determines the next steps under this lease, on one line: for the debug log and for searches. Times are in ms from now. */
    std::string describe(const LeaseView &lease, TimePoint now) const;

private:
    struct Target
    {
        OrderedEndpoint endpoint;
        PlacementGoal goal;
        bool hasGoal = false;
        std::optional<EndpointPlacement> state;
        TimePoint stateSentAt; ///< when the poll that returned the state was sent
        TimePoint nextPoll;
        bool callUnderWay = false;
        TimePoint sentAt;
        bool changing = false; ///< ordered, and not reported ready since
        TimePoint orderOpenUntil; ///< until then the last order may still take effect
    };

    TimePoint ordersFrom(const Target &target, const LeaseView &lease) const;
    bool needsPoll(const Target &target, const LeaseView &lease, TimePoint now) const;
    bool mayOrder(const Target &target, const LeaseView &lease, TimePoint now) const;
    bool mayLoad(const Target &target, TimePoint now);
    bool isOutOfService(const Target &target) const;
    const std::string &poolOf(const Target &target) const;
    bool keepsFloor(const Target &target) const;
    std::size_t loading() const;
    PlacementCall order(Target &target, const LeaseView &lease, TimePoint now);
    /** A new lease makes every endpoint due for a poll: earlier states no longer count. */
    void resetPolls(const LeaseView &lease, TimePoint now);
    void applyGoals();

    PlacementOptions m_options;
    PlacementRules m_rules;
    std::map<EndpointId, Target> m_targets;
    TokenBucket m_loads;
    TimePoint m_leaseSince;
    PlacementStatus m_counts;
};

} // namespace Rhubarbwind
