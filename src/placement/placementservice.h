#pragma once

// One host's part in placement: for every failure domain that rendezvous hashing assigns to it, holds the domain's lease and brings its endpoints to
// what the preset wants.
//
// Guarantees: see LeaseManager and PlacementOwner. Orders to endpoints need the lease. An unavailable platform therefore stops new orders once the
// lease has expired, and leaves the running placement alone.
//
// Use: create with std::make_shared, then call setHosts(), setEndpoints() and setRules() whenever they change, in any order; stop() at the end. The
// object API, the orders and the event loop must outlive it.
// Cost: one write to the platform per domain and renewal on the owner; other hosts make no calls.

#include "base/rendezvous.h"
#include "base/requestid.h"
#include "base/sessiontimer.h"
#include "placement/lease.h"
#include "placement/placementowner.h"
#include "telemetry/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <memory>

namespace Rhubarbwind
{

struct PlacementServiceOptions
{
    HostId self;
    LeaseOptions lease; ///< holder and host are filled in
    PlacementOptions placement;
    std::uint64_t seed = 0; ///< for the backoff's jitter; 0: random
};

struct DomainStatus
{
    LeaseView lease;
    PlacementStatus placement;
};

/** The rendezvous key of a domain's duty. */
std::string placementDuty(const FailureDomain &domain);

template <Clock ClockType, ObjectApi Api, EndpointOrders Orders>
class PlacementService : public std::enable_shared_from_this<PlacementService<ClockType, Api, Orders>>
{
public:
    PlacementService(boost::asio::io_context &context, Api &api, Orders &orders, const PlacementServiceOptions &options)
        : m_context(context)
        , m_api(api)
        , m_orders(orders)
        , m_options(options)
        , m_process(freshId())
        , m_random(options.seed != 0 ? options.seed : std::hash<std::string>()(m_process))
        , m_timer(context)
    {
        m_options.lease.holder = m_process;
        m_options.lease.host = options.self;
    }

    /** The live hosts; leave this one out before a planned stop. */
    void setHosts(std::span<const HostId> live)
    {
        m_live.assign(live.begin(), live.end());
        schedulePump();
    }

    /** All live endpoints of all domains that accept orders. */
    void setEndpoints(std::span<const OrderedEndpoint> endpoints)
    {
        std::map<FailureDomain, std::vector<OrderedEndpoint>> byDomain;
        m_endpoints.clear();
        for (const OrderedEndpoint &endpoint : endpoints) {
            byDomain[endpoint.domain].push_back(endpoint);
            m_endpoints[endpoint.id] = endpoint;
        }
        for (auto &[domain, duty] : m_duties) {
            byDomain.try_emplace(domain);
        }
        for (const auto &[domain, members] : byDomain) {
            dutyOf(domain).owner.setEndpoints(members);
        }
        schedulePump();
    }

    void setRules(const PlacementRules &rules)
    {
        m_rules = rules;
        for (auto &[domain, duty] : m_duties) {
            duty.owner.setRules(rules);
        }
        schedulePump();
    }

    std::map<FailureDomain, DomainStatus> status() const
    {
        std::map<FailureDomain, DomainStatus> status;
        for (const auto &[domain, duty] : m_duties) {
            status[domain] = {duty.leaseManager.view(ClockType::now()), duty.owner.status()};
        }
        return status;
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    struct Duty
    {
        LeaseManager leaseManager;
        PlacementOwner owner;
    };

    Duty &dutyOf(const FailureDomain &domain)
    {
        const auto found = m_duties.find(domain);
        if (found != m_duties.end()) {
            return found->second;
        }
        Duty duty{LeaseManager(m_options.lease), PlacementOwner(m_options.placement, ClockType::now())};
        duty.owner.setRules(m_rules);
        return m_duties.emplace(domain, std::move(duty)).first->second;
    }

    void schedulePump()
    {
        if (m_stopped || std::exchange(m_pumpScheduled, true)) {
            return;
        }
        boost::asio::post(m_context, [self = this->shared_from_this()] { self->pump(); });
    }

    void pump()
    {
        m_pumpScheduled = false;
        if (m_stopped) {
            return;
        }
        TimePoint wake = TimePoint::max();
        for (auto &[domain, duty] : m_duties) {
            const TimePoint now = ClockType::now();
            const bool wanted = duty.owner.hasGoals() && rendezvousOwner(m_live, placementDuty(domain)) == m_options.self;
            duty.leaseManager.setWanted(wanted, duty.owner.mayRelease(now));
            if (const std::optional<LeaseCall> call = duty.leaseManager.nextCall(now)) {
                startLeaseCall(domain, *call);
            }
            for (const PlacementCall &call : duty.owner.nextCalls(duty.leaseManager.view(now), now)) {
                startPlacementCall(domain, call);
            }
            wake = std::min({wake, duty.leaseManager.wakeAt(), duty.owner.wakeAt(duty.leaseManager.view(now), now)});
        }
        armTimer(wake);
    }

    void startLeaseCall(const FailureDomain &domain, const LeaseCall &call)
    {
        if (call.kind == LeaseCallKind::Read) {
            m_api.get(leaseKey(domain),
                      [self = this->shared_from_this(), domain](const PlatformResult<StoredObject> &result) { self->finishRead(domain, result); });
            return;
        }
        m_api.put(leaseKey(domain),
                  formatLease(call.record),
                  call.condition,
                  [self = this->shared_from_this(), domain](const PlatformResult<ObjectVersion> &result) { self->finishWrite(domain, result); });
    }

    void finishRead(const FailureDomain &domain, const PlatformResult<StoredObject> &result)
    {
        LeaseManager &leaseManager = m_duties.at(domain).leaseManager;
        const TimePoint now = ClockType::now();
        if (!result && result.error().kind == PlatformErrorKind::NotFound) {
            leaseManager.readMissing(now);
        } else if (!result) {
            leaseManager.readFailed(now, m_random);
        } else if (const Result<LeaseRecord, LeaseError> record = parseLease(result.value().value); record) {
            leaseManager.readDone({result.value().version, record.value()}, now);
        } else {
            m_log.error("cannot read the lease of " + domain.text() + "; no orders are sent");
            leaseManager.readFailed(now, m_random);
        }
        schedulePump();
    }

    void finishWrite(const FailureDomain &domain, const PlatformResult<ObjectVersion> &result)
    {
        LeaseManager &leaseManager = m_duties.at(domain).leaseManager;
        if (result) {
            leaseManager.writeDone(result.value(), ClockType::now());
        } else {
            leaseManager.writeFailed(result.error().kind, ClockType::now(), m_random);
        }
        schedulePump();
    }

    void startPlacementCall(const FailureDomain &domain, const PlacementCall &call)
    {
        const OrderedEndpoint &endpoint = m_endpoints.at(call.endpoint);
        if (call.kind == PlacementCallKind::ReadState) {
            m_orders.state(endpoint,
                           m_options.placement.orderBound,
                           [self = this->shared_from_this(), domain, id = call.endpoint](const Result<EndpointPlacement, StateError> &result) {
                               self->finishState(domain, id, result);
                           });
            return;
        }
        m_log.info("orders " + call.endpoint.text() + " to " + call.order.goal.model + " " + call.order.goal.version);
        m_orders.order(endpoint,
                       call.order,
                       m_options.placement.orderBound,
                       [self = this->shared_from_this(), domain, id = call.endpoint](OrderOutcome outcome) { self->finishOrder(domain, id, outcome); });
    }

    void finishState(const FailureDomain &domain, const EndpointId &id, const Result<EndpointPlacement, StateError> &result)
    {
        PlacementOwner &owner = m_duties.at(domain).owner;
        if (result) {
            owner.stateDone(id, result.value(), ClockType::now());
        } else {
            owner.stateFailed(id, ClockType::now());
        }
        schedulePump();
    }

    void finishOrder(const FailureDomain &domain, const EndpointId &id, OrderOutcome outcome)
    {
        Duty &duty = m_duties.at(domain);
        if (duty.owner.orderDone(id, outcome, ClockType::now())) {
            m_log.warn("the fencing number of " + domain.text() + " is old");
            duty.leaseManager.invalidate();
        }
        schedulePump();
    }

    void armTimer(TimePoint wake)
    {
        if (wake == TimePoint::max()) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_at(wake);
        m_timer.async_wait([weak = this->weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<PlacementService> self = weak.lock();
            if (self && !error) {
                self->schedulePump();
            }
        });
    }

    boost::asio::io_context &m_context;
    Api &m_api;
    Orders &m_orders;
    PlacementServiceOptions m_options;
    std::string m_process;
    Random m_random;
    Log m_log{LogPart::Placement};
    std::vector<HostId> m_live;
    PlacementRules m_rules;
    std::map<EndpointId, OrderedEndpoint> m_endpoints;
    std::map<FailureDomain, Duty> m_duties;
    SessionTimer<ClockType> m_timer;
    bool m_pumpScheduled = false;
    bool m_stopped = false;
};

} // namespace Rhubarbwind
