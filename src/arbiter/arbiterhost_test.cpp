#include "arbiter/arbiterhost.h"

#include "arbiter/arbiterhostfakes.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::PermitFakes;

namespace
{

/** Links between the hosts of one test: frames wait until deliver(), a cut host's frames are lost, a frozen one's wait. */
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

    /** Delivers what may be; true if anything was. */
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
    void mend(const HostId &host)
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

    std::size_t granted(const std::string &name) const
    {
        const auto found = answers.find(name);
        return found == answers.end() ? 0 : static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), [](const PermitAnswer &answer) {
            return std::holds_alternative<Grant>(answer);
        }));
    }

    void release(const HostId &host, const std::string &name)
    {
        Release release;
        release.id = {RequestId(name), 0};
        release.endpoint = std::get<Grant>(answers.at(name).front()).endpoint;
        hosts.at(host)->release(shard, release);
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

TEST_CASE("a request is granted by the own or by a remote arbiter")
{
    Cluster cluster;
    cluster.request(cluster.owner, "local");
    cluster.request(cluster.entry, "remote");
    cluster.run(500ms);
    REQUIRE(cluster.granted("local") == 1);
    REQUIRE(cluster.granted("remote") == 1);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == 2);

    cluster.release(cluster.owner, "local");
    cluster.release(cluster.entry, "remote");
    cluster.run(500ms);
    REQUIRE(cluster.statusOf(cluster.owner).arbiter->running == 0);
    REQUIRE(cluster.statusOf(cluster.entry).desk.unacknowledged == 0);
    REQUIRE_FALSE(cluster.statusOf(cluster.entry).desk.fallback);
}
