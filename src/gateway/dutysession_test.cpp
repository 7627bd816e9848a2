// Hosts that hold the fleet's duties in turn, over real sockets, with a store of one object and an API that records the calls it accepted.

#include "duties/dutysession.h"

#include "duties/usagecounter.h"
#include "gateway/gatewayfakes_test.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

const std::string customer = "isarfilm";

std::string reply(unsigned status, const std::string &body = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The body of an answer or a call: "version value". */
HttpCall getCall(std::string_view, std::string_view)
{
    HttpCall call;
    call.target = "/object";
    return call;
}

HttpCall putCall(std::string_view, std::string_view, std::string_view value, WriteCondition condition)
{
    HttpCall call;
    call.method = boost::beast::http::verb::put;
    call.target = "/object";
    call.body = std::to_string(condition.kind == WriteCondition::Kind::Absent ? 0 : condition.version) + " " + std::string(value);
    return call;
}

PlatformResult<StoredObject> readObject(const HttpAnswer &answer)
{
    if (answer.status == 404) {
        return failure(PlatformError{PlatformErrorKind::NotFound, 0});
    }
    if (answer.status != 200) {
        return failure(PlatformError{PlatformErrorKind::Conflict, 0});
    }
    const std::size_t space = answer.body.find(' ');
    return StoredObject{"lease", std::stoull(answer.body.substr(0, space)), answer.body.substr(space + 1)};
}

HttpCall usageCall(const DutyHolder &holder, const UsageReport &report)
{
    HttpCall call;
    call.method = boost::beast::http::verb::post;
    call.target = "/report";
    call.body = std::to_string(holder.number) + " " + formatUsageState({0, 0, {report}});
    return call;
}

HttpCall orderCall(const DutyHolder &holder, const EngineOrder &order)
{
    HttpCall call;
    call.method = boost::beast::http::verb::post;
    call.target = "/order";
    call.body = std::to_string(holder.number) + " " + order.domain.text() + (order.isReclaimable ? " reclaimable " : " lasting ") + std::to_string(order.count);
    return call;
}

bool isAccepted(const HttpAnswer &answer)
{
    return answer.status == 200;
}

OrderAnswer readOrderAnswer(const HttpAnswer &answer)
{
    return isAccepted(answer) ? OrderAnswer::Accepted : OrderAnswer::Failed;
}

std::string bodyOf(const std::string &request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

struct Host
{
    std::shared_ptr<DutySession<SteadyClock>> session;
    std::vector<std::string> events;
};

/** Usage windows of one second, which settle in a fifth of a second. */
class DutyScene
{
public:
    DutyScene()
        : store(io, [this](Peer &peer, const std::string &request) { answerObject(peer, request); })
        , api(io, [this](Peer &peer, const std::string &request) { answerCall(peer, request); })
    {
    }
    ~DutyScene()
    {
        for (const std::unique_ptr<Host> &host : hosts) {
            host->session->stop();
        }
    }

    Host &add(const std::string &name)
    {
        hosts.push_back(std::make_unique<Host>());
        Host &host = *hosts.back();
        DutyOptions options;
        options.host = HostId(name);
        options.process = name;
        options.lease = 1s;
        options.callTimeout = 150ms;
        options.usage = {1s, 3s, 200ms, 100ms};
        options.seed = hosts.size();
        DutyPorts ports;
        ports.suspendClock = &SteadyClock::now;
        ports.trueTimeMs = &DutyScene::timeMs;
        ports.customerName = [](std::uint64_t key) { return key == customerKey(CustomerId(customer)) ? customer : std::string(); };
        ports.scaledServices = [] { return std::vector<ScaledService>{{ShardId("llm"), 1, 8, 1s, 0.2}}; };
        ports.engines = [] {
            return std::vector<EngineCount>{{ShardId("llm"), FailureDomain("north"), 2, 0, 0}, {ShardId("llm"), FailureDomain("south"), 2, 0, 0}};
        };
        ports.tell = [&host](std::string_view event, const LogFields &) { host.events.emplace_back(event); };
        host.session = std::make_shared<DutySession<SteadyClock>>(ObjectSession<SteadyClock>(connectionsTo(store), {getCall, putCall, readObject}, "kind"),
                                                                  connectionsTo(api),
                                                                  DutyCodec{"usage", "engines", usageCall, orderCall, isAccepted, readOrderAnswer},
                                                                  options,
                                                                  ports);
        host.session->setWanted(true);
        return host;
    }

    static std::int64_t timeMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now().time_since_epoch()).count();
    }

    bool until(const std::function<bool()> &condition, Duration limit = 8s)
    {
        const TimePoint end = SteadyClock::now() + limit;
        while (!condition() && SteadyClock::now() < end) {
            io.restart();
            io.run_for(std::chrono::milliseconds(10));
            for (const std::unique_ptr<Host> &host : hosts) {
                // The counted values differ between hosts and change over time.
                const std::uint64_t window = static_cast<std::uint64_t>(timeMs() / 1000);
                host->session->receive({1, window, {{customerKey(CustomerId(customer)), ++m_counted}}});
                host->session->tick();
            }
        }
        return condition();
    }

    asio::io_context io;
    FakeEndpoint store;
    FakeEndpoint api;
    std::vector<std::unique_ptr<Host>> hosts;
    std::string object; ///< empty: does not exist
    std::uint64_t version = 0;
    std::vector<std::string> reports; ///< accepted, as sent
    std::vector<std::string> orders;
    bool losesAnswers = false; ///< of the API

private:
    std::shared_ptr<PlatformConnections<SteadyClock>> connectionsTo(const FakeEndpoint &server)
    {
        PlatformOptions options;
        options.port = server.port();
        options.callTimeout = 150ms;
        options.bodyTimeout = 150ms;
        options.rates = {1000, 1000, 1000, 1000};
        return std::make_shared<PlatformConnections<SteadyClock>>(io.get_executor(), options);
    }

    void answerObject(Peer &peer, const std::string &request)
    {
        if (request.starts_with("GET")) {
            peer.send(object.empty() ? reply(404) : reply(200, std::to_string(version) + " " + object));
            return;
        }
        const std::string body = bodyOf(request);
        const std::size_t space = body.find(' ');
        if (std::stoull(body.substr(0, space)) != (object.empty() ? 0 : version)) {
            peer.send(reply(409));
            return;
        }
        object = body.substr(space + 1);
        peer.send(reply(200, std::to_string(++version) + " " + object));
    }

    void answerCall(Peer &peer, const std::string &request)
    {
        (request.starts_with("POST /report") ? reports : orders).push_back(bodyOf(request));
        if (!losesAnswers) {
            peer.send(reply(200));
        }
    }

    std::uint32_t m_counted = 0;
};

/** The calls without their fencing numbers. */
std::set<std::string> contents(const std::vector<std::string> &calls)
{
    std::set<std::string> texts;
    for (const std::string &call : calls) {
        texts.insert(call.substr(call.find(' ') + 1));
    }
    return texts;
}

std::set<std::uint64_t> windowsOf(const std::set<std::string> &reports)
{
    std::set<std::uint64_t> windows;
    for (const std::string &report : reports) {
        windows.insert(parseUsageState(report)->fixed.front().window);
    }
    return windows;
}

} // namespace

TEST_CASE("one host takes the duties, reports each window once and orders engines; when it stops another goes on", "[usage][at-most-once]")
{
    // Failure: a holder stops and its successor does not know its state, so a window is billed twice or engines are ordered by two hosts. The first host
    // takes the lease, reports, stops and releases the lease; the second continues where it ended.
    DutyScene scene;
    Host &first = scene.add("host-1");
    REQUIRE(scene.until([&] { return scene.reports.size() >= 2 && contents(scene.orders).size() == 2; }));
    CHECK(first.session->lease().held);
    Host &second = scene.add("host-2");
    first.session->setWanted(false);
    const TimePoint stopped = SteadyClock::now();
    REQUIRE(scene.until([&] { return second.session->lease().held; }));
    CHECK(SteadyClock::now() - stopped < 1s); // released, not expired
    CHECK_FALSE(first.session->lease().held);
    const std::size_t before = scene.reports.size();
    REQUIRE(scene.until([&] { return scene.reports.size() >= before + 2; }));
    const std::set<std::string> reported = contents(scene.reports);
    CHECK(windowsOf(reported).size() == reported.size());
    CHECK(*windowsOf(reported).rbegin() - *windowsOf(reported).begin() + 1 == reported.size());
    CHECK(std::ranges::is_sorted(scene.reports, {}, [](const std::string &call) { return std::stoull(call); }));
}

TEST_CASE("a holder that stops during a call releases the lease after it", "[usage][at-most-once]")
{
    // Failure: the next holder waits until the lease expires, and a window may be late. A report is sent, the stop is ordered, the answer is lost and the
    // call times out, then the lease must be released.
    DutyScene scene;
    Host &first = scene.add("host-1");
    REQUIRE(scene.until([&] { return !scene.reports.empty(); }));
    scene.losesAnswers = true;
    const std::size_t before = scene.reports.size();
    REQUIRE(scene.until([&] { return scene.reports.size() > before; }));
    first.session->setWanted(false);
    CHECK(scene.until([&] { return parseLease(scene.object, 0).value().released; }, 800ms));
}

TEST_CASE("a call that is given up is reset, so that nothing of it arrives later", "[usage][at-most-once]")
{
    // Failure: a holder's report is delayed by a network cut and abandoned; another host takes the duties and reports. When the cut heals, the kernel
    // sends the bytes of a connection that was merely closed, and an older fencing number arrives after a newer one.
    DutyScene scene;
    scene.add("host-1");
    scene.losesAnswers = true;
    REQUIRE(scene.until([&] { return !scene.reports.empty(); }));
    CHECK(scene.until([&] { return std::ranges::any_of(scene.api.peers, [](const std::shared_ptr<Peer> &peer) { return peer->closed; }); }));
    CHECK(std::ranges::all_of(scene.api.peers, [](const std::shared_ptr<Peer> &peer) { return !peer->closed || peer->wasReset; }));
}

TEST_CASE("a report whose answer is lost is repeated with the same counts, also by the next holder", "[usage][at-most-once]")
{
    // The API accepts a report and its answer is lost; then the holder crashes. Every host that repeats this window must send the same numbers, although the
    // counts have grown meanwhile.
    DutyScene scene;
    Host &first = scene.add("host-1");
    REQUIRE(scene.until([&] { return !scene.reports.empty(); }));
    scene.losesAnswers = true;
    const std::size_t before = scene.reports.size();
    REQUIRE(scene.until([&] { return scene.reports.size() >= before + 3; }));
    first.session->stop();
    scene.hosts.erase(scene.hosts.begin());
    Host &second = scene.add("host-2");
    REQUIRE(scene.until([&] { return second.session->lease().held; }));
    scene.losesAnswers = false;
    const std::size_t later = scene.reports.size();
    REQUIRE(scene.until([&] { return scene.reports.size() >= later + 2; }));
    const std::set<std::string> reported = contents(scene.reports);
    CHECK(windowsOf(reported).size() == reported.size());
}
