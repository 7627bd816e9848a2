// Whole fleets on virtual time: when each host learns that an endpoint leaves, while hosts restart, relays die, datagrams are lost, configurations storm and
// the platform drops its history. Mirrors, synchronization, relays and queues are those of the product; beacons are sent in the order of FleetService.

#include "daemon/topicsync.h"
#include "fleet/fleetplaces_test.h"
#include "fleet/updatebroadcaster.h"
#include "platform/objectapi.h"
#include "platform/objectmirrorimpl.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <sstream>
#include <unordered_map>

using namespace Rhubarbwind;
using namespace Rhubarbwind::FleetTest;

namespace
{

namespace asio = boost::asio;

constexpr Duration step = 5ms;
constexpr Duration hostTick = 100ms;
constexpr std::size_t domains = 3;
constexpr std::size_t pageSize = 500;
constexpr std::size_t tableTopic = 0;
constexpr std::size_t endpointTopic = 1;
constexpr unsigned statusOk = 200;
constexpr unsigned statusGone = 410;
constexpr std::size_t entryBytes = 250; ///< as JSON

// The bounds of the deployment with the shortest ones: an endpoint serves for so long after its leaving was acknowledged.
constexpr Duration drainBound = 2s;

struct Day
{
    std::size_t hosts = 9;
    std::uint64_t seed = 1;
    Duration settle = 8s;
    Duration length = 12s;
    double loss = 0.01; ///< of datagrams
    double callLoss = 0.0; ///< of the platform's answers
    Duration changeGap = 150ms; ///< mean, between changes of endpoints
    Duration restartGap = 700ms; ///< between restarts of hosts; zero: none
    bool restartsRelays = false;
    Duration compactionGap = 0ms; ///< between losses of the platform's history; zero: none
    Duration configurationGap = 0ms; ///< zero: none
};

std::string answerText(std::uint64_t revision, bool isPartial, const std::vector<MirroredObject> &objects)
{
    std::ostringstream text;
    text << revision << ' ' << isPartial;
    for (const MirroredObject &object : objects) {
        text << ' ' << object.name << ' ' << object.revision << ' ' << object.removed << ' ' << object.content.at("state").as_string().c_str();
    }
    return text.str();
}

boost::json::value contentOf(std::string_view state, std::size_t bytes)
{
    return boost::json::object{{"state", state}, {"rest", std::string(bytes, 'x')}};
}

MirrorPage pageIn(const std::string &body)
{
    MirrorPage page;
    std::istringstream words(body);
    words >> page.revision >> page.isPartial;
    MirroredObject object;
    std::string state;
    while (words >> object.name >> object.revision >> object.removed >> state) {
        object.content = contentOf(state, object.name == "main" ? 0 : entryBytes);
        page.objects.push_back(object);
    }
    return page;
}

MirrorCodec codec()
{
    MirrorCodec codec;
    codec.listCall = [](std::string_view kind, std::string_view after) {
        HttpCall call;
        call.target = "list " + std::string(kind) + " " + std::string(after);
        return call;
    };
    codec.watchCall = [](std::string_view kind, std::uint64_t revision, Duration) {
        HttpCall call;
        call.target = "watch " + std::string(kind) + " " + std::to_string(revision);
        return call;
    };
    codec.readPage = [](const HttpAnswer &answer) -> Result<MirrorPage, MirrorError> { return pageIn(answer.body); };
    codec.readBatch = [](const HttpAnswer &answer) -> Result<MirrorBatch, MirrorError> {
        if (answer.status == statusGone) {
            return MirrorError::HistoryGone;
        }
        MirrorPage page = pageIn(answer.body);
        return MirrorBatch{std::move(page.objects), page.revision, 0};
    };
    return codec;
}

using Answer = std::function<void(PlatformResult<HttpAnswer>)>;

/** The platform's store: its objects, their history, and the watches that wait. */
class Store
{
public:
    struct Change
    {
        std::uint64_t at = 0;
        std::string kind;
        MirroredObject object;
    };

    void put(const std::string &kind, const std::string &name, std::string_view state, std::size_t bytes)
    {
        const MirroredObject object{name, ++m_revision, false, contentOf(state, bytes)};
        m_objects[kind][name] = object;
        record(kind, object);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const auto found = m_objects[kind].find(name);
        MirroredObject object = found->second;
        m_objects[kind].erase(found);
        object.removed = true;
        ++m_revision;
        record(kind, object);
    }
    void dropHistory()
    {
        m_historyFrom = m_revision;
    }

    HttpAnswer list(const std::string &kind, const std::string &after)
    {
        std::vector<MirroredObject> page;
        const std::map<std::string, MirroredObject> &all = m_objects[kind];
        auto next = after.empty() ? all.begin() : all.upper_bound(after);
        for (; next != all.end() && page.size() < pageSize; ++next) {
            page.push_back(next->second);
        }
        return {statusOk, {}, answerText(m_revision, next != all.end(), page)};
    }
    /** Answers at once if there are changes, otherwise after `wait`. */
    void watch(const std::string &kind, std::uint64_t since, TimePoint until, Answer answer)
    {
        m_watches.push_back({kind, since, until, std::move(answer)});
        serve(ManualClock::now());
    }
    void serve(TimePoint now)
    {
        std::vector<Watch> waiting;
        for (Watch &watch : std::exchange(m_watches, {})) {
            std::vector<MirroredObject> events;
            const auto first = std::ranges::upper_bound(m_history, watch.since, {}, &Change::at);
            std::for_each(first, m_history.end(), [&](const Change &change) {
                if (change.kind == watch.kind) {
                    events.push_back(change.object);
                }
            });
            if (watch.since < m_historyFrom && (!events.empty() || now >= watch.until)) {
                watch.answer(HttpAnswer{statusGone, {}, ""});
            } else if (!events.empty() || now >= watch.until) {
                watch.answer(HttpAnswer{statusOk, {}, answerText(m_revision, false, events)});
            } else {
                waiting.push_back(std::move(watch));
            }
        }
        m_watches.insert(m_watches.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
    }

    const std::vector<Change> &history() const
    {
        return m_history;
    }
    const std::map<std::string, MirroredObject> &objects(const std::string &kind)
    {
        return m_objects[kind];
    }

private:
    struct Watch
    {
        std::string kind;
        std::uint64_t since = 0;
        TimePoint until{};
        Answer answer;
    };

    void record(const std::string &kind, const MirroredObject &object)
    {
        m_history.push_back({m_revision, kind, object});
        serve(ManualClock::now());
    }

    std::map<std::string, std::map<std::string, MirroredObject>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_revision = 100;
    std::vector<Watch> m_watches;
};

class World;

/** A host's way to the store. */
class Calls
{
public:
    Calls(World &world, std::size_t host, std::uint64_t incarnation)
        : m_world(world)
        , m_host(host)
        , m_incarnation(incarnation)
    {
    }
    void call(CallKind kind, HttpCall call, Duration wait, Answer handler);

private:
    World &m_world;
    std::size_t m_host;
    std::uint64_t m_incarnation;
};

using Mirror = ObjectMirror<ManualClock, Calls>;

/** A host's messages to the other hosts. */
class FleetPort
{
public:
    FleetPort(World &world, std::size_t host, FleetOptions options, std::uint64_t seed, asio::io_context &io);
    ~FleetPort()
    {
        m_changes->stop();
    }
    FleetPort(const FleetPort &) = delete;
    FleetPort &operator=(const FleetPort &) = delete;

    FleetView &view()
    {
        return m_view;
    }
    bool share(const SharedBatch &batch, bool isSelfContained)
    {
        return m_changes->share(batch, isSelfContained);
    }
    void hold(const SharedBatch &batch, bool isSelfContained)
    {
        m_changes->hold(batch, isSelfContained);
    }
    void requestFromPeers(std::size_t topic, std::uint64_t known, bool isSelfContained)
    {
        m_changes->requestFromPeers(topic, known, isSelfContained);
    }
    void announce();
    UpdateBroadcaster<ManualClock> &changes()
    {
        return *m_changes;
    }
    const FleetCounters &counters() const
    {
        return m_counters;
    }

private:
    World &m_world;
    std::size_t m_host;
    FleetView m_view;
    FleetCounters m_counters;
    std::shared_ptr<UpdateBroadcaster<ManualClock>> m_changes;
};

struct Host
{
    Host(World &world, std::size_t number, FleetOptions options, std::uint64_t seed, asio::io_context &io);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    std::shared_ptr<Mirror> mirror(World &world, std::size_t topic, asio::io_context &io);
    void apply(const MirroredObject &object);

    std::size_t number;
    std::uint64_t incarnation;
    FleetPort fleet;
    TopicSync<Mirror, FleetPort> sync;
    std::map<std::string, MirroredObject> entries; ///< of endpoints, as reported by the mirror
    std::map<std::string, std::uint64_t> newest; ///< revision by name, of everything ever reported
    bool hasGoneBack = false;
    World &world;
    std::shared_ptr<Calls> calls;
    TimePoint tickAt{};
    TimePoint beaconAt{};
    TimePoint farAt{};
    TimePoint rosterAt{};
    std::vector<PeerAddress> greetings;
};

class World
{
public:
    explicit World(const Day &day)
        : m_day(day)
        , m_random(day.seed)
    {
        ManualClock::reset();
        store.put("table", "main", "1", 0);
        for (std::size_t i = 0; i < day.hosts * 10; ++i) {
            addEndpoint();
        }
        for (std::size_t i = 0; i < day.hosts; ++i) {
            m_numbers[addressOf(i).ip] = i;
            m_hosts.emplace_back();
            at(milliseconds(300), [this, i] { startHost(i); });
        }
    }
    ~World()
    {
        m_hosts.clear();
    }

    void run()
    {
        pass(m_day.settle);
        isDay = true;
        callsBefore = calls;
        scheduleRepeatedly(m_day.changeGap, [this] { changeEndpoints(); });
        scheduleRepeatedly(m_day.restartGap, [this] { restartHost(); });
        scheduleRepeatedly(m_day.compactionGap, [this] { store.dropHistory(); });
        scheduleRepeatedly(m_day.configurationGap, [this] { store.put("table", "main", std::to_string(++m_configuration), 0); });
        pass(m_day.length);
        isDay = false;
        pass(3s);
        for (const auto &[name, at] : leavings) {
            for (const std::unique_ptr<Host> &host : m_hosts) {
                const auto entry = host ? host->entries.find(name) : std::map<std::string, MirroredObject>::iterator();
                if (host && host->sync.hasCaughtUp() && entry != host->entries.end() && entry->second.content.at("state").as_string() != "leaving") {
                    noteLate(ManualClock::now() - at, name, *host);
                }
            }
        }
    }

    void noteLate(Duration late, const std::string &name, const Host &host)
    {
        if (late > latest) {
            latest = late;
            latestCase = name + " at host " + std::to_string(host.number);
        }
        lateness.push_back(late);
    }

    void at(Duration delay, std::function<void()> action)
    {
        m_events.push({ManualClock::now() + delay, ++m_order, std::move(action)});
    }
    /** Uniform up to the limit. */
    Duration milliseconds(std::int64_t limit)
    {
        return std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(limit) + 1));
    }

    void send(std::size_t from, const std::shared_ptr<const FleetMessage> &message, std::span<const PeerAddress> targets)
    {
        for (const PeerAddress &target : targets) {
            const auto found = m_numbers.find(target.ip);
            if (found == m_numbers.end() || m_random.uniform() < m_day.loss) {
                continue;
            }
            at(1ms + milliseconds(2), [this, from, to = found->second, message] { receive(from, to, *message); });
        }
    }

    void platformCall(std::size_t number, std::uint64_t incarnation, const HttpCall &call, Duration wait, const Answer &handler)
    {
        ++calls;
        std::istringstream words(call.target);
        std::string verb;
        std::string kind;
        std::string from;
        words >> verb >> kind >> from;
        const Answer back = [this, number, incarnation, handler](PlatformResult<HttpAnswer> answer) {
            const bool isLost = isDay && m_random.uniform() < m_day.callLoss;
            at(isLost ? Duration(1s) : 2ms + milliseconds(20), [this, number, incarnation, handler, isLost, answer = std::move(answer)]() mutable {
                if (m_hosts[number] && m_hosts[number]->incarnation == incarnation) {
                    handler(isLost ? PlatformResult<HttpAnswer>(failure(PlatformError{PlatformErrorKind::Unknown, 0})) : std::move(answer));
                }
            });
        };
        at(2ms, [this, verb, kind, from, wait, back] {
            if (verb == "list") {
                back(store.list(kind, from));
            } else {
                store.watch(kind, std::stoull(from), ManualClock::now() + wait, back);
            }
        });
    }

    void sendBeacons(Host &host, TimePoint now);

    Store store;
    bool isDay = false;
    std::uint64_t calls = 0; ///< of the platform, by all hosts
    std::uint64_t callsBefore = 0;
    std::map<std::string, TimePoint> leavings; ///< when the store acknowledged that the endpoint leaves or was removed
    std::set<std::string> announced; ///< of these, those that were marked as leaving first
    std::vector<Duration> lateness;
    Duration latest{};
    std::string latestCase;
    std::size_t falsePositions = 0; ///< hosts found to claim a change that they don't hold
    std::size_t steps = 0;

private:
    struct Event
    {
        TimePoint at{};
        std::uint64_t order = 0;
        std::function<void()> action;
        friend bool operator<(const Event &left, const Event &right)
        {
            return std::pair(left.at, left.order) > std::pair(right.at, right.order);
        }
    };

    static PeerAddress addressOf(std::size_t number)
    {
        return {"10.0." + std::to_string(number / 200) + "." + std::to_string(1 + number % 200), 7300};
    }

    void pass(Duration time)
    {
        for (const TimePoint end = ManualClock::now() + time; ManualClock::now() < end;) {
            ManualClock::advance(step);
            const TimePoint now = ManualClock::now();
            while (!m_events.empty() && m_events.top().at <= now) {
                const std::function<void()> action = m_events.top().action;
                m_events.pop();
                action();
            }
            m_io.restart();
            m_io.poll();
            store.serve(now);
            for (const std::unique_ptr<Host> &host : m_hosts) {
                if (host) {
                    tickHost(*host, now);
                }
            }
            constexpr std::size_t checkEvery = 50;
            if (++steps % checkEvery == 0) {
                checkPositions();
            }
        }
    }

    void scheduleRepeatedly(Duration gap, const std::function<void()> &action)
    {
        if (gap == Duration::zero()) {
            return;
        }
        at(gap / 2 + fromSeconds(toSeconds(gap) * m_random.uniform()), [this, gap, action] {
            if (isDay) {
                action();
                scheduleRepeatedly(gap, action);
            }
        });
    }

    void addEndpoint()
    {
        // Names in random order, so that all pages change.
        store.put("endpoints", std::to_string(100000 + m_random.below(800000)) + "-" + std::to_string(++m_endpoints), "ready", entryBytes);
    }

    std::string anyEndpoint(std::string_view state)
    {
        const std::map<std::string, MirroredObject> &all = store.objects("endpoints");
        for (int tries = 0; tries < 20; ++tries) {
            const auto found = std::next(all.begin(), static_cast<std::ptrdiff_t>(m_random.below(all.size())));
            if (found->second.content.at("state").as_string() == state) {
                return found->first;
            }
        }
        return {};
    }

    void changeEndpoints()
    {
        const std::string name = anyEndpoint("ready");
        if (name.empty()) {
            return;
        }
        addEndpoint();
        if (m_random.below(3) == 0) {
            // It crashed, or leaves without an announcement.
            leavings[name] = ManualClock::now();
            store.remove("endpoints", name);
            return;
        }
        leavings[name] = ManualClock::now();
        announced.insert(name);
        store.put("endpoints", name, "leaving", entryBytes);
        at(2s + milliseconds(2000), [this, name] { store.remove("endpoints", name); });
    }

    void restartHost()
    {
        std::vector<std::size_t> candidates;
        for (const std::unique_ptr<Host> &host : m_hosts) {
            if (host && (!m_day.restartsRelays || host->fleet.view().isRelay())) {
                candidates.push_back(host->number);
            }
        }
        if (candidates.size() < 2) {
            return;
        }
        const std::size_t number = candidates[m_random.below(candidates.size())];
        m_hosts[number].reset();
        at(500ms + milliseconds(1000), [this, number] { startHost(number); });
    }

    void startHost(std::size_t number)
    {
        FleetOptions options;
        options.self = addressOf(number);
        options.domain = "domain-" + std::to_string(number % domains);
        options.incarnation = ++m_incarnations;
        m_hosts[number] = std::make_unique<Host>(*this, number, options, m_random.below(1'000'000), m_io);
        m_hosts[number]->fleet.view().addSeeds(std::vector<PeerAddress>{addressOf(0), addressOf(1), addressOf(2)});
        for (const std::shared_ptr<Mirror> &mirror : m_hosts[number]->sync.mirrors()) {
            mirror->start();
        }
    }

    void tickHost(Host &host, TimePoint now)
    {
        if (now >= host.tickAt) {
            host.tickAt = now + hostTick;
            host.sync.tick(now);
        }
        if (now >= host.beaconAt) {
            const FleetView &view = host.fleet.view();
            host.beaconAt = now + (view.usesRosters(now) ? Duration(200ms) : view.interval());
            host.fleet.view().tick(now);
            sendBeacons(host, now);
        }
    }

    void receive(std::size_t from, std::size_t to, const FleetMessage &message)
    {
        if (!m_hosts[to]) {
            return;
        }
        Host &host = *m_hosts[to];
        FleetView &view = host.fleet.view();
        const TimePoint now = ManualClock::now();
        const PeerAddress sender = addressOf(from);
        if (message.beacon) {
            if (view.receive(*message.beacon, now) && view.isRosterDue(now)) {
                host.greetings.push_back(sender);
            }
            if (view.knowsFew(message.roster ? message.roster->hosts : 0, now)) {
                sendRosters(host, {view.sampleRoster(maxRosterEntries, now)}, std::span(&sender, 1));
            }
            host.sync.requestMissing(now);
        }
        if (message.roster && view.receiveRoster(*message.roster, now)) {
            FleetMessage answer;
            answer.beacon = view.beacon({}, {}, now);
            send(to, std::make_shared<FleetMessage>(std::move(answer)), std::span(&sender, 1));
        }
        if (message.forward && message.batch) {
            host.fleet.changes().forward(message);
        }
        if (message.changeRequest) {
            host.fleet.changes().answer(*message.changeRequest, sender);
        }
        if (message.batch) {
            REQUIRE(host.sync.receive(*message.batch, now));
        }
        if (message.piece) {
            if (const std::optional<SharedBatch> batch = host.fleet.changes().receive(*message.piece, message.forward)) {
                REQUIRE(host.sync.receive(*batch, now));
            }
        }
    }

    void sendRosters(Host &host, const std::vector<PeerRoster> &rosters, std::span<const PeerAddress> targets)
    {
        for (const PeerRoster &roster : rosters) {
            FleetMessage message;
            message.roster = roster;
            send(host.number, std::make_shared<FleetMessage>(std::move(message)), targets);
        }
    }

    // What a host holds is compared with the store's history up to the position that the host claims.
    void checkPositions()
    {
        constexpr std::size_t recentChanges = 150;
        const std::vector<Store::Change> &history = store.history();
        const std::size_t first = history.size() - std::min(history.size(), recentChanges);
        for (const std::unique_ptr<Host> &host : m_hosts) {
            if (!host || host->sync.mirror(endpointTopic).changedAt() == 0) {
                continue;
            }
            const Mirror &mirror = host->sync.mirror(endpointTopic);
            const std::uint64_t position = std::max(mirror.revision(), mirror.changedAt());
            bool isFalse = host->hasGoneBack;
            for (std::size_t i = first; i < history.size() && history[i].at <= position; ++i) {
                if (history[i].kind != "endpoints") {
                    continue;
                }
                const MirroredObject &change = history[i].object;
                const auto entry = host->entries.find(change.name);
                const bool isOlder = entry != host->entries.end() && (change.removed || entry->second.revision < change.revision);
                const bool isMissing =
                    entry == host->entries.end() && !change.removed && !host->newest.contains(change.name) && store.objects("endpoints").contains(change.name);
                isFalse = isFalse || isOlder || isMissing;
            }
            falsePositions += isFalse ? 1 : 0;
        }
    }

    Day m_day;
    Random m_random;
    asio::io_context m_io;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::unordered_map<std::string, std::size_t> m_numbers;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_endpoints = 0;
    std::uint64_t m_configuration = 1;
};

void Calls::call(CallKind, HttpCall call, Duration wait, Answer handler)
{
    m_world.platformCall(m_host, m_incarnation, call, wait, handler);
}

FleetPort::FleetPort(World &world, std::size_t host, FleetOptions options, std::uint64_t seed, asio::io_context &io)
    : m_world(world)
    , m_host(host)
    , m_view(std::move(options), seed)
{
    BroadcastPorts ports;
    ports.fits = [](const FleetMessage &message) { return encodeFleet(message, secret).has_value(); };
    ports.send = [this](const FleetMessage &message, std::span<const PeerAddress> targets) {
        m_world.send(m_host, std::make_shared<FleetMessage>(message), targets);
    };
    m_changes = std::make_shared<UpdateBroadcaster<ManualClock>>(io, m_view, m_counters, std::move(ports));
}

void FleetPort::announce()
{
    FleetMessage message;
    message.beacon = m_view.beacon({}, {}, ManualClock::now());
    m_world.send(m_host, std::make_shared<FleetMessage>(std::move(message)), m_view.targets());
}

Host::Host(World &world, std::size_t number, FleetOptions options, std::uint64_t seed, asio::io_context &io)
    : number(number)
    , incarnation(options.incarnation)
    , fleet(world, number, std::move(options), seed, io)
    , sync(
          fleet, [](std::string_view, const LogFields &) {}, ManualClock::now())
    , world(world)
    , calls(std::make_shared<Calls>(world, number, incarnation))
{
    sync.add(mirror(world, tableTopic, io));
    sync.add(mirror(world, endpointTopic, io));
    tickAt = ManualClock::now() + world.milliseconds(100);
    beaconAt = tickAt;
}

Host::~Host()
{
    for (const std::shared_ptr<Mirror> &mirror : sync.mirrors()) {
        mirror->stop();
    }
}

std::shared_ptr<Mirror> Host::mirror(World &, std::size_t topic, asio::io_context &io)
{
    MirrorOptions options;
    options.kind = topic == tableTopic ? "table" : "endpoints";
    options.startsWatching = false;
    options.requestsFullListing = topic == tableTopic;
    options.changePause = topic == tableTopic ? 100ms : 250ms;
    options.seed = number * 7 + incarnation;
    MirrorHandlers handlers;
    handlers.onAnswered = [this, topic] { sync.answered(topic, ManualClock::now()); };
    handlers.onUnchanged = [this, topic](std::uint64_t revision) { sync.unchanged(topic, revision); };
    handlers.onBatch = [this, topic](const MirrorChanges &changes, RequestCause cause) { sync.changed(topic, changes, cause, ManualClock::now()); };
    if (topic == endpointTopic) {
        handlers.onListed = [this](const std::vector<MirroredObject> &objects) {
            const std::map<std::string, MirroredObject> before = std::exchange(entries, {});
            for (const MirroredObject &object : objects) {
                apply(object);
            }
            for (const auto &[name, object] : before) {
                if (!entries.contains(name)) {
                    apply({name, object.revision, true, nullptr});
                }
            }
        };
        handlers.onChanged = [this](const MirroredObject &object) { apply(object); };
    }
    return std::make_shared<Mirror>(calls, io.get_executor(), codec(), options, std::move(handlers));
}

void Host::apply(const MirroredObject &object)
{
    std::uint64_t &newestRevision = newest[object.name];
    hasGoneBack = hasGoneBack || (!object.removed && object.revision < newestRevision);
    const bool isNews = object.revision > newestRevision || (object.removed && entries.contains(object.name));
    newestRevision = std::max(newestRevision, object.revision);
    if (object.removed) {
        entries.erase(object.name);
    } else {
        entries[object.name] = object;
    }
    const bool isUnusable = object.removed || object.content.at("state").as_string() == "leaving";
    const auto leaving = world.leavings.find(object.name);
    // A removal that follows an announced leaving is no news.
    if (isUnusable && isNews && leaving != world.leavings.end() && sync.hasCaughtUp() && !(object.removed && world.announced.contains(object.name))) {
        world.noteLate(ManualClock::now() - leaving->second, object.name, *this);
    }
}

void World::sendBeacons(Host &host, TimePoint now)
{
    FleetView &view = host.fleet.view();
    FleetMessage message;
    message.beacon = view.beacon({}, {}, now);
    if (view.usesRosters(now)) {
        if (now - host.rosterAt >= view.rosterInterval()) {
            host.rosterAt = now;
            std::vector<PeerRoster> rosters = view.rosters(maxRosterEntries / 2, now);
            message.roster = rosters.front();
            std::vector<PeerAddress> targets = view.rosterTargets(now);
            if (view.isRosterDue(now)) {
                const std::vector<PeerAddress> members = view.domainPeers();
                targets.insert(targets.end(), members.begin(), members.end());
            }
            send(host.number, std::make_shared<FleetMessage>(message), targets);
            rosters.erase(rosters.begin());
            sendRosters(host, rosters, targets);
            if (view.isRosterDue(now)) {
                sendRosters(host, view.domainRoster(maxRosterEntries, now), view.otherRelays(now));
            }
        } else if (view.isStarting(now)) {
            message.roster = view.sampleRoster(maxRosterEntries / 2, now);
            send(host.number, std::make_shared<FleetMessage>(message), view.sampleKnown(4));
        }
    } else {
        const std::shared_ptr<const FleetMessage> beacon = std::make_shared<FleetMessage>(message);
        send(host.number, beacon, view.nearTargets());
        if (now - host.farAt >= view.farInterval(now)) {
            host.farAt = now;
            send(host.number, beacon, view.farTargets());
        }
        if (view.isRosterDue(now) && now - host.rosterAt >= view.rosterInterval()) {
            host.rosterAt = now;
            sendRosters(host, view.rosters(maxRosterEntries, now), view.domainPeers());
            sendRosters(host, view.domainRoster(maxRosterEntries, now), view.otherRelays(now));
        }
    }
    if (!host.greetings.empty()) {
        const PeerAddress greeted = host.greetings.back();
        host.greetings.pop_back();
        sendRosters(host, view.wholeRoster(maxRosterEntries, now), std::span(&greeted, 1));
    }
}

/** Plays the day, and prints when the last host learned of a leaving. */
void playDay(const Day &day)
{
    World world(day);
    world.run();
    std::ranges::sort(world.lateness);
    REQUIRE_FALSE(world.lateness.empty());
    const Duration middle = world.lateness[world.lateness.size() / 2];
    const double callsPerSecond = static_cast<double>(world.calls - world.callsBefore) / toSeconds(day.length);
    std::cout << "leaving in force, " << day.hosts << " hosts, seed " << day.seed << ": middle " << toSeconds(middle) << " s, last " << toSeconds(world.latest)
              << " s; " << callsPerSecond << " calls of the platform a second\n";
    CAPTURE(day.hosts, day.seed, world.latestCase);
    CHECK(toSeconds(world.latest) <= toSeconds(drainBound));
    CHECK(world.falsePositions == 0);
}

} // namespace

TEST_CASE("every host that serves knows in time that an endpoint leaves, while hosts restart and datagrams are lost", "[endpoint-drain][config-monotonic]")
{
    // Guards against hosts that miss a change between the pages of a listing, while they start, or with a lost datagram, and against positions that claim it.
    Day day;
    day.hosts = GENERATE(std::size_t{9}, std::size_t{100}, std::size_t{195}, std::size_t{255}, std::size_t{300});
    day.loss = 0.025;
    day.settle = day.hosts > 200 ? 12s : 8s;
    playDay(day);
}

TEST_CASE("the leaving of an endpoint is in force in time while relays die, configurations storm and the platform drops its history", "[endpoint-drain]")
{
    // Guards against a leaving that depends on one relay, one watcher or the platform's history.
    Day day;
    day.hosts = GENERATE(std::size_t{9}, std::size_t{100}, std::size_t{300});
    day.seed = 2;
    day.settle = day.hosts > 200 ? 12s : 8s;
    day.restartsRelays = true;
    day.restartGap = 500ms;
    day.compactionGap = 3s;
    day.configurationGap = 330ms;
    day.callLoss = 0.02;
    playDay(day);
}
