#include "base/rendezvous.h"
#include "ledger/ledgerhost.h"
#include "platform/objectclient.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

// The instantiation that the daemon uses.
template class Rhubarbwind::LedgerHost<SteadyClock, ObjectClient<SteadyClock>, PeerNetwork<SteadyClock>>;

namespace
{

/** The fault injected into one write to the platform. */
enum class Fault : std::uint8_t {
    None,
    LostAfterEffect,
    LostThenDown, ///< as LostAfterEffect; the platform is down from then on
    LostBeforeEffect,
    Unreachable,
    Refused,
    OverBudget,
    SomebodyElse, ///< another writer takes the number just before this write
    Frozen, ///< the write is held until deliverFrozen()
};

/** An in-memory object API that injects a fault into each of the next writes. */
class FakeObjects
{
public:
    explicit FakeObjects(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void get(const std::string &key, const PlatformHandler<StoredObject> &handler)
    {
        if (down) {
            answer<StoredObject>(handler, PlatformError{PlatformErrorKind::Unreachable, 0});
        } else if (const auto found = objects.find(key); found != objects.end()) {
            answer<StoredObject>(handler, found->second);
        } else {
            answer<StoredObject>(handler, PlatformError{PlatformErrorKind::NotFound, 0});
        }
    }

    void put(const std::string &key, const std::string &value, WriteCondition condition, const PlatformHandler<ObjectVersion> &handler)
    {
        const Fault fault = faults.empty() ? Fault::None : faults.front();
        if (!faults.empty()) {
            faults.pop_front();
        }
        if (down || fault == Fault::Unreachable) {
            answer<ObjectVersion>(handler, PlatformError{PlatformErrorKind::Unreachable, 0});
        } else if (fault == Fault::Refused || fault == Fault::OverBudget) {
            answer<ObjectVersion>(handler, PlatformError{fault == Fault::Refused ? PlatformErrorKind::Refused : PlatformErrorKind::OverBudget, 0});
        } else if (fault == Fault::LostBeforeEffect) {
            answer<ObjectVersion>(handler, PlatformError{PlatformErrorKind::Unknown, 0});
        } else if (fault == Fault::Frozen) {
            m_frozenWrite = [this, key, value, condition, handler] { write(key, value, condition, handler); };
        } else {
            if (fault == Fault::SomebodyElse) {
                write(key, R"({"writer":"other","base":1,"clock_ms":0,"records":[]})", condition, [](const PlatformResult<ObjectVersion> &) {});
            }
            const bool lost = fault == Fault::LostAfterEffect || fault == Fault::LostThenDown;
            down = fault == Fault::LostThenDown;
            write(key,
                  value,
                  condition,
                  lost ? [handler](const PlatformResult<ObjectVersion> &) { handler(PlatformError{PlatformErrorKind::Unknown, 0}); } : handler);
        }
    }

    void remove(const std::string &key, WriteCondition condition, const PlatformHandler<ObjectVersion> &handler)
    {
        const auto found = objects.find(key);
        if (found == objects.end() || found->second.version != condition.version) {
            answer<ObjectVersion>(handler, PlatformError{PlatformErrorKind::NotFound, 0});
            return;
        }
        objects.erase(found);
        answer<ObjectVersion>(handler, ++m_revision);
    }

    void list(const std::string &prefix, const PlatformHandler<std::vector<StoredObject>> &handler)
    {
        if (down) {
            answer<std::vector<StoredObject>>(handler, PlatformError{PlatformErrorKind::Unreachable, 0});
            return;
        }
        std::vector<StoredObject> found;
        for (const auto &[key, object] : objects) {
            if (key.starts_with(prefix)) {
                found.push_back(object);
            }
        }
        answer<std::vector<StoredObject>>(handler, found);
    }

    void watch(const std::string &, std::uint64_t, Duration, const PlatformHandler<WatchBatch> &)
    {
    }

    void deliverFrozen()
    {
        std::exchange(m_frozenWrite, nullptr)();
    }

    std::map<std::string, StoredObject> objects;
    std::deque<Fault> faults;
    bool down = false;

private:
    template <class T>
    void answer(const PlatformHandler<T> &handler, PlatformResult<T> result)
    {
        boost::asio::post(m_context, [handler, result = std::move(result)] { handler(result); });
    }

    void write(const std::string &key, const std::string &value, WriteCondition condition, const PlatformHandler<ObjectVersion> &handler)
    {
        REQUIRE(condition.kind == WriteCondition::Kind::Absent);
        if (objects.contains(key)) {
            answer<ObjectVersion>(handler, PlatformError{PlatformErrorKind::Conflict, objects.at(key).version});
            return;
        }
        objects[key] = {key, ++m_revision, value};
        answer<ObjectVersion>(handler, m_revision);
    }

    boost::asio::io_context &m_context;
    ObjectVersion m_revision = 0;
    std::function<void()> m_frozenWrite;
};

/** Delivers frames between hosts in one process. */
struct Network
{
    boost::asio::io_context &context;
    std::map<HostId, std::map<MessageKind, FrameHandler>> handlers;
    std::set<HostId> cut;
};

struct FakeTransport
{
    Network &network;
    HostId self;

    Result<void, SendError> send(const HostId &to, MessageKind kind, std::vector<std::byte> payload)
    {
        boost::asio::post(network.context, [this, to, kind, payload = std::move(payload)] {
            if (!network.cut.contains(to) && !network.cut.contains(self) && network.handlers[to].contains(kind)) {
                network.handlers[to][kind](self, payload);
            }
        });
        return success();
    }
    void onFrame(MessageKind kind, FrameHandler handler)
    {
        network.handlers[self][kind] = std::move(handler);
    }
};

using TestHost = LedgerHost<ManualClock, FakeObjects, FakeTransport>;
static_assert(ClaimPort<TestHost>);

/** Hosts that share a platform and one shard, which rendezvous hashing assigns to one of them. */
struct Fleet
{
    explicit Fleet(std::size_t count)
    {
        ManualClock::reset();
        for (std::size_t i = 0; i < count; ++i) {
            addHost(HostId("host-" + std::to_string(i)));
        }
        setAllHosts();
    }

    void addHost(const HostId &name)
    {
        names.push_back(name);
        transports.push_back(std::make_unique<FakeTransport>(FakeTransport{network, name}));
        LedgerHostOptions options;
        options.self = name;
        options.shards = 1;
        options.seed = names.size();
        hosts.push_back(std::make_shared<TestHost>(context, objects, *transports.back(), options));
        hosts.back()->start();
    }

    void setAllHosts()
    {
        for (const std::shared_ptr<TestHost> &host : hosts) {
            host->setHosts(names);
        }
    }

    std::size_t owner() const
    {
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), rendezvousOwner(names, ledgerDuty(0))) - names.begin());
    }

    /** Advances virtual time in steps that are small compared to every interval of the ledger. */
    void run(Duration span)
    {
        for (Duration passed{}; passed < span; passed += 10ms) {
            context.restart();
            context.poll();
            ManualClock::advance(10ms);
        }
        context.restart();
        context.poll();
    }

    std::shared_ptr<std::vector<ClaimAnswer>> claim(std::size_t host, const std::string &request, Duration deadlineIn = 20s)
    {
        std::shared_ptr<std::vector<ClaimAnswer>> answers = std::make_shared<std::vector<ClaimAnswer>>();
        hosts[host]->claim(ClaimKey("key"), RequestId(request), deadlineIn, [answers](const ClaimAnswer &answer) { answers->push_back(answer); });
        return answers;
    }

    boost::asio::io_context context;
    FakeObjects objects{context};
    Network network{context, {}, {}};
    std::vector<HostId> names;
    std::vector<std::unique_ptr<FakeTransport>> transports;
    std::vector<std::shared_ptr<TestHost>> hosts;
};

ClaimResult resultOf(const std::shared_ptr<std::vector<ClaimAnswer>> &answers)
{
    REQUIRE(answers->size() == 1);
    return answers->front().result;
}

} // namespace

TEST_CASE("a segment reads back as it was written and anything else is refused")
{
    const LedgerSegment segment{"w",
                                3,
                                1500ms,
                                {{RecordKind::Claim, ClaimKey("k"), ClaimToken("t"), RequestId("r"), HostId("h"), ClaimState::InProgress},
                                 {RecordKind::Finish, ClaimKey("k"), ClaimToken("t"), {}, {}, ClaimState::FailedAfterStart},
                                 {RecordKind::Withdraw, ClaimKey("k"), ClaimToken("t"), {}, {}, ClaimState::InProgress}}};
    CHECK(parseSegment(formatSegment(segment)).value() == segment);
    CHECK(segmentNumber(2, segmentKey(2, 17)) == 17U);
    CHECK_FALSE(segmentNumber(2, "ledger/2/stray").has_value());
    CHECK(parseSegment("{").error() == SegmentError::NotJson);
    for (const char *text : {"[]",
                             R"({"writer":"w","base":1,"clock_ms":0})",
                             R"({"writer":"w","base":-1,"clock_ms":0,"records":[]})",
                             R"({"writer":"w","base":1,"clock_ms":0,"records":[{"kind":"grant","key":"k","token":"t"}]})",
                             R"({"writer":"w","base":1,"clock_ms":0,"records":[{"kind":"claim","key":"k","token":"t"}]})"}) {
        CHECK(parseSegment(text).error() == SegmentError::WrongShape);
    }
}

TEST_CASE("frames read back as they were sent and noise is refused")
{
    LedgerRequests requests{
        3, {{ClaimKey("k"), ClaimToken("t"), RequestId("r"), HostId("h"), 5s}}, {{ClaimKey("k"), ClaimToken("u"), RecordKind::Withdraw, ClaimState::Unknown}}};
    std::vector<std::byte> frame = encodeRequests(requests);
    const LedgerRequests read = decodeRequests(HostId("h"), frame).value();
    CHECK(read.shard == 3);
    CHECK(read.claims.at(0).host == HostId("h"));
    CHECK(read.claims.at(0).deadlineIn == 5s);
    CHECK(read.ends == requests.ends);
    const std::vector<LedgerAnswer> answers{{LedgerAnswerKind::Repeated, ClaimKey("k"), ClaimToken("t"), RequestId("r"), HostId("h"), ClaimState::Unknown}};
    CHECK(decodeAnswers(encodeAnswers(answers)).value().at(0).state == ClaimState::Unknown);
    rc::prop("a cut or altered frame never reads beyond its end", [&frame] {
        std::vector<std::byte> noise = frame;
        noise.resize(*rc::gen::inRange<std::size_t>(0, frame.size()));
        for (std::byte &byte : noise) {
            byte = *rc::gen::inRange(0, 8) == 0 ? std::byte(*rc::gen::arbitrary<std::uint8_t>()) : byte;
        }
        (void)decodeRequests(HostId("h"), noise);
        (void)decodeAnswers(noise);
    });
}

TEST_CASE("a key is granted once whichever fault occurs during the write", "[at-most-once]")
{
    // The caller repeats a request through another host after a slow answer, while the segment's write is lost, refused or overtaken. A
    // writer that took a lost answer for a failure would claim again under another number, or refuse its own claim.
    struct Row
    {
        const char *name;
        std::deque<Fault> faults;
    };
    const std::vector<Row> rows{{"no fault", {}},
                                {"answer lost after the effect", {Fault::LostAfterEffect}},
                                {"answer lost before the effect", {Fault::LostBeforeEffect}},
                                {"answers lost twice", {Fault::LostBeforeEffect, Fault::LostAfterEffect}},
                                {"unreachable three times", {Fault::Unreachable, Fault::Unreachable, Fault::Unreachable}},
                                {"above the platform's rate limit", {Fault::Refused}},
                                {"above this host's share of the rate", {Fault::OverBudget}},
                                {"another writer took the number", {Fault::SomebodyElse}},
                                {"two other segments, then a lost answer", {Fault::SomebodyElse, Fault::SomebodyElse, Fault::LostAfterEffect}}};
    for (const Row &row : rows) {
        INFO(row.name);
        Fleet fleet(3);
        fleet.objects.faults = row.faults;
        const std::shared_ptr<std::vector<ClaimAnswer>> first = fleet.claim(0, "first");
        fleet.run(10ms);
        const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(1, "second");
        fleet.run(5s);
        CHECK(resultOf(first) == ClaimResult::Granted);
        CHECK(resultOf(second) == ClaimResult::Repeated);
        CHECK(second->front().holder == RequestId("first"));
        CHECK(second->front().holderHost == HostId("host-0"));
        CHECK(second->front().state == ClaimState::InProgress);
    }
}

TEST_CASE("a repeat receives the final state of the first request")
{
    struct Row
    {
        ClaimState reported;
        ClaimState expected;
    };
    const std::vector<Row> rows{{ClaimState::Completed, ClaimState::Completed},
                                {ClaimState::FailedAfterStart, ClaimState::FailedAfterStart},
                                {ClaimState::Unknown, ClaimState::Unknown},
                                {ClaimState::InProgress, ClaimState::Unknown}};
    for (const Row &row : rows) {
        Fleet fleet(3);
        const std::shared_ptr<std::vector<ClaimAnswer>> first = fleet.claim(0, "first");
        fleet.run(100ms);
        REQUIRE(resultOf(first) == ClaimResult::Granted);
        fleet.hosts[0]->finish(ClaimKey("key"), RequestId("first"), row.reported);
        fleet.run(1s);
        CHECK(fleet.hosts[0]->isQuiet());
        const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(2, "second");
        fleet.run(1s);
        CHECK(resultOf(second) == ClaimResult::Repeated);
        CHECK(second->front().state == row.expected);
    }
}

TEST_CASE("an outage ends claims at their deadline and a late grant runs nothing", "[truthful-not-run]")
{
    // The caller receives "not run" at its deadline. The write took effect, its answer was lost and the platform then went down, so the claim is
    // found durable after the outage. The late grant must run nothing, and its withdrawal must free the key: otherwise every repeat
    // would receive "in progress" for a request that never ran.
    Fleet fleet(3);
    fleet.run(100ms);
    fleet.objects.faults = {Fault::LostThenDown};
    const std::shared_ptr<std::vector<ClaimAnswer>> first = fleet.claim(0, "first", 2s);
    fleet.run(1990ms);
    CHECK(first->empty());
    fleet.run(20ms);
    CHECK(resultOf(first) == ClaimResult::Unavailable);
    fleet.run(5s);
    fleet.objects.down = false;
    fleet.run(10s);
    CHECK(resultOf(first) == ClaimResult::Unavailable);
    const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(1, "second", 5s);
    fleet.run(1s);
    CHECK(resultOf(second) == ClaimResult::Granted);
    CHECK(fleet.hosts[0]->isQuiet());
}

TEST_CASE("a grant that is processed after its deadline is late", "[truthful-not-run]")
{
    // The caller's host is paused past the deadline with the grant already in its socket. If the grant were processed before the deadline, the
    // request would be dispatched after its deadline.
    LedgerClient client({HostId("h"), "p", 1, 300ms, 10});
    client.setHosts(std::array{HostId("h")});
    const TimePoint start(1h);
    const ClaimToken token = client.claim(ClaimKey("key"), RequestId("r"), 2s, start);
    client.receive({LedgerAnswerKind::Granted, ClaimKey("key"), token, {}, {}, {}}, start + 2s);
    const std::vector<TokenAnswer> answers = client.takeAnswers(start + 2s);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().answer.result == ClaimResult::Unavailable);
    CHECK(client.takeMessages(start + 2s).at(0).requests.ends.at(0).kind == RecordKind::Withdraw);
}

TEST_CASE("a paused writer that resumes grants nothing that its successor granted", "[at-most-once]")
{
    // Guards against a repeat that runs although the first request ran. The shard's writer is paused with an append in flight, the other hosts
    // consider it failed and its successor grants the key. The former writer's append then arrives: its number is taken, so it is refused.
    Fleet fleet(3);
    fleet.run(100ms);
    const std::size_t former = fleet.owner();
    fleet.objects.faults = {Fault::Frozen};
    const std::shared_ptr<std::vector<ClaimAnswer>> first = fleet.claim(former, "first");
    fleet.run(50ms);
    std::vector<HostId> rest = fleet.names;
    std::erase(rest, fleet.names[former]);
    const std::size_t other = (former + 1) % fleet.hosts.size();
    for (std::size_t host = 0; host < fleet.hosts.size(); ++host) {
        if (host != former) {
            fleet.hosts[host]->setHosts(rest);
        }
    }
    const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(other, "second");
    fleet.run(1s);
    CHECK(resultOf(second) == ClaimResult::Granted);
    fleet.objects.deliverFrozen();
    fleet.run(1s);
    CHECK(resultOf(first) == ClaimResult::Repeated);
    CHECK(first->front().holder == RequestId("second"));
}

TEST_CASE("claims of a host that was removed or replaced are unknown", "[at-most-once]")
{
    // The caller's host fails after dispatch and the caller repeats through another host. Whether the first request ran is unknown, so the repeat
    // must not run. A new process under the same name must not withdraw a claim that it never held.
    Fleet fleet(3);
    const std::shared_ptr<std::vector<ClaimAnswer>> first = fleet.claim(0, "first");
    fleet.run(100ms);
    REQUIRE(resultOf(first) == ClaimResult::Granted);
    fleet.network.cut.insert(fleet.names[0]);
    SECTION("gone")
    {
        const std::vector<HostId> rest(fleet.names.begin() + 1, fleet.names.end());
        fleet.hosts[1]->setHosts(rest);
        fleet.hosts[2]->setHosts(rest);
    }
    SECTION("replaced under the same name")
    {
        fleet.hosts[0]->stop();
        fleet.network.cut.clear();
        fleet.names.pop_back();
        fleet.addHost(HostId("host-0"));
        fleet.names = {HostId("host-0"), HostId("host-1"), HostId("host-2")};
        fleet.setAllHosts();
        (void)fleet.claim(1, "makes the writer send the grant to the holder's host again");
        fleet.run(2s);
    }
    const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(1, "second");
    fleet.run(2s);
    CHECK(resultOf(second) == ClaimResult::Repeated);
    CHECK(second->front().state == ClaimState::Unknown);
}

TEST_CASE("cleanup removes old segments without letting a paused writer grant a key again", "[at-most-once]")
{
    // Guards against granting a key to a second request while another holds it. A writer paused for longer than the retention finds its next
    // number absent, since the segment was removed, and its append succeeds. It must not rely on that success.
    LedgerWriterOptions options;
    options.retention = 1h;
    Random random(1);
    TimePoint now(10h);
    LedgerWriter pausedWriter("frozen", options);
    (void)pausedWriter.nextCall(now);
    pausedWriter.listDone({}, now, random);
    pausedWriter.claim({ClaimKey("key"), ClaimToken("old"), RequestId("old"), HostId("a"), 100h}, now);
    REQUIRE(pausedWriter.nextCall(now)->number == 1);

    LedgerWriter current("current", options);
    (void)current.nextCall(now);
    current.listDone({}, now, random);
    std::vector<StoredSegment> stored;
    for (int minute = 0; minute < 150; minute += 10) {
        current.claim({ClaimKey(minute == 140 ? "key" : "k" + std::to_string(minute)), ClaimToken("t" + std::to_string(minute)), {}, HostId("b"), 1h}, now);
        const std::optional<LedgerCall> call = current.nextCall(now);
        REQUIRE(call.has_value());
        REQUIRE(call->kind == LedgerCallKind::Append);
        stored.push_back({call->number, call->number, call->segment});
        current.appendDone(call->number, now);
        while (const std::optional<SegmentRemoval> removal = current.nextRemoval(now)) {
            CHECK(removal->number == stored.front().number);
            stored.erase(stored.begin());
            current.removalDone(true, now, random);
        }
        now += 10min;
    }
    CHECK(stored.front().number == 9);
    CHECK(current.status().keys == 7);

    pausedWriter.appendDone(99, now);
    CHECK(pausedWriter.takeAnswers().empty());
    REQUIRE(pausedWriter.nextCall(now)->kind == LedgerCallKind::List);
    stored.insert(stored.begin(), {1, 99, {"frozen", 1, {}, {}}});
    pausedWriter.listDone(stored, now, random);
    const std::vector<AddressedAnswer> answers = pausedWriter.takeAnswers();
    REQUIRE(!answers.empty());
    CHECK(answers.back().answer.kind == LedgerAnswerKind::Repeated);
    CHECK(pausedWriter.nextRemoval(now)->number == 1);
}

TEST_CASE("a writer rejects claims above its limits and a log with a gap")
{
    LedgerWriterOptions options;
    options.queueLimit = 2;
    Random random(1);
    const TimePoint now(1h);
    LedgerWriter writer("w", options);
    REQUIRE(writer.nextCall(now)->kind == LedgerCallKind::List);
    writer.listDone({{1, 1, {"x", 1, {}, {}}}, {3, 2, {"x", 1, {}, {}}}}, now, random);
    CHECK(writer.status().brokenLists == 1);
    CHECK(writer.status().reading);
    for (int i = 0; i < 3; ++i) {
        writer.claim({ClaimKey("k" + std::to_string(i)), ClaimToken("t" + std::to_string(i)), {}, HostId("h"), 1s}, now);
    }
    const std::vector<AddressedAnswer> answers = writer.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().answer.kind == LedgerAnswerKind::Unavailable);
}
