#include "placement/endpointorders.h"
#include "placement/placementservice.h"
#include "platform/objectclient.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;

// Instantiated as the daemon uses it.
template class Rhubarbwind::PlacementService<SteadyClock, ObjectClient<SteadyClock>, HttpEndpointOrders<SteadyClock>>;

namespace
{

/** One lease object in memory; the answer to the next write may be lost. */
class FakeLeases
{
public:
    explicit FakeLeases(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void get(const std::string &key, const PlatformHandler<StoredObject> &handler)
    {
        if (down) {
            answer<StoredObject>(handler, PlatformError{PlatformErrorKind::Unreachable, 0});
        } else if (object) {
            answer<StoredObject>(handler, StoredObject{key, object->version, object->value});
        } else {
            answer<StoredObject>(handler, PlatformError{PlatformErrorKind::NotFound, 0});
        }
    }
    void put(const std::string &key, const std::string &value, WriteCondition condition, const PlatformHandler<ObjectVersion> &handler)
    {
        const bool absent = condition.kind == WriteCondition::Kind::Absent;
        if (down) {
            answer<ObjectVersion>(handler, PlatformError{PlatformErrorKind::Unreachable, 0});
        } else if (absent ? object.has_value() : !object || object->version != condition.version) {
            answer<ObjectVersion>(handler, PlatformError{PlatformErrorKind::Conflict, 0});
        } else {
            object = StoredObject{key, object ? object->version + 1 : 1, value};
            const bool lost = std::exchange(loseNextAnswer, false);
            answer<ObjectVersion>(handler, lost ? PlatformResult<ObjectVersion>(PlatformError{PlatformErrorKind::Unknown, 0}) : object->version);
        }
    }
    void remove(const std::string &, WriteCondition, const PlatformHandler<ObjectVersion> &)
    {
    }
    void list(const std::string &, const PlatformHandler<std::vector<StoredObject>> &)
    {
    }
    void watch(const std::string &, std::uint64_t, Duration, const PlatformHandler<WatchBatch> &)
    {
    }

    std::optional<StoredObject> object;
    bool down = false;
    bool loseNextAnswer = false;

private:
    template <class T>
    void answer(const PlatformHandler<T> &handler, PlatformResult<T> result)
    {
        boost::asio::post(m_context, [handler, result = std::move(result)] { handler(result); });
    }
    boost::asio::io_context &m_context;
};

constexpr Duration loadTime = 5s;

/** Endpoints that load for loadTime and count their orders. */
class FakeEndpoints
{
public:
    explicit FakeEndpoints(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void order(const OrderedEndpoint &endpoint, const PlacementOrder &order, Duration, OrderHandler handler)
    {
        ++orders;
        newestFencing = std::max(newestFencing, order.fencing);
        EndpointPlacement &placement = placements[endpoint.id];
        placement = {order.goal.model, order.goal.version, order.goal.adapters, order.goal.role, true, order.fencing};
        readyAt[endpoint.id] = ManualClock::now() + loadTime;
        const OrderOutcome outcome = std::exchange(nextOutcome, OrderOutcome::Accepted);
        boost::asio::post(m_context, [handler = std::move(handler), outcome] { handler(outcome); });
    }
    void state(const OrderedEndpoint &endpoint, Duration, StateHandler handler)
    {
        settle();
        boost::asio::post(m_context, [handler = std::move(handler), placement = placements[endpoint.id]] { handler(placement); });
    }

    std::size_t loading()
    {
        settle();
        return static_cast<std::size_t>(std::count_if(placements.begin(), placements.end(), [](const auto &entry) { return entry.second.loading; }));
    }

    std::map<EndpointId, EndpointPlacement> placements;
    std::map<EndpointId, TimePoint> readyAt;
    std::size_t orders = 0;
    std::uint64_t newestFencing = 0;
    OrderOutcome nextOutcome = OrderOutcome::Accepted;

private:
    void settle()
    {
        for (auto &[id, placement] : placements) {
            placement.loading = placement.loading && ManualClock::now() < readyAt[id];
        }
    }
    boost::asio::io_context &m_context;
};

using TestService = PlacementService<ManualClock, FakeLeases, FakeEndpoints>;

constexpr std::size_t endpointCount = 4;

/** Four endpoints of one domain that hold "old"; each host adds a service. */
struct Domain
{
    Domain()
    {
        ManualClock::reset();
        for (std::size_t i = 0; i < endpointCount; ++i) {
            const EndpointId id("e" + std::to_string(i));
            endpoints.push_back({id, FailureDomain("d"), "127.0.0.1", 0, i % 2 == 0});
            orders.placements[id] = {"m", "old", {}, "serve", false, 0};
            rules.goals.push_back({id, "m", "new", {}, "serve"});
        }
    }

    std::shared_ptr<TestService> addHost(const std::string &name, std::vector<HostId> live)
    {
        PlacementServiceOptions options;
        options.self = HostId(name);
        options.seed = 7;
        options.placement.loadsPerSecond = 10;
        std::shared_ptr<TestService> service = std::make_shared<TestService>(context, leases, orders, options);
        service->setHosts(live);
        service->setEndpoints(endpoints);
        service->setRules(rules);
        return service;
    }

    void run(Duration span)
    {
        for (Duration passed{}; passed < span; passed += 50ms) {
            context.restart();
            context.poll();
            maxLoading = std::max(maxLoading, orders.loading());
            ManualClock::advance(50ms);
        }
    }

    std::size_t placed(const std::string &version) const
    {
        return static_cast<std::size_t>(
            std::count_if(orders.placements.begin(), orders.placements.end(), [&version](const auto &entry) { return entry.second.version == version; }));
    }

    boost::asio::io_context context;
    FakeLeases leases{context};
    FakeEndpoints orders{context};
    std::vector<OrderedEndpoint> endpoints;
    PlacementRules rules;
    std::size_t maxLoading = 0;
};

} // namespace

TEST_CASE("a lease, an order and a state read back as they were written")
{
    const LeaseRecord record{7, "p", HostId("h"), OperationId("o"), 15s, true};
    CHECK(parseLease(formatLease(record)).value() == record);
    CHECK(parseLease(R"({"fencing":0,"holder":"p","host":"h","operation":"o","duration_ms":1000})").has_error());
    CHECK(parseLease("{").has_error());
    CHECK(formatOrder({7, {EndpointId("e"), "m", "1", {"a"}, "serve"}}) == R"({"fencing":7,"model":"m","version":"1","adapters":["a"],"role":"serve"})");
    const EndpointPlacement state = parseState(R"({"model":"m","version":"1","adapters":["b","a"],"role":"serve","loading":false,"fencing":7})").value();
    CHECK(meetsGoal(state, {EndpointId("e"), "m", "1", {"a", "b"}, "serve"}));
    CHECK_FALSE(needsLoad(state, {EndpointId("e"), "m", "1", {"a", "b"}, "prefill"}));
    CHECK(parseState(R"({"model":"m"})").error() == StateError::Malformed);
}

TEST_CASE("a lease counts from before its write was sent")
{
    // Guards against orders from two owners at once. The holder's write took effect at once, but its answer arrived 10 s late, or was lost and read
    // back after 10 s. A holder that counted from the answer would still trust its lease when a successor has taken it.
    for (const bool lost : {false, true}) {
        INFO((lost ? "answer lost, read back" : "answer late"));
        LeaseOptions options;
        options.holder = "p";
        LeaseManager leaseManager(options);
        leaseManager.setWanted(true, true);
        Random random(1);
        const TimePoint start(1h);
        REQUIRE(leaseManager.nextCall(start)->kind == LeaseCallKind::Read);
        leaseManager.readMissing(start);
        const LeaseRecord written = leaseManager.nextCall(start)->record;
        const TimePoint answered = start + 10s;
        if (lost) {
            leaseManager.writeFailed(PlatformErrorKind::Unknown, answered - 2s, random);
            REQUIRE(leaseManager.nextCall(answered)->kind == LeaseCallKind::Read);
            leaseManager.readDone({1, written}, answered);
        } else {
            leaseManager.writeDone(1, answered);
        }
        CHECK(leaseManager.view(answered).remaining == 5s);
        CHECK_FALSE(leaseManager.view(start + 15s).held);
    }
}

namespace
{

LeaseManager managerByVersion(const std::string &holder, bool isFirstStart = false)
{
    LeaseOptions options;
    options.holder = holder;
    options.host = HostId("host");
    options.duration = 3s;
    options.renewEvery = 1s;
    options.numbersByVersion = true;
    options.isFirstStart = isFirstStart;
    LeaseManager leaseManager(options);
    leaseManager.setWanted(true, true);
    return leaseManager;
}

} // namespace

TEST_CASE("where a store may come back from a copy, a missing lease is waited out, except at the first start of the system")
{
    // Guards against two holders: the store came back from a copy made before the lease was taken, its holder still trusts it, and another host takes
    // it again. A host that finds no lease waits for as long as an earlier holder could trust one.
    const TimePoint start(1h);
    Random random(1);
    const bool isFirstStart = GENERATE(false, true);
    LeaseManager leaseManager = managerByVersion("a", isFirstStart);
    REQUIRE(leaseManager.nextCall(start)->kind == LeaseCallKind::Read);
    leaseManager.readMissing(start);
    const std::optional<LeaseCall> call = leaseManager.nextCall(start + 1s);
    CHECK((call && call->kind == LeaseCallKind::Write) == isFirstStart);
    if (!isFirstStart) {
        CHECK(leaseManager.nextCall(start + 3200ms)->kind == LeaseCallKind::Write);
    }
    leaseManager.writeDone(412, start + 3300ms);
    CHECK(leaseManager.view(start + 3300ms).fencing == 412);

    // The store is in its second era and has no lease: now the host of the first start waits as well, and its number is above all earlier ones.
    REQUIRE(leaseManager.nextCall(start + 5s)->kind == LeaseCallKind::Write);
    leaseManager.writeFailed(PlatformErrorKind::Conflict, start + 5s, random);
    REQUIRE(leaseManager.nextCall(start + 6s)->kind == LeaseCallKind::Read);
    leaseManager.readMissing(start + 6s, 1);
    CHECK_FALSE(leaseManager.view(start + 6s).held);
    CHECK_FALSE(leaseManager.nextCall(start + 7s));
    REQUIRE(leaseManager.nextCall(start + 9200ms)->kind == LeaseCallKind::Write);
    leaseManager.writeDone(versionIn(1, 400), start + 9200ms);
    CHECK(leaseManager.view(start + 9200ms).fencing == versionIn(1, 400));
}

TEST_CASE("a write sent in one era of the store and answered in the next makes nobody a holder")
{
    // The store comes back from a copy while a renewal is in transit, and the revision in its condition is given out again, to another host's lease.
    // The writer would hold a lease that the store attributes to the other host.
    const TimePoint start(1h);
    LeaseManager leaseManager = managerByVersion("a", true);
    REQUIRE(leaseManager.nextCall(start));
    leaseManager.readMissing(start);
    REQUIRE(leaseManager.nextCall(start)->kind == LeaseCallKind::Write);
    leaseManager.writeDone(412, start);
    REQUIRE(leaseManager.view(start).held);
    REQUIRE(leaseManager.nextCall(start + 1s)->kind == LeaseCallKind::Write);
    leaseManager.writeDone(versionIn(1, 413), start + 1s);
    CHECK_FALSE(leaseManager.view(start + 1s).held);
    CHECK(leaseManager.nextCall(start + 1s)->kind == LeaseCallKind::Read);
}

TEST_CASE("the payload passes from holder to holder, and is what the platform acknowledged")
{
    const TimePoint start(1h);
    LeaseManager first = managerByVersion("a", true);
    REQUIRE(first.nextCall(start));
    first.readMissing(start);
    REQUIRE(first.nextCall(start));
    first.writeDone(5, start);
    CHECK(first.heldPayload().empty());
    first.setPayload("one");
    CHECK(first.heldPayload().empty());
    const std::optional<LeaseCall> withPayload = first.nextCall(start + 10ms);
    REQUIRE(withPayload);
    CHECK(withPayload->record.payload == "one");
    first.writeDone(6, start + 20ms);
    CHECK(first.heldPayload() == "one");
    CHECK(first.view(start + 20ms).fencing == 5);
    CHECK_FALSE(first.nextCall(start + 30ms));

    LeaseManager second = managerByVersion("b");
    REQUIRE(second.nextCall(start + 1s));
    second.readDone({6, withPayload->record}, start + 1s);
    const std::optional<LeaseCall> taken = second.nextCall(start + 5s);
    REQUIRE(taken);
    REQUIRE(taken->kind == LeaseCallKind::Write);
    CHECK(taken->record.payload == "one");
    second.writeDone(7, start + 5s);
    CHECK(second.heldPayload() == "one");
    CHECK(second.view(start + 5s).fencing == 7);
    CHECK(parseLease(formatLease(taken->record), 0).value() == taken->record);
}

TEST_CASE("an order that could outlast the lease goes only to endpoints that check its number")
{
    // Guards against an endpoint that ignores fencing numbers returning to an old model: the order was sent just before the lease ended, or a new
    // owner sent orders while one of its predecessor's was still in transit.
    struct Row
    {
        bool checks;
        Duration remaining;
        Duration heldFor;
        bool ordered;
    };
    const std::vector<Row> rows{{true, 1s, 0s, true}, {false, 3s, 10s, false}, {false, 3001ms, 10s, true}, {false, 10s, 1999ms, false}, {false, 10s, 2s, true}};
    for (const Row &row : rows) {
        INFO("checks " << row.checks << ", remaining " << toSeconds(row.remaining) << " s, held for " << toSeconds(row.heldFor) << " s");
        const TimePoint now(1h);
        PlacementOwner owner(PlacementOptions{}, now);
        owner.setEndpoints(std::array{OrderedEndpoint{EndpointId("e"), {}, "", 0, row.checks}});
        owner.setRules({{PlacementGoal{EndpointId("e"), "m", "new", {}, "serve"}}, 0, 1});
        const LeaseView lease{true, row.remaining, 1, now - row.heldFor};
        for (const PlacementCall &call : owner.nextCalls(lease, now)) {
            REQUIRE(call.kind == PlacementCallKind::ReadState);
            owner.stateDone(call.endpoint, {"m", "old", {}, "serve", false, 0}, now);
        }
        CHECK(!owner.nextCalls(lease, now).empty() == row.ordered);
    }
}

TEST_CASE("a change proceeds step by step and keeps the floor in service")
{
    Domain domain;
    domain.rules.parallelLoads = 4;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(60s);
    CHECK(domain.placed("new") == endpointCount);
    CHECK(domain.orders.orders == endpointCount);
    CHECK(domain.maxLoading == 1);
    CHECK(service->status().at(FailureDomain("d")).placement.settled == endpointCount);
}

TEST_CASE("parallel loads bound a change where the floor leaves room")
{
    Domain domain;
    domain.rules.readyFloor = 0;
    domain.rules.parallelLoads = 2;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(60s);
    CHECK(domain.placed("new") == endpointCount);
    CHECK(domain.maxLoading == 2);
}

TEST_CASE("after a lost answer the state is read before anything is ordered again")
{
    // Guards against an endpoint loading the same weights twice. The order was carried out and its answer lost; if it were sent again at once the
    // endpoint would start over. The state is read once the order's bound has passed, and shows that it was carried out.
    Domain domain;
    domain.orders.nextOutcome = OrderOutcome::Unknown;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(60s);
    CHECK(domain.placed("new") == endpointCount);
    CHECK(domain.orders.orders == endpointCount);
}

TEST_CASE("while the platform is down nothing is ordered after the lease expires and nothing is undone")
{
    // Guards against placement changes while no host can hold the lease. The platform becomes unavailable in the middle of a change. The owner may
    // continue while its lease lasts, then must stop, and must not undo what was reached.
    Domain domain;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(4s);
    REQUIRE(domain.orders.orders == 1);
    domain.leases.down = true;
    domain.run(20s);
    const std::size_t ordered = domain.orders.orders;
    CHECK(ordered < endpointCount);
    domain.run(60s);
    CHECK(domain.orders.orders == ordered);
    CHECK_FALSE(service->status().at(FailureDomain("d")).lease.held);
    domain.leases.down = false;
    domain.run(60s);
    CHECK(domain.placed("new") == endpointCount);
    CHECK(domain.orders.newestFencing == 1);
}

TEST_CASE("a lost answer to a lease write is resolved by reading back")
{
    // Guards against a pause of orders for the length of a lease. The write took effect and its answer was lost; an owner that treated it as a
    // failure would wait for its own lease to expire.
    Domain domain;
    domain.leases.loseNextAnswer = true;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(5s);
    CHECK(service->status().at(FailureDomain("d")).lease.held);
    CHECK(domain.orders.orders == 1);
    CHECK(domain.orders.newestFencing == 1);
}

TEST_CASE("orders and states are sent over HTTP and every failure has its outcome")
{
    struct Row
    {
        const char *answer; ///< null: the endpoint closes without one
        OrderOutcome outcome;
    };
    const std::vector<Row> rows{{"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}", OrderOutcome::Accepted},
                                {"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}", OrderOutcome::StaleNumber},
                                {"HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}", OrderOutcome::Refused},
                                {"HTTP/1.1 500 Broken\r\nContent-Length: 2\r\n\r\n{}", OrderOutcome::Unknown},
                                {"no HTTP at all\r\n\r\n", OrderOutcome::Unknown},
                                {nullptr, OrderOutcome::Unknown}};
    using boost::asio::ip::tcp;
    for (const Row &row : rows) {
        boost::asio::io_context context;
        tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket peer(context);
        boost::asio::streambuf request;
        acceptor.async_accept(peer, [&](const boost::system::error_code &) {
            boost::asio::async_read_until(peer, request, "\"role\":\"serve\"}", [&](const boost::system::error_code &, std::size_t) {
                if (row.answer != nullptr) {
                    boost::asio::write(peer, boost::asio::buffer(std::string(row.answer)));
                }
                peer.close();
            });
        });
        HttpEndpointOrders<SteadyClock> orders(context.get_executor());
        std::vector<OrderOutcome> outcomes;
        const OrderedEndpoint endpoint{EndpointId("e"), {}, "127.0.0.1", acceptor.local_endpoint().port(), false};
        orders.order(endpoint, {3, {EndpointId("e"), "m", "1", {}, "serve"}}, 20s, [&outcomes](OrderOutcome outcome) { outcomes.push_back(outcome); });
        context.run_for(20s);
        CHECK(outcomes == std::vector<OrderOutcome>{row.outcome});
        const std::string sent(boost::asio::buffers_begin(request.data()), boost::asio::buffers_end(request.data()));
        CHECK(sent.starts_with("POST /v1/orders HTTP/1.1"));
    }
    boost::asio::io_context context;
    HttpEndpointOrders<SteadyClock> orders(context.get_executor());
    std::vector<OrderOutcome> outcomes;
    orders.order({EndpointId("e"), {}, "nowhere", 1, false}, {}, 1s, [&outcomes](OrderOutcome outcome) { outcomes.push_back(outcome); });
    CHECK(outcomes.empty());
    context.run_for(20s);
    CHECK(outcomes == std::vector<OrderOutcome>{OrderOutcome::NotSent});
}

TEST_CASE("a successor waits out the lease of an owner that vanished, but not one that was released")
{
    struct Row
    {
        const char *name;
        bool releases;
    };
    for (const Row &row : {Row{"vanished", false}, Row{"gave up the lease", true}}) {
        INFO(row.name);
        Domain domain;
        const std::shared_ptr<TestService> first = domain.addHost("a", {HostId("a")});
        domain.run(60s);
        REQUIRE(domain.placed("new") == endpointCount);
        if (row.releases) {
            first->setHosts({});
            domain.run(1s);
        }
        first->stop();
        for (PlacementGoal &goal : domain.rules.goals) {
            goal.version = "newer";
        }
        const std::shared_ptr<TestService> second = domain.addHost("b", {HostId("b")});
        domain.run(14s);
        CHECK((domain.orders.newestFencing == 2) == row.releases);
        domain.run(60s);
        CHECK(domain.orders.newestFencing == 2);
        CHECK(domain.placed("newer") == endpointCount);
    }
}
