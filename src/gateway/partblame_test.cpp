// How often requests are rejected for an unaffected part of their prompts, and how many endpoints a crashing part ends, in fleets with many crashes. Runs on
// virtual time, with the tracker of each host, delayed messages, and engines that run many requests at once.

#include "gateway/promptparttracker.h"

#include <catch2/catch.hpp>

#include <fcntl.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>
#include <set>

using namespace Rhubarbwind;

namespace
{

enum class Place : std::uint8_t {
    First, ///< before all other parts
    Middle,
    Last, ///< after all other shared parts
};

/** Causes of crashes: failures of engines whatever runs there, and parts of prompts. */
struct Trouble
{
    std::string name;
    Duration every{}; ///< between failures of engines; zero: never
    double share = 0; ///< of the engines, at once
    int badParts = 0;
    std::uint32_t badCustomers = 1; ///< customers that send requests with a bad part
    Place place = Place::Middle;
    bool hostsRestart = false; ///< one after the other, one each second
    bool isHostCutOff = false; ///< one host receives nothing and is not heard
    bool isForging = false; ///< another customer states the bad part in sound requests
    bool isStated = false; ///< the crashing requests state a part that another customer uses, and crash for a reason of their own
};

struct Outcome
{
    int unaffected = 0; ///< attempts
    int rejected = 0; ///< of these
    int popularRejected = 0; ///< of these, for a part that many requests share
    int brokenStreams = 0;
    int maxCrashesPerPart = 0;
    int victims = 0; ///< attempts on a part that another customer's crashing requests state
    int victimsRejected = 0;
    int lateSends = 0; ///< of requests with a bad part, later than 3 s after its fifth crash; the maximum of all parts
};

constexpr std::uint32_t customers = 10;
const std::string badPrefix = "bad";
const std::string victimPart = "victim";

class Fleet
{
public:
    Fleet(Trouble trouble, std::uint32_t seed, std::size_t hostCount = 9, std::size_t engineCount = 12)
        : m_trouble(std::move(trouble))
        , m_random(seed)
        , m_hosts(hostCount)
        , m_engines(engineCount)
        , m_log(std::make_shared<DecisionLog>("model", 1, open("/dev/null", O_WRONLY), WriterBounds(), TimePoint()))
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            startHost(i);
        }
        for (Engine &engine : m_engines) {
            engine.incarnation = ++m_lastIncarnation;
        }
    }

    Outcome run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += step) {
            m_now = began + passed;
            deliver();
            detect();
            arrivals(passed);
            progress();
            if (passed >= calm) {
                trouble(passed);
            }
            if (passed % 1s == Duration::zero()) {
                everySecond();
            }
        }
        for (const auto &[part, crashes] : m_badCrashes) {
            m_outcome.maxCrashesPerPart = std::max(m_outcome.maxCrashesPerPart, static_cast<int>(crashes.size()));
            m_outcome.lateSends = std::max(m_outcome.lateSends, m_lateSends[part]);
        }
        return m_outcome;
    }

private:
    static constexpr Duration step = 10ms;
    static constexpr Duration detection = 80ms;
    static constexpr Duration messageDelay = 20ms;
    static constexpr Duration farMessageDelay = 300ms; ///< through relays
    static constexpr Duration downtime = 3s;
    static constexpr Duration calm = 10s; ///< before the first crash
    static constexpr Duration badPause = 300ms; ///< between two requests with the same bad part
    static constexpr Duration eventPause = 30ms;
    static constexpr std::size_t maxHostsWithoutRelays = 24;
    static constexpr std::size_t crashCounters = 4;
    inline static const TimePoint began = TimePoint(10h);

    struct Request
    {
        std::vector<std::string> parts;
        std::uint32_t customer = 0;
        std::string badPart; ///< empty: none
        bool isCounted = true; ///< as unaffected
        bool isVictim = false; ///< on a part that crashing requests of another customer state
    };
    struct Run
    {
        Request request;
        std::size_t host = 0;
        TimePoint sentAt{};
        TimePoint firstAt{};
        TimePoint until{};
        bool isNoted = false;
        std::optional<PartIdentity> trial;
    };
    struct Engine
    {
        std::uint64_t incarnation = 0;
        TimePoint backAt{};
        std::vector<Run> runs;
    };
    struct Host
    {
        Metrics metrics;
        std::unique_ptr<PromptPartTracker> tracker;
        std::uint64_t life = 0;
    };
    struct Message
    {
        TimePoint at{};
        std::size_t from = 0;
        std::size_t to = 0;
        SuspectUpdate update;
        TimePoint sentAt{};
    };
    struct PendingBreak
    {
        TimePoint at{};
        std::size_t host = 0;
        std::uint64_t life = 0; ///< of the host
        EndpointBreak seen;
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    static std::string customerName(std::uint32_t customer)
    {
        return "customer" + std::to_string(customer);
    }

    void startHost(std::size_t index)
    {
        Host &host = m_hosts[index];
        ++host.life;
        host.tracker = std::make_unique<PromptPartTracker>(PartOptions(), m_log, host.metrics);
        PartHandlers handlers;
        handlers.sendToCrashCounters = [this, index](const SuspectUpdate &update) {
            if (usesRelays()) {
                sendToCounters(index, update);
            } else {
                sendToAll(index, update);
            }
        };
        handlers.broadcast = [this, index](const SuspectUpdate &update) { sendToAll(index, update); };
        handlers.countsCrashes = [this, index](const PartIdentity &part) { return !usesRelays() || isCounter(part, index); };
        handlers.rank = [index](const PartIdentity &) { return index; };
        handlers.onQuarantined = [this, index] { cancelWaiting(index); };
        host.tracker->setHandlers(std::move(handlers));
    }

    bool usesRelays() const
    {
        return m_hosts.size() > maxHostsWithoutRelays;
    }
    bool isCounter(const PartIdentity &part, std::size_t host) const
    {
        for (std::size_t i = 0; i < crashCounters; ++i) {
            if ((part.low + i * 7) % m_hosts.size() == host) {
                return true;
            }
        }
        return false;
    }
    bool isCutOff(std::size_t host) const
    {
        return m_trouble.isHostCutOff && host == 0;
    }
    void post(std::size_t from, std::size_t to, const SuspectUpdate &update, Duration delay)
    {
        if (from != to && !isCutOff(from) && !isCutOff(to)) {
            m_messages.push_back({m_now + delay, from, to, update, m_now});
        }
    }
    void sendToAll(std::size_t from, const SuspectUpdate &update)
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            post(from, i, update, usesRelays() ? farMessageDelay : messageDelay);
        }
    }
    void sendToCounters(std::size_t from, const SuspectUpdate &update)
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            SuspectUpdate part;
            for (const SharedPartCrash &each : update.partCrashes) {
                if (isCounter({each.identityHigh, each.identityLow}, i)) {
                    part.partCrashes.push_back(each);
                }
            }
            for (const SharedPartEvidence &each : update.partEvidence) {
                if (isCounter({each.identityHigh, each.identityLow}, i)) {
                    part.partEvidence.push_back(each);
                }
            }
            if (!part.empty()) {
                post(from, i, part, messageDelay);
            }
        }
    }

    template <class Item>
    std::vector<Item> takeDue(std::vector<Item> &items)
    {
        std::vector<Item> due;
        std::ranges::copy_if(items, std::back_inserter(due), [this](const Item &item) { return item.at <= m_now; });
        std::erase_if(items, [this](const Item &item) { return item.at <= m_now; });
        return due;
    }

    void deliver()
    {
        for (Message &message : takeDue(m_messages)) {
            for (SharedPartCrash &each : message.update.partCrashes) {
                each.age += m_now - message.sentAt;
            }
            for (SharedPartEvidence &each : message.update.partEvidence) {
                each.age += m_now - message.sentAt;
            }
            m_hosts[message.to].tracker->receive(message.update, m_now);
        }
    }

    void detect()
    {
        for (PendingBreak &pending : takeDue(m_breaks)) {
            if (m_hosts[pending.host].life == pending.life) {
                m_hosts[pending.host].tracker->handleBreak(pending.seen, m_now);
            }
        }
    }

    /** Routes have one part in common, topics of a route are popular to different degrees, and a session has a part of its own below its topic. */
    Request soundRequest()
    {
        constexpr std::size_t routes = 3;
        constexpr std::size_t topics = 20;
        constexpr std::size_t sessions = 60;
        Request request;
        const std::string route = "route" + std::to_string(draw(routes));
        const std::string topic = route + "topic" + std::to_string(static_cast<std::size_t>(std::pow(uniform(), 2) * topics));
        request.customer = static_cast<std::uint32_t>(std::pow(uniform(), 2) * customers);
        request.parts = {route, topic};
        if (uniform() < 0.5) {
            // Sessions change all the time, so parts appear that no host has seen before.
            constexpr Duration sessionLifetime = 20s;
            const std::size_t slot = draw(sessions);
            const Duration shifted = m_now - began + sessionLifetime / sessions * static_cast<int>(slot);
            request.parts.push_back(topic + "session" + std::to_string(slot) + "-" + std::to_string(shifted / sessionLifetime));
        }
        return request;
    }
    Request badRequest(int number)
    {
        Request request = soundRequest();
        request.customer = static_cast<std::uint32_t>(draw(m_trouble.badCustomers));
        request.badPart = badPrefix + std::to_string(number);
        const std::size_t at = m_trouble.place == Place::First ? 0 : m_trouble.place == Place::Middle ? 1 : request.parts.size();
        request.parts.insert(request.parts.begin() + static_cast<std::ptrdiff_t>(at), m_trouble.isStated ? victimPart : request.badPart);
        return request;
    }
    void sendBeside(Duration passed)
    {
        constexpr Duration forgedPause = 200ms;
        constexpr Duration victimPause = 700ms;
        if (m_trouble.isForging && passed % forgedPause == Duration::zero()) {
            Request request = soundRequest();
            request.customer = customers - 1;
            request.parts.push_back(badPrefix + "0");
            request.isCounted = false;
            send(request);
        }
        if (m_trouble.isStated && passed % victimPause == Duration::zero()) {
            Request request = soundRequest();
            request.customer = customers - 1;
            request.parts.push_back(victimPart);
            request.isVictim = true;
            send(request);
        }
    }

    void arrivals(Duration passed)
    {
        constexpr double perSecond = 50;
        const int count = std::poisson_distribution<int>(perSecond * toSeconds(step))(m_random);
        for (int i = 0; i < count; ++i) {
            send(soundRequest());
        }
        sendBeside(passed);
        for (int i = 0; i < m_trouble.badParts && passed >= calm && (passed + 70ms * i) % badPause == Duration::zero(); ++i) {
            send(badRequest(i));
        }
    }

    SharedParts partsOf(const Request &request)
    {
        return {"s", request.parts, customerKey(customerName(request.customer))};
    }

    void send(const Request &request)
    {
        const std::size_t number = draw(m_hosts.size());
        const bool isSound = request.badPart.empty() && request.isCounted;
        m_outcome.unaffected += isSound ? 1 : 0;
        m_outcome.victims += request.isVictim ? 1 : 0;
        PromptPartTracker &tracker = *m_hosts[number].tracker;
        const PartVerdict verdict = tracker.check(partsOf(request), m_now);
        const bool mayTry = verdict.status.state == PartState::Trial && tracker.beginTrial(verdict, m_now);
        if (verdict.status.state >= PartState::Quarantined && !mayTry) {
            m_outcome.rejected += isSound ? 1 : 0;
            m_outcome.victimsRejected += request.isVictim ? 1 : 0;
            m_outcome.popularRejected += isSound && request.parts[verdict.index].find("session") == std::string::npos ? 1 : 0;
            return;
        }
        std::vector<Engine *> up;
        for (Engine &engine : m_engines) {
            if (engine.backAt <= m_now) {
                up.push_back(&engine);
            }
        }
        if (up.empty()) {
            return;
        }
        if (verdict.status.state == PartState::Suspect) {
            std::ranges::stable_sort(up, {}, [](const Engine *engine) { return engine->runs.size(); });
            up.resize((up.size() + 1) / 2);
        }
        const std::uint64_t key = verdict.part.low;
        const auto rank = [key](const Engine *engine) { return (key * 2654435761U) ^ (engine->incarnation * 40503U * key); };
        Engine &engine = verdict.status.state == PartState::Suspect ? **std::ranges::max_element(up, {}, rank) : *up[draw(up.size())];
        countLate(request);
        constexpr double meanSeconds = 1.2;
        Run run;
        run.request = request;
        run.host = number;
        run.sentAt = m_now;
        run.firstAt = m_now + 30ms + fromSeconds(0.15 * uniform());
        run.until = run.firstAt + 100ms + fromSeconds(std::exponential_distribution<double>(1 / meanSeconds)(m_random));
        run.trial = mayTry ? std::optional(verdict.part) : std::nullopt;
        engine.runs.push_back(run);
    }

    void countLate(const Request &request)
    {
        constexpr std::size_t fifth = 4;
        constexpr Duration learnTime = 3s;
        const std::vector<TimePoint> &crashes = m_badCrashes[request.badPart];
        if (!request.badPart.empty() && crashes.size() > fifth && m_now > crashes[fifth] + learnTime) {
            ++m_lateSends[request.badPart];
        }
    }

    void progress()
    {
        for (Engine &engine : m_engines) {
            const auto crashes = [this](const Run &run) { return !run.request.badPart.empty() && run.firstAt <= m_now; };
            const auto culprit = std::ranges::find_if(engine.runs, crashes);
            if (culprit != engine.runs.end()) {
                m_badCrashes[culprit->request.badPart].push_back(m_now);
                end(engine);
                continue;
            }
            for (Run &run : engine.runs) {
                PromptPartTracker &tracker = *m_hosts[run.host].tracker;
                if (!run.isNoted && m_now >= run.firstAt + eventPause * (earlyEvents - 1)) {
                    run.isNoted = true;
                    tracker.answered(partsOf(run.request), run.firstAt, false, m_now);
                }
                if (run.until <= m_now) {
                    tracker.answered(partsOf(run.request), run.firstAt, true, m_now);
                    endTrial(run);
                }
            }
            std::erase_if(engine.runs, [this](const Run &run) { return run.until <= m_now; });
        }
    }

    void endTrial(const Run &run)
    {
        if (run.trial) {
            m_hosts[run.host].tracker->endTrial(*run.trial);
        }
    }

    void cancelWaiting(std::size_t host)
    {
        for (Engine &engine : m_engines) {
            std::erase_if(engine.runs, [&](const Run &run) {
                return run.host == host && run.firstAt > m_now
                    && m_hosts[host].tracker->check(partsOf(run.request), m_now).status.state == PartState::Quarantined;
            });
        }
    }

    void end(Engine &engine)
    {
        std::map<std::size_t, EndpointBreak> breaks;
        for (const Run &run : engine.runs) {
            m_outcome.brokenStreams += run.request.badPart.empty() ? 1 : 0;
            endTrial(run);
            EndpointBreak &seen = breaks[run.host];
            seen.endpoint.id = EndpointId("e" + std::to_string(&engine - m_engines.data()));
            seen.endpoint.incarnation = engine.incarnation;
            seen.endpoint.service = ShardId("s");
            seen.at = m_now;
            seen.result = BreakResult::Ended;
            seen.endpoints = m_engines.size();
            BrokenSend send;
            send.customer = CustomerId(customerName(run.request.customer));
            send.sentAt = run.sentAt;
            send.parts = run.request.parts;
            send.events = run.firstAt > m_now ? 0 : static_cast<std::size_t>((m_now - run.firstAt) / eventPause) + 1;
            if (!run.request.badPart.empty()) {
                send.events = 0;
            }
            seen.sends.push_back(send);
        }
        for (const auto &[host, seen] : breaks) {
            m_breaks.push_back({m_now + detection, host, m_hosts[host].life, seen});
        }
        engine.runs.clear();
        engine.incarnation = ++m_lastIncarnation;
        engine.backAt = m_now + downtime;
    }

    void trouble(Duration passed)
    {
        if (m_trouble.every == Duration::zero() || passed % m_trouble.every != Duration::zero()) {
            return;
        }
        std::vector<Engine *> order;
        for (Engine &engine : m_engines) {
            order.push_back(&engine);
        }
        std::ranges::shuffle(order, m_random);
        order.resize(static_cast<std::size_t>(std::ceil(m_trouble.share * static_cast<double>(m_engines.size()))));
        for (Engine *engine : order) {
            if (engine->backAt <= m_now) {
                end(*engine);
            }
        }
    }

    void everySecond()
    {
        if (m_trouble.hostsRestart && m_now >= began + calm) {
            startHost(m_nextRestart++ % m_hosts.size());
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].tracker->tick(m_now);
            SuspectUpdate update;
            m_hosts[i].tracker->addRepeats(update, m_now);
            constexpr int repeatTargets = 3;
            for (int target = 0; target < repeatTargets && !update.empty(); ++target) {
                post(i, draw(m_hosts.size()), update, messageDelay);
            }
        }
    }

    Trouble m_trouble;
    std::mt19937 m_random;
    std::vector<Host> m_hosts;
    std::vector<Engine> m_engines;
    std::shared_ptr<DecisionLog> m_log;
    std::vector<Message> m_messages;
    std::vector<PendingBreak> m_breaks;
    std::map<std::string, std::vector<TimePoint>> m_badCrashes;
    std::map<std::string, int> m_lateSends;
    Outcome m_outcome;
    TimePoint m_now{};
    std::uint64_t m_lastIncarnation = 0;
    std::size_t m_nextRestart = 0;
};

Trouble named(const std::string &name)
{
    Trouble trouble;
    trouble.name = name;
    return trouble;
}

Trouble withParts(const std::string &name, int parts, std::uint32_t badCustomers = 1, Place place = Place::Middle)
{
    Trouble trouble = named(name);
    trouble.badParts = parts;
    trouble.badCustomers = badCustomers;
    trouble.place = place;
    return trouble;
}

Trouble alsoCrashing(Trouble trouble, Duration every, double share)
{
    trouble.every = every;
    trouble.share = share;
    return trouble;
}

std::vector<Trouble> allTroubles()
{
    std::vector<Trouble> all{
        named("nothing"),
        alsoCrashing(named("an engine each second"), 1s, 0.05),
        alsoCrashing(named("a rack of three each four seconds"), 4s, 0.25),
        alsoCrashing(named("half of all each ten seconds"), 10s, 0.5),
        withParts("a part", 1),
        withParts("a part of several customers", 1, customers),
        withParts("a part before all others", 1, customers, Place::First),
        withParts("a part behind all others", 1, customers, Place::Last),
        withParts("two parts", 2, customers),
        alsoCrashing(withParts("a part, and an engine each second", 1, customers), 1s, 0.05),
        alsoCrashing(withParts("two parts, and a rack each four seconds", 2, customers), 4s, 0.25),
    };
    all.push_back(withParts("a part, and hosts that restart", 1, customers));
    all.back().hostsRestart = true;
    all.push_back(withParts("a part, and a host cut off", 1, customers));
    all.back().isHostCutOff = true;
    all.push_back(withParts("a part that another customer states in sound requests", 1, 3));
    all.back().isForging = true;
    all.push_back(withParts("requests that state another customer's part", 1));
    all.back().isStated = true;
    return all;
}

Outcome sumOf(const Trouble &trouble, std::uint32_t seeds, Duration time, std::size_t hosts, std::size_t engines)
{
    Outcome all;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = Fleet(trouble, seed, hosts, engines).run(time);
        all.unaffected += outcome.unaffected;
        all.rejected += outcome.rejected;
        all.popularRejected += outcome.popularRejected;
        all.victims += outcome.victims;
        all.victimsRejected += outcome.victimsRejected;
        all.brokenStreams += outcome.brokenStreams;
        all.maxCrashesPerPart = std::max(all.maxCrashesPerPart, outcome.maxCrashesPerPart);
        all.lateSends = std::max(all.lateSends, outcome.lateSends);
    }
    return all;
}

} // namespace

TEST_CASE("few requests are rejected for an unaffected part, and no crashing part keeps ending endpoints", "[quarantine]")
{
    // Operators allow three requests with a crashing part to reach endpoints later than 3 s after the fifth crash.
    for (const Trouble &trouble : allTroubles()) {
        const Outcome all = sumOf(trouble, 6, 60s, 9, 12);
        INFO(trouble.name << ": rejected " << all.rejected << " of " << all.unaffected << ", victims " << all.victimsRejected << " of " << all.victims
                          << ", popular " << all.popularRejected << "; crashes under a part " << all.maxCrashesPerPart << ", sent late " << all.lateSends);
        CHECK(all.rejected * 1000 <= all.unaffected);
        CHECK(all.popularRejected == 0);
        CHECK(all.victimsRejected * 100 <= all.victims);
        CHECK((!trouble.isStated || all.victims > 0));
        CHECK(all.lateSends <= 3);
        CHECK((trouble.badParts == 0 || all.maxCrashesPerPart >= 3));
    }
}

TEST_CASE("false blame of prompt parts by trouble", "[.measure]")
{
    struct Size
    {
        std::size_t hosts;
        std::size_t engines;
        std::uint32_t seeds;
    };
    for (const Size &size : {Size{9, 12, 50}, Size{72, 60, 5}, Size{195, 140, 2}}) {
        for (const Trouble &trouble : allTroubles()) {
            const Outcome all = sumOf(trouble, size.seeds, 60s, size.hosts, size.engines);
            std::cout << size.hosts << " hosts, " << trouble.name << ": rejected " << all.rejected << " (popular " << all.popularRejected << ", victims "
                      << all.victimsRejected << ") of " << all.unaffected << ", broken " << all.brokenStreams << ", most crashes under a part "
                      << all.maxCrashesPerPart << ", sent late " << all.lateSends << std::endl;
        }
    }
}
