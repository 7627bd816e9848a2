#include "preset/presetfakes_test.h"
#include "preset/presetservice.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::Testing;

namespace
{

/** The store as an ObjectApi. Answers are posted to the executor. */
class FakeApi
{
public:
    FakeApi(boost::asio::io_context &context, FakeStore store)
        : store(std::move(store))
        , m_context(context)
    {
    }

    void get(const std::string &key, PlatformHandler<StoredObject> handler)
    {
        answer(std::move(handler), down ? platformError<StoredObject>(PlatformErrorKind::Unknown) : store.get(key));
    }
    void put(const std::string &key, const std::string &value, WriteCondition condition, PlatformHandler<ObjectVersion> handler)
    {
        const PlatformResult<ObjectVersion> written = down ? platformError<ObjectVersion>(PlatformErrorKind::Unknown) : store.put(key, value, condition);
        const bool lost = loseAnswers > 0 && loseAnswers-- > 0;
        answer(std::move(handler), lost ? platformError<ObjectVersion>(PlatformErrorKind::Unknown) : written);
        wake();
    }
    void remove(const std::string &, WriteCondition, PlatformHandler<ObjectVersion> handler)
    {
        answer(std::move(handler), platformError<ObjectVersion>(PlatformErrorKind::Refused));
    }
    void list(const std::string &prefix, PlatformHandler<std::vector<StoredObject>> handler)
    {
        answer(std::move(handler), PlatformResult<std::vector<StoredObject>>(store.list(prefix)));
    }
    void watch(const std::string &, std::uint64_t after, Duration wait, PlatformHandler<WatchBatch> handler)
    {
        if (down) {
            answer(std::move(handler), platformError<WatchBatch>(PlatformErrorKind::Unknown));
            return;
        }
        const WatchBatch batch = changesAfter(after);
        if (!batch.events.empty() || wait == Duration::zero()) {
            answer(std::move(handler), PlatformResult<WatchBatch>(batch));
            return;
        }
        m_watches.emplace_back(after, std::move(handler));
    }

    FakeStore store;
    bool down = false;
    int loseAnswers = 0; ///< number of next writes whose answers are lost after their effect

private:
    template <class T>
    void answer(PlatformHandler<T> handler, PlatformResult<T> result)
    {
        boost::asio::post(m_context, [handler = std::move(handler), result = std::move(result)] { handler(result); });
    }

    WatchBatch changesAfter(std::uint64_t after) const
    {
        WatchBatch batch{{}, store.revision()};
        const PlatformResult<StoredObject> object = store.get(presetInForceKey);
        if (object.has_value() && object.value().version > after) {
            batch.events.push_back({presetInForceKey, object.value().version, false});
        }
        return batch;
    }

    void wake()
    {
        for (std::pair<std::uint64_t, PlatformHandler<WatchBatch>> &waiting : std::exchange(m_watches, {})) {
            const WatchBatch batch = changesAfter(waiting.first);
            if (batch.events.empty()) {
                m_watches.push_back(std::move(waiting));
            } else {
                answer(std::move(waiting.second), PlatformResult<WatchBatch>(batch));
            }
        }
    }

    boost::asio::io_context &m_context;
    std::vector<std::pair<std::uint64_t, PlatformHandler<WatchBatch>>> m_watches;
};

class FakeNetwork;

struct FakeTransport
{
    Result<void, SendError> send(const HostId &to, MessageKind kind, std::vector<std::byte> payload);
    void onFrame(MessageKind kind, FrameHandler handler)
    {
        handlers[kind] = std::move(handler);
    }

    FakeNetwork *network = nullptr;
    HostId self;
    std::map<MessageKind, FrameHandler> handlers;
};

class FakeNetwork
{
public:
    explicit FakeNetwork(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    FakeTransport &add(const HostId &host)
    {
        FakeTransport &transport = m_transports[host];
        transport.network = this;
        transport.self = host;
        return transport;
    }

    Result<void, SendError> deliver(const HostId &from, const HostId &to, MessageKind kind, std::vector<std::byte> payload)
    {
        if (!m_transports.contains(to)) {
            return failure(SendError::UnknownHost);
        }
        boost::asio::post(m_context, [this, from, to, kind, payload = std::move(payload)] { m_transports[to].handlers[kind](from, payload); });
        return success();
    }

private:
    boost::asio::io_context &m_context;
    std::map<HostId, FakeTransport> m_transports;
};

Result<void, SendError> FakeTransport::send(const HostId &to, MessageKind kind, std::vector<std::byte> payload)
{
    return network->deliver(self, to, kind, std::move(payload));
}

using Service = PresetService<ManualClock, FakeApi, FakeTransport>;

struct Bench
{
    Bench()
    {
        ManualClock::reset();
    }

    std::shared_ptr<Service> add(const std::string &name)
    {
        const HostId self(name);
        live.push_back({self, FailureDomain("domain")});
        PresetServiceOptions options;
        options.self = self;
        options.seed = live.size();
        services.push_back(std::make_shared<Service>(context.get_executor(), api, network.add(self), options));
        services.back()->start();
        for (std::size_t i = 0; i < services.size(); ++i) {
            services[i]->setHosts(live[i].host, live);
        }
        return services.back();
    }

    void pass(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += 10ms) {
            settle();
            ManualClock::advance(10ms);
        }
        settle();
    }

    ChangeResult switchAt(const std::shared_ptr<Service> &service, const std::string &preset, const std::string &by)
    {
        std::optional<ChangeResult> found;
        service->switchTo(PresetName(preset), OperatorName(by), [&](const ChangeResult &result) { found = result; });
        for (int i = 0; i < 3000 && !found; ++i) {
            pass(10ms);
        }
        REQUIRE(found);
        return *found;
    }

    /** Runs a fixed number of handlers, enough for all answers. Timers of a ManualClock are always ready, so poll() would never return. */
    void settle()
    {
        constexpr int turns = 50;
        for (int i = 0; i < turns; ++i) {
            context.restart();
            context.poll_one();
        }
    }

    boost::asio::io_context context{1};
    FakeApi api{context, storeWith({"ordinary", "peak"})};
    FakeNetwork network{context};
    std::vector<PresetPeer> live;
    std::vector<std::shared_ptr<Service>> services;
};

} // namespace

TEST_CASE("a switch at one host is in force at every host and calls their handlers", "[config-monotonic]")
{
    Bench bench;
    for (const char *name : {"a", "b", "c", "d"}) {
        bench.add(name);
    }
    std::vector<PresetVersion> seen;
    bench.services[3]->onChange([&](const PresetPointer &preset) { seen.push_back(preset->version); });
    bench.pass(100ms);
    CHECK_FALSE(bench.services[0]->ready());
    CHECK(bench.switchAt(bench.services[0], "ordinary", "ada").outcome == ChangeOutcome::Accepted);
    CHECK(bench.services[0]->current()->version == 1); // in force on this host before the operator receives the result
    CHECK(bench.switchAt(bench.services[1], "peak", "bo").accepted->version == 2);
    bench.pass(1s);
    for (const std::shared_ptr<Service> &service : bench.services) {
        CHECK(service->current()->preset.name == PresetName("peak"));
        CHECK(service->ready());
    }
    CHECK(std::ranges::is_sorted(seen));
    CHECK(seen.back() == 2);
}

// A host that starts during an outage of the platform must get the preset from a peer. Otherwise it would not be ready until the platform is
// available again.
TEST_CASE("a host started in an outage gets the preset from a peer")
{
    Bench bench;
    bench.add("a");
    bench.switchAt(bench.services[0], "ordinary", "ada");
    bench.api.down = true;
    const std::shared_ptr<Service> late = bench.add("b");
    bench.pass(1s);
    REQUIRE(late->current() != nullptr);
    CHECK(late->current()->version == 1);
    CHECK(late->ready());
}

TEST_CASE("a lost answer to a switch is resolved, and history and library show which operator made each change")
{
    Bench bench;
    const std::shared_ptr<Service> service = bench.add("a");
    bench.api.loseAnswers = 1;
    CHECK(bench.switchAt(service, "ordinary", "ada").outcome == ChangeOutcome::Accepted);
    CHECK(bench.switchAt(service, "peak", "bo").accepted->version == 2);
    std::vector<PresetHistoryEntry> lines;
    std::vector<LibraryPreset> library;
    std::optional<ChangeResult> applied;
    service->apply(namedPreset("maintenance"), OperatorName("cy"), [&](const ChangeResult &result) { applied = result; });
    bench.pass(100ms);
    service->history([&](const PlatformResult<std::vector<PresetHistoryEntry>> &result) { lines = result.value(); });
    service->list([&](const PlatformResult<std::vector<LibraryPreset>> &result) { library = result.value(); });
    bench.pass(100ms);
    CHECK(applied->outcome == ChangeOutcome::Accepted);
    REQUIRE(lines.size() == 2);
    CHECK(lines[1].by == OperatorName("bo"));
    CHECK(lines[1].name == PresetName("peak"));
    REQUIRE(library.size() == 3);
    CHECK(library[0].preset.name == PresetName("maintenance"));
}

// When the platform shows an older preset or an unreadable one, the host must raise an alarm and retain the preset in force. Otherwise a
// restored backup would undo an accepted change.
TEST_CASE("an older or unreadable preset on the platform raises an alarm and is not adopted", "[config-monotonic]")
{
    Bench bench;
    const std::shared_ptr<Service> service = bench.add("a");
    bench.switchAt(service, "ordinary", "ada");
    const std::string old = bench.api.store.get(presetInForceKey).value().value;
    bench.switchAt(service, "peak", "bo");
    bench.api.store.overwrite(presetInForceKey, old);
    bench.pass(16s); // at least one poll
    CHECK(service->alarms().regressed > 0);
    CHECK(service->current()->version == 2);
    bench.api.store.overwrite(presetInForceKey, "{");
    bench.pass(16s);
    CHECK(service->alarms().unreadable > 0);
    CHECK(service->current()->version == 2);
}
