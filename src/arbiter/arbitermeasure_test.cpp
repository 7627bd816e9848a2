// Not run by default: arbiter_test '[.measure]' prints what a decision costs.

#include "arbiter/arbiter.h"
#include "arbiter/arbitertestkit.h"
#include "base/clock.h"
#include "base/random.h"

#include <iostream>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

/** Costs next to nothing, so that the arbiter's own work is measured. */
struct CheapEndpoints
{
    std::size_t places = 0;

    std::optional<EndpointChoice> choose(TimePoint, const EndpointQuery &)
    {
        return places > 0 ? std::optional(EndpointChoice{EndpointId("engine-" + std::to_string(places % 50))}) : std::nullopt;
    }
    void reserve(TimePoint, const Reservation &, std::span<const std::uint64_t>)
    {
        --places;
    }
    void free(TimePoint, const Reservation &, const ServiceSample &)
    {
        ++places;
    }
    void freeUnused(TimePoint, const Reservation &)
    {
        ++places;
    }
    void update(TimePoint, std::span<const Endpoint>)
    {
    }
    std::size_t freePlaces(TimePoint)
    {
        return places;
    }
    bool hasTakers()
    {
        return true;
    }
};

} // namespace

TEST_CASE("decisions per second with a long queue", "[.measure]")
{
    constexpr std::size_t queued = 10'000;
    constexpr std::size_t customers = 300;
    constexpr std::size_t decisions = 100'000;
    std::shared_ptr<PresetInForce> preset = presetOf({classRule("query", 0), classRule("draft", 1), classRule("tagging", 2), classRule("summary", 2)});
    for (ClassRule &rule : preset->preset.classes) {
        rule.queueLimit = 20'000;
    }
    for (std::size_t i = 0; i < customers; ++i) {
        preset->preset.customers.push_back({CustomerId("customer-" + std::to_string(i)), 1.0 + static_cast<double>(i % 5), ""});
    }
    CheapEndpoints pool{50 * 16};
    TimePoint now(1h);
    Arbiter<CheapEndpoints> arbiter(ShardId("s"), ArbiterOptions(), pool, 1, now);
    arbiter.applyPreset(now, preset);
    now += 1s; // past the collecting round
    arbiter.tick(now);
    Random random(1);
    std::size_t sent = 0;
    const auto send = [&] {
        static const std::array<const char *, 4> classes = {"query", "draft", "tagging", "summary"};
        const std::string customer = "customer-" + std::to_string(random.below(customers));
        Ticket ticket = ticketOf(std::to_string(++sent), classes[random.below(classes.size())], customer);
        ticket.deadlineIn = 1h;
        arbiter.ticket(now, ticket);
    };
    for (std::size_t i = 0; i < queued; ++i) {
        send();
    }
    std::vector<Grant> running;
    std::size_t granted = 0;
    const TimePoint begin = SteadyClock::now();
    while (granted < decisions) {
        now += 100us;
        arbiter.tick(now);
        for (const ArbiterAction &action : arbiter.takeActions()) {
            running.push_back(std::get<Grant>(action.message));
            ++granted;
            send();
        }
        std::swap(running[random.below(running.size())], running.back());
        Release release{running.back().id, running.back().endpoint};
        release.tokens = static_cast<std::uint32_t>(1 + random.below(2000));
        running.pop_back();
        arbiter.release(now, release);
    }
    const double seconds = toSeconds(SteadyClock::now() - begin);
    std::cout << decisions << " grants in " << seconds << " s: " << static_cast<double>(decisions) / seconds
              << " a second, each with a ticket, a tick and a release, " << arbiter.status().queued << " queued\n";
    REQUIRE(arbiter.status().queued > queued / 2);
}
