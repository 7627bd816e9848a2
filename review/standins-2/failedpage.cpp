// A worker fails part of the requests that it runs with a 503 of its own, without Not-Executed. The consumer of a request that may not be repeated must
// not be told 429 or 503, which promise that it has not run.

#include "smallsite.h"

using namespace Review;

int main(int argc, char **argv)
{
    const Arguments arguments = argumentsOf(argc, argv);
    std::atomic<unsigned> served{0};
    SmallSite site(arguments, [&](SmallSite &self, const Arrival &arrival) {
        // One worker of three, two of five of its requests.
        const bool fails = arguments.hasTrouble && arrival.instance == "i-5eed0000" && ++served % 5 < 2;
        self.ran(arrival, fails ? 503 : 200);
        return fails ? workerAnswer(arrival, "503 Service Unavailable", std::string(1200 * 1024, 'x')) : workerAnswer(arrival, "200 OK", "done");
    });
    site.operatorWrites(7, "[{\"name\":\"hule930\",\"apiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]");
    site.startHosts();
    sleepMs(1500);
    std::size_t falsePromises = 0;
    std::size_t sent = 0;
    constexpr long troubleMs = 4000;
    const long end = sinceStartMs() + troubleMs;
    for (int round = 0; round < 40 && sinceStartMs() < end; ++round) {
        for (const std::unique_ptr<Host> &host : site.hosts) {
            const std::string attempt = site.nextAttempt();
            const int status = site.send(*host, attempt, "n2ctnfzs989anu6wsjnb", "POST", "/quotes/1");
            const bool isPromise = status == 408 || status == 421 || status == 429 || status == 503;
            falsePromises += isPromise && !site.runsOf(attempt).empty() ? 1 : 0;
            ++sent;
            sleepMs(25);
        }
    }
    const std::string result =
        std::to_string(falsePromises) + " of " + std::to_string(sent) + " requests that had run were answered with a promise that they had not";
    site.record.line(result);
    std::printf("%s\n", result.c_str());
    finish(falsePromises > 0 ? exitBroken : exitHeld);
}
