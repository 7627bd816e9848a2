#include "gateway/customershares.h"

#include "gateway/customershares_test.h"
#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;
using namespace Rhubarbwind::ShareTest;

namespace
{

const ShardId plain("s");
const CustomerId hot("hot");
const CustomerId quiet("quiet");
const TimePoint begin{100s};

/** Ten seconds in which `sender` sends 40 requests a second and ten others 2 each; those of the others that find no slot are reported. */
TimePoint overload(CustomerShares &shares, TimePoint now, bool isFull = true, const CustomerId &sender = hot)
{
    constexpr int others = 10;
    for (int i = 0; i < 200; ++i, now += 50ms) {
        for (int j = 0; j < 2; ++j) {
            if (shares.decide(plain, sender, {}, now).isAdmitted) {
                shares.started(plain, sender, 1, now);
            }
        }
        const CustomerId other("c" + std::to_string(i % others));
        if (i % 20 == 0 && isFull) {
            shares.foundFull(plain, other, now);
        } else {
            shares.started(plain, other, 1, now);
        }
    }
    return now;
}

/** Fraction of 100 requests of the customer within a second that are admitted, none of which starts. */
double admitted(CustomerShares &shares, const CustomerId &customer, TimePoint now)
{
    int count = 0;
    for (int i = 0; i < 100; ++i, now += 10ms) {
        count += shares.decide(plain, customer, {}, now).isAdmitted ? 1 : 0;
    }
    return count / 100.0;
}

std::uint32_t digestOf(const CustomerId &customer)
{
    return loadKey(customer.text());
}

} // namespace

TEST_CASE("one customer's burst takes no slots that the others need", "[customer-shares]")
{
    // Guards against the gauge network's day with one customer at 7.5 times its usual rate: without shares, all customers find the endpoints full alike.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        DayOptions options;
        options.seed = seed;
        const DayResult with = Day(options).run();
        options.hasShares = false;
        const DayResult without = Day(options).run();
        CAPTURE(seed);
        CHECK(with.othersAllDay.share(with.othersAllDay.lost) < 0.01);
        CHECK(with.othersAllDay.share(with.othersAllDay.late) < 0.02);
        CHECK(without.othersAllDay.share(without.othersAllDay.late) > 0.05);
        CHECK(with.others.overShare < with.others.attempts / 200);
        CHECK(with.hot.share(with.hot.requests - with.hot.lost) > 0.25);
    }
}

TEST_CASE("hosts that hear nothing from their peers decide by their own counts", "[customer-shares]")
{
    // Guards against shares that depend on messages: with all of them lost, half as many of the others' answers may be late as without shares.
    DayOptions options;
    options.losesPeers = true;
    const DayResult alone = Day(options).run();
    options.hasShares = false;
    const DayResult without = Day(options).run();
    CHECK(alone.othersAllDay.share(alone.othersAllDay.lost) < 0.01);
    CHECK(alone.othersAllDay.share(alone.othersAllDay.late) < without.othersAllDay.share(without.othersAllDay.late) / 2);
    CHECK(alone.hot.share(alone.hot.requests - alone.hot.lost) > 0.25);
}

TEST_CASE("nobody is refused for a share while nobody else finds the endpoints full", "[customer-shares]")
{
    // Guards against capacity that is left idle although one customer asks for it.
    CustomerShares shares;
    TimePoint now = overload(shares, begin, false);
    CHECK(admitted(shares, hot, now) == 1.0);
    CHECK(shares.excess(plain, hot, now) <= 1.0);
    CHECK(shares.sums(8, now).empty());
    now = overload(shares, now);
    CHECK(admitted(shares, hot, now) < 0.7);
    CHECK(admitted(shares, quiet, now) == 1.0);
    CHECK(shares.isShort(plain, now));
    CHECK(admitted(shares, hot, now + 15s) == 1.0);

    // A customer alone, whatever it finds full.
    CustomerShares alone;
    for (int i = 0; i < 200; ++i, now += 50ms) {
        alone.decide(plain, hot, {}, now);
        alone.started(plain, hot, 1, now);
        alone.foundFull(plain, hot, now);
    }
    CHECK(admitted(alone, hot, now) == 1.0);
}

TEST_CASE("requests without a key share one entry, and are limited like any customer", "[customer-shares]")
{
    CustomerShares shares;
    TimePoint now = begin;
    for (int i = 0; i < 200; ++i, now += 50ms) {
        if (shares.decide(plain, CustomerId(), {}, now).isAdmitted) {
            shares.started(plain, CustomerId(), 3, now);
        }
        const CustomerId other("c" + std::to_string(i % 10));
        i % 20 == 0 ? shares.foundFull(plain, other, now) : shares.started(plain, other, 1, now);
    }
    CHECK(admitted(shares, CustomerId(), now) < 0.9);
    CHECK(shares.rows(now).front().customer.empty());
    CHECK(shares.size() == 11);
}

TEST_CASE("a weight counts from the moment it is set, also during a shortage", "[customer-shares]")
{
    CustomerShares shares;
    const TimePoint now = overload(shares, begin);
    shares.setWeights({}, now);
    const double before = shares.excess(plain, hot, now);
    shares.setWeights({{hot, 4.0}}, now);
    CHECK(shares.excess(plain, hot, now) == Approx(before / 4));
    CHECK(shares.rows(now).front().weight == 4.0);
    // A weight of zero or below is no weight.
    shares.setWeights({{hot, 0.0}}, now);
    CHECK(shares.excess(plain, hot, now) == Approx(before));
}

TEST_CASE("ten thousand customers take bounded memory and leave the busy ones their entries", "[customer-shares]")
{
    // Guards against an entry for each key that anybody sends.
    CustomerShares shares;
    TimePoint now = overload(shares, begin);
    for (int i = 0; i < 10'000; ++i, now += 1ms) {
        shares.decide(plain, CustomerId("rare-" + std::to_string(i)), {}, now);
        if (i % 50 == 0) {
            shares.decide(plain, hot, {}, now);
            shares.started(plain, hot, 1, now);
        }
    }
    CHECK(shares.size() <= CustomerShareOptions().maxCustomers);
    CHECK(shares.rows(now).front().customer == hot);
    CHECK(shares.sums(8, now).size() <= 8);
}

TEST_CASE("sums of peers that fall silent end, and absurd ones have a bounded effect", "[customer-shares]")
{
    // Guards against a host that refuses a customer for good because a peer has died or counts wrongly.
    CustomerShares shares;
    const TimePoint now = overload(shares, begin);
    const double own = shares.excess(plain, hot, now);
    const std::uint32_t service = loadKey(plain.text());
    const std::vector<SharedCustomerUse> absurd{{service, digestOf(quiet), 0xffffffff}, {service, 1, 0xffffffff}, {77, 0, 0xffffffff}};
    shares.setPeerUse("broken", absurd, now);
    CHECK(shares.excess(plain, hot, now) <= own);
    CHECK(shares.excess(plain, quiet, now) < 100'000);
    TimePoint later = now;
    for (int i = 0; i < 40; ++i, later += 50ms) {
        shares.decide(plain, quiet, {}, later);
    }
    CHECK(admitted(shares, quiet, later) >= CustomerShareOptions().minAdmission - 0.01);
    CHECK(admitted(shares, CustomerId("c1"), later) == 1.0);
    shares.setPeerUse("broken", {}, later);
    CHECK(shares.excess(plain, quiet, later) < 1);

    // Late: after its lifetime a sum that was not replaced no longer counts.
    shares.setPeerUse("gone", absurd, later);
    shares.setPeerUse("other", {}, later + 3s);
    CHECK(shares.excess(plain, quiet, later + 3s) < 1);
}

TEST_CASE("a share is not applied before enough is known of it", "[customer-shares]")
{
    // Guards against a host that has just started and refuses the customer of its first requests.
    CustomerShares shares;
    for (int i = 0; i < 5; ++i) {
        shares.started(plain, i > 0 ? hot : quiet, 1, begin);
    }
    shares.foundFull(plain, quiet, begin);
    CHECK(admitted(shares, hot, begin + 100ms) == 1.0);
    CHECK(shares.excess(plain, hot, begin + 100ms) <= 1.0);
}

TEST_CASE("shares refuse no customer within its share and invert no tiers", "[customer-shares]")
{
    // Random histories of one host and its peers. Guards against a refusal of a customer within its share, and against one of a higher tier while the
    // host serves a lower one or no request of that tier or above lacks a slot.
    rc::prop("shares and tiers", [](std::uint64_t seed) {
        Random random(seed);
        CustomerShares shares;
        TimePoint now = begin;
        std::array<TimePoint, 3> startedAt{};
        std::array<bool, 3> wasFull{};
        bool hasPeers = false;
        for (int i = 0; i < 3000; ++i, now += std::chrono::milliseconds(random.below(20))) {
            const CustomerId customer("c" + std::to_string(random.below(3) == 0 ? 0 : random.below(12)));
            const Tier tier{static_cast<std::uint8_t>(random.below(seed % 3 + 1))};
            const ShareDecision decision = shares.decide(plain, customer, tier, now);
            if (!decision.isAdmitted) {
                RC_ASSERT(shares.isShort(plain, now));
                RC_ASSERT(decision.retryAfter >= 50ms);
                RC_ASSERT(decision.demand > 1);
                for (std::size_t lower = tier.level + 1U; lower < startedAt.size(); ++lower) {
                    RC_ASSERT(startedAt[lower] == TimePoint() || now - startedAt[lower] >= CustomerShareOptions().tierMemory);
                }
                RC_ASSERT(hasPeers || std::any_of(wasFull.begin(), wasFull.begin() + tier.level + 1, [](bool full) { return full; }));
                // A customer that requests no more than its share is admitted at the same moment.
                for (const CustomerRow &row : shares.rows(now)) {
                    CustomerShares copy = shares;
                    const ShareDecision other = copy.decide(plain, row.customer, tier, now);
                    RC_ASSERT(other.isAdmitted || other.demand > 1);
                }
            } else if (random.below(30) == 0) {
                shares.foundFull(plain, customer, now, tier);
                wasFull[tier.level] = true;
            } else {
                shares.started(plain, customer, 1, now, tier);
                startedAt[tier.level] = now;
            }
            if (random.below(100) == 0) {
                hasPeers = true;
                const std::uint32_t service = loadKey(plain.text());
                shares.setPeerUse("p" + std::to_string(random.below(3)),
                                  std::vector<SharedCustomerUse>{{service, digestOf(customer), static_cast<std::uint32_t>(random.below(50))},
                                                                 {service, 1, static_cast<std::uint32_t>(random.below(3000))}},
                                  now);
            }
        }
    });
}

namespace
{

/** Sends 20 requests of customer "acme" in turn. @return their answers */
std::vector<std::string> answersOf(GatewayTest::Scene &scene)
{
    std::vector<std::string> answers;
    for (int i = 0; i < 20; ++i) {
        const std::shared_ptr<GatewayTest::Peer> caller = scene.caller();
        caller->send(GatewayTest::Scene::request("POST", "/unsafe/", "r" + std::to_string(i), {}, "x"));
        REQUIRE(scene.until([&] { return wholeMessage(caller->received) > 0; }));
        answers.push_back(caller->received);
    }
    return answers;
}

} // namespace

TEST_CASE("the gateway refuses a customer above its share before it takes a slot, and says when to return", "[customer-shares][truthful-not-run]")
{
    const auto done = [](GatewayTest::Peer &peer, const std::string &request) { peer.send(GatewayTest::answerTo(request, 200, "done")); };
    const auto full = [](GatewayTest::Peer &peer, const std::string &request) { peer.send(GatewayTest::answerTo(request, 503, "", "X-Not-Started: 1\r\n")); };
    GatewayOptions options;
    options.sharesByCustomer = true;
    SECTION("while others lack slots")
    {
        GatewayTest::Scene scene(options);
        const GatewayTest::FakeEndpoint &endpoint = scene.endpoint("e1", done);
        overload(*scene.gateway.customerShares(), SteadyClock::now() - 10s, true, CustomerId("acme"));
        const std::vector<std::string> answers = answersOf(scene);
        const std::ptrdiff_t refused = std::ranges::count_if(answers, [](const std::string &answer) {
            return GatewayTest::contains(answer, "503") && GatewayTest::contains(answer, "above its share") && !headerOf(answer, "Retry-After").empty();
        });
        CHECK(refused >= 5);
        CHECK(std::ssize(endpoint.requests) == std::ssize(answers) - refused);
        constexpr std::string_view decisions = "rhubarbwind_gateway_share_decisions_total";
        CHECK(scene.metrics.value(decisions, {{"service", "s"}, {"decision", "above-share"}}) == static_cast<double>(refused));
        // Served requests are counted as use.
        CHECK(scene.gateway.customerShares()->rows(SteadyClock::now()).front().customer == CustomerId("acme"));
    }
    SECTION("a request that finds the endpoints full makes the service short; a stream does not")
    {
        GatewayTest::Scene scene(options);
        scene.endpoint("e1", full);
        for (const std::string target : {"/stream/", "/unsafe/"}) {
            const std::shared_ptr<GatewayTest::Peer> caller = scene.caller();
            caller->send(GatewayTest::Scene::request("POST", target, "r1", {}, "x"));
            REQUIRE(scene.until([&] { return GatewayTest::contains(caller->received, "503"); }));
            CHECK(scene.gateway.customerShares()->isShort(plain, SteadyClock::now()) == (target == "/unsafe/"));
        }
        CHECK(scene.gateway.customerShares()->sums(8, SteadyClock::now()).size() == 1);
    }
    SECTION("switched off, there are no shares and every request is sent")
    {
        options.sharesByCustomer = false;
        GatewayTest::Scene scene(options);
        const GatewayTest::FakeEndpoint &endpoint = scene.endpoint("e1", done);
        REQUIRE(scene.gateway.customerShares() == nullptr);
        for (const std::string &answer : answersOf(scene)) {
            CHECK(GatewayTest::contains(answer, "done"));
        }
        CHECK(endpoint.requests.size() == 20);
        CHECK_FALSE(GatewayTest::contains(scene.metrics.exposition(), "share_decisions"));
    }
}
