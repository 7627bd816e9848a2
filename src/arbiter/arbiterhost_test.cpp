#include "arbiter/arbiterhost.h"

#include "arbiter/arbiterhostfakes.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::PermitFakes;

namespace
{

/** Links between the hosts of one test: deliver() delivers frames, but drops those of a cut host and holds those of a frozen one. */
class FakeNetwork
{
public:
    class Port
    {
    public:
        Port(FakeNetwork &network, HostId self)
            : m_network(network)
            , m_self(std::move(self))
        {
        }
        Result<void, SendError> send(const HostId &to, MessageKind kind, std::vector<std::byte> payload)
        {
            m_network.m_frames.push_back({m_self, to, kind, std::move(payload)});
            return success();
        }
        void onFrame(MessageKind kind, FrameHandler handler)
        {
            m_network.m_handlers[{m_self, kind}] = std::move(handler);
        }

    private:
        FakeNetwork &m_network;
        HostId m_self;
    };

    /** Delivers the frames of hosts that are neither cut nor frozen; true if there were any. */
    bool deliver()
    {
        std::vector<Frame> frames = std::exchange(m_frames, {});
        bool delivered = false;
        for (Frame &frame : frames) {
            if (m_cut.contains(frame.from) || m_cut.contains(frame.to)) {
                continue;
            }
            if (m_frozen.contains(frame.from) || m_frozen.contains(frame.to)) {
                m_frames.push_back(std::move(frame));
                continue;
            }
            const auto handler = m_handlers.find({frame.to, frame.kind});
            if (handler != m_handlers.end()) {
                handler->second(frame.from, frame.payload);
                delivered = true;
            }
        }
        return delivered;
    }

    void cut(const HostId &host)
    {
        m_cut.insert(host);
    }
    void restore(const HostId &host)
    {
        m_cut.erase(host);
    }
    void freeze(const HostId &host)
    {
        m_frozen.insert(host);
    }
    void wake(const HostId &host)
    {
        m_frozen.erase(host);
    }

private:
    struct Frame
    {
        HostId from;
        HostId to;
        MessageKind kind;
        std::vector<std::byte> payload;
    };
    std::vector<Frame> m_frames;
    std::map<std::pair<HostId, MessageKind>, FrameHandler> m_handlers;
    std::set<HostId> m_cut;
    std::set<HostId> m_frozen;
};

static_assert(PeerTransport<FakeNetwork::Port>);

using TestHost = ArbiterHost<ManualClock, FakeNetwork::Port, SlotPool>;
static_assert(PermitPort<TestHost>);

const ShardId shard("model");

/** Three hosts with two endpoints of four slots each. */
struct Cluster
{
    Cluster()
    {
        ManualClock::reset();
        for (const HostId &id : live) {
            ports.emplace(id, std::make_unique<FakeNetwork::Port>(network, id));
            ArbiterHostOptions options;
            options.self = id;
            hosts[id] = std::make_shared<TestHost>(context, *ports.at(id), options, [](const ShardId &) { return std::make_unique<SlotPool>(); });
            hosts[id]->start();
            hosts[id]->setPreset(presetOfTwoClasses());
            hosts[id]->setEndpoints(shard, {endpointNamed("e1", 4), endpointNamed("e2", 4)});
            hosts[id]->setHosts(live);
        }
        owner = rendezvousOwner(live, "arbiter/" + shard.text());
        entry = owner == live[0] ? live[1] : live[0];
    }

    void settle()
    {
        do {
            context.restart();
            context.poll();
        } while (network.deliver());
        context.restart();
        context.poll();
    }

    void run(Duration time, Duration step = 10ms)
    {
        settle();
        for (Duration passed{}; passed < time; passed += step) {
            ManualClock::advance(step);
            settle();
        }
    }

    void request(const HostId &host, const std::string &name, const std::string &classId = "query")
    {
        Ticket ticket;
        ticket.id = {RequestId(name), 0};
        ticket.classId = ClassId(classId);
        ticket.deadlineIn = 30s;
        hosts.at(host)->request(shard, ticket, [this, name](const PermitAnswer &answer) { answers[name].push_back(answer); });
    }

    /** `count` requests named by the prefix and their number. */
    void requests(const HostId &host, const std::string &prefix, int count, const std::string &classId = "query")
    {
        for (int i = 0; i < count; ++i) {
            request(host, prefix + std::to_string(i), classId);
        }
    }

    /** The names of the granted requests; fails when one was answered twice. */
    std::set<std::string> granted(const std::string &prefix) const
    {
        std::set<std::string> names;
        for (const auto &[name, given] : answers) {
            CHECK(given.size() == 1);
            if (name.starts_with(prefix) && std::holds_alternative<Grant>(given.front())) {
                names.insert(name);
            }
        }
        return names;
    }

    void release(const HostId &host, const std::string &name)
    {
        Release release;
        release.id = {RequestId(name), 0};
        release.endpoint = std::get<Grant>(answers.at(name).front()).endpoint;
        hosts.at(host)->release(shard, release);
    }

    void announce(const std::vector<HostId> &to, const std::vector<HostId> &hostsLive)
    {
        for (const HostId &host : to) {
            hosts.at(host)->setHosts(hostsLive);
        }
    }

    std::vector<HostId> withoutOwner() const
    {
        std::vector<HostId> others = live;
        std::erase(others, owner);
        return others;
    }

    PermitShardStatus statusOf(const HostId &host) const
    {
        return hosts.at(host)->status().shards.front();
    }

    boost::asio::io_context context;
    FakeNetwork network;
    std::vector<HostId> live{HostId("h1"), HostId("h2"), HostId("h3")};
    std::map<HostId, std::unique_ptr<FakeNetwork::Port>> ports;
    std::map<HostId, std::shared_ptr<TestHost>> hosts;
    std::map<std::string, std::vector<PermitAnswer>> answers;
    HostId owner;
    HostId entry;
};

} // namespace

TEST_CASE("a request is granted by this host's or by a remote arbiter")
{
    Cluster cluster;
    cluster.request(cluster.owner, "local");
    cluster.request(cluster.entry, "remote");
    REQUIRE(cluster.answers.empty()); // never from inside request()
    cluster.run(500ms);
    REQUIRE(cluster.granted("").size() == 2);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == 2);

    cluster.release(cluster.owner, "local");
    cluster.release(cluster.entry, "remote");
    cluster.run(500ms);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == 0);
    REQUIRE(cluster.statusOf(cluster.entry).desk.unacknowledged == 0);
    REQUIRE_FALSE(cluster.statusOf(cluster.entry).desk.fallback);
}

TEST_CASE("a cancelled request is not answered and occupies no slot")
{
    Cluster cluster;
    cluster.requests(cluster.entry, "early", 2);
    cluster.hosts.at(cluster.entry)->cancel(shard, {RequestId("early0"), 0}); // before the ticket is sent
    cluster.run(1s);
    cluster.requests(cluster.entry, "late", 20);
    cluster.settle();
    for (int i = 0; i < 20; ++i) {
        const std::string name = "late" + std::to_string(i);
        if (!cluster.answers.contains(name)) {
            cluster.hosts.at(cluster.entry)->cancel(shard, {RequestId(name), 0}); // queued at the arbiter
        }
    }
    cluster.run(1s);
    REQUIRE_FALSE(cluster.answers.contains("early0"));
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->queued == 0);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == cluster.granted("").size());
    cluster.hosts.at(cluster.entry)->request(ShardId("unknown"), Ticket(), [&](const PermitAnswer &answer) { cluster.answers["unknown"].push_back(answer); });
    cluster.settle();
    REQUIRE(std::get<Refusal>(cluster.answers.at("unknown").front()).reason == RefusalReason::NoEndpoint);
}

TEST_CASE("the arbiter's host dies in a burst", "[tier-order]")
{
    // Guards against a stall, and against engines that are filled twice. The arbiter's host dies in a burst, and the others
    // detect it later. The entry host must grant from its own share, higher tiers first; the next arbiter must then count
    // the running work, which it knows only from the held permits that are sent again.
    Cluster cluster;
    cluster.requests(cluster.entry, "tag", 20, "tagging");
    cluster.requests(cluster.entry, "query", 20);
    cluster.run(500ms);
    REQUIRE(cluster.granted("").size() == 8);
    cluster.network.cut(cluster.owner);
    for (const std::string &name : cluster.granted("")) {
        cluster.release(cluster.entry, name);
    }
    const std::size_t tagsBefore = cluster.granted("tag").size();

    cluster.run(900ms);
    REQUIRE_FALSE(cluster.statusOf(cluster.entry).desk.fallback);
    cluster.run(200ms);
    REQUIRE(cluster.statusOf(cluster.entry).desk.fallback);
    const std::uint64_t local = cluster.statusOf(cluster.entry).desk.localGrants;
    REQUIRE((local == 2 || local == 3)); // of 8 slots over 3 hosts
    REQUIRE(cluster.granted("tag").size() == tagsBefore);

    const std::vector<HostId> others = cluster.withoutOwner();
    cluster.announce(others, others);
    cluster.run(2s);
    const HostId next = rendezvousOwner(others, "arbiter/" + shard.text());
    REQUIRE_FALSE(cluster.statusOf(cluster.entry).desk.fallback);
    REQUIRE(cluster.statusOf(next).arbiter->running == 8);
    REQUIRE(cluster.statusOf(cluster.entry).desk.held == 8);

    std::set<std::string> released;
    while (released.size() < 32) {
        for (const std::string &name : cluster.granted("")) {
            if (cluster.statusOf(cluster.entry).desk.held > 0 && released.insert(name).second) {
                cluster.release(cluster.entry, name);
            }
        }
        cluster.run(100ms);
    }
    REQUIRE(cluster.granted("").size() == 40);
}

TEST_CASE("late grants of a frozen arbiter that resumes are returned", "[at-most-once]")
{
    // Guards against double runs and lost slots. The next arbiter has granted the requests while the former one was frozen;
    // when that one resumes, its old grants arrive for the same requests. If they were used, a request would run twice or
    // above the limit; if they were dropped, the former arbiter, which may own the shard again, would keep their slots.
    Cluster cluster;
    cluster.requests(cluster.owner, "own", 4);
    cluster.run(500ms);
    cluster.requests(cluster.entry, "r", 10);
    cluster.run(200ms);
    REQUIRE(cluster.granted("r").size() == 4);
    cluster.network.freeze(cluster.owner);
    for (int i = 0; i < 4; ++i) {
        cluster.release(cluster.owner, "own" + std::to_string(i)); // lets it grant four of the waiting ones
    }
    const std::vector<HostId> others = cluster.withoutOwner();
    cluster.announce(others, others);
    cluster.run(2s);
    REQUIRE(cluster.granted("r").size() == 8);

    cluster.network.wake(cluster.owner);
    cluster.run(100ms);
    REQUIRE(cluster.granted("r").size() == 8);
    // The four, and the last two: with the returned slots, the former arbiter grants the tickets that it still has queued.
    REQUIRE(cluster.statusOf(cluster.entry).desk.grantsReturned == 6);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running <= 8);

    const Epoch epoch = cluster.statusOf(cluster.entry).desk.epoch;
    cluster.announce(cluster.live, cluster.live);
    cluster.run(2s);
    REQUIRE(cluster.statusOf(cluster.entry).desk.epoch > epoch);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == 8);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->queued == 2);
}

TEST_CASE("a host that is cut off grants only its share, and reports its permits after it is reconnected", "[tier-order]")
{
    // Guards against engines that are filled twice. The cut-off host still serves its callers, higher tiers first, but sees
    // itself as the only host: as its own arbiter it would use all eight slots, which the others still use. After it is
    // reconnected, the arbiter must be sent the permits granted meanwhile, or it would grant those slots a second time.
    Cluster cluster;
    cluster.network.cut(cluster.entry);
    cluster.announce({cluster.entry}, {cluster.entry});
    cluster.requests(cluster.entry, "tag", 6, "tagging");
    cluster.requests(cluster.entry, "query", 6);
    cluster.run(2s);
    REQUIRE(cluster.statusOf(cluster.entry).desk.fallback);
    REQUIRE_FALSE(cluster.hosts.at(cluster.entry)->status().seesMajority);
    const std::size_t own = cluster.granted("query").size();
    REQUIRE((own == 2 || own == 3));
    REQUIRE(cluster.granted("tag").empty());

    cluster.network.restore(cluster.entry);
    cluster.announce({cluster.entry}, cluster.live);
    cluster.run(1s);
    REQUIRE_FALSE(cluster.statusOf(cluster.entry).desk.fallback);
    REQUIRE(cluster.statusOf(cluster.entry).desk.held == 8);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == 8);
}

TEST_CASE("a planned change of owner causes no fallback and keeps the waiting times in the queue")
{
    // The owner leaves, or a host that ranks higher joins. The time already waited counts at the next arbiter; meanwhile
    // requests are neither refused nor granted from the static share.
    Cluster cluster;
    cluster.requests(cluster.entry, "r", 12);
    cluster.run(400ms);
    const std::vector<HostId> others = cluster.withoutOwner();
    cluster.announce(cluster.live, others);
    cluster.run(600ms);
    const HostId next = rendezvousOwner(others, "arbiter/" + shard.text());
    REQUIRE_FALSE(cluster.statusOf(cluster.owner).arbiter.has_value());
    REQUIRE(cluster.statusOf(next).arbiter->running == 8);
    REQUIRE(cluster.statusOf(next).arbiter->queued == 4);
    REQUIRE(cluster.statusOf(next).arbiter->classes.at(ClassId("query")).longestWait > 600ms); // more than since the change
    REQUIRE(cluster.statusOf(cluster.entry).desk.fallbacks == 0);
}

TEST_CASE("in local mode no arbiter is used, and after a switch back the arbiter is sent the held permits")
{
    Cluster cluster;
    for (const HostId &host : cluster.live) {
        cluster.hosts.at(host)->setPreset(presetOfTwoClasses(ArbitrationMode::Local, 2));
    }
    cluster.requests(cluster.entry, "r", 10);
    cluster.run(1s);
    REQUIRE(cluster.granted("r").size() == 8);
    REQUIRE(cluster.hosts.at(cluster.entry)->status().links.empty());
    for (const HostId &host : cluster.live) {
        cluster.hosts.at(host)->setPreset(presetOfTwoClasses(ArbitrationMode::Permits, 3));
    }
    cluster.run(1s);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == 8);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->queued == 2);
}

TEST_CASE("a lost frame in either direction is detected and its content sent again")
{
    // A link breaks without notice and loses a ticket or an answer. The sequence numbers reveal the gap at the next
    // keep-alive; without them the ticket would wait for its whole deadline.
    Cluster cluster;
    cluster.request(cluster.entry, "first");
    cluster.run(500ms);
    for (const int turns : {0, 1}) { // the ticket is lost; the answer is lost
        const std::string name = "lost" + std::to_string(turns);
        ManualClock::advance(5ms); // past the flush interval, so that the ticket goes out at once
        cluster.request(cluster.entry, name);
        cluster.context.restart();
        cluster.context.poll();
        if (turns == 1) {
            cluster.network.deliver();
            cluster.context.restart();
            cluster.context.poll();
        }
        cluster.network.cut(cluster.owner);
        cluster.settle();
        cluster.network.restore(cluster.owner);
        cluster.run(600ms);
        REQUIRE(cluster.granted(name).size() == 1);
        REQUIRE(cluster.statusOf(cluster.entry).desk.fallbacks == 0);
    }
}
