// The arbiter over arbitrary histories, against an oracle that keeps all tickets in one vector and scans it in full to
// determine which tickets may be granted, shed or preempted.

#include "arbiter/arbiter.h"
#include "arbiter/arbitertestkit.h"
#include "base/random.h"

#include <cmath>
#include <numeric>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

constexpr TimePoint start(1h);
constexpr std::size_t attempts = 160; // few, so that messages reach attempts in every state
constexpr std::size_t hosts = 3;
const std::vector<std::string> classNames = {"query", "draft", "tagging", "summary"};

enum class Step : std::uint8_t {
    Ticket,
    Release,
    Cancel,
    Progress,
    Held,
    HostRemoved,
    Wait,
    Switch,
    Slots,
};

/** One event; `pick` selects the attempt, host or preset. Random picks produce repeated, missing and reordered messages. */
struct Event
{
    Step step = Step::Wait;
    std::uint32_t pick = 0;
    std::uint32_t amount = 0;
};

std::ostream &operator<<(std::ostream &stream, const Event &event)
{
    return stream << "{" << static_cast<int>(event.step) << ", " << event.pick << ", " << event.amount << "}";
}

rc::Gen<std::vector<Event>> anyHistory()
{
    const rc::Gen<Step> step = rc::gen::weightedElement<Step>({{24, Step::Ticket},
                                                               {8, Step::Release},
                                                               {1, Step::Cancel},
                                                               {1, Step::Progress},
                                                               {1, Step::Held},
                                                               {1, Step::HostRemoved},
                                                               {3, Step::Wait},
                                                               {1, Step::Switch},
                                                               {1, Step::Slots}});
    const rc::Gen<Event> event = rc::gen::build<Event>(rc::gen::set(&Event::step, step),
                                                       rc::gen::set(&Event::pick, rc::gen::inRange<std::uint32_t>(0, 1'000'000)),
                                                       rc::gen::set(&Event::amount, rc::gen::inRange<std::uint32_t>(0, 3'000)));
    return rc::gen::scale(8.0, rc::gen::container<std::vector<Event>>(event));
}

/** Presets that differ in tiers, limits, targets and preemption. */
std::shared_ptr<PresetInForce> presetNumber(std::uint32_t number, PresetVersion version)
{
    std::vector<ClassRule> classes;
    for (std::uint32_t i = 0; i < classNames.size(); ++i) {
        ClassRule rule = classRule(classNames[i], static_cast<std::uint8_t>((i + number) % 3), 0.05 * (1 + (i + number) % 4));
        rule.firstTokenTarget = 200ms * (1 + (i * 7 + number) % 5);
        rule.preemptible = (i + number) % 4 != 0;
        rule.queueLimit = 5 + 3 * ((i + number) % 3);
        classes.push_back(rule);
    }
    std::shared_ptr<PresetInForce> preset = presetOf(std::move(classes), version);
    preset->preset.preemption = number % 2 == 0;
    return preset;
}

enum class State : std::uint8_t {
    Unknown,
    Waiting,
    Running,
    Refused,
    Ended,
};

/** The oracle's state of one attempt. */
struct Known
{
    Ticket ticket;
    State state = State::Unknown;
    TimePoint deadline;
    EndpointId endpoint; ///< this and the fields below: while running
    Tier tier; ///< the highest since the grant
    bool stoppable = false; ///< its class allows it, and it was neither granted out of turn nor re-sent
    bool stopOrdered = false; ///< a preemption was sent
    bool orphan = false;
    std::size_t ends = 0;
    RefusalReason reason{};
};

/** Drives an arbiter and checks each of its actions by a full scan. */
class Oracle
{
public:
    explicit Oracle(std::uint32_t slots)
        : m_pool{3, 1 + slots % 2}
        , m_arbiter(ShardId("s"), options(), m_pool, 1, start)
    {
        for (std::size_t i = 0; i < attempts; ++i) {
            const std::string text = std::to_string(i);
            Known &known = m_known.emplace_back();
            known.ticket = ticketOf(text, classNames[i % 4], "c" + std::to_string(i % 5), "h" + std::to_string(i % hosts));
            known.ticket.deadlineIn = 500ms + 200ms * (i % 30);
        }
        switchTo(0);
        apply({Step::Wait, 0, 3000});
    }

    void apply(const Event &event)
    {
        Known &known = event.step == Step::Release ? mostlyRunning(event.pick) : m_known[event.pick % attempts];
        const AttemptId id = known.ticket.id;
        switch (event.step) {
        case Step::Ticket:
            sendTicket(known);
            return;
        case Step::Release:
        case Step::Cancel:
            end(known);
            event.step == Step::Cancel ? m_arbiter.cancel(m_now, id) : m_arbiter.release(m_now, releaseOf(known, event.amount));
            break;
        case Step::Progress:
            known.orphan = false;
            m_arbiter.progress(m_now, id, event.amount);
            break;
        case Step::Held:
            hold(known, event.amount);
            break;
        case Step::HostRemoved:
            killHost(HostId("h" + std::to_string(event.pick % hosts)));
            break;
        case Step::Wait:
            m_now += 100us * event.amount;
            m_arbiter.tick(m_now);
            break;
        case Step::Switch:
            switchTo(event.pick);
            break;
        case Step::Slots:
            m_pool.slotsEach = 1 + event.amount % 2;
            m_arbiter.tick(m_now);
            break;
        }
        check();
    }

    /** Releases running attempts until none remain, and checks that each ticket ended once. */
    void drain()
    {
        for (std::size_t rounds = 0; rounds <= attempts; ++rounds) {
            for (Known &known : m_known) {
                if (known.state == State::Running) {
                    apply({Step::Release, static_cast<std::uint32_t>(&known - m_known.data()), 10});
                }
            }
        }
        RC_ASSERT(m_arbiter.status().queued == 0U);
        for (const Known &known : m_known) {
            RC_ASSERT((known.state == State::Unknown || known.ends == 1));
        }
    }

private:
    static ArbiterOptions options()
    {
        ArbiterOptions options;
        options.queueBudget = 8;
        options.reservedTickets = 2;
        options.endedMemory = 10h; // the oracle does not model expiry
        options.silentPermitLimit = 10h;
        options.orphanHold = 10h;
        return options;
    }

    /** A running attempt in three of four cases, otherwise any. */
    Known &mostlyRunning(std::uint32_t pick)
    {
        Known &any = m_known[pick % attempts];
        const auto running = [](const Known &known) { return known.state == State::Running; };
        const auto found = std::find_if(m_known.begin() + pick % attempts, m_known.end(), running);
        return pick % 4 == 0 || found == m_known.end() ? any : *found;
    }

    const ClassRule &ruleOf(const Known &known) const
    {
        return *m_preset->preset.findClass(known.ticket.classId);
    }

    static Release releaseOf(const Known &known, std::uint32_t tokens)
    {
        Release release{known.ticket.id, known.endpoint};
        release.kind = static_cast<ReleaseKind>(tokens % 5);
        release.tokens = tokens;
        return release;
    }

    void end(Known &known)
    {
        m_preemptedSlotPending = m_preemptedSlotPending || (known.state == State::Running && known.stopOrdered);
        if (known.state == State::Unknown || known.state == State::Waiting || known.state == State::Running) {
            known.state = State::Ended;
            ++known.ends;
        }
    }

    void sendTicket(Known &known)
    {
        const State before = known.state;
        if (before == State::Unknown) {
            known.state = State::Waiting;
            known.deadline = m_now + known.ticket.deadlineIn;
        }
        m_arbiter.ticket(m_now, known.ticket);
        if (before != State::Running && before != State::Refused) {
            check();
            return;
        }
        const std::vector<ArbiterAction> actions = m_arbiter.takeActions();
        RC_ASSERT(actions.size() == 1U);
        if (before == State::Running) {
            RC_ASSERT(std::get<Grant>(actions[0].message).endpoint == known.endpoint);
        } else {
            RC_ASSERT((std::get<Refusal>(actions[0].message).reason == known.reason));
        }
    }

    void hold(Known &known, std::uint32_t amount)
    {
        const EndpointId endpoint = CountedEndpoints::idOf(amount % 3);
        const bool goesOn = known.state == State::Running && known.endpoint == endpoint;
        m_resent = goesOn && known.stopOrdered ? &known : nullptr;
        if (known.state != State::Refused && known.state != State::Ended) {
            known.state = State::Running;
            known.endpoint = endpoint;
            known.tier = goesOn ? known.tier : ruleOf(known).tier;
            known.stoppable = known.stoppable && goesOn;
            known.stopOrdered = known.stopOrdered && goesOn;
            known.orphan = false;
        }
        m_arbiter.held(m_now, HeldPermit{known.ticket, endpoint, amount});
    }

    void killHost(const HostId &host)
    {
        for (Known &known : m_known) {
            const bool dead = known.ticket.entry == host;
            known.orphan = known.orphan || dead;
            known.state = dead && known.state == State::Waiting ? State::Unknown : known.state;
        }
        m_arbiter.hostRemoved(m_now, host);
    }

    void switchTo(std::uint32_t number)
    {
        m_preset = presetNumber(number, ++m_version);
        for (Known &known : m_known) {
            const ClassRule &rule = ruleOf(known);
            known.tier = std::min(known.tier, rule.tier);
            known.stoppable = known.stoppable && rule.preemptible;
        }
        m_arbiter.applyPreset(m_now, m_preset);
    }

    void check()
    {
        for (const ArbiterAction &action : m_arbiter.takeActions()) {
            std::visit([this](const auto &message) { checkMessage(m_known[std::stoul(message.id.request.text())], message); }, action.message);
        }
        m_preemptedSlotPending = m_preemptedSlotPending && count(State::Waiting) > 0;
        RC_ASSERT_FALSE(anyWaiting([this](const Known &known) { return known.deadline <= m_now; }));
        checkBudgets();
        const ArbiterStatus status = m_arbiter.status();
        RC_ASSERT(status.queued == count(State::Waiting));
        RC_ASSERT(status.running == count(State::Running));
        RC_ASSERT(m_pool.totalUsed() == status.running);
        RC_ASSERT((status.queued == 0 || status.collecting || m_pool.freeSlots(m_now) == 0));
    }

    void checkMessage(Known &known, const Grant &grant)
    {
        RC_ASSERT((known.state == State::Waiting));
        const bool overtakes = anyWaiting([&](const Known &other) { return ruleOf(other).tier.isHigherThan(ruleOf(known).tier); });
        if (overtakes) {
            RC_ASSERT_FALSE(m_lastOvertook);
            RC_ASSERT_FALSE(m_preemptedSlotPending);
        }
        m_lastOvertook = overtakes;
        m_preemptedSlotPending = false;
        known.state = State::Running;
        known.endpoint = grant.endpoint;
        known.tier = ruleOf(known).tier;
        known.stoppable = ruleOf(known).preemptible && !overtakes;
        known.stopOrdered = false;
        known.orphan = false;
    }

    void checkMessage(Known &known, const Refusal &refusal)
    {
        RC_ASSERT((known.state == State::Waiting));
        if (refusal.reason == RefusalReason::QueueFull && waitingOf(known.ticket.classId) <= ruleOf(known).queueLimit) {
            RC_ASSERT_FALSE(anyWaiting([&](const Known &other) { return ruleOf(known).tier.isHigherThan(ruleOf(other).tier) && couldGo(other); }));
        }
        if (refusal.reason == RefusalReason::Hopeless) {
            RC_ASSERT(couldGo(known));
        }
        if (refusal.reason == RefusalReason::DeadlinePassed) {
            RC_ASSERT(known.deadline <= m_now);
        }
        known.state = State::Refused;
        known.reason = refusal.reason;
        ++known.ends;
    }

    void checkMessage(Known &known, const Preemption &)
    {
        if (std::exchange(m_resent, nullptr) == &known) {
            return; // its host may not have received the first one
        }
        RC_ASSERT((isPreemptible(known) && m_preset->preset.preemption));
        // Never more preemptions than requests that could use the slots.
        const auto isAbove = [&](const Known &other) { return other.state == State::Waiting && ruleOf(other).tier.isHigherThan(known.tier); };
        const auto isStopping = [](const Known &other) { return other.state == State::Running && other.stopOrdered; };
        RC_ASSERT(std::ranges::count_if(m_known, isStopping) < std::ranges::count_if(m_known, isAbove));
        for (const Known &other : m_known) {
            RC_ASSERT_FALSE((isPreemptible(other) && known.tier.isHigherThan(other.tier)));
        }
        known.stopOrdered = true;
    }

    static bool isPreemptible(const Known &known)
    {
        return known.state == State::Running && known.stoppable && !known.stopOrdered && !known.orphan;
    }

    void checkBudgets() const
    {
        std::size_t counted = 0;
        for (const std::string &name : classNames) {
            const std::size_t waiting = waitingOf(ClassId(name));
            RC_ASSERT(waiting <= m_preset->preset.findClass(ClassId(name))->queueLimit);
            counted += waiting - std::min(waiting, options().reservedTickets);
        }
        RC_ASSERT(counted <= options().queueBudget);
    }

    bool couldGo(const Known &known) const
    {
        return waitingOf(known.ticket.classId) > options().reservedTickets;
    }

    std::size_t waitingOf(const ClassId &classId) const
    {
        return std::ranges::count_if(m_known, [&](const Known &known) { return known.state == State::Waiting && known.ticket.classId == classId; });
    }

    std::size_t count(State state) const
    {
        return std::ranges::count(m_known, state, &Known::state);
    }

    template <class Matches>
    bool anyWaiting(Matches matches) const
    {
        return std::ranges::any_of(m_known, [&](const Known &known) { return known.state == State::Waiting && matches(known); });
    }

    std::vector<Known> m_known;
    std::shared_ptr<PresetInForce> m_preset;
    PresetVersion m_version = 0;
    TimePoint m_now = start;
    CountedEndpoints m_pool;
    TestArbiter m_arbiter;
    bool m_lastOvertook = false;
    bool m_preemptedSlotPending = false; ///< a slot freed by preemption has not been granted again
    const Known *m_resent = nullptr; ///< was preempted before and is now re-sent
};

} // namespace

TEST_CASE("no history makes the arbiter pass over a higher request, break a budget or end a ticket twice", "[tier-order]")
{
    // A higher request must not be refused or stopped while a lower one could be, whatever messages arrive, repeat or are
    // lost, hosts die or presets are switched. Each action is checked by a full scan.
    rc::prop("every action is right by a full scan of all tickets", [] {
        const std::vector<Event> history = *anyHistory();
        Oracle oracle(*rc::gen::inRange<std::uint32_t>(0, 3));
        for (const Event &event : history) {
            oracle.apply(event);
        }
        oracle.drain();
    });
}

namespace
{

/** A shard flooded by higher requests, with lower classes whose tickets come and go. */
class Flood
{
public:
    Flood(std::vector<double> shares, std::size_t slots, std::size_t backlog)
        : m_shares(std::move(shares))
        , m_backlog(backlog)
        , m_pool{1, slots}
        , m_arbiter(ShardId("s"), options(), m_pool, 1, start)
    {
        std::vector<ClassRule> classes = {classRule("high", 0, 0.01)};
        for (std::size_t i = 0; i < m_shares.size(); ++i) {
            classes.push_back(classRule("low-" + std::to_string(i), static_cast<std::uint8_t>(1 + i / 2), m_shares[i]));
        }
        m_arbiter.applyPreset(start, presetOf(classes));
        m_grantsWaited.resize(m_shares.size());
        for (std::size_t i = 0; i < slots; ++i) {
            send("high", 1s);
        }
        refill();
    }

    /** Ends one running attempt and returns the class that was granted: 0 for the high one. */
    std::size_t step(std::size_t finished, bool lowLeaves)
    {
        refill();
        m_now += 10ms;
        if (lowLeaves && std::ranges::count(m_running, m_lastLow) == 0) {
            // A lower request is cancelled and replaced by another one: the class's credit must not start again.
            m_arbiter.cancel(m_now, attempt(m_lastLow));
        }
        const std::string ended = m_running[finished % m_running.size()];
        std::erase(m_running, ended);
        m_arbiter.release(m_now, Release{attempt(ended), EndpointId("engine-0")});
        return takeGrant();
    }

    /** Grants of the shard since the class's last one, while it had a waiting ticket. */
    std::size_t grantsWaited(std::size_t low) const
    {
        return m_grantsWaited[low];
    }
    std::size_t classes() const
    {
        return m_shares.size();
    }
    double scaledShare(std::size_t low) const
    {
        double sum = 0.01;
        for (const double share : m_shares) {
            sum += share;
        }
        return m_shares[low] * std::min(1.0, options().maxShareSum / sum);
    }
    std::size_t bound(std::size_t low) const
    {
        return static_cast<std::size_t>(std::ceil(1 / scaledShare(low))) + (2 + GrantOrder::maxDeferrals) * (m_shares.size() + 1);
    }

private:
    static ArbiterOptions options()
    {
        ArbiterOptions options;
        options.queueBudget = 20;
        options.reservedTickets = 2;
        options.maxShareSum = 0.3;
        return options;
    }

    void refill()
    {
        std::map<ClassId, ClassStatus> waiting = m_arbiter.status().classes;
        for (std::size_t i = 0; i < m_shares.size(); ++i) {
            m_lastLow = send("low-" + std::to_string(i), 30s);
        }
        for (std::size_t i = waiting[ClassId("high")].queued; i < m_backlog; ++i) {
            send("high", 25ms + 3ms * (m_sent % 9));
        }
        takeGrant();
        RC_ASSERT(m_arbiter.status().classes.contains(ClassId("high")));
    }

    std::string send(const std::string &classId, Duration deadline)
    {
        Ticket ticket = ticketOf(classId + "/" + std::to_string(++m_sent), classId);
        ticket.deadlineIn = deadline;
        m_arbiter.ticket(m_now, ticket);
        return ticket.id.request.text();
    }

    std::size_t takeGrant()
    {
        std::size_t granted = 0;
        for (const ArbiterAction &action : m_arbiter.takeActions()) {
            const Grant *grant = std::get_if<Grant>(&action.message);
            if (!grant) {
                continue;
            }
            const std::string &request = grant->id.request.text();
            m_running.push_back(request);
            granted = request.starts_with("high") ? 0 : 1 + std::stoul(request.substr(4));
            for (std::size_t i = 0; i < m_grantsWaited.size(); ++i) {
                m_grantsWaited[i] = granted == i + 1 ? 0 : m_grantsWaited[i] + 1;
            }
        }
        return granted;
    }

    std::vector<double> m_shares;
    std::size_t m_backlog;
    TimePoint m_now = start + 1s;
    CountedEndpoints m_pool;
    TestArbiter m_arbiter;
    std::size_t m_sent = 0;
    std::string m_lastLow;
    std::vector<std::string> m_running;
    std::vector<std::size_t> m_grantsWaited;
};

std::vector<double> anyShares()
{
    const std::size_t classes = *rc::gen::inRange<std::size_t>(1, 6);
    std::vector<double> shares;
    for (std::size_t i = 0; i < classes; ++i) {
        shares.push_back(*rc::gen::element(0.01, 0.02, 0.05, 0.1, 0.3, 0.6));
    }
    return shares;
}

} // namespace

TEST_CASE("under a permanent flood of higher requests every class is granted within its bound", "[no-starvation]")
{
    // Guards against starvation: higher requests never stop, fill the queue budget and are all about to reach their
    // deadlines. Without reserved tickets every lower request is shed before it is served; without the minimum share it is
    // never served; with unlimited deferrals the requests near their deadlines always go first.
    rc::prop("each wait, in grants of the shard, is within the stated bound", [] {
        Flood flood(anyShares(), *rc::gen::inRange<std::size_t>(1, 4), *rc::gen::inRange<std::size_t>(1, 30));
        const std::size_t classes = flood.classes();
        for (std::size_t i = 0; i < 300; ++i) {
            flood.step(i * 7, i % 5 == 0);
            for (std::size_t low = 0; low < classes; ++low) {
                RC_ASSERT(flood.grantsWaited(low) <= flood.bound(low));
            }
        }
    });
}

TEST_CASE("minimum shares delay a higher request by no more than the stated bound", "[tier-order]")
{
    // A query waits behind n others; without a bound on grants out of turn the lower classes' shares could delay it past its
    // deadline.
    rc::prop("of the grants in any window, no more than the shares plus two a class are out of turn", [] {
        const std::vector<double> shares = anyShares();
        Flood flood(shares, 2, 10);
        double sum = 0;
        for (std::size_t low = 0; low < shares.size(); ++low) {
            sum += flood.scaledShare(low);
        }
        std::vector<std::size_t> taken = {0};
        for (std::size_t i = 0; i < 200; ++i) {
            taken.push_back(taken.back() + (flood.step(i, false) > 0 ? 1 : 0));
        }
        bool withinBounds = true;
        for (std::size_t from = 0; from < taken.size(); from += 5) {
            for (std::size_t to = from; to < taken.size(); ++to) {
                const std::size_t outOfTurn = taken[to] - taken[from];
                const std::size_t window = to - from;
                withinBounds = withinBounds && static_cast<double>(outOfTurn) <= sum * static_cast<double>(window) + 2.0 * static_cast<double>(shares.size());
                withinBounds = withinBounds && outOfTurn <= (window + 1) / 2;
            }
        }
        RC_ASSERT(withinBounds);
    });
}

TEST_CASE("tokens of customers with work waiting converge to their weights")
{
    // Lengths are heavy-tailed and the first customer's are three times as long, so the estimates are always wrong.
    const std::vector<double> weights = GENERATE(values<std::vector<double>>({{1, 1}, {1, 3}, {0.5, 1, 2, 3}, {3, 1, 1, 1, 0.5}}));
    Random random(GENERATE(1U, 2U));
    std::shared_ptr<PresetInForce> preset = presetOf({classRule("draft", 0), classRule("query", 0)});
    for (std::size_t i = 0; i < weights.size(); ++i) {
        preset->preset.customers.push_back({CustomerId("c" + std::to_string(i)), weights[i], ""});
    }
    CountedEndpoints pool{2, 4};
    TestArbiter arbiter(ShardId("s"), ArbiterOptions(), pool, 1, start);
    arbiter.applyPreset(start, preset);
    const TimePoint now = start + 1s;
    std::size_t sent = 0;
    const auto send = [&](std::size_t customer) {
        const std::string request = std::to_string(customer) + "/" + std::to_string(++sent);
        arbiter.ticket(now, ticketOf(request, sent % 2 == 0 ? "draft" : "query", "c" + std::to_string(customer)));
    };
    for (std::size_t i = 0; i < 60; ++i) {
        send(i % weights.size());
    }
    arbiter.tick(now);
    std::vector<double> tokens(weights.size());
    std::vector<AttemptId> running;
    double total = 0;
    for (std::size_t answers = 0; answers < 3000; ++answers) {
        for (const ArbiterAction &action : arbiter.takeActions()) {
            running.push_back(std::get<Grant>(action.message).id);
            send(std::stoul(running.back().request.text()));
        }
        std::swap(running[random.below(running.size())], running.back());
        Release release{running.back(), EndpointId("engine-0")};
        running.pop_back();
        const std::size_t customer = std::stoul(release.id.request.text());
        release.tokens = static_cast<std::uint32_t>((customer == 0 ? 300 : 100) / std::sqrt(random.uniform() + 0.01));
        arbiter.release(now, release);
        tokens[customer] += release.tokens;
        total += release.tokens;
    }
    const double weight = std::accumulate(weights.begin(), weights.end(), 0.0);
    for (std::size_t i = 0; i < weights.size(); ++i) {
        CAPTURE(i, tokens[i] / total);
        REQUIRE(tokens[i] / total == Approx(weights[i] / weight).epsilon(0.05));
    }
}
