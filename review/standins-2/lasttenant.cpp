// The operator takes the last tenant away. Requests whose keys no desired state ever held, and those with the key that was taken away, must not run.

#include "smallsite.h"

using namespace Review;

int main(int argc, char **argv)
{
    const Arguments arguments = argumentsOf(argc, argv);
    SmallSite site(arguments, [](SmallSite &self, const Arrival &arrival) {
        self.ran(arrival, 200);
        return workerAnswer(arrival, "200 OK", "done");
    });
    const std::string before = "[{\"name\":\"hule930\",\"apiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]";
    site.operatorWrites(7, before);
    site.startHosts();
    sleepMs(1500);
    for (const std::unique_ptr<Host> &host : site.hosts) {
        const bool isServed = site.send(*host, site.nextAttempt(), "n2ctnfzs989anu6wsjnb", "POST", "/quotes/1") == 200;
        const bool isRefused = site.send(*host, site.nextAttempt(), "never-a-key-000000000", "POST", "/quotes/2") == 401;
        const bool isRefusedWithout = site.send(*host, site.nextAttempt(), "", "POST", "/quotes/3") == 401;
        if (!isServed || !isRefused || !isRefusedWithout) {
            cannotRun("the hosts don't serve as they should before the change");
        }
    }
    site.operatorWrites(9, arguments.hasTrouble ? "[]" : before);
    constexpr long configMs = 2000;
    sleepMs(configMs + 1000);
    std::size_t unknownRuns = 0;
    std::size_t takenAwayRuns = 0;
    for (int round = 0; round < 5; ++round) {
        for (const std::unique_ptr<Host> &host : site.hosts) {
            for (const char *method : {"POST", "GET"}) {
                const std::string path = std::string(method) == "POST" ? "/quotes/4" : "/status/4";
                const std::string unknown = site.nextAttempt();
                site.send(*host, unknown, "never-a-key-000000000", method, path);
                unknownRuns += site.runsOf(unknown).empty() ? 0 : 1;
                const std::string without = site.nextAttempt();
                site.send(*host, without, "", method, path);
                unknownRuns += site.runsOf(without).empty() ? 0 : 1;
                const std::string takenAway = site.nextAttempt();
                site.send(*host, takenAway, "n2ctnfzs989anu6wsjnb", method, path);
                takenAwayRuns += arguments.hasTrouble && !site.runsOf(takenAway).empty() ? 1 : 0;
            }
        }
        sleepMs(500);
    }
    const std::string result = std::to_string(unknownRuns) + " requests without a key that a desired state ever held ran, of 60; "
        + std::to_string(takenAwayRuns) + " with the key that was taken away ran later than configMs after the ack, of 30";
    site.record.line(result);
    std::printf("%s\n", result.c_str());
    finish(unknownRuns + takenAwayRuns > 0 ? exitBroken : exitHeld);
}
