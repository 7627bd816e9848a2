// Each rule of the arbiter by example; arbiterproperty_test.cpp checks them over arbitrary histories.

#include "arbiter/arbiter.h"
#include "arbiter/arbitertestkit.h"

#include <sstream>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

constexpr TimePoint start(1h);

/** An arbiter past its collecting round over one endpoint. */
struct Shard
{
    explicit Shard(const std::shared_ptr<PresetInForce> &preset, std::size_t slots = 1, const ArbiterOptions &options = {})
        : pool{1, slots}
        , arbiter(ShardId("s"), options, pool, 7, start)
    {
        arbiter.applyPreset(start, preset);
        arbiter.tick(now);
    }

    void wait(Duration step)
    {
        now += step;
        arbiter.tick(now);
    }
    void ticket(const Ticket &ticket)
    {
        arbiter.ticket(now, ticket);
    }
    void release(const std::string &request, ReleaseKind kind = ReleaseKind::Completed, std::uint32_t tokens = 256)
    {
        Release release{attempt(request), EndpointId("engine-0"), kind};
        release.tokens = tokens;
        arbiter.release(now, release);
    }
    /** The actions since the last call: "+a" a grant, "-a:N" a refusal for reason N, "!a" a preemption. */
    std::string sentActions()
    {
        last = arbiter.takeActions();
        std::ostringstream text;
        for (const ArbiterAction &action : last) {
            text << (text.str().empty() ? "" : " ");
            if (const Grant *grant = std::get_if<Grant>(&action.message)) {
                text << '+' << grant->id.request;
            } else if (const Refusal *refusal = std::get_if<Refusal>(&action.message)) {
                text << '-' << refusal->id.request << ':' << static_cast<int>(refusal->reason);
            } else {
                text << '!' << std::get<Preemption>(action.message).id.request;
            }
        }
        return text.str();
    }
    /** Releases running work until the queue is empty and returns the order of grants. */
    std::string drain(const std::string &running)
    {
        std::string order;
        std::string next = running;
        while (!next.empty()) {
            release(next);
            const std::string granted = sentActions();
            next = granted.empty() ? "" : granted.substr(1);
            order += (order.empty() || next.empty() ? "" : " ") + next;
        }
        return order;
    }

    TimePoint now = start + 1s;
    CountedEndpoints pool;
    TestArbiter arbiter;
    std::vector<ArbiterAction> last;
};

std::shared_ptr<PresetInForce> threeTiers()
{
    return presetOf({classRule("query", 0), classRule("draft", 1), classRule("tagging", 2)});
}

} // namespace

TEST_CASE("grants go by tier, then by due time")
{
    std::shared_ptr<PresetInForce> preset = presetOf({classRule("low", 1), classRule("slow", 0), classRule("fast", 0)});
    preset->preset.classes[1].firstTokenTarget = 2s;
    preset->preset.classes[2].firstTokenTarget = 500ms;
    Shard shard(preset);
    shard.ticket(ticketOf("running", "low"));
    shard.ticket(ticketOf("low", "low"));
    shard.ticket(ticketOf("slow-early", "slow"));
    shard.wait(1s);
    shard.ticket(ticketOf("fast", "fast"));
    shard.wait(1s);
    shard.ticket(ticketOf("fast-late", "fast"));
    REQUIRE(shard.sentActions() == "+running");
    // Due after 2 s, 1.5 s and 2.5 s.
    REQUIRE(shard.drain("running") == "fast slow-early fast-late low");
}

TEST_CASE("one customer's burst does not hold up another's request")
{
    Shard shard(threeTiers());
    shard.ticket(ticketOf("running", "draft", "large"));
    for (int i = 0; i < 50; ++i) {
        shard.ticket(ticketOf("burst-" + std::to_string(i), "draft", "large"));
    }
    shard.release("running");
    shard.ticket(ticketOf("small", "draft", "small"));
    REQUIRE(shard.sentActions() == "+running +burst-0");
    shard.release("burst-0");
    REQUIRE(shard.sentActions() == "+small");
}

TEST_CASE("a message that comes twice or late has the effect of one")
{
    // Guards against a second run of a request. After a broken link tickets are re-sent while the first answer or the
    // release is in transit. Without the record of ended attempts a late ticket would take a second slot for a request
    // that has ended, and a repeated one would be queued twice.
    Shard shard(threeTiers());
    const Ticket ticket = ticketOf("a", "draft");

    SECTION("a granted attempt's grant is sent again, renewed once it has expired")
    {
        shard.ticket(ticket);
        const Grant first = std::get<Grant>(shard.arbiter.takeActions().at(0).message);
        const auto [later, remaining] = GENERATE(table<Duration, Duration>({{500ms, 1500ms}, {2s, 2s}, {9s, 2s}}));
        shard.wait(later);
        shard.ticket(ticket);
        REQUIRE(shard.sentActions() == "+a");
        const Grant again = std::get<Grant>(shard.last[0].message);
        REQUIRE(again.endpoint == first.endpoint);
        REQUIRE(again.epoch == 7);
        REQUIRE(again.expiresIn == remaining);
        REQUIRE(shard.pool.totalUsed() == 1);
    }
    SECTION("a release or cancel before its ticket ends it")
    {
        GENERATE(0, 1) == 0 ? shard.release("a") : shard.arbiter.cancel(shard.now, ticket.id);
        shard.ticket(ticket);
        REQUIRE(shard.sentActions().empty());
        REQUIRE(shard.arbiter.status().queued == 0);
    }
    SECTION("a refusal is sent again")
    {
        shard.ticket(ticketOf("a", "no-such-class"));
        shard.ticket(ticketOf("a", "no-such-class"));
        REQUIRE(shard.sentActions() == "-a:3 -a:3");
    }
    SECTION("a second release frees nothing")
    {
        shard.ticket(ticket);
        shard.release("a");
        shard.ticket(ticketOf("b", "draft"));
        shard.release("a");
        REQUIRE(shard.sentActions() == "+a +b");
        REQUIRE(shard.pool.totalUsed() == 1);
    }
    SECTION("a cancel that crosses its grant frees the slot")
    {
        shard.ticket(ticket);
        shard.arbiter.cancel(shard.now, ticket.id);
        REQUIRE(shard.pool.totalUsed() == 0);
    }
}

TEST_CASE("a new arbiter grants little until entry hosts have re-sent what runs")
{
    // Guards against overloaded endpoints after a takeover: the new arbiter does not know the running work and would grant
    // all slots a second time. Without the collecting round every endpoint could hold twice its work; with it, at most a
    // quarter more.
    CountedEndpoints pool{1, 8};
    TestArbiter arbiter(ShardId("s"), ArbiterOptions(), pool, 2, start);
    arbiter.applyPreset(start, threeTiers());
    for (int i = 0; i < 10; ++i) {
        arbiter.ticket(start, ticketOf("waiting-" + std::to_string(i), "draft"));
    }
    REQUIRE(arbiter.takeActions().size() == 2);
    REQUIRE(arbiter.status().collecting);
    for (int i = 0; i < 7; ++i) {
        arbiter.held(start + 100ms, HeldPermit{ticketOf("running-" + std::to_string(i), "draft"), EndpointId("engine-0"), 10});
    }
    REQUIRE(arbiter.nextWake() == start + 250ms);
    arbiter.tick(start + 300ms);
    REQUIRE_FALSE(arbiter.status().collecting);
    REQUIRE(arbiter.takeActions().empty());
    REQUIRE(pool.totalUsed() == 9);
}

TEST_CASE("during the collecting round a slot that was granted and released is granted again")
{
    CountedEndpoints pool{1, 4};
    TestArbiter arbiter(ShardId("s"), ArbiterOptions(), pool, 2, start);
    arbiter.applyPreset(start, threeTiers());
    for (int i = 0; i < 3; ++i) {
        arbiter.ticket(start, ticketOf(std::to_string(i), "draft"));
        arbiter.release(start, Release{attempt(std::to_string(i)), EndpointId("engine-0")});
    }
    REQUIRE(arbiter.status().grants == 3);
}

TEST_CASE("a permit held under a former arbiter replaces a grant made here for the same attempt")
{
    CountedEndpoints pool{2, 1};
    TestArbiter arbiter(ShardId("s"), ArbiterOptions(), pool, 2, start);
    arbiter.applyPreset(start, threeTiers());
    arbiter.tick(start + 1s);
    arbiter.ticket(start + 1s, ticketOf("a", "draft"));
    const Grant grant = std::get<Grant>(arbiter.takeActions().at(0).message);
    const EndpointId other(grant.endpoint == EndpointId("engine-0") ? "engine-1" : "engine-0");
    arbiter.held(start + 1s, HeldPermit{ticketOf("a", "draft"), other, 5});
    REQUIRE(pool.used[grant.endpoint] == 0);
    REQUIRE(pool.used[other] == 1);
    REQUIRE(arbiter.status().running == 1);
}

TEST_CASE("a preset switch moves waiting tickets at once and leaves running work alone", "[config-monotonic]")
{
    Shard shard(threeTiers());
    shard.ticket(ticketOf("running", "query"));
    shard.ticket(ticketOf("query", "query"));
    shard.ticket(ticketOf("draft", "draft"));
    shard.ticket(ticketOf("tagging", "tagging"));
    std::shared_ptr<PresetInForce> next = presetOf({classRule("tagging", 0), classRule("query", 1)}, 2);
    next->preset.classes[1].queueDeadline = 10s;
    shard.arbiter.applyPreset(shard.now, next);
    REQUIRE(shard.sentActions() == "+running -draft:3");
    REQUIRE(std::get<Refusal>(shard.last[1].message).retryAfter == 60s);
    REQUIRE(shard.arbiter.status().running == 1);
    shard.arbiter.applyPreset(shard.now, threeTiers()); // version 1 arrives late
    shard.release("running");
    REQUIRE(shard.sentActions() == "+tagging");
    shard.wait(10s);
    REQUIRE(shard.sentActions() == "-query:0");
}

TEST_CASE("a dead host's tickets are dropped and its work keeps its slot for a bounded time")
{
    // Guards against an overloaded endpoint: when a host dies, the endpoint continues the stream that nobody reads. Without
    // the hold its slot is granted at once and the endpoint runs both; without the bound the slot is lost.
    Shard shard(threeTiers());
    shard.ticket(ticketOf("dead-running", "draft", "c", "dead"));
    shard.ticket(ticketOf("dead-waiting", "draft", "c", "dead"));
    shard.ticket(ticketOf("alive", "draft", "c", "alive"));
    shard.arbiter.hostRemoved(shard.now, HostId("dead"));
    REQUIRE(shard.sentActions() == "+dead-running");
    REQUIRE(shard.arbiter.status().queued == 1);
    REQUIRE(shard.arbiter.status().orphans == 1);

    SECTION("it stays dead")
    {
        shard.wait(19s);
        REQUIRE(shard.sentActions().empty());
        shard.wait(1s);
        REQUIRE(shard.sentActions() == "+alive");
        REQUIRE(shard.arbiter.status().lostPermits == 1);
    }
    SECTION("it was only cut off")
    {
        shard.arbiter.held(shard.now, HeldPermit{ticketOf("dead-running", "draft", "c", "dead"), EndpointId("engine-0"), 4});
        REQUIRE(shard.arbiter.status().orphans == 0);
        shard.wait(25s);
        REQUIRE(shard.sentActions().empty());
    }
    SECTION("it returns after its slot was reclaimed")
    {
        shard.wait(20s);
        shard.arbiter.held(shard.now, HeldPermit{ticketOf("dead-running", "draft", "c", "dead"), EndpointId("engine-0"), 4});
        REQUIRE(shard.pool.totalUsed() == 2);
    }
}

TEST_CASE("a permit without any update is reclaimed")
{
    Shard shard(threeTiers());
    shard.ticket(ticketOf("a", "draft"));
    shard.wait(50s);
    shard.arbiter.progress(shard.now, attempt("a"), 10);
    REQUIRE(shard.arbiter.nextWake() == shard.now + 60s);
    shard.wait(59s);
    REQUIRE(shard.arbiter.status().running == 1);
    shard.wait(1s);
    REQUIRE(shard.arbiter.status().running == 0);
    REQUIRE(shard.pool.totalUsed() == 0);
}

TEST_CASE("a ticket whose deadline passes is refused at the deadline")
{
    Shard shard(threeTiers());
    shard.ticket(ticketOf("running", "draft"));
    Ticket ticket = ticketOf("a", "draft");
    ticket.deadlineIn = 100ms;
    shard.ticket(ticket);
    REQUIRE(shard.sentActions() == "+running");
    REQUIRE(shard.arbiter.nextWake() <= shard.now + 100ms);
    shard.wait(100ms);
    REQUIRE(shard.sentActions() == "-a:0");
}

TEST_CASE("a request that cannot be served in time is refused at once, with the time after which it could be")
{
    // Guards against a caller that waits for its whole deadline in vain. Ten drafts of 4 s each are ahead on the one slot, so
    // a further one with a deadline of 20 s cannot be served. Without the early refusal it is refused after 20 s.
    Shard shard(threeTiers(), 1);
    for (int i = 0; i < 8; ++i) {
        shard.ticket(ticketOf("earlier-" + std::to_string(i), "draft"));
        shard.wait(4s);
        shard.release("earlier-" + std::to_string(i));
    }
    for (int i = 0; i < 11; ++i) {
        Ticket draft = ticketOf("draft-" + std::to_string(i), "draft");
        draft.deadlineIn = 100s;
        shard.ticket(draft);
    }
    shard.sentActions();
    const auto [classId, deadline, expected] = GENERATE(table<std::string, Duration, std::string>({
        {"draft", 20s, "-a:1"}, // 11 grants of 4 s each are ahead of it
        {"draft", 40s, ""},
        {"query", 5s, ""}, // nothing is ahead of it
        {"tagging", 20s, ""}, // within its class's reserve: its share may serve it
    }));
    Ticket ticket = ticketOf("a", classId);
    ticket.deadlineIn = deadline;
    shard.ticket(ticket);
    REQUIRE(shard.sentActions() == expected);
    if (!expected.empty()) {
        REQUIRE(std::get<Refusal>(shard.last[0].message).retryAfter == 40s);
    }
}

TEST_CASE("a waiting ticket is refused as hopeless when higher requests make its deadline unreachable")
{
    Shard shard(threeTiers(), 1);
    for (int i = 0; i < 8; ++i) {
        shard.ticket(ticketOf("earlier-" + std::to_string(i), "draft"));
        shard.wait(1s);
        shard.release("earlier-" + std::to_string(i));
    }
    for (int i = 0; i < 6; ++i) {
        shard.ticket(ticketOf("draft-" + std::to_string(i), "draft"));
    }
    shard.sentActions();
    for (int i = 0; i < 45; ++i) {
        Ticket query = ticketOf("query-" + std::to_string(i), "query");
        query.deadlineIn = 60s;
        shard.ticket(query);
    }
    shard.wait(250ms);
    REQUIRE(shard.sentActions() == "-draft-1:1"); // the other four are within the reserve
}

TEST_CASE("without an endpoint tickets are refused after the grace period")
{
    Shard shard(threeTiers());
    shard.pool.takers = false;
    shard.ticket(ticketOf("a", "draft"));
    REQUIRE(shard.sentActions().empty());
    shard.wait(2s);
    REQUIRE(shard.sentActions() == "-a:4");
    shard.ticket(ticketOf("b", "draft"));
    REQUIRE(shard.sentActions() == "-b:4");
    shard.pool.takers = true;
    shard.ticket(ticketOf("c", "draft"));
    REQUIRE(shard.sentActions() == "+c");
}

TEST_CASE("over the budget the lowest tier is shed first, from the customer with the most waiting", "[tier-order]")
{
    ArbiterOptions options;
    options.queueBudget = 3;
    options.reservedTickets = 1;
    Shard shard(threeTiers(), 1, options);
    shard.ticket(ticketOf("running", "query"));
    shard.ticket(ticketOf("t1", "tagging", "large"));
    shard.ticket(ticketOf("t2", "tagging", "large"));
    shard.ticket(ticketOf("t3", "tagging", "small"));
    shard.ticket(ticketOf("t4", "tagging", "large"));
    REQUIRE(shard.sentActions() == "+running"); // one in the reserve, three in the budget
    shard.ticket(ticketOf("d1", "draft"));
    REQUIRE(shard.sentActions().empty()); // within its own reserve
    shard.ticket(ticketOf("d2", "draft"));
    REQUIRE(shard.sentActions() == "-t4:2");
    shard.ticket(ticketOf("q1", "query"));
    shard.ticket(ticketOf("q2", "query"));
    shard.ticket(ticketOf("q3", "query"));
    REQUIRE(shard.sentActions() == "-t2:2 -t3:2");
    shard.ticket(ticketOf("t5", "tagging"));
    REQUIRE(shard.sentActions() == "-t5:2"); // the newest is shed
    shard.ticket(ticketOf("q4", "query"));
    REQUIRE(shard.sentActions() == "-d2:2");
    shard.ticket(ticketOf("q5", "query"));
    REQUIRE(shard.sentActions() == "-q5:2");
    REQUIRE(shard.arbiter.status().shedByTier == std::map<Tier, std::uint64_t>{{Tier{0}, 1}, {Tier{1}, 1}, {Tier{2}, 4}});
}

TEST_CASE("a class over its own limit sheds its own tickets")
{
    std::shared_ptr<PresetInForce> preset = threeTiers();
    preset->preset.classes[1].queueLimit = 2;
    Shard shard(preset);
    for (const char *request : {"running", "d1", "d2", "d3"}) {
        shard.ticket(ticketOf(request, "draft"));
    }
    REQUIRE(shard.sentActions() == "+running -d3:2");
}

TEST_CASE("preemption stops the newest work of the lowest tier for an urgent higher request", "[tier-order]")
{
    std::shared_ptr<PresetInForce> preset = presetOf({classRule("query", 0), classRule("draft", 1, 0.4), classRule("tagging", 2), classRule("fixed", 2)});
    for (const std::size_t i : {0, 1, 2}) {
        preset->preset.classes[i].preemptible = true;
        preset->preset.classes[i].firstTokenTarget = 1s;
    }
    preset->preset.preemption = GENERATE(true, false);
    Shard shard(preset, 4);
    for (const char *work : {"tagging", "draft", "fixed", "query"}) {
        shard.ticket(ticketOf(std::string("running-") + work, work));
    }
    shard.ticket(ticketOf("tagging", "tagging"));
    REQUIRE(shard.sentActions() == "+running-tagging +running-draft +running-fixed +running-query");
    for (const char *request : {"q1", "q2", "q3"}) {
        shard.ticket(ticketOf(request, "query"));
    }
    shard.wait(700ms);
    REQUIRE(shard.sentActions().empty());
    shard.wait(50ms);
    shard.wait(50ms);
    shard.wait(50ms);
    if (!preset->preset.preemption) {
        REQUIRE(shard.sentActions().empty());
        return;
    }
    REQUIRE(shard.sentActions() == "!running-tagging !running-draft");
    shard.release("running-tagging", ReleaseKind::Cancelled, 3);
    shard.release("running-draft", ReleaseKind::Cancelled, 3);
    REQUIRE(shard.sentActions() == "+q1 +q2");
}

TEST_CASE("a slot freed by preemption is never granted to a lower class by its share", "[tier-order]")
{
    // A draft is stopped for a query while the tagging class, below both, is due by its minimum share. If the arbiter did
    // not count slots freed by preemption, tagging would get the slot: a draft would be stopped for a lower request.
    std::shared_ptr<PresetInForce> preset = presetOf({classRule("query", 0), classRule("draft", 1), classRule("tagging", 2, 0.5)});
    preset->preset.preemption = true;
    preset->preset.classes[1].preemptible = true;
    Shard shard(preset, 2);
    shard.ticket(ticketOf("draft", "draft"));
    shard.ticket(ticketOf("q0", "query"));
    shard.ticket(ticketOf("tagging", "tagging"));
    for (const char *request : {"q1", "q2", "q3", "q4", "q5"}) {
        shard.ticket(ticketOf(request, "query"));
    }
    for (const char *request : {"q0", "q1", "q2"}) {
        shard.release(request); // three grants at a share of 0.46: tagging is due for the next
    }
    REQUIRE(shard.sentActions() == "+draft +q0 +q1 +q2 +q3");
    shard.wait(1s);
    REQUIRE(shard.sentActions() == "!draft");
    shard.release("draft", ReleaseKind::Cancelled, 3);
    REQUIRE(shard.sentActions() == "+q4");
    shard.release("q3");
    REQUIRE(shard.sentActions() == "+tagging");
}

TEST_CASE("a due class whose request fits no endpoint does not delay a higher request", "[tier-order]")
{
    Shard shard(presetOf({classRule("query", 0), classRule("tagging", 1, 0.5)}));
    shard.pool.largestPrompt = 1000;
    shard.ticket(ticketOf("q0", "query"));
    Ticket tagging = ticketOf("tagging", "tagging");
    tagging.promptTokens = 2000;
    shard.ticket(tagging);
    for (const char *request : {"q1", "q2", "q3", "q4"}) {
        shard.ticket(ticketOf(request, "query"));
    }
    for (const char *request : {"q0", "q1", "q2", "q3"}) {
        shard.release(request);
    }
    REQUIRE(shard.sentActions() == "+q0 +q1 +q2 +q3 +q4");
    shard.pool.largestPrompt = 2000;
    shard.release("q4");
    REQUIRE(shard.sentActions() == "+tagging");
}

TEST_CASE("fifo grants by arrival and sheds the newest")
{
    ArbiterOptions options;
    options.queueBudget = 3;
    std::shared_ptr<PresetInForce> preset = threeTiers();
    preset->preset.arbitration = ArbitrationMode::Fifo;
    Shard shard(preset, 1, options);
    for (const char *work : {"tagging", "draft", "tagging", "query", "query"}) {
        const std::string request = work + std::to_string(shard.arbiter.status().queued);
        shard.ticket(ticketOf(request, work));
    }
    REQUIRE(shard.sentActions() == "+tagging0 -query3:2");
    REQUIRE(shard.drain("tagging0") == "draft0 tagging1 query2");
}

TEST_CASE("a release gives the pool a sample only for work that ran under its permit")
{
    const auto [kind, endpoint, sampled] = GENERATE(table<ReleaseKind, std::string, bool>({
        {ReleaseKind::Completed, "engine-0", true},
        {ReleaseKind::Completed, "engine-9", false}, // ran under another grant
        {ReleaseKind::EndpointFailed, "engine-0", true},
        {ReleaseKind::EndpointRefused, "engine-0", false},
        {ReleaseKind::Cancelled, "engine-0", true},
        {ReleaseKind::Unused, "engine-0", false},
    }));
    Shard shard(threeTiers());
    shard.ticket(ticketOf("a", "draft"));
    Release release{attempt("a"), EndpointId(endpoint), kind, 100ms, 20ms, 40, 8};
    shard.arbiter.release(shard.now, release);
    REQUIRE(shard.pool.totalUsed() == 0);
    REQUIRE(shard.pool.samples.size() == (sampled ? 1 : 0));
    if (sampled) {
        REQUIRE(shard.pool.samples[0].failed == (kind == ReleaseKind::EndpointFailed));
        REQUIRE(shard.pool.samples[0].tokens == 40);
    }
}
