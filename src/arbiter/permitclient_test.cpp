#include "arbiter/arbiterhostfakes.h"
#include "arbiter/arbiterhostterm.h"
#include "arbiter/permitclient.h"
#include "base/random.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;
using namespace Rhubarbwind::PermitFakes;

namespace
{

const HostId entry("entry");
const std::vector<HostId> arbiters{HostId("a"), HostId("b"), HostId("c")};
const ShardId model("model");
constexpr Duration step = 20ms;

/** Faults of the links. */
struct LinkFaults
{
    double loss = 0;
    double duplication = 0;
    Duration maxDelay{};
};

/** One client, three hosts that may all serve, links that lose, duplicate, delay and reorder, and the relay's record of answers. */
class ClientWorld
{
public:
    explicit ClientWorld(std::uint64_t seed)
        : m_random(seed)
        , m_client({.shard = model, .self = entry}, m_now)
    {
        const std::vector<Endpoint> endpoints{endpointNamed("e1", 4), endpointNamed("e2", 4)};
        m_client.applyPreset(m_now, presetOfTwoClasses());
        m_client.setEndpoints(m_now, endpoints);
        m_client.setHosts(m_now, arbiters);
        for (const HostId &host : arbiters) {
            start(host);
        }
        m_client.ownerChanged(m_now, arbiters[0]);
    }

    /** Starts a new process on the host, without any former state. */
    void start(const HostId &host)
    {
        const std::vector<Endpoint> endpoints{endpointNamed("e1", 4), endpointNamed("e2", 4)};
        m_terms.erase(host);
        const auto term = m_terms.try_emplace(host, model, host, ArbiterOptions(), 2ms, [](const ShardId &) { return std::make_unique<SlotPool>(); }).first;
        term->second.applyPreset(m_now, presetOfTwoClasses());
        term->second.setEndpoints(m_now, endpoints);
    }
    void setUp(const HostId &host, bool up)
    {
        m_down.erase(host);
        if (!up) {
            m_down.insert(host);
            start(host);
        }
    }
    void setFrozen(const HostId &host, bool frozen)
    {
        m_frozen.erase(host);
        if (frozen) {
            m_frozen.insert(host);
        }
    }
    void setOwner(const HostId &host)
    {
        m_owner = host;
        m_client.ownerChanged(m_now, host);
    }
    void clearFaults()
    {
        m_faults = {};
        m_down.clear();
        m_frozen.clear();
    }
    void setFaults(LinkFaults faults)
    {
        m_faults = faults;
    }

    AttemptId request(const ClassId &classId = ClassId("query"), Duration deadline = 10s)
    {
        Ticket ticket;
        ticket.id = {RequestId("r" + std::to_string(m_requested.size())), 0};
        ticket.classId = classId;
        ticket.deadlineIn = deadline;
        m_requested.push_back(ticket.id);
        m_client.request(m_now, ticket);
        return ticket.id;
    }
    void cancel(const AttemptId &id)
    {
        if (!m_answers.contains(id)) {
            m_cancelled.insert(id);
            m_client.cancel(m_now, id);
        }
    }
    void release(const AttemptId &id)
    {
        Release release;
        release.id = id;
        release.endpoint = m_running.at(id).endpoint;
        m_running.erase(id);
        m_client.release(m_now, release);
    }
    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
            turn();
        }
    }

    PermitClient &client()
    {
        return m_client;
    }
    TimePoint now() const
    {
        return m_now;
    }
    const std::map<AttemptId, Grant> &running() const
    {
        return m_running;
    }
    const std::vector<AttemptId> &requested() const
    {
        return m_requested;
    }
    std::size_t answersTo(const AttemptId &id) const
    {
        const auto count = m_answers.find(id);
        return count == m_answers.end() ? 0 : count->second;
    }
    bool wasCancelled(const AttemptId &id) const
    {
        return m_cancelled.contains(id);
    }
    /** Permits that the owner knows of. */
    std::size_t runningAtOwner() const
    {
        const std::optional<ArbiterStatus> status = m_terms.at(m_owner).status();
        return status ? status->running : 0;
    }
    std::optional<ArbiterStatus> statusAt(const HostId &host) const
    {
        return m_terms.at(host).status();
    }
    /** The last violation of the relay's guarantees; empty if there was none. */
    const std::string &violation() const
    {
        return m_violation;
    }
    std::size_t requestEntriesSent() const
    {
        return m_entriesSent;
    }

private:
    struct Message
    {
        TimePoint at;
        HostId arbiter;
        std::variant<PermitRequests, PermitAnswers> content;
    };

    void turn()
    {
        deliver();
        for (auto &[host, term] : m_terms) {
            if (isUp(host)) {
                term.tick(m_now);
                for (PermitAnswersTo &answers : term.takeAnswers(m_now)) {
                    transmit(host, std::move(answers.answers));
                }
            }
        }
        m_client.tick(m_now);
        carryOutAll();
    }
    void carryOutAll()
    {
        for (PermitClientAction &action : m_client.takeActions()) {
            carryOut(action);
        }
    }
    bool isUp(const HostId &host) const
    {
        return !m_down.contains(host) && !m_frozen.contains(host);
    }
    void transmit(const HostId &arbiter, const std::variant<PermitRequests, PermitAnswers> &content)
    {
        const int copies = m_random.uniform() < m_faults.loss ? 0 : m_random.uniform() < m_faults.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            m_messages.push_back({m_now + fromSeconds(m_random.uniform() * toSeconds(m_faults.maxDelay)), arbiter, content});
        }
    }
    void deliver()
    {
        // Messages to and from a frozen host stay in the buffers until it resumes.
        std::vector<Message> due;
        std::erase_if(m_messages, [&](Message &message) {
            const bool isDue = message.at <= m_now && !m_frozen.contains(message.arbiter);
            if (isDue) {
                due.push_back(std::move(message));
            }
            return isDue;
        });
        for (const Message &message : due) {
            if (m_down.contains(message.arbiter)) {
                continue;
            }
            if (const PermitRequests *requests = std::get_if<PermitRequests>(&message.content)) {
                m_terms.at(message.arbiter).requests(m_now, *requests);
            } else {
                m_client.answers(m_now, message.arbiter, std::get<PermitAnswers>(message.content));
                carryOutAll();
            }
        }
    }
    void carryOut(PermitClientAction &action)
    {
        if (SendPermitRequests *message = std::get_if<SendPermitRequests>(&action)) {
            m_entriesSent += message->batch.tickets.size() + message->batch.held.size();
            transmit(message->to, std::move(message->batch));
        } else if (const Grant *grant = std::get_if<Grant>(&action)) {
            recordAnswer(grant->id);
            if (grant->epoch != 0 && grant->epoch != m_client.status().epoch) {
                m_violation = "a former arbiter's grant was used";
            }
            m_running.emplace(grant->id, *grant);
        } else if (const Refusal *refusal = std::get_if<Refusal>(&action)) {
            recordAnswer(refusal->id);
        }
    }
    void recordAnswer(const AttemptId &id)
    {
        if (++m_answers[id] > 1) {
            m_violation = "answered twice";
        }
        if (m_cancelled.contains(id)) {
            m_violation = "answered after its cancel";
        }
    }

    TimePoint m_now = TimePoint(1h);
    Random m_random;
    LinkFaults m_faults;
    PermitClient m_client;
    HostId m_owner = arbiters[0];
    std::map<HostId, ArbiterTerm<SlotPool>> m_terms;
    std::set<HostId> m_down;
    std::set<HostId> m_frozen;
    std::vector<Message> m_messages;
    std::vector<AttemptId> m_requested;
    std::map<AttemptId, std::size_t> m_answers;
    std::set<AttemptId> m_cancelled;
    std::map<AttemptId, Grant> m_running;
    std::string m_violation;
    std::size_t m_entriesSent = 0;
};

/** One event of a generated history; `choice` picks the host, request or class. */
struct Event
{
    int kind = 0;
    std::size_t choice = 0;
    int wait = 0; ///< steps until the next event
    friend std::ostream &operator<<(std::ostream &stream, const Event &event)
    {
        return stream << "{" << event.kind << ", " << event.choice << ", " << event.wait << "}";
    }
};

void play(ClientWorld &world, const Event &event)
{
    const HostId &host = arbiters[event.choice % arbiters.size()];
    if (event.kind < 8) {
        world.request(ClassId(event.choice % 2 == 0 ? "query" : "tagging"), event.choice % 3 == 0 ? 500ms : 10s);
    } else if (event.kind < 12) {
        const std::vector<AttemptId> &requested = world.requested();
        if (!world.running().empty()) {
            world.release(std::next(world.running().begin(), static_cast<std::ptrdiff_t>(event.choice % world.running().size()))->first);
        } else if (!requested.empty()) {
            world.cancel(requested[event.choice % requested.size()]);
        }
    } else if (event.kind == 12) {
        world.setOwner(host);
    } else if (event.kind == 13) {
        world.setUp(host, event.choice % 2 == 0);
    } else if (event.kind == 14) {
        world.setFrozen(host, event.choice % 2 == 0);
    } else if (event.kind == 15) {
        world.setFaults({0.3, 0.3, 1ms * (event.choice % 3000)});
    } else {
        world.client().linkUp(world.now());
    }
    world.run(step * event.wait);
}

std::vector<Event> anyHistory()
{
    const auto event = rc::gen::build<Event>(rc::gen::set(&Event::kind, rc::gen::inRange(0, 17)),
                                             rc::gen::set(&Event::choice, rc::gen::inRange<std::size_t>(0, 6000)),
                                             rc::gen::set(&Event::wait, rc::gen::inRange(0, 30)));
    return *rc::gen::container<std::vector<Event>>(event);
}

} // namespace

TEST_CASE("whatever the links and arbiters do, each request has one answer and the newest arbiter knows what runs", "[at-most-once]")
{
    // A request must not hang, be answered twice or run under two permits. Messages are lost, duplicated, late and reordered;
    // arbiters die, freeze, resume and serve two at a time; then all faults end.
    rc::prop("one answer, one permit, nothing leaked", [] {
        ClientWorld world(*rc::gen::arbitrary<std::uint64_t>());
        for (const Event &event : anyHistory()) {
            play(world, event);
            RC_ASSERT(world.violation() == "");
        }
        world.clearFaults();
        world.setOwner(arbiters[1]);
        world.request(); // a term that receives no messages may keep outdated state
        world.run(25s);
        RC_ASSERT(world.violation() == "");
        for (const AttemptId &id : world.requested()) {
            RC_ASSERT(world.answersTo(id) == (world.wasCancelled(id) ? 0U : 1U));
        }
        RC_ASSERT(!world.client().status().fallback);
        RC_ASSERT(world.client().status().held == world.running().size());
        RC_ASSERT(world.runningAtOwner() == world.running().size());
        while (!world.running().empty()) {
            world.release(world.running().begin()->first);
        }
        world.run(2s);
        RC_ASSERT(world.client().status().unacknowledged == 0U);
        RC_ASSERT(world.runningAtOwner() == 0U);
    });
}

namespace
{

/** Ticks the client and returns the batches among its actions. */
std::vector<PermitRequests> batchesOf(PermitClient &client, TimePoint now)
{
    client.tick(now);
    std::vector<PermitRequests> batches;
    for (PermitClientAction &action : client.takeActions()) {
        if (SendPermitRequests *message = std::get_if<SendPermitRequests>(&action)) {
            batches.push_back(std::move(message->batch));
        }
    }
    return batches;
}

Ticket ticketOf(const std::string &name, const std::string &classId = "query")
{
    Ticket ticket;
    ticket.id = {RequestId(name), 0};
    ticket.entry = entry;
    ticket.classId = ClassId(classId);
    ticket.deadlineIn = 30s;
    return ticket;
}

PermitAnswers granting(const std::string &name, Epoch epoch, std::uint64_t sequence, std::uint64_t acknowledged)
{
    PermitAnswers answers;
    answers.epoch = epoch;
    answers.incarnation = 1;
    answers.sequence = sequence;
    answers.acknowledged = acknowledged;
    answers.grants = {{{RequestId(name), 0}, EndpointId("e1"), 0, epoch, 2s}};
    return answers;
}

const TimePoint begin = TimePoint(1h);

PermitClient clientOfOwner(PermitClientOptions options = {.shard = model, .self = entry})
{
    PermitClient client(std::move(options), begin);
    client.applyPreset(begin, presetOfTwoClasses());
    client.ownerChanged(begin, arbiters[0]);
    return client;
}

ArbiterTerm<SlotPool> termOfOneShard()
{
    ArbiterTerm<SlotPool> term(model, arbiters[0], ArbiterOptions(), 2ms, [](const ShardId &) { return std::make_unique<SlotPool>(); });
    term.applyPreset(begin, presetOfTwoClasses());
    term.setEndpoints(begin, std::vector{endpointNamed("e1", 4)});
    return term;
}

PermitRequests batchOf(std::uint64_t sequence, bool complete)
{
    PermitRequests batch;
    batch.shard = model;
    batch.sender = entry;
    batch.incarnation = 1;
    batch.sequence = sequence;
    batch.complete = complete;
    return batch;
}

} // namespace

TEST_CASE("a grant that is delayed past its expiry is not used")
{
    // Guards against use of a slot that the arbiter has granted to another request. The arbiter's host was frozen for three
    // seconds, too short for a new owner, so the epoch is current. The answer states the last batch that it had received.
    PermitClient client = clientOfOwner();
    client.request(begin, ticketOf("r"));
    REQUIRE(batchesOf(client, begin).size() == 1);
    client.answers(begin + 3s, arbiters[0], granting("r", 1, 1, 1));
    REQUIRE(client.status().held == 0);
    const std::vector<PermitRequests> again = batchesOf(client, begin + 3s);
    REQUIRE(again.front().tickets.size() == 1);
    client.answers(begin + 3s + 10ms, arbiters[0], granting("r", 1, 2, again.back().sequence));
    REQUIRE(client.status().held == 1);
}

TEST_CASE("a permit that is granted while a full re-send is pending is part of it")
{
    // Guards against an overfilled engine: the arbiter drops the permits that a full re-send does not list. The answer with
    // the grant also reveals a gap, so the ticket is queued for the re-send when it becomes a permit.
    PermitClient client = clientOfOwner();
    client.request(begin, ticketOf("r"));
    REQUIRE(batchesOf(client, begin).size() == 1);
    client.answers(begin + 10ms, arbiters[0], granting("r", 1, 2, 1));
    const std::vector<PermitRequests> again = batchesOf(client, begin + 10ms);
    REQUIRE(again.front().complete);
    REQUIRE(again.front().held.size() == 1);
}

TEST_CASE("a full re-send after loss frees the slots of permits that it does not list")
{
    // Guards against a slot that is lost until the silent-permit limit. An arbiter that was frozen receives, late, a permit
    // whose release went to another arbiter; later batches do not contain it.
    ArbiterTerm<SlotPool> term = termOfOneShard();
    PermitRequests late = batchOf(5, false);
    late.held = {{ticketOf("r"), EndpointId("e1"), 3}};
    term.requests(begin, late);
    REQUIRE(term.status()->running == 1);
    term.requests(begin, batchOf(9, true));
    term.tick(begin + 21s);
    REQUIRE(term.status()->running == 0);
}

TEST_CASE("a late grant that is returned frees nothing in another term")
{
    // Guards against an overfilled engine: the same attempt runs under a valid permit of the current term of the same host.
    ArbiterTerm<SlotPool> term = termOfOneShard();
    PermitRequests sent = batchOf(1, true);
    sent.epochSeen = 4;
    sent.held = {{ticketOf("r"), EndpointId("e1"), 3}};
    term.requests(begin, sent);
    PermitRequests back = batchOf(0, false);
    back.releases = {{{RequestId("r"), 0}, EndpointId("e1"), ReleaseKind::Unused}};
    back.onlyTerm = 4;
    term.requests(begin, back);
    REQUIRE(term.status()->running == 1);
    back.onlyTerm = term.status()->epoch;
    term.requests(begin, back);
    REQUIRE(term.status()->running == 0);
}

TEST_CASE("a full client refuses the lowest tier at once", "[tier-order]")
{
    // A high request must not be refused because the client is full of lower ones.
    PermitClient client = clientOfOwner({.shard = model, .self = entry, .maxWaiting = 2});
    client.request(begin, ticketOf("tag1", "tagging"));
    client.request(begin, ticketOf("tag2", "tagging"));
    client.request(begin + 1ms, ticketOf("query"));
    const std::vector<PermitClientAction> actions = client.takeActions();
    REQUIRE(actions.size() == 1);
    const Refusal &refusal = std::get<Refusal>(actions.front());
    REQUIRE((refusal.id.request == RequestId("tag2") && refusal.reason == RefusalReason::QueueFull));
}

TEST_CASE("over the bound of unacknowledged releases the client takes a new incarnation")
{
    // While the arbiter is unreachable, every release waits for it; without the bound they would accumulate for hours.
    PermitClient client = clientOfOwner({.shard = model, .self = entry, .maxReleases = 2});
    for (const char *name : {"a", "b", "c", "d"}) {
        client.request(begin, ticketOf(name));
    }
    REQUIRE(batchesOf(client, begin).size() == 1);
    for (const char *name : {"a", "b", "c"}) {
        client.cancel(begin, {RequestId(name), 0});
    }
    REQUIRE(client.status().unacknowledged == 0);
    const std::vector<PermitRequests> batches = batchesOf(client, begin + 10ms);
    REQUIRE((batches.front().incarnation == 2 && batches.front().complete));
    REQUIRE(batches.front().tickets.size() == 1);
}

TEST_CASE("a request without an answer is refused at its deadline and cancelled at the arbiter")
{
    // The caller must get a refusal in time although the arbiter is silent and the own share has no slot. A ticket that stayed
    // at the arbiter would later be granted in vain.
    PermitClient client = clientOfOwner();
    client.request(begin, ticketOf("r"));
    REQUIRE(batchesOf(client, begin).size() == 1);
    REQUIRE(client.nextWake().has_value());
    client.tick(begin + 30s);
    const std::vector<PermitClientAction> actions = client.takeActions();
    REQUIRE(actions.size() == 2);
    REQUIRE(std::get<Refusal>(actions.front()).reason == RefusalReason::DeadlinePassed);
    REQUIRE(std::get<SendPermitRequests>(actions.back()).batch.cancels.size() == 1);
    REQUIRE(client.status().waiting == 0);
}
