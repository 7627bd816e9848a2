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

// As the daemon uses it.
template class Rhubarbwind::PlacementService<SteadyClock, ObjectClient<SteadyClock>, HttpEndpointOrders<SteadyClock>>;

namespace
{

/** One lease object in memory; the next writes' answers may be lost. */
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

/** Endpoints that load for loadTime and count what they were told. */
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

/** Four endpoints of one domain that hold "old"; services are added as hosts come. */
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
            mostLoading = std::max(mostLoading, orders.loading());
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
    std::size_t mostLoading = 0;
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
    // The operator sees orders of two owners at once. The holder's write took effect at once but its answer came 10 s late, or was
    // lost and read back after 10 s. A holder that counted from the answer would believe in its lease when a successor has taken it.
    for (const bool lost : {false, true}) {
        INFO((lost ? "answer lost, read back" : "answer late"));
        LeaseOptions options;
        options.holder = "p";
        LeaseManager keeper(options);
        keeper.setWanted(true, true);
        Random random(1);
        const TimePoint start(1h);
        REQUIRE(keeper.nextCall(start)->kind == LeaseCallKind::Read);
        keeper.readMissing(start);
        const LeaseRecord written = keeper.nextCall(start)->record;
        const TimePoint answered = start + 10s;
        if (lost) {
            keeper.writeFailed(PlatformErrorKind::Unknown, answered - 2s, random);
            REQUIRE(keeper.nextCall(answered)->kind == LeaseCallKind::Read);
            keeper.readDone({1, written}, answered);
        } else {
            keeper.writeDone(1, answered);
        }
        CHECK(keeper.view(answered).remaining == 5s);
        CHECK_FALSE(keeper.view(start + 15s).held);
    }
}

namespace
{

LeaseManager keeperByVersion(const std::string &holder, bool isFirstStart = false)
{
    LeaseOptions options;
    options.holder = holder;
    options.host = HostId("host");
    options.duration = 3s;
    options.renewEvery = 1s;
    options.numbersByVersion = true;
    options.isFirstStart = isFirstStart;
    LeaseManager keeper(options);
    keeper.setWanted(true, true);
    return keeper;
}

} // namespace

TEST_CASE("where a store may come back from a copy, a lease that is missing is waited out, but at the first start of all")
{
    // Two hosts act at once: the store came back from a copy of before the lease was taken, its holder believes in it still, and another
    // takes it anew. Whoever finds none waits as long as any holder of before could believe.
    const TimePoint start(1h);
    Random random(1);
    const bool isFirstStart = GENERATE(false, true);
    LeaseManager keeper = keeperByVersion("a", isFirstStart);
    REQUIRE(keeper.nextCall(start)->kind == LeaseCallKind::Read);
    keeper.readMissing(start);
    const std::optional<LeaseCall> call = keeper.nextCall(start + 1s);
    CHECK((call && call->kind == LeaseCallKind::Write) == isFirstStart);
    if (!isFirstStart) {
        CHECK(keeper.nextCall(start + 3200ms)->kind == LeaseCallKind::Write);
    }
    keeper.writeDone(412, start + 3300ms);
    CHECK(keeper.view(start + 3300ms).fencing == 412);

    // The store is in its second era, and has no lease: also the first start's host waits, and its number is above all before.
    REQUIRE(keeper.nextCall(start + 5s)->kind == LeaseCallKind::Write);
    keeper.writeFailed(PlatformErrorKind::Conflict, start + 5s, random);
    REQUIRE(keeper.nextCall(start + 6s)->kind == LeaseCallKind::Read);
    keeper.readMissing(start + 6s, 1);
    CHECK_FALSE(keeper.view(start + 6s).held);
    CHECK_FALSE(keeper.nextCall(start + 7s));
    REQUIRE(keeper.nextCall(start + 9200ms)->kind == LeaseCallKind::Write);
    keeper.writeDone(versionIn(1, 400), start + 9200ms);
    CHECK(keeper.view(start + 9200ms).fencing == versionIn(1, 400));
}

TEST_CASE("a write that was meant for one era of the store and answered by the next makes nobody a holder")
{
    // The store comes back from a copy while a renewal is on its way, and the revision that it names is given out again, for another's lease.
    // Its writer would hold what the store has as that of another.
    const TimePoint start(1h);
    LeaseManager keeper = keeperByVersion("a", true);
    REQUIRE(keeper.nextCall(start));
    keeper.readMissing(start);
    REQUIRE(keeper.nextCall(start)->kind == LeaseCallKind::Write);
    keeper.writeDone(412, start);
    REQUIRE(keeper.view(start).held);
    REQUIRE(keeper.nextCall(start + 1s)->kind == LeaseCallKind::Write);
    keeper.writeDone(versionIn(1, 413), start + 1s);
    CHECK_FALSE(keeper.view(start + 1s).held);
    CHECK(keeper.nextCall(start + 1s)->kind == LeaseCallKind::Read);
}

TEST_CASE("a note goes from holder to holder, and is what the platform acknowledged")
{
    const TimePoint start(1h);
    LeaseManager first = keeperByVersion("a", true);
    REQUIRE(first.nextCall(start));
    first.readMissing(start);
    REQUIRE(first.nextCall(start));
    first.writeDone(5, start);
    CHECK(first.heldPayload().empty());
    first.setPayload("one");
    CHECK(first.heldPayload().empty());
    const std::optional<LeaseCall> noted = first.nextCall(start + 10ms);
    REQUIRE(noted);
    CHECK(noted->record.payload == "one");
    first.writeDone(6, start + 20ms);
    CHECK(first.heldPayload() == "one");
    CHECK(first.view(start + 20ms).fencing == 5);
    CHECK_FALSE(first.nextCall(start + 30ms));

    LeaseManager second = keeperByVersion("b");
    REQUIRE(second.nextCall(start + 1s));
    second.readDone({6, noted->record}, start + 1s);
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
    // The operator sees an endpoint that ignores numbers fall back to an old model: the order went out just before the lease ended,
    // or a new owner ordered while one of its predecessor's orders was still on its way.
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

TEST_CASE("a change goes step by step and keeps the floor in service")
{
    Domain domain;
    domain.rules.parallelLoads = 4;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(60s);
    CHECK(domain.placed("new") == endpointCount);
    CHECK(domain.orders.orders == endpointCount);
    CHECK(domain.mostLoading == 1);
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
    CHECK(domain.mostLoading == 2);
}

TEST_CASE("an order whose answer was lost is looked at before anything is ordered again")
{
    // The operator sees an endpoint load the same weights twice. The order was carried out and its answer lost; ordered again at
    // once the endpoint would start over. The state is read once the order's bound has passed, and shows that it was carried out.
    Domain domain;
    domain.orders.nextOutcome = OrderOutcome::Unknown;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(60s);
    CHECK(domain.placed("new") == endpointCount);
    CHECK(domain.orders.orders == endpointCount);
}

TEST_CASE("while the platform is down nothing is ordered after the lease and nothing is undone")
{
    // The operator sees placement change though no host can hold the lease. The platform goes down in the middle of a change; the
    // owner may go on for as long as its lease lasts, then must stop, and must not undo what was reached.
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
    // The operator sees no orders for the length of a lease. The write took effect and its answer was lost; an owner that took it
    // for a failure would wait for its own lease to run out.
    Domain domain;
    domain.leases.loseNextAnswer = true;
    const std::shared_ptr<TestService> service = domain.addHost("a", {HostId("a")});
    domain.run(5s);
    CHECK(service->status().at(FailureDomain("d")).lease.held);
    CHECK(domain.orders.orders == 1);
    CHECK(domain.orders.newestFencing == 1);
}

TEST_CASE("orders and states travel over HTTP and every failure has its outcome")
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

TEST_CASE("a successor waits out the lease of an owner that vanished and not that of one that let go")
{
    struct Row
    {
        const char *name;
        bool letsGo;
    };
    for (const Row &row : {Row{"vanished", false}, Row{"let go", true}}) {
        INFO(row.name);
        Domain domain;
        const std::shared_ptr<TestService> first = domain.addHost("a", {HostId("a")});
        domain.run(60s);
        REQUIRE(domain.placed("new") == endpointCount);
        if (row.letsGo) {
            first->setHosts({});
            domain.run(1s);
        }
        first->stop();
        for (PlacementGoal &goal : domain.rules.goals) {
            goal.version = "newer";
        }
        const std::shared_ptr<TestService> second = domain.addHost("b", {HostId("b")});
        domain.run(14s);
        CHECK((domain.orders.newestFencing == 2) == row.letsGo);
        domain.run(60s);
        CHECK(domain.orders.newestFencing == 2);
        CHECK(domain.placed("newer") == endpointCount);
    }
}
