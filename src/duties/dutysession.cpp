#include "duties/dutysession.h"

namespace Rhubarbwind
{

namespace
{

constexpr const char *leaseName = "lease";
// Covers differences in clock rate and the transit time of a call's last byte.
constexpr Duration callMargin = 200ms;

LeaseOptions leaseOptions(const DutyOptions &options)
{
    LeaseOptions lease;
    lease.holder = options.process;
    lease.host = options.host;
    lease.duration = options.lease;
    lease.renewEvery = options.lease / 3;
    lease.pollEvery = options.lease / 3;
    lease.retryFirst = 100ms;
    lease.retryMax = 1s;
    lease.numbersByVersion = true;
    lease.isFirstStart = options.isFirstStart;
    return lease;
}

std::string_view nameOf(SkipReason why)
{
    return why == SkipReason::NoState ? "nobody knows whether it was sent" : "too late to arrive in time";
}

} // namespace

template <Clock ClockType>
DutySession<ClockType>::DutySession(
    ObjectSession<ClockType> store, std::shared_ptr<PlatformConnections<ClockType>> api, DutyCodec codec, DutyOptions options, DutyPorts ports)
    : m_store(std::move(store))
    , m_api(std::move(api))
    , m_codec(codec)
    , m_options(std::move(options))
    , m_ports(std::move(ports))
    , m_leaseManager(leaseOptions(m_options))
    , m_reports(m_options.usage)
    , m_random(m_options.seed)
{
}

template <Clock ClockType>
void DutySession<ClockType>::setWanted(bool wanted)
{
    m_wanted = wanted;
}

template <Clock ClockType>
void DutySession<ClockType>::receive(const SharedUsage &usage)
{
    m_totals.receive(usage);
}

template <Clock ClockType>
LeaseView DutySession<ClockType>::lease() const
{
    return m_leaseManager.view(m_ports.suspendClock());
}

template <Clock ClockType>
void DutySession<ClockType>::stop()
{
    m_stopped = true;
    m_ports = {};
}

template <Clock ClockType>
void DutySession<ClockType>::tick()
{
    if (m_stopped) {
        return;
    }
    updateLeaseState();
    if (m_number != 0) {
        fixReports();
        writePayload();
    }
    sendLeaseCall();
    sendReport();
    sendOrder();
}

template <Clock ClockType>
void DutySession<ClockType>::sendLeaseCall()
{
    // A call in progress may still arrive, so the lease is released only after it has ended.
    m_leaseManager.setWanted(m_wanted, !m_isSending);
    const std::optional<LeaseCall> call = m_leaseManager.nextCall(m_ports.suspendClock());
    if (!call) {
        return;
    }
    if (call->kind == LeaseCallKind::Read) {
        m_store.get(leaseName, [self = this->shared_from_this()](const PlatformResult<StoredObject> &result) { self->leaseRead(result); });
        return;
    }
    m_store.put(leaseName, formatLease(call->record), call->condition, [self = this->shared_from_this()](const PlatformResult<ObjectVersion> &result) {
        self->leaseWritten(result);
    });
}

template <Clock ClockType>
void DutySession<ClockType>::leaseRead(const PlatformResult<StoredObject> &result)
{
    if (m_stopped) {
        return;
    }
    const TimePoint now = m_ports.suspendClock();
    if (!result && result.error().kind == PlatformErrorKind::NotFound) {
        m_leaseManager.readMissing(now, eraOf(result.error().currentVersion));
    } else if (!result) {
        m_leaseManager.readFailed(now, m_random);
    } else if (const Result<LeaseRecord, LeaseError> record = parseLease(result.value().value, 0); record) {
        m_leaseManager.readDone({result.value().version, record.value()}, now);
    } else {
        m_log.error("The lease of the fleet's duties can't be read; no host performs them until the lease object is removed.");
        m_leaseManager.readFailed(now, m_random);
    }
    tick();
}

template <Clock ClockType>
void DutySession<ClockType>::leaseWritten(const PlatformResult<ObjectVersion> &result)
{
    if (m_stopped) {
        return;
    }
    const TimePoint now = m_ports.suspendClock();
    if (result) {
        m_leaseManager.writeDone(result.value(), now);
    } else {
        m_leaseManager.writeFailed(result.error().kind, now, m_random);
    }
    tick();
}

template <Clock ClockType>
void DutySession<ClockType>::updateLeaseState()
{
    const LeaseView view = lease();
    const std::uint64_t number = view.held ? view.fencing : 0;
    if (number != m_number) {
        m_ports.tell(number != 0 ? "duties-taken" : "duties-lost", LogFields().number("number", static_cast<std::int64_t>(number != 0 ? number : m_number)));
        m_number = number;
        // The lease may be held again under the same number after an outage of the store. No other host has ordered anything meanwhile.
        if (number != 0 && number != std::exchange(m_lastNumber, number)) {
            m_orders.begin(parseDutyState(m_leaseManager.heldPayload()).engines);
        }
    }
    if (number == 0) {
        m_reports.onLeaseLost();
    } else {
        m_reports.onLeaseHeld(number, parseDutyState(m_leaseManager.heldPayload()).usage, m_ports.trueTimeMs());
    }
    for (const auto &[window, why] : m_reports.takeSkipped()) {
        m_ports.tell("usage-left-out", LogFields().number("window", static_cast<std::int64_t>(window)).text("why", nameOf(why)));
    }
}

template <Clock ClockType>
UsageReport DutySession<ClockType>::reportOf(std::uint64_t window) const
{
    UsageReport report{window, {}};
    for (const auto &[key, begun] : m_totals.totals(window)) {
        const std::string name = m_ports.customerName(key);
        if (!name.empty()) {
            report.counts[name] = begun;
        }
    }
    return report;
}

template <Clock ClockType>
void DutySession<ClockType>::fixReports()
{
    while (const std::optional<std::uint64_t> window = m_options.reportsUsage ? m_reports.toFix(m_ports.trueTimeMs()) : std::nullopt) {
        UsageReport report = reportOf(*window);
        std::int64_t begun = 0;
        for (const auto &[customer, count] : report.counts) {
            begun += static_cast<std::int64_t>(count);
        }
        LogFields fields;
        fields.number("window", static_cast<std::int64_t>(*window)).number("customers", static_cast<std::int64_t>(report.counts.size()));
        fields.number("requests", begun).number("hosts", static_cast<std::int64_t>(m_totals.reporters(*window)));
        m_ports.tell("usage-fixed", fields);
        m_reports.fix(std::move(report));
    }
}

template <Clock ClockType>
void DutySession<ClockType>::writePayload()
{
    m_orders.setServices(m_ports.scaledServices());
    if (m_options.ordersEngines && m_orders.fixGoals(m_ports.engines(), ClockType::now())) {
        for (const EngineGoal &goal : m_orders.goals()) {
            LogFields fields;
            fields.text("service", goal.service.text()).number("need", std::int64_t{goal.need}).number("each_domain", std::int64_t{goal.eachDomain});
            m_ports.tell("engine-goal", fields.number("domains", static_cast<std::int64_t>(goal.domains.size())));
        }
    }
    const DutyState acknowledged = parseDutyState(m_leaseManager.heldPayload());
    const std::optional<std::string> usage = m_options.reportsUsage ? m_reports.wantedState() : std::nullopt;
    if (usage || m_orders.goals() != acknowledged.engines) {
        m_leaseManager.setPayload(formatDutyState({usage.value_or(acknowledged.usage), m_orders.goals()}));
    }
}

template <Clock ClockType>
bool DutySession<ClockType>::mayCall() const
{
    const LeaseView view = lease();
    // Twice the timeout: a call may wait that long for a connection and then take as long again.
    return !m_isSending && view.held && view.remaining >= 2 * m_options.callTimeout + callMargin;
}

template <Clock ClockType>
void DutySession<ClockType>::sendReport()
{
    const std::optional<UsageReport> report = mayCall() ? m_reports.toSend(ClockType::now()) : std::nullopt;
    if (!report) {
        return;
    }
    m_isSending = true;
    m_api->call(CallKind::Write,
                m_codec.usageCall({m_options.host, m_number}, *report),
                Duration::zero(),
                [self = this->shared_from_this(), report = *report](const PlatformResult<HttpAnswer> &answer) { self->reportAnswered(report, answer); });
}

template <Clock ClockType>
void DutySession<ClockType>::reportAnswered(const UsageReport &report, const PlatformResult<HttpAnswer> &answer)
{
    m_isSending = false;
    if (m_stopped) {
        return;
    }
    const bool accepted = answer.has_value() && m_codec.isAccepted(answer.value());
    m_reports.sent(report.window, accepted, ClockType::now());
    LogFields fields;
    fields.number("window", static_cast<std::int64_t>(report.window)).number("number", static_cast<std::int64_t>(m_number));
    fields.number("status", answer.has_value() ? std::int64_t{answer.value().status} : std::int64_t{0});
    m_ports.tell(accepted ? "usage-reported" : "usage-not-accepted", fields);
    m_lastReported = accepted ? std::max(m_lastReported, report.window) : m_lastReported;
    tick();
}

template <Clock ClockType>
void DutySession<ClockType>::sendOrder()
{
    // Until the goals are in the lease's payload, the next holder may determine different ones.
    if (!mayCall() || m_orders.goals().empty() || parseDutyState(m_leaseManager.heldPayload()).engines != m_orders.goals()) {
        return;
    }
    const std::optional<EngineOrder> order = m_orders.next(m_ports.engines(), ClockType::now());
    if (!order) {
        return;
    }
    m_isSending = true;
    m_api->call(CallKind::Write,
                m_codec.orderCall({m_options.host, m_number}, *order),
                Duration::zero(),
                [self = this->shared_from_this(), order = *order](const PlatformResult<HttpAnswer> &answer) { self->orderAnswered(order, answer); });
}

template <Clock ClockType>
void DutySession<ClockType>::orderAnswered(const EngineOrder &order, const PlatformResult<HttpAnswer> &answer)
{
    m_isSending = false;
    if (m_stopped) {
        return;
    }
    const OrderAnswer read = answer.has_value() ? m_codec.readOrderAnswer(answer.value()) : OrderAnswer::Failed;
    m_orders.answered(order, read, ClockType::now());
    LogFields fields;
    fields.text("service", order.service.text()).text("domain", order.domain.text()).text("kind", order.isReclaimable ? "reclaimable" : "lasting");
    fields.number("count", std::int64_t{order.count}).number("number", static_cast<std::int64_t>(m_number));
    fields.number("status", answer.has_value() ? std::int64_t{answer.value().status} : std::int64_t{0});
    m_ports.tell(read == OrderAnswer::Accepted ? "engines-ordered" : "engines-not-ordered", fields);
    tick();
}

template class DutySession<SteadyClock>;
template class DutySession<ManualClock>;

} // namespace Rhubarbwind
