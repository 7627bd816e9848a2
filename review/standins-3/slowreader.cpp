// Case: a planned stop of a host cuts answers that are whole at the host and that slow consumers are still receiving.
//
// Three hosts with settings filled from the deploy file's template, one worker, five consumers of one host. Each consumer asks for a document on an
// `unsafe` route and reads it at 150 KB/s through a small window. The worker has answered all of them within milliseconds. Then that host gets SIGTERM.
//
// usage: slowreader ROOT FOLDER RECORD     TROUBLE=0: no SIGTERM     exit: 1 if a consumer's answer was cut, 0 if not, 2 if the case couldn't run

#include "world.h"

using namespace world;

namespace
{
constexpr size_t answerBytes = 1'000'000;
constexpr double readBytesPerSecond = 150'000;
constexpr int consumers = 5;
constexpr double graceS = 8;
constexpr int deadlineMs = 8'000;
const SocketOptions slowLink{4096, 1460}; // a small window, and the segments of an Ethernet link

struct Result
{
    int status = 0;
    size_t got = 0;
    size_t length = 0;
    bool isWhole = false;
    double endedAt = 0;
};

Result readSlowly(Connection &connection)
{
    Result result;
    const double start = seconds();
    Message answer;
    if (!connection.readHead(answer)) {
        result.endedAt = seconds();
        return result;
    }
    result.status = answer.status();
    result.length = strtoul(answer.field("content-length").c_str(), nullptr, 10);
    result.got = connection.buffer.size();
    connection.buffer.clear();
    while (result.got < result.length) {
        const ssize_t size = connection.readSome(10'000, 4096);
        if (size <= 0) {
            break;
        }
        result.got += static_cast<size_t>(size);
        connection.buffer.clear();
        const double due = start + static_cast<double>(result.got) / readBytesPerSecond;
        if (due > seconds()) {
            sleepMs(static_cast<int>((due - seconds()) * 1000));
        }
    }
    result.isWhole = result.length == answerBytes && result.got == result.length;
    result.endedAt = seconds();
    return result;
}
} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments(argc, argv);
    record.open(arguments.record);
    const std::string instance = "i-7f3a91c2";
    Store store("127.0.0.1");
    std::atomic<int> answered{0};
    Server worker("127.0.0.2", [&](Connection &connection) {
        Message request;
        while (connection.readHead(request) && connection.readBody(request)) {
            const std::string id = request.field("attempt-id");
            if (request.field("expect-instance") != instance) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nInstance-Id: " + instance + "\r\n\r\n");
            } else {
                record.line("worker runs %s", id.c_str());
                connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-of-" + id + "\r\nContent-Length: " + std::to_string(answerBytes) + "\r\n\r\n"
                                + std::string(answerBytes, 'x'));
                record.line("worker has sent its whole answer to %s", id.c_str());
                ++answered;
            }
            request = Message();
        }
    });
    store.put("servers", instance, serverEntry("documents", worker.address(), "zone-a", "ready"));
    store.put("config", "main", configuration(R"({"name":"drafts","hostname":"desk.example","pathPrefix":"/draft/","service":"documents","routeType":"unsafe","timeoutMs":8000,"goalMs":1000,"priority":1,"maxAttempts":1})", "documents"));
    Fleet fleet(arguments, store, 3);
    if (!fleet.start()) {
        fleet.cannotRun("the hosts did not become ready");
    }
    Host &host = *fleet.hosts.front();

    std::vector<Result> results(consumers);
    std::vector<std::thread> threads;
    for (int i = 0; i < consumers; ++i) {
        threads.emplace_back([&, i] {
            Connection connection(connectTo(host.ip, host.ports.front, slowLink));
            const std::string id = "a" + std::to_string(i);
            record.line("consumer %s: sends its request to %s", id.c_str(), host.name.c_str());
            connection.send("POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
                            + "\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\ndraft");
            const double sentAt = seconds();
            results[static_cast<size_t>(i)] = readSlowly(connection);
            const Result &result = results[static_cast<size_t>(i)];
            record.line("consumer %s: status %d, %zu of %zu bytes, %s after %.2f s", id.c_str(), result.status, result.got, result.length,
                        result.isWhole ? "whole" : "the channel ended", result.endedAt - sentAt);
        });
    }
    const bool allAnswered = waitUntil(3000, [&] { return answered == consumers; });
    sleepMs(200);
    const double stoppedAt = seconds();
    if (arguments.hasTrouble) {
        record.line("SIGTERM to %s", host.name.c_str());
        host.signal(SIGTERM);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    if (!allAnswered) {
        fleet.cannotRun("the worker did not get all requests");
    }
    int cut = 0;
    for (const Result &result : results) {
        // The rule counts channels that end until 1 s after graceS. All end before their deadline, which the pace of the consumers keeps.
        cut += !result.isWhole && result.endedAt - stoppedAt < graceS + 1 ? 1 : 0;
    }
    if (arguments.hasTrouble) {
        const bool hasEnded = waitUntil(10'000, [&] { return host.hasEnded(); });
        record.line("%s %s", host.name.c_str(), hasEnded ? "has ended" : "still runs");
    }
    record.line("answers cut: %d of %d", cut, consumers);
    printf("answers cut: %d of %d\n", cut, consumers);
    fleet.finish(cut > 0 ? 1 : 0);
}
