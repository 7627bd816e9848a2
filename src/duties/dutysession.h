#pragma once

// One host's part in the duties that one host at a time holds for the fleet.
//
// Promises: no call goes out but under the lease (placement/lease.h), with its number, and only while the lease outlasts the time in which
// the call can still arrive: a call is given up, and its connection reset, after callTimeout, and has waited as long at the most before it
// was sent. The lease is measured on a clock that goes on while the host is suspended. Not covered: a host that stands still
// between its last look at the clock and the write to the socket.
// Usage is reported once for each window, or again with the same counts (usagereports.h). Engines are ordered as engineorders.h says, by goals that the
// lease's note has.
//
// Use: make one with std::make_shared, tick() often, setWanted() as the fleet says. Handlers are called from the event loop, never after
// stop(). Cost: one write of the platform's store each renewEvery at the holder, one read each pollEvery at a host that wants the lease; one call of
// its API a window.

#include "base/random.h"
#include "duties/dutycalls.h"
#include "duties/dutystate.h"
#include "duties/usagetotals.h"
#include "duties/usagereports.h"
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
    bool isFirstStart = false; ///< of the whole system: nobody can have held the duties before
    bool reportsUsage = true;
    bool ordersEngines = true;
    Duration callTimeout = 500ms; ///< of a call to the API
    UsageReportOptions usage;
    std::uint64_t seed = 0;
};

/** What the session needs of its host. */
struct DutyPorts
{
    std::function<TimePoint()> suspendClock;
    std::function<std::int64_t()> trueTimeMs; ///< Unix milliseconds as the fleet has them
    std::function<std::string(std::uint64_t key)> customerName; ///< empty: not known
    std::function<std::vector<ScaledService>()> scaledServices; ///< of the configuration in force
    std::function<std::vector<EngineCount>()> engines; ///< as listed
    std::function<void(std::string_view event, const LogFields &fields)> tell; ///< a line of what was decided, and why
};

template <Clock ClockType>
class DutySession : public std::enable_shared_from_this<DutySession<ClockType>>
{
public:
    /**
     * @param store where the lease lies  @param api connections to the platform's API
     */
    DutySession(ObjectSession<ClockType> store, std::shared_ptr<PlatformConnections<ClockType>> api, DutyCodec codec, DutyOptions options, DutyPorts ports);

    /** @param wanted this host holds the lease, or is to take it when it is free */
    void setWanted(bool wanted);
    void receive(const SharedUsage &usage);
    void tick();
    void stop();

    LeaseView lease() const;
    /** For status: who holds the lease, as last seen. */
    const std::optional<StoredLease> &known() const
    {
        return m_keeper.known();
    }
    std::uint64_t lastReported() const
    {
        return m_lastReported;
    }

private:
    void pumpLease();
    void leaseRead(const PlatformResult<StoredObject> &result);
    void leaseWritten(const PlatformResult<ObjectVersion> &result);
    void noticeLease();
    void fixReports();
    void writeNote();
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
    LeaseManager m_keeper;
    UsageTotals m_book;
    UsageReports m_reports;
    EngineOrders m_orders;
    Random m_random;
    Log m_log{LogPart::Placement};
    bool m_wanted = false;
    std::uint64_t m_number = 0; ///< under which the lease was last seen held; zero: not held
    std::uint64_t m_lastNumber = 0; ///< under which it was last held
    std::uint64_t m_lastReported = 0; ///< window
    bool m_isSending = false;
    bool m_stopped = false;
};

extern template class DutySession<SteadyClock>;
extern template class DutySession<ManualClock>;

} // namespace Rhubarbwind
