// Case: a host that is being stopped passes a stream on that it can't finish, and cuts it.
//
// Three hosts with settings filled from the deploy file's template, one model worker, one route for streams that may not be resumed. Twenty drafts of 10 to
// 30 events, 50 ms each, show the host how long drafts take. Then it gets SIGTERM. Five consumers connect within 1.6 s of the signal, while the balancer
// still sends callers, and the last byte of their prompts arrives later than 3 s after it. Their drafts have 95 events.
//
// usage: latestream ROOT FOLDER RECORD     TROUBLE=0: no SIGTERM     exit: 1 if a stream was cut, 0 if not, 2 if the case couldn't run

#include "stoppedfleet.h"

using namespace world;

namespace
{
constexpr int eventMs = 50;
constexpr int longEvents = 95;
constexpr int tokensPerEvent = 5;
constexpr int history = 20;
constexpr int consumers = 5;
constexpr double graceS = 8;
constexpr size_t promptBytes = 100'000;
constexpr int pieces = 20;
constexpr double uploadS = 2.0;
constexpr double connectAtS = 1.2; // after SIGTERM, of the first consumer

std::string head(const std::string &id, int events, size_t bytes)
{
    return "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nModel: m\r\nToken-Usage: 3720," + std::to_string(events * tokensPerEvent)
        + "\r\nPrompt-Prefix: " + id + ":3720\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer k1\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

void generate(Connection &connection, const std::string &id, int events)
{
    if (!connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-of-" + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return;
    }
    for (int i = 1; i <= events; ++i) {
        sleepMs(eventMs);
        const std::string event = "id: " + std::to_string(i) + "\ndata: event " + std::to_string(i) + " of " + std::to_string(events) + "\n\n";
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!connection.send(size + event + "\r\n")) {
            record.line("worker: the channel of %s ended before event %d of %d", id.c_str(), i, events);
            return;
        }
    }
    connection.send("0\r\n\r\n");
    record.line("worker has sent its whole answer to %s", id.c_str());
}
} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments(argc, argv);
    record.open(arguments.record);
    const std::string instance = "i-7f3a91c2";
    Store store("127.0.0.1");
    Server worker("127.0.0.2", [&](Connection &connection) {
        Message request;
        while (connection.readHead(request) && connection.readBody(request)) {
            const std::string id = request.field("attempt-id");
            const std::string usage = request.field("token-usage");
            if (request.field("expect-instance") != instance) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nInstance-Id: " + instance + "\r\n\r\n");
            } else {
                const int events = atoi(usage.c_str() + usage.find(',') + 1) / tokensPerEvent;
                record.line("worker runs %s: %d events", id.c_str(), events);
                generate(connection, id, events);
            }
            request = Message();
        }
    });
    store.put("servers", instance, serverEntry("drafting", worker.address(), "zone-a", "ready", 64));
    store.put("config", "main", configuration(R"({"name":"drafts","hostname":"desk.example","pathPrefix":"/draft/","service":"drafting","routeType":"streaming","resumable":false,"sticky":true,"timeoutMs":8000,"goalMs":1500,"gapTargetMs":800,"priority":2,"maxAttempts":1})", "drafting"));
    Fleet fleet(arguments, store, 3);
    if (!fleet.start()) {
        fleet.cannotRun("the hosts did not become ready");
    }
    Host &host = *fleet.hosts.front();

    std::vector<std::thread> threads;
    std::atomic<int> shown{0};
    for (int i = 0; i < history; ++i) {
        threads.emplace_back([&, i] {
            const std::string id = "s" + std::to_string(i);
            Connection connection(connectTo(host.ip, host.ports.front));
            connection.send(head(id, 10 + i * 20 / (history - 1), 5) + "draft");
            Message answer;
            shown += connection.readHead(answer) && answer.status() == 200 && connection.readBody(answer) ? 1 : 0;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    threads.clear();
    if (shown != history) {
        fleet.cannotRun("the drafts before the stop were not answered");
    }

    const double stoppedAt = seconds();
    if (arguments.hasTrouble) {
        record.line("SIGTERM to %s", host.name.c_str());
        host.signal(SIGTERM);
    }
    std::atomic<int> cut{0};
    std::atomic<int> early{0};
    std::atomic<int> late{0};
    for (int i = 0; i < consumers; ++i) {
        threads.emplace_back([&, i] {
            sleepMs(static_cast<int>(connectAtS * 1000) + 100 * i);
            const std::string id = "l" + std::to_string(i);
            Connection connection(connectTo(host.ip, host.ports.front));
            connection.send(head(id, longEvents, promptBytes));
            for (int piece = 0; piece < pieces; ++piece) {
                sleepMs(static_cast<int>(uploadS * 1000 / pieces));
                connection.send(std::string(promptBytes / pieces, 'p'));
            }
            const double sentAfter = seconds() - stoppedAt;
            record.line("consumer %s: last byte sent %.2f s after the signal", id.c_str(), sentAfter);
            Message answer;
            const bool hasHead = connection.readHead(answer);
            const bool isWhole = hasHead && connection.readBody(answer);
            const double endedAfter = seconds() - stoppedAt;
            record.line("consumer %s: status %d, %zu bytes, %s, %.2f s after the signal", id.c_str(), answer.status(), answer.body.size(),
                        isWhole ? "whole" : "the channel ended without a complete answer", endedAfter);
            // What was sent within 3 s of the signal is excused if its worker is still at work in the last sixth of graceS.
            (sentAfter > 3 ? late : early) += 1;
            cut += sentAfter > 3 && !isWhole && endedAfter < graceS + 1 ? 1 : 0;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    if (arguments.hasTrouble) {
        const bool hasEnded = waitUntil(10'000, [&] { return host.hasEnded(); });
        record.line("%s %s", host.name.c_str(), hasEnded ? "has ended" : "still runs");
    }
    if (late == 0) {
        fleet.cannotRun("no request was sent later than 3 s after the signal");
    }
    record.line("streams cut: %d of %d", cut.load(), late.load());
    printf("streams cut: %d of %d\n", cut.load(), late.load());
    fleet.finish(cut > 0 ? 1 : 0);
}
