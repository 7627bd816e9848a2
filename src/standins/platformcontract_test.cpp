// Contract tests: the platform's clients against the stand-in, over real sockets on loopback. Time limits use the manual clock, so that no result depends
// on the speed of the machine.

#include "platform/objectclient.h"
#include "platform/platformsequence.h"
#include "platform/resolvedwrite.h"
#include "standins/platformserver.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

constexpr std::chrono::seconds hangLimit(20); ///< only a hang reaches it

struct Bench
{
    Bench()
    {
        ManualClock::reset();
        server.emplace(context, PlatformServerOptions{});
        options.port = server->port();
        options.rates = {1000, 1000, 1000, 1000};
        connect();
    }

    void connect()
    {
        connections = std::make_shared<PlatformConnections<ManualClock>>(context.get_executor(), options);
        client.emplace(connections);
    }

    /** Runs until there is a result; fails on a hang. */
    template <class T>
    T await(const std::optional<T> &result)
    {
        runUntil([&] { return result.has_value(); });
        return *result;
    }

    template <class T>
    static PlatformHandler<T> into(std::optional<PlatformResult<T>> &slot)
    {
        return [&slot](PlatformResult<T> result) {
            REQUIRE_FALSE(slot); // a handler is called once
            slot = std::move(result);
        };
    }

    PlatformResult<StoredObject> get(const std::string &key)
    {
        std::optional<PlatformResult<StoredObject>> result;
        client->get(key, into(result));
        return await(result);
    }
    PlatformResult<ObjectVersion> put(const std::string &key, const std::string &value, WriteCondition condition)
    {
        std::optional<PlatformResult<ObjectVersion>> result;
        client->put(key, value, condition, into(result));
        return await(result);
    }
    PlatformResult<WatchBatch> watch(const std::string &prefix, std::uint64_t after, Duration wait = {})
    {
        std::optional<PlatformResult<WatchBatch>> result;
        client->watch(prefix, after, wait, into(result));
        return await(result);
    }

    /** Runs until the condition holds; fails on a hang. */
    template <class Condition>
    void runUntil(Condition condition)
    {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + hangLimit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(20));
        }
        REQUIRE(condition());
    }

    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{context.get_executor()};
    std::optional<PlatformServer> server;
    PlatformOptions options;
    std::shared_ptr<PlatformConnections<ManualClock>> connections;
    std::optional<ObjectClient<ManualClock>> client;
};

PlatformFaults faultsWith(void (*set)(PlatformFaults &))
{
    PlatformFaults faults;
    set(faults);
    return faults;
}

} // namespace

TEST_CASE("objects are created, replaced and removed under conditions", "[contract]")
{
    Bench bench;
    CHECK(bench.get("preset/in-force").error().kind == PlatformErrorKind::NotFound);
    const ObjectVersion first = bench.put("preset/in-force", "one", WriteCondition::absent()).value();
    const PlatformResult<ObjectVersion> again = bench.put("preset/in-force", "two", WriteCondition::absent());
    CHECK(again.error().kind == PlatformErrorKind::Conflict);
    CHECK(again.error().currentVersion == first);
    const ObjectVersion second = bench.put("preset/in-force", "two", WriteCondition::atVersion(first)).value();
    CHECK(second > first);
    CHECK(bench.put("preset/in-force", "three", WriteCondition::atVersion(first)).error().kind == PlatformErrorKind::Conflict);
    CHECK(bench.get("preset/in-force").value().value == "two");
    CHECK(bench.get("preset/in-force").value().version == second);

    std::optional<PlatformResult<ObjectVersion>> removed;
    bench.client->remove("preset/in-force", WriteCondition::atVersion(second), Bench::into(removed));
    CHECK(bench.await(removed).value() > second);
    CHECK(bench.get("preset/in-force").error().kind == PlatformErrorKind::NotFound);
    CHECK(bench.server->counters().connections == 1); // the connection stays open throughout
}

TEST_CASE("a value over the platform's limit and a bad key are refused", "[contract]")
{
    Bench bench;
    CHECK(bench.put("big", std::string(1'000'001, 'x'), WriteCondition::absent()).error().kind == PlatformErrorKind::Refused);
    CHECK(bench.put("big", std::string(1'000'000, 'x'), WriteCondition::absent()).has_value());
    CHECK(bench.get("big").value().value.size() == 1'000'000);
    CHECK(bench.put("a//b", "x", WriteCondition::absent()).error().kind == PlatformErrorKind::Refused);
}

TEST_CASE("a listing gives the objects of the prefix in key order", "[contract]")
{
    Bench bench;
    for (const char *key : {"ledger/s/2", "ledger/s/1", "ledger/t/1", "preset/x"}) {
        REQUIRE(bench.put(key, key, WriteCondition::absent()).has_value());
    }
    std::optional<PlatformResult<std::vector<StoredObject>>> listed;
    bench.client->list("ledger/s/", Bench::into(listed));
    const std::vector<StoredObject> objects = bench.await(listed).value();
    REQUIRE(objects.size() == 2);
    CHECK(objects[0].key == "ledger/s/1");
    CHECK(objects[1].value == "ledger/s/2");
}

TEST_CASE("a watch reports changes of its prefix at once, and ends empty after its wait", "[contract]")
{
    Bench bench;
    const ObjectVersion first = bench.put("preset/a", "1", WriteCondition::absent()).value();
    CHECK(bench.watch("preset/", 0).value().events.size() == 1);
    CHECK(bench.watch("preset/", first).value().events.empty());

    std::optional<PlatformResult<WatchBatch>> waiting;
    bench.client->watch("preset/", first, 10s, Bench::into(waiting));
    REQUIRE(bench.put("other/a", "1", WriteCondition::absent()).has_value());
    const ObjectVersion third = bench.put("preset/b", "1", WriteCondition::absent()).value();
    const WatchBatch batch = bench.await(waiting).value();
    REQUIRE(batch.events.size() == 1);
    CHECK(batch.events[0].key == "preset/b");
    CHECK(batch.next == third);
}

TEST_CASE("a watch from before the platform's log gets a listing", "[contract]")
{
    Bench bench;
    bench.server->store() = PlatformStore(2);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(bench.put("preset/" + std::to_string(i), "v", WriteCondition::absent()).has_value());
    }
    const WatchBatch batch = bench.watch("preset/", 1).value();
    CHECK(batch.events.size() == 4);
    CHECK(batch.next == 5);
}

TEST_CASE("each fault of the platform ends a read and a write with its error kind", "[contract]")
{
    struct Row
    {
        const char *name;
        void (*set)(PlatformFaults &);
        PlatformErrorKind read;
        PlatformErrorKind write;
        bool written;
        Duration passes; ///< on the client's clock before the answer counts as lost
    };
    const Row row = GENERATE(values<Row>({
        {"outage", [](PlatformFaults &faults) { faults.outage = true; }, PlatformErrorKind::Unknown, PlatformErrorKind::Unknown, false, {}},
        {"unavailable", [](PlatformFaults &faults) { faults.unavailable = true; }, PlatformErrorKind::Unknown, PlatformErrorKind::Unknown, false, {}},
        {"slow", [](PlatformFaults &faults) { faults.latency = 30s; }, PlatformErrorKind::Unknown, PlatformErrorKind::Unknown, true, 2s},
        {"silent", [](PlatformFaults &faults) { faults.silentCalls = true; }, PlatformErrorKind::Unknown, PlatformErrorKind::Unknown, true, 2s},
        {"answer lost", [](PlatformFaults &faults) { faults.loseAnswers = 1; }, PlatformErrorKind::Unknown, PlatformErrorKind::Unknown, true, {}},
        {"malformed", [](PlatformFaults &faults) { faults.malformed = true; }, PlatformErrorKind::Unknown, PlatformErrorKind::Unknown, true, {}},
        {"over rate", [](PlatformFaults &faults) { faults.callsPerSecond = 1e-9; }, PlatformErrorKind::Refused, PlatformErrorKind::Refused, false, {}},
    }));
    CAPTURE(row.name);
    Bench bench;
    REQUIRE(bench.put("a", "1", WriteCondition::absent()).has_value());
    bench.server->setFaults(faultsWith(row.set));
    if (bench.server->faults().callsPerSecond > 0) {
        REQUIRE(bench.get("a").has_value()); // uses up the burst of one
    }
    std::optional<PlatformResult<StoredObject>> read;
    std::optional<PlatformResult<ObjectVersion>> write;
    bench.client->get("a", Bench::into(read));
    bench.client->put("b", "1", WriteCondition::absent(), Bench::into(write));
    if (row.passes > Duration::zero()) {
        bench.runUntil([&] { return bench.server->counters().reads == 1 && bench.server->counters().writes == 2; });
        ManualClock::advance(row.passes);
    }
    CHECK(bench.await(read).error().kind == row.read);
    CHECK(bench.await(write).error().kind == row.write);
    CHECK((bench.server->store().find("b") != nullptr) == row.written);

    bench.server->setFaults({});
    CHECK(bench.get("a").value().value == "1"); // the pool recovers
}

TEST_CASE("a refused connection is Unreachable, since nothing was sent", "[contract]")
{
    Bench bench;
    bench.server->stop();
    CHECK(bench.put("a", "1", WriteCondition::absent()).error().kind == PlatformErrorKind::Unreachable);
    CHECK(bench.watch("a", 0, 1s).error().kind == PlatformErrorKind::Unreachable);
}

// A host's watch receives nothing although the platform works: the connection becomes silent, then the watch's wait time passes. Failure: without its own
// limit the client waits forever, because TCP reports no fault.
TEST_CASE("a silent watch ends after its wait and grace, and delays no other call", "[contract]")
{
    Bench bench;
    bench.server->setFaults(faultsWith([](PlatformFaults &faults) { faults.silentWatches = true; }));
    std::optional<PlatformResult<WatchBatch>> watched;
    bench.client->watch("preset/", 0, 2s, Bench::into(watched));
    CHECK(bench.put("a", "1", WriteCondition::absent()).has_value());
    bench.runUntil([&] { return bench.server->counters().watches == 1; });
    ManualClock::advance(2s);
    bench.context.poll();
    CHECK_FALSE(watched);
    ManualClock::advance(bench.options.watchGrace);
    CHECK(bench.await(watched).error().kind == PlatformErrorKind::Unknown);
}

// A host's watch is waiting when another host puts a preset in force, and the write must wake it. Failure: a watch that is answered only at the end of its
// wait, here longer than hangLimit, reports the change late.
TEST_CASE("a write answers a watch that waits for it, and no watch of another prefix", "[contract]")
{
    Bench bench;
    std::optional<PlatformResult<WatchBatch>> watched;
    std::optional<PlatformResult<WatchBatch>> other;
    bench.client->watch("preset/", 0, 60s, Bench::into(watched));
    bench.client->watch("lease/", 0, 60s, Bench::into(other));
    bench.runUntil([&] { return bench.server->counters().watches == 2; });
    CHECK_FALSE(watched);
    const ObjectVersion version = bench.put("preset/a", "1", WriteCondition::absent()).value();
    const WatchBatch updates = bench.await(watched).value();
    REQUIRE(updates.events.size() == 1);
    CHECK(updates.events[0].key == "preset/a");
    CHECK(updates.next == version);
    CHECK_FALSE(other);
}

TEST_CASE("repeated and skipped watch events still leave a revision to continue from", "[contract]")
{
    Bench bench;
    const ObjectVersion first = bench.put("preset/a", "1", WriteCondition::absent()).value();
    const ObjectVersion second = bench.put("preset/a", "2", WriteCondition::atVersion(first)).value();
    bench.server->setFaults(faultsWith([](PlatformFaults &faults) { faults.repeatEvents = true; }));
    const WatchBatch repeated = bench.watch("preset/", first).value();
    CHECK(repeated.events.size() == 2);
    CHECK(repeated.next == second);
    bench.server->setFaults(faultsWith([](PlatformFaults &faults) { faults.skipEvents = true; }));
    const WatchBatch skipped = bench.watch("preset/", first).value();
    CHECK(skipped.events.empty());
    CHECK(skipped.next == second);
}

TEST_CASE("a version that went back is returned unchanged", "[contract]")
{
    Bench bench;
    const ObjectVersion first = bench.put("preset/a", "1", WriteCondition::absent()).value();
    REQUIRE(bench.put("preset/a", "2", WriteCondition::atVersion(first)).has_value());
    bench.server->store().rollBack("preset/a", "1", first);
    CHECK(bench.get("preset/a").value().version == first);
}

TEST_CASE("calls over this host's share of the rates are not sent", "[contract]")
{
    Bench bench;
    bench.options.rates = {2, 2, 1, 1};
    bench.connect();
    CHECK(bench.put("a", "1", WriteCondition::absent()).has_value());
    CHECK(bench.put("b", "1", WriteCondition::absent()).error().kind == PlatformErrorKind::OverBudget);
    CHECK(bench.watch("a", 0, 2s).has_value());
    CHECK(bench.get("a").error().kind == PlatformErrorKind::OverBudget);
    CHECK(bench.server->counters().writes == 1);
    ManualClock::advance(1s);
    CHECK(bench.get("a").has_value());
}

TEST_CASE("calls that get no connection in time end Unreachable, and the queue is bounded", "[contract]")
{
    Bench bench;
    bench.options.maxConnections = 1;
    bench.options.maxQueued = 1;
    bench.connect();
    bench.server->setFaults(faultsWith([](PlatformFaults &faults) { faults.silentCalls = true; }));
    std::optional<PlatformResult<StoredObject>> running;
    std::optional<PlatformResult<ObjectVersion>> queued;
    std::optional<PlatformResult<StoredObject>> refused;
    bench.client->get("a", Bench::into(running));
    bench.client->put("b", "1", WriteCondition::absent(), Bench::into(queued));
    bench.client->get("c", Bench::into(refused));
    CHECK(bench.await(refused).error().kind == PlatformErrorKind::OverBudget);
    bench.runUntil([&] { return bench.server->counters().reads == 1; });
    ManualClock::advance(bench.options.callTimeout);
    CHECK(bench.await(running).error().kind == PlatformErrorKind::Unknown);
    CHECK(bench.await(queued).error().kind == PlatformErrorKind::Unreachable);
    CHECK(bench.server->store().find("b") == nullptr);
}

// The platform restarts and thereby closes idle connections, then the client calls again. Failure: if the client does not check a connection before using
// it, the write is lost and ends Unknown, although the platform works at that time.
TEST_CASE("calls survive the loss of idle connections", "[contract]")
{
    const bool writeFirst = GENERATE(true, false);
    CAPTURE(writeFirst);
    Bench bench;
    REQUIRE(bench.put("a", "1", WriteCondition::absent()).has_value());
    PlatformServerOptions same;
    same.port = bench.server->port();
    const PlatformStore stored = bench.server->store();
    bench.server.reset();
    bench.context.poll();
    bench.server.emplace(bench.context, same);
    bench.server->store() = stored;
    if (writeFirst) {
        CHECK(bench.put("b", "1", WriteCondition::absent()).has_value());
    }
    CHECK(bench.get("a").value().value == "1");
}

// The platform closes a connection just as it is reused. A read is retried once on a new connection, since reading twice has no effect. A write is not: it
// may have taken effect, and only its caller can find out.
TEST_CASE("a read that breaks on a reused connection is retried once, a write never", "[contract]")
{
    Bench bench;
    REQUIRE(bench.put("a", "1", WriteCondition::absent()).has_value());
    bench.server->setFaults(faultsWith([](PlatformFaults &faults) { faults.loseNext = 1; }));
    CHECK(bench.get("a").value().value == "1");
    CHECK(bench.server->counters().reads == 2);
    bench.server->setFaults(faultsWith([](PlatformFaults &faults) { faults.loseNext = 1; }));
    CHECK(bench.put("b", "1", WriteCondition::absent()).error().kind == PlatformErrorKind::Unknown);
    CHECK(bench.server->counters().writes == 2);
}

TEST_CASE("the host list is read, and shows a change after its lag", "[contract]")
{
    Bench bench;
    HostListClient<ManualClock> hosts(bench.connections);
    const char *line = R"([{"name":"r1","role":"router","state":"leaving","ip":"127.0.0.2","port":7000,"domain":"muc-nord"}])";
    bench.server->setHosts(boost::json::parse(line));
    std::optional<PlatformResult<std::vector<ListedHost>>> listed;
    hosts.hosts(Bench::into(listed));
    const std::vector<ListedHost> found = bench.await(listed).value();
    REQUIRE(found.size() == 1);
    CHECK(found[0].state == "leaving");
    CHECK(found[0].port == 7000);
}

// The caller of a conditional write gets a definite result although the platform loses answers. Each put may take effect and lose its answer; the session
// reads the object back until the result is known.
TEST_CASE("a resolved write ends applied over lost answers", "[contract]")
{
    Bench bench;
    bench.server->setFaults(faultsWith([](PlatformFaults &faults) { faults.loseAnswers = 0.6; }));
    const FindOperation whole = [](std::string_view value) { return OperationId(std::string(value)); };
    using Session = PlatformSequence<ManualClock, ObjectClient<ManualClock>, ResolvedWrite>;
    for (int i = 0; i < 10; ++i) {
        const std::string key = "k" + std::to_string(i);
        std::optional<WriteResult> result;
        ResolvedWrite write({key, "mine", WriteCondition::absent(), OperationId("mine")}, whole, {1h, 1ms, 1ms}, 3);
        std::make_shared<Session>(bench.context.get_executor(), *bench.client, std::move(write))->run([&](const WriteResult &found) { result = found; });
        while (!result) {
            bench.context.run_one_for(std::chrono::milliseconds(20));
            ManualClock::advance(1ms);
        }
        CHECK(result->outcome == WriteOutcome::Applied);
        CHECK(bench.server->store().find(key)->version == result->version);
    }
    CHECK(bench.server->counters().lostAnswers > 0);
}
