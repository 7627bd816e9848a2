#pragma once

// One host's part in the duties that one host at a time performs for the fleet: reporting usage and ordering engines.
//
// Guarantees: a call is sent only under the lease (placement/lease.h), with its fencing number, and only while the lease outlasts the time in which
// the call can still arrive. A call waits at most callTimeout for a connection; callTimeout after it was sent it is abandoned and its connection
// reset. The lease is measured on a clock that advances while the host is suspended. Not covered: a host that is paused between its last read of the
// clock and the write to the socket.
// Usage is reported once per window, or again with the same counts (usagereports.h). Engines are ordered as engineorders.h describes, by the goals in
// the lease's payload.
//
// Use: create with std::make_shared, call tick() often and setWanted() as the fleet assigns the duties. Callbacks run on the event loop, never after
// stop().
// Cost: the holder makes one write to the platform's store every third of the lease, each other host that wants the lease one read in that time; one
// API call per window.

#include "base/random.h"
#include "duties/dutycalls.h"
#include "duties/dutystate.h"
#include "duties/usagereports.h"
#include "duties/usagetotals.h"
#include "placement/lease.h"
#include "platform/objectsession.h"
#include "telemetry/decisionlog.h"
#include "telemetry/log.h"

#include <functional>
#include <memory>

namespace Rhubarbwind
{

struct DutyOptions
{
    HostId host;
    std::string process; ///< unique id of this process
    Duration lease = 3s;
    bool isFirstStart = false; ///< first start of the whole system: no host can have held the duties before
    bool reportsUsage = true;
    bool ordersEngines = true;
    Duration callTimeout = 500ms; ///< of one call to the API
    UsageReportOptions usage;
    std::uint64_t seed = 0;
};

/** What the session needs from its host. */
struct DutyPorts
{
    std::function<TimePoint()> suspendClock;
    std::function<std::int64_t()> trueTimeMs; ///< Unix milliseconds by the fleet's clock
    std::function<std::string(std::uint64_t key)> customerName; ///< empty if unknown
    std::function<std::vector<ScaledService>()> scaledServices; ///< of the configuration in force
    std::function<std::vector<EngineCount>()> engines; ///< as listed
    std::function<void(std::string_view event, const LogFields &fields)> tell; ///< logs a decision and its reason
};

template <Clock ClockType>
class DutySession : public std::enable_shared_from_this<DutySession<ClockType>>
{
public:
    /**
     * @param store holds the lease  @param api connections to the platform's API
     */
    DutySession(ObjectSession<ClockType> store, std::shared_ptr<PlatformConnections<ClockType>> api, DutyCodec codec, DutyOptions options, DutyPorts ports);

    /** @param wanted this host is to keep the lease, or to take it when it is free */
    void setWanted(bool wanted);
    void receive(const SharedUsage &usage);
    void tick();
    void stop();

    LeaseView lease() const;
    /** The lease as last read or written, for the status. */
    const std::optional<StoredLease> &known() const
    {
        return m_leaseManager.known();
    }
    std::uint64_t lastReported() const
    {
        return m_lastReported;
    }

private:
    void sendLeaseCall();
    void leaseRead(const PlatformResult<StoredObject> &result);
    void leaseWritten(const PlatformResult<ObjectVersion> &result);
    void updateLeaseState();
    void fixReports();
    void writePayload();
    bool mayCall() const;
    void sendReport();
    void sendOrder();
    void orderAnswered(const EngineOrder &order, const PlatformResult<HttpAnswer> &answer);
    void reportAnswered(const UsageReport &report, const PlatformResult<HttpAnswer> &answer);
    UsageReport reportOf(std::uint64_t window) const;

    ObjectSession<ClockType> m_store;
    std::shared_ptr<PlatformConnections<ClockType>> m_api;
    DutyCodec m_codec;
    DutyOptions m_options;
    DutyPorts m_ports;
    LeaseManager m_leaseManager;
    UsageTotals m_totals;
    UsageReports m_reports;
    EngineOrders m_orders;
    Random m_random;
    Log m_log{LogPart::Placement};
    bool m_wanted = false;
    std::uint64_t m_number = 0; ///< fencing number of the lease as of the last check; zero: not held
    std::uint64_t m_lastNumber = 0; ///< fencing number under which the lease was last held
    std::uint64_t m_lastReported = 0; ///< last window reported and accepted
    bool m_isSending = false;
    bool m_stopped = false;
};

extern template class DutySession<SteadyClock>;
extern template class DutySession<ManualClock>;

} // namespace Rhubarbwind
