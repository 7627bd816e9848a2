#include "emulator/emulation.h"

#include "gateway/admission.h"
#include "gateway/endpointboard.h"
#include "gateway/resendbudget.h"
#include "gateway/returntime.h"
#include "gateway/sendrecord.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <unordered_map>

namespace Rhubarbwind
{

namespace
{

// A part that was read elsewhere within it is counted as read again.
constexpr Duration reuseWindow = 10s;
// A host that asks an arbiter for longer decides by itself.
constexpr Duration arbiterPatience = 300ms;
// An arbiter that is away for longer is replaced: four beacons in a row.
constexpr int lostBeacons = 4;
constexpr Duration hostToHost = 1400us; ///< one way, the longest of the sheets
constexpr double endlessShare = 1e9;
constexpr double neverFactor = 1e9;
constexpr Duration shortestPatience = 2s;
constexpr int goalsOfPatience = 4;
constexpr int gapsOfPatience = 8;

const ShardId &theService()
{
    static const ShardId service("engines");
    return service;
}

EndpointId engineId(std::size_t index)
{
    return EndpointId("engine-" + std::to_string(index));
}

BoardOptions boardOptions(const TrafficSheet &sheet, const Mechanisms &with)
{
    BoardOptions options;
    options.promptTokensPerMs = sheet.engine.promptTokensPerMs;
    if (!with.spill) {
        options.spillFactor = neverFactor;
    }
    if (!with.tightEngines) {
        options.tightShare = 0;
    }
    return options;
}

struct Host
{
    Host(const BoardOptions &board, std::uint64_t seed)
        : board(board, seed)
        , budget(ResendBudgetOptions())
    {
    }
    EndpointBoard board;
    ResendBudget budget;
};

enum class EventKind : std::uint8_t {
    Arrival, ///< of an attempt
    Decision, ///< the arbiter's answer is there
    EngineStep,
    Beacon, ///< of a host
    Patience, ///< a caller looks whether anything came
    LossBegins,
    LossEnds,
};

struct Event
{
    TimePoint at;
    std::uint64_t number = 0; ///< breaks ties in order of making
    EventKind kind = EventKind::Arrival;
    std::size_t subject = 0;
    std::uint64_t mark = 0; ///< engine: its step; patience: the events seen when it was set

    bool operator<(const Event &other) const
    {
        return at != other.at ? at > other.at : number > other.number;
    }
};

struct Attempt
{
    std::size_t request = 0;
    std::size_t host = 0;
    TimePoint deadline;
    BoardWork work;
    SendRecord record{RouteKind::Stream, false, 1};
    std::vector<EndpointId> avoid;
    std::size_t engine = 0;
    std::uint32_t unreadTokens = 0;
    std::uint64_t eventsSeen = 0;
    TimePoint lastEvent;
    std::uint32_t retriesLeft = 0;
    std::uint64_t arbiterTerm = 0; ///< that counts it; zero: none
    bool isCounted = false; ///< on its host's board
    bool isUnderWay = false;
    bool hasEnded = false;
};

struct Engine
{
    VirtualEngine model;
    std::uint64_t scheduled = 0; ///< step that an event stands for
    bool isLost = false;
};

class Fleet
{
public:
    Fleet(const TrafficSheet &sheet, std::span<const PlannedWork> planned, const EmulationOptions &options)
        : m_sheet(sheet)
        , m_planned(planned)
        , m_options(options)
        , m_admission(AdmissionOptions{options.with.admission ? AdmissionOptions().goalShare : endlessShare})
        , m_random(sheet.seed)
    {
        for (const TrafficClass &rule : sheet.classes) {
            m_routes.push_back(routeOf(rule));
            m_lowest = m_lowest.isHigherThan(rule.tier) ? rule.tier : m_lowest;
        }
        makeEngines();
        for (std::uint32_t i = 0; i < sheet.hosts; ++i) {
            m_hosts.push_back(std::make_unique<Host>(boardOptions(sheet, options.with), sheet.seed + i));
            list(m_hosts.back()->board);
        }
        newArbiter();
    }

    EmulationResult run()
    {
        for (std::size_t i = 0; i < m_planned.size(); ++i) {
            m_result.ends.push_back({m_planned[i].classIndex, m_planned[i].at, m_planned[i].promptTokens, {}, {}, false, false, false});
            begin(i, start() + m_planned[i].at, m_sheet.classes[m_planned[i].classIndex].retries);
        }
        if (m_options.placing == Placing::Shares) {
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                // Hosts start at different times.
                push(start() + fromSeconds(toSeconds(m_sheet.beacon) * m_random.uniform()), EventKind::Beacon, host);
            }
        }
        for (std::size_t i = 0; i < m_sheet.engineLosses.size(); ++i) {
            push(start() + m_sheet.engineLosses[i].at, EventKind::LossBegins, i);
            push(start() + m_sheet.engineLosses[i].at + m_sheet.engineLosses[i].lasts, EventKind::LossEnds, i);
        }
        while (!m_events.empty() && m_open > 0) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        for (const Engine &engine : m_engines) {
            m_result.tokensRead += engine.model.counters().tokensRead;
            m_result.tokensInVain += engine.model.counters().tokensInVain;
            m_result.preemptions += engine.model.counters().preemptions;
        }
        return std::move(m_result);
    }

private:
    static TimePoint start()
    {
        return TimePoint(1h);
    }

    static Route routeOf(const TrafficClass &rule)
    {
        Route route;
        route.name = rule.name;
        route.kind = RouteKind::Stream;
        route.tier = rule.tier;
        route.goal = rule.goal;
        route.gapGoal = rule.gapGoal;
        route.timeout = rule.deadline;
        return route;
    }

    void makeEngines()
    {
        for (std::uint32_t i = 0; i < m_sheet.engineCount; ++i) {
            VirtualEngineOptions options = m_sheet.engine;
            options.slowness = i < m_sheet.slowShare * m_sheet.engineCount ? m_sheet.slowness : 1.0;
            m_engines.push_back({VirtualEngine(options)});
        }
    }

    void list(EndpointBoard &board) const
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            list(board, i);
        }
    }

    void list(EndpointBoard &board, std::size_t engine) const
    {
        BoardEndpoint endpoint;
        endpoint.id = engineId(engine);
        endpoint.service = theService();
        endpoint.slots = m_sheet.engine.slots;
        board.put(endpoint);
    }

    void push(TimePoint at, EventKind kind, std::size_t subject, std::uint64_t mark = 0)
    {
        m_events.push({at, ++m_eventNumber, kind, subject, mark});
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Arrival:
            place(event.subject);
            break;
        case EventKind::Decision:
            decide(event.subject, event.mark == m_arbiterTerm);
            break;
        case EventKind::EngineStep:
            stepEngine(event.subject, event.mark);
            break;
        case EventKind::Beacon:
            tell(event.subject);
            break;
        case EventKind::Patience:
            losePatience(event.subject, event.mark);
            break;
        case EventKind::LossBegins:
            loseEngines(m_sheet.engineLosses[event.subject].share);
            break;
        case EventKind::LossEnds:
            returnEngines(m_sheet.engineLosses[event.subject].share);
            break;
        }
    }

    void begin(std::size_t request, TimePoint at, std::uint32_t retries)
    {
        const PlannedWork &work = m_planned[request];
        const TrafficClass &rule = m_sheet.classes[work.classIndex];
        Attempt attempt;
        attempt.request = request;
        attempt.host = m_random.below(m_hosts.size());
        attempt.deadline = start() + work.at + rule.deadline;
        attempt.work = makeWork(shapeOf(work), rule.gapGoal);
        if (!m_options.with.affinity) {
            attempt.work.prefixes.clear();
            attempt.work.prefixTokens.clear();
        }
        attempt.retriesLeft = retries;
        m_attempts.push_back(std::move(attempt));
        ++m_open;
        push(at, EventKind::Arrival, m_attempts.size() - 1);
    }

    // Placing.

    bool isCut(std::size_t host, TimePoint at) const
    {
        return std::ranges::any_of(m_sheet.hostCuts, [&](const TrafficTrouble &cut) {
            const Duration since = at - start();
            return since >= cut.at && since < cut.at + cut.lasts && static_cast<double>(host) < cut.share * static_cast<double>(m_hosts.size());
        });
    }

    void place(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        m_hosts[attempt.host]->budget.requestCame(theService(), m_now);
        if (m_options.placing != Placing::Arbiter) {
            choose(index, m_hosts[attempt.host]->board, 0);
            return;
        }
        if (isCut(m_arbiter, m_now)) {
            if (m_arbiterAwaySince == TimePoint()) {
                m_arbiterAwaySince = m_now;
            }
            if (m_now - m_arbiterAwaySince > m_sheet.beacon * lostBeacons) {
                m_arbiter = (m_arbiter + 1) % m_hosts.size();
                newArbiter();
            }
        }
        if (isCut(m_arbiter, m_now) || isCut(attempt.host, m_now)) {
            push(m_now + arbiterPatience, EventKind::Decision, index, 0);
            return;
        }
        const TimePoint there = m_now + hostToHost;
        m_arbiterFree = std::max(m_arbiterFree, there) + m_sheet.arbiterStep;
        push(m_arbiterFree + hostToHost, EventKind::Decision, index, m_arbiterTerm);
    }

    void decide(std::size_t index, bool byArbiter)
    {
        if (byArbiter) {
            choose(index, *m_arbiterBoard, m_arbiterTerm);
        } else {
            choose(index, m_hosts[m_attempts[index].host]->board, 0);
        }
    }

    void newArbiter()
    {
        ++m_arbiterTerm;
        m_arbiterAwaySince = TimePoint();
        m_arbiterFree = m_now;
        m_arbiterBoard = std::make_unique<EndpointBoard>(boardOptions(m_sheet, m_options.with), m_sheet.seed + m_arbiterTerm);
        list(*m_arbiterBoard);
        // All hosts tell the new one what they have under way.
        for (Attempt &attempt : m_attempts) {
            if (attempt.isUnderWay) {
                m_arbiterBoard->sent(engineId(attempt.engine), attempt.unreadTokens);
                attempt.arbiterTerm = m_arbiterTerm;
            }
        }
    }

    void choose(std::size_t index, EndpointBoard &board, std::uint64_t term)
    {
        Attempt &attempt = m_attempts[index];
        const std::optional<BoardChoice> choice = board.choose(theService(), attempt.work, attempt.avoid, m_now);
        const Route &route = m_routes[m_planned[attempt.request].classIndex];
        if (!choice || (attempt.record.sends() == 0 && !m_admission.admits(route, m_lowest, *choice))) {
            ++m_result.refusals;
            refuse(index);
            return;
        }
        attempt.engine = indexOf(choice->id);
        attempt.unreadTokens = choice->readTokens;
        attempt.arbiterTerm = term;
        send(index);
    }

    static std::size_t indexOf(const EndpointId &id)
    {
        return std::stoul(id.text().substr(id.text().rfind('-') + 1));
    }

    template <class Action>
    void onBoards(Attempt &attempt, Action action)
    {
        action(m_hosts[attempt.host]->board);
        if (attempt.arbiterTerm != 0 && attempt.arbiterTerm == m_arbiterTerm) {
            action(*m_arbiterBoard);
        }
    }

    void send(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        const PlannedWork &planned = m_planned[attempt.request];
        const EndpointId id = engineId(attempt.engine);
        onBoards(attempt, [&](EndpointBoard &board) { board.sent(id, attempt.unreadTokens); });
        attempt.isUnderWay = true;
        attempt.record.handedOver();
        attempt.lastEvent = m_now;
        VirtualWork work;
        work.id = index;
        work.shared = planned.shared;
        work.promptTokens = planned.promptTokens;
        work.answerTokens = planned.answerTokens;
        work.urgency = m_options.with.urgency ? m_sheet.classes[planned.classIndex].tier.level : 0;
        Engine &engine = m_engines[attempt.engine];
        if (engine.isLost || !engine.model.submit(work, m_now)) {
            engineRefused(index);
            return;
        }
        scheduleStep(attempt.engine);
        push(std::min(attempt.deadline, m_now + patienceOf(planned.classIndex)), EventKind::Patience, index, attempt.eventsSeen);
    }

    void engineRefused(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        ++m_result.engineRefusals;
        attempt.record.refused();
        leaveEngine(attempt);
        const EndpointId id = engineId(attempt.engine);
        attempt.avoid.push_back(id);
        if (m_engines[attempt.engine].isLost) {
            m_hosts[attempt.host]->board.failed(id, m_now);
        }
        if (attempt.record.maySendAgain() && m_hosts[attempt.host]->budget.tryTake(theService(), m_now)) {
            ++m_result.resends;
            choose(index, m_hosts[attempt.host]->board, 0);
            return;
        }
        refuse(index);
    }

    void leaveEngine(Attempt &attempt)
    {
        const EndpointId id = engineId(attempt.engine);
        onBoards(attempt, [&](EndpointBoard &board) { board.ended(id, attempt.unreadTokens); });
        attempt.unreadTokens = 0;
        attempt.isUnderWay = false;
    }

    // Engines.

    void scheduleStep(std::size_t index)
    {
        Engine &engine = m_engines[index];
        if (const std::optional<TimePoint> next = engine.model.nextStep(); next && engine.scheduled == 0) {
            engine.scheduled = ++m_steps;
            push(*next, EventKind::EngineStep, index, engine.scheduled);
        }
    }

    void stepEngine(std::size_t index, std::uint64_t mark)
    {
        Engine &engine = m_engines[index];
        if (engine.scheduled != mark) {
            return;
        }
        engine.scheduled = 0;
        const std::vector<VirtualEvent> events = engine.model.step();
        countReadParts(engine);
        for (const VirtualEvent &event : events) {
            eventCame(event, engine);
        }
        scheduleStep(index);
    }

    void countReadParts(Engine &engine)
    {
        for (const VirtualPart &part : engine.model.takeReadParts()) {
            const auto [last, isNew] = m_lastRead.try_emplace(part.digest, m_now);
            if (!isNew) {
                m_result.tokensReadAgain += m_now - last->second < reuseWindow ? part.tokens : 0;
                last->second = m_now;
            }
        }
    }

    void eventCame(const VirtualEvent &event, const Engine &engine)
    {
        Attempt &attempt = m_attempts[event.id];
        if (attempt.hasEnded) {
            return;
        }
        EmulatedEnd &end = m_result.ends[attempt.request];
        const TimePoint there = event.at + m_sheet.network;
        if (++attempt.eventsSeen == 1) {
            end.firstEvent = there - start() - m_planned[attempt.request].at;
            firstEventCame(attempt, engine);
        } else {
            end.longestGap = std::max(end.longestGap, there - attempt.lastEvent);
        }
        attempt.lastEvent = there;
        if (event.isLast) {
            const TimePoint firstAt = start() + m_planned[attempt.request].at + end.firstEvent;
            onBoards(attempt, [&](EndpointBoard &board) { board.held(engineId(attempt.engine), m_now - firstAt); });
            leaveEngine(attempt);
            end.isWhole = true;
            finish(attempt);
        }
    }

    void firstEventCame(Attempt &attempt, const Engine &engine)
    {
        const EndpointId id = engineId(attempt.engine);
        const ReportedLoad load{engine.model.running(), engine.model.waiting(), m_sheet.engine.slots};
        onBoards(attempt, [&](EndpointBoard &board) {
            board.began(id, attempt.work, attempt.unreadTokens);
            board.reported(id, load, m_now);
        });
        attempt.unreadTokens = 0;
    }

    void loseEngines(double share)
    {
        for (std::size_t i = 0; static_cast<double>(i) < share * static_cast<double>(m_engines.size()); ++i) {
            Engine &engine = m_engines[i];
            engine.isLost = true;
            engine.scheduled = 0;
            for (const std::uint64_t id : engine.model.crash()) {
                Attempt &attempt = m_attempts[id];
                m_hosts[attempt.host]->board.failed(engineId(i), m_now);
                attempt.record.failed();
                leaveEngine(attempt);
                finish(attempt);
            }
        }
    }

    void returnEngines(double share)
    {
        for (std::size_t i = 0; static_cast<double>(i) < share * static_cast<double>(m_engines.size()); ++i) {
            m_engines[i].isLost = false;
        }
    }

    // Hosts.

    void tell(std::size_t host)
    {
        push(m_now + m_sheet.beacon, EventKind::Beacon, host);
        if (isCut(host, m_now)) {
            return;
        }
        std::vector<SharedLoad> loads = m_hosts[host]->board.ownLoad();
        loads.resize(std::min(loads.size(), maxBeaconLoads));
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            if (other != host && !isCut(other, m_now)) {
                m_hosts[other]->board.peerLoad(std::to_string(host), loads);
            }
        }
    }

    // Callers.

    Duration patienceOf(std::size_t classIndex) const
    {
        const TrafficClass &rule = m_sheet.classes[classIndex];
        return std::max({shortestPatience, rule.goal * goalsOfPatience, rule.gapGoal * gapsOfPatience});
    }

    void losePatience(std::size_t index, std::uint64_t mark)
    {
        Attempt &attempt = m_attempts[index];
        if (attempt.hasEnded) {
            return;
        }
        const bool isTimeUp = m_now >= attempt.deadline;
        if (attempt.eventsSeen != mark && !isTimeUp) {
            push(std::min(attempt.deadline, attempt.lastEvent + patienceOf(m_planned[attempt.request].classIndex)),
                 EventKind::Patience,
                 index,
                 attempt.eventsSeen);
            return;
        }
        m_engines[attempt.engine].model.cancel(index, m_now);
        leaveEngine(attempt);
        finish(attempt);
    }

    void refuse(std::size_t index)
    {
        Attempt &attempt = m_attempts[index];
        const std::size_t request = attempt.request;
        const std::uint32_t retries = attempt.retriesLeft;
        const Duration left = attempt.deadline - m_now;
        finish(attempt);
        if (retries == 0) {
            m_result.ends[request].isRefused = true;
            return;
        }
        m_result.ends[request].cameBack = true;
        begin(request, m_now + returnTime(left, m_random), retries - 1);
    }

    void finish(Attempt &attempt)
    {
        attempt.hasEnded = true;
        --m_open;
    }

    const TrafficSheet &m_sheet;
    std::span<const PlannedWork> m_planned;
    EmulationOptions m_options;
    Admission m_admission;
    Random m_random;
    Tier m_lowest;
    std::vector<Route> m_routes; ///< a class
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Attempt> m_attempts;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::uint64_t m_steps = 0;
    std::size_t m_open = 0; ///< attempts that have not ended
    TimePoint m_now = start();
    std::unordered_map<std::uint64_t, TimePoint> m_lastRead; ///< shared part to when an engine last read it
    std::size_t m_arbiter = 0; ///< host
    std::uint64_t m_arbiterTerm = 0;
    std::unique_ptr<EndpointBoard> m_arbiterBoard;
    TimePoint m_arbiterFree;
    TimePoint m_arbiterAwaySince;
    EmulationResult m_result;
};

} // namespace

EmulationResult emulate(const TrafficSheet &sheet, std::span<const PlannedWork> planned, const EmulationOptions &options)
{
    return Fleet(sheet, planned, options).run();
}

} // namespace Rhubarbwind
