// The operator changes a route's time-out, and writes the number of milliseconds with a fraction part of zero. All processes are killed just after the
// acknowledgement and started again. FORM=whole writes the same number without the fraction part.

#include "smallsite.h"

using namespace Review;

namespace
{

constexpr const char *tenants = "[{\"name\":\"hule930\",\"apiKeys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]";

/** Sends requests to all hosts in turn. @return share that is answered 200 */
double servedShare(SmallSite &site, int rounds)
{
    int sent = 0;
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const std::unique_ptr<Host> &host : site.hosts) {
            const bool isQuote = round % 2 == 0;
            const int status = site.send(*host, site.nextAttempt(), "n2ctnfzs989anu6wsjnb", isQuote ? "POST" : "GET", isQuote ? "/quotes/1" : "/status/1");
            ++sent;
            served += status == 200 ? 1 : 0;
        }
        sleepMs(200);
    }
    return static_cast<double>(served) / sent;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = argumentsOf(argc, argv);
    const char *form = std::getenv("FORM");
    const bool isWhole = form != nullptr && std::string(form) == "whole";
    SmallSite site(arguments, [](SmallSite &self, const Arrival &arrival) {
        self.ran(arrival, 200);
        return workerAnswer(arrival, "200 OK", "done");
    });
    site.operatorWrites(7, tenants);
    site.startHosts();
    sleepMs(1500);
    const double before = servedShare(site, 20);
    if (arguments.hasTrouble) {
        site.operatorWrites(9, tenants, isWhole ? "2500" : "2500.0");
        for (const std::unique_ptr<Host> &host : site.hosts) {
            host->end();
        }
        site.record.line("hosts: all killed");
        sleepMs(1000);
        for (const std::unique_ptr<Host> &host : site.hosts) {
            host->start(false);
        }
        site.record.line("hosts: all started again");
    }
    constexpr long recoverMs = 12'000;
    sleepMs(recoverMs + 1000);
    const double after = servedShare(site, 40);
    char result[160];
    std::snprintf(result, sizeof(result), "served before the final fault: %.2f; later than recoverS after the machines are back: %.2f", before, after);
    site.record.line(result);
    std::printf("%s\n", result);
    finish(before >= 0.25 && after < 0.25 ? exitBroken : exitHeld);
}
