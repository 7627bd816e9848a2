#include "base/rendezvous.h"
#include "ledger/ledgerhost.h"
#include "platform/objectclient.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

// As the daemon uses it.
template class Rhubarbwind::LedgerHost<SteadyClock, ObjectClient<SteadyClock>, PeerNetwork<SteadyClock>>;

namespace
{

/** What befalls one write to the platform. */
enum class Fault : std::uint8_t {
    None,
    LostAfterEffect,
    LostThenDown, ///< as LostAfterEffect, and the platform is down from then on
    LostBeforeEffect,
    Unreachable,
    Refused,
    OverBudget,
    SomebodyElse, ///< another writer takes the number just before
    Frozen, ///< the answer is held until thaw()
};

/** The object API in memory, with a fault for each of the next writes. */
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
            m_frozen = [this, key, value, condition, handler] { write(key, value, condition, handler); };
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

    void thaw()
    {
        std::exchange(m_frozen, nullptr)();
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
    std::function<void()> m_frozen;
};

/** Frames between hosts in one process. */
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

/** Hosts that share a platform; the first alone writes until owners() says otherwise. */
struct Fleet
{
    explicit Fleet(std::size_t count)
    {
        ManualClock::reset();
        for (std::size_t i = 0; i < count; ++i) {
            addHost(HostId("host-" + std::to_string(i)));
        }
        everybody();
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

    void everybody()
    {
        for (const std::shared_ptr<TestHost> &host : hosts) {
            host->setHosts(names);
        }
    }

    std::size_t owner() const
    {
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), rendezvousOwner(names, ledgerDuty(0))) - names.begin());
    }

    /** Lets virtual time pass in steps small against every interval of the ledger. */
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

ClaimResult result(const std::shared_ptr<std::vector<ClaimAnswer>> &answers)
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

TEST_CASE("a key is granted once whatever befalls the write", "[at-most-once]")
{
    // The caller repeats a request through another host after the first answer was slow. The segment's write is lost, refused or
    // overtaken; a writer that took a lost answer for a failure would claim again under another number, or refuse its own claim.
    struct Row
    {
        const char *name;
        std::deque<Fault> faults;
    };
    const std::vector<Row> rows{{"no fault", {}},
                                {"answer lost after the effect", {Fault::LostAfterEffect}},
                                {"answer lost before the effect", {Fault::LostBeforeEffect}},
                                {"answers lost twice", {Fault::LostBeforeEffect, Fault::LostAfterEffect}},
                                {"out of reach three times", {Fault::Unreachable, Fault::Unreachable, Fault::Unreachable}},
                                {"over the platform's rate", {Fault::Refused}},
                                {"over this host's part", {Fault::OverBudget}},
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
        CHECK(result(first) == ClaimResult::Granted);
        CHECK(result(second) == ClaimResult::Repeated);
        CHECK(second->front().holder == RequestId("first"));
        CHECK(second->front().holderHost == HostId("host-0"));
        CHECK(second->front().state == ClaimState::InProgress);
    }
}

TEST_CASE("a repeat is told how the first request ended")
{
    struct Row
    {
        ClaimState told;
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
        REQUIRE(result(first) == ClaimResult::Granted);
        fleet.hosts[0]->finish(ClaimKey("key"), RequestId("first"), row.told);
        fleet.run(1s);
        CHECK(fleet.hosts[0]->isQuiet());
        const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(2, "second");
        fleet.run(1s);
        CHECK(result(second) == ClaimResult::Repeated);
        CHECK(second->front().state == row.expected);
    }
}

TEST_CASE("an outage ends claims at their deadline and a late grant runs nothing", "[truthful-not-run]")
{
    // The caller is told "not run" at its deadline. The write had taken effect, its answer was lost and the platform then went
    // down, so the claim is found durable after the outage. The late grant must run nothing, and its withdrawal must free the
    // key: without it every repeat would be told "in progress" of a request that never ran.
    Fleet fleet(3);
    fleet.run(100ms);
    fleet.objects.faults = {Fault::LostThenDown};
    const std::shared_ptr<std::vector<ClaimAnswer>> first = fleet.claim(0, "first", 2s);
    fleet.run(1990ms);
    CHECK(first->empty());
    fleet.run(20ms);
    CHECK(result(first) == ClaimResult::Unavailable);
    fleet.run(5s);
    fleet.objects.down = false;
    fleet.run(10s);
    CHECK(result(first) == ClaimResult::Unavailable);
    const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(1, "second", 5s);
    fleet.run(1s);
    CHECK(result(second) == ClaimResult::Granted);
    CHECK(fleet.hosts[0]->isQuiet());
}

TEST_CASE("a grant that is processed after its deadline is late", "[truthful-not-run]")
{
    // The caller's host is paused past the deadline with the grant already in its socket. If the grant were taken first, the
    // request would be dispatched after the caller had been given up on.
    LedgerClient desk({HostId("h"), "p", 1, 300ms, 10});
    desk.setHosts(std::array{HostId("h")});
    const TimePoint start(1h);
    const ClaimToken token = desk.claim(ClaimKey("key"), RequestId("r"), 2s, start);
    desk.receive({LedgerAnswerKind::Granted, ClaimKey("key"), token, {}, {}, {}}, start + 2s);
    const std::vector<TokenAnswer> answers = desk.takeAnswers(start + 2s);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().answer.result == ClaimResult::Unavailable);
    CHECK(desk.takeMessages(start + 2s).at(0).requests.ends.at(0).kind == RecordKind::Withdraw);
}

TEST_CASE("a frozen writer that wakes grants nothing that its successor granted", "[at-most-once]")
{
    // The caller's repeat runs though the first one ran. The shard's writer is frozen with an append on its way; the others give it
    // up and its successor grants the key. The former writer's append then arrives: its number is taken, so it is refused.
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
    CHECK(result(second) == ClaimResult::Granted);
    fleet.objects.thaw();
    fleet.run(1s);
    CHECK(result(first) == ClaimResult::Repeated);
    CHECK(first->front().holder == RequestId("second"));
}

TEST_CASE("claims of a host that is gone or was replaced are unknown", "[at-most-once]")
{
    // The caller's host dies after dispatch and the caller repeats elsewhere. Nobody knows whether the first one ran, so the repeat
    // must not run; a new process under the same name must not withdraw what it never held.
    Fleet fleet(3);
    const std::shared_ptr<std::vector<ClaimAnswer>> first = fleet.claim(0, "first");
    fleet.run(100ms);
    REQUIRE(result(first) == ClaimResult::Granted);
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
        fleet.everybody();
        (void)fleet.claim(1, "prompts the writer to ask the holder's host");
        fleet.run(2s);
    }
    const std::shared_ptr<std::vector<ClaimAnswer>> second = fleet.claim(1, "second");
    fleet.run(2s);
    CHECK(result(second) == ClaimResult::Repeated);
    CHECK(second->front().state == ClaimState::Unknown);
}

TEST_CASE("clean-up removes old segments and leaves no hole in the fence", "[at-most-once]")
{
    // The caller's key is granted to a second request though the first still holds it. A writer frozen for longer than the
    // retention finds its next number absent, since the segment was removed, and its append succeeds. It must not believe it.
    LedgerWriterOptions options;
    options.retention = 1h;
    Random random(1);
    TimePoint now(10h);
    LedgerWriter frozen("frozen", options);
    (void)frozen.nextCall(now);
    frozen.listDone({}, now, random);
    frozen.claim({ClaimKey("key"), ClaimToken("old"), RequestId("old"), HostId("a"), 100h}, now);
    REQUIRE(frozen.nextCall(now)->number == 1);

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

    frozen.appendDone(99, now);
    CHECK(frozen.takeAnswers().empty());
    REQUIRE(frozen.nextCall(now)->kind == LedgerCallKind::List);
    stored.insert(stored.begin(), {1, 99, {"frozen", 1, {}, {}}});
    frozen.listDone(stored, now, random);
    const std::vector<AddressedAnswer> answers = frozen.takeAnswers();
    REQUIRE(!answers.empty());
    CHECK(answers.back().answer.kind == LedgerAnswerKind::Repeated);
    CHECK(frozen.nextRemoval(now)->number == 1);
}

TEST_CASE("a writer refuses what it cannot hold and a broken log")
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
