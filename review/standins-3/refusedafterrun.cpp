// Case: while slow consumers keep a host's buffers full, a worker's 503 to a request that has run reaches the consumer, to whom it means "has not run".
//
// Three hosts with settings filled from the deploy file's template, a worker of documents, a worker of quotes, consumers of one host. 250 consumers read
// documents of 1 MB slowly. Meanwhile twenty `unsafe` requests come one after the other. The worker of quotes runs all of them; two in five it then
// answers 503 with a page of 12 KB, with its seal and without `Not-Executed`.
//
// usage: refusedafterrun ROOT FOLDER RECORD     TROUBLE=0: nobody reads slowly     exit: 1 if a consumer got 503 for a request that had run, 0 if not,
// 2 if the case couldn't run

#include "world.h"

#include <set>

using namespace world;

namespace
{
constexpr size_t documentBytes = 1'000'000;
constexpr size_t pageBytes = 12'000;
constexpr int slowConsumers = 250;
constexpr double readBytesPerSecond = 40'000;
constexpr int quotes = 20;
const SocketOptions slowLink{4096, 1460};

bool fails(int number)
{
    return number % 5 < 2; // x = 0.4 of the requests
}

void readSlowly(Connection &connection, const std::atomic<bool> &isOver)
{
    const double start = seconds();
    size_t got = 0;
    while (!isOver) {
        const ssize_t size = connection.readSome(1000, 4096);
        if (size <= 0) {
            return;
        }
        got += static_cast<size_t>(size);
        connection.buffer.clear();
        const double due = start + static_cast<double>(got) / readBytesPerSecond;
        if (due > seconds()) {
            sleepMs(static_cast<int>((due - seconds()) * 1000));
        }
    }
}
} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments(argc, argv);
    record.open(arguments.record);
    Store store("127.0.0.1");
    std::mutex mutex;
    std::set<std::string> ran;
    const auto serve = [&](const std::string &instance, Connection &connection) {
        Message request;
        while (connection.readHead(request) && connection.readBody(request)) {
            const std::string id = request.field("attempt-id");
            if (request.field("expect-instance") != instance) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nInstance-Id: " + instance + "\r\n\r\n");
                request = Message();
                continue;
            }
            const bool isQuote = id[0] == 'q';
            const bool isFailure = isQuote && fails(atoi(id.c_str() + 1));
            if (isQuote) {
                const std::lock_guard<std::mutex> lock(mutex);
                ran.insert(id);
                record.line("worker %s runs %s, then answers %s", instance.c_str(), id.c_str(), isFailure ? "503 without Not-Executed" : "200");
            }
            const std::string body(isFailure ? pageBytes : isQuote ? 800 : documentBytes, 'x');
            connection.send(std::string("HTTP/1.1 ") + (isFailure ? "503 Service Unavailable" : "200 OK") + "\r\nAttempt-Id: " + id + "\r\nResponse-Seal: seal-of-" + id
                            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            request = Message();
        }
    };
    Server documents("127.0.0.2", [&](Connection &connection) { serve("i-7f3a91c2", connection); });
    Server quoting("127.0.0.3", [&](Connection &connection) { serve("i-02d9e6b4", connection); });
    store.put("servers", "i-7f3a91c2", serverEntry("documents", documents.address(), "zone-a", "ready", 400));
    store.put("servers", "i-02d9e6b4", serverEntry("quotes", quoting.address(), "zone-a", "ready"));
    store.put("config", "main",
              configuration(R"({"name":"documents","hostname":"desk.example","pathPrefix":"/document/","service":"documents","routeType":"safe","timeoutMs":30000,"goalMs":1000,"priority":1,"maxAttempts":2},)"
                            R"({"name":"quotes","hostname":"desk.example","pathPrefix":"/quote/","service":"quotes","routeType":"unsafe","timeoutMs":5000,"goalMs":1000,"priority":1,"maxAttempts":1})",
                            "documents", "quotes"));
    Fleet fleet(arguments, store, 3);
    if (!fleet.start()) {
        fleet.cannotRun("the hosts did not become ready");
    }
    Host &host = *fleet.hosts.front();

    std::atomic<bool> isOver{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < (arguments.hasTrouble ? slowConsumers : 0); ++i) {
        threads.emplace_back([&, i] {
            Connection connection(connectTo(host.ip, host.ports.front, slowLink));
            connection.send("GET /document/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: d" + std::to_string(i) + "\r\nDeadline-Ms: 30000\r\nAuthorization: Bearer k1\r\n\r\n");
            readSlowly(connection, isOver);
        });
    }
    record.line("%zu consumers read documents slowly", threads.size());
    sleepMs(1500);
    int wrong = 0;
    int failed = 0;
    for (int i = 0; i < quotes; ++i) {
        Connection connection(connectTo(host.ip, host.ports.front));
        const std::string id = "q" + std::to_string(i);
        connection.send("POST /quote/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nquote");
        Message answer;
        const bool isAnswered = connection.readHead(answer) && connection.readBody(answer);
        const std::lock_guard<std::mutex> lock(mutex);
        const bool hasRun = ran.count(id) > 0;
        failed += hasRun && fails(i) ? 1 : 0;
        const int status = answer.status();
        const bool promisesNotRun = status == 503 || status == 429 || status == 408 || status == 421;
        wrong += hasRun && promisesNotRun ? 1 : 0;
        record.line("consumer %s: status %d, %s, %zu bytes, seal '%s'; it %s", id.c_str(), status, isAnswered ? "whole" : "not whole", answer.body.size(),
                    answer.field("response-seal").c_str(), hasRun ? "has run" : "has not run");
    }
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    if (failed == 0) {
        fleet.cannotRun("no request reached the worker that fails");
    }
    record.line("told that they had not run, though they had: %d of %d", wrong, quotes);
    printf("told that they had not run, though they had: %d of %d\n", wrong, quotes);
    fleet.finish(wrong > 0 ? 1 : 0);
}
