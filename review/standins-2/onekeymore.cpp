// The operator adds a key to a tenant that has 1,000. All processes are killed just after the acknowledgement and started again. With FORM=timeout a
// route's time-out is changed to 2500.0 instead, and with FORM=whole to 2500.

#include "smallsite.h"

using namespace Review;

namespace
{

/** One tenant with so many keys, of which the consumers use the first. */
std::string tenantsWith(int keys)
{
    std::string listed = "\"n2ctnfzs989anu6wsjnb\"";
    for (int i = 1; i < keys; ++i) {
        char text[32];
        std::snprintf(text, sizeof(text), ",\"n2ctnfzs98900%07d\"", i);
        listed += text;
    }
    return "[{\"name\":\"hule930\",\"apiKeys\":[" + listed + "],\"priority\":1}]";
}

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
    const char *given = std::getenv("FORM");
    const std::string form = given == nullptr ? "keys" : given;
    constexpr int keysBefore = 1000;
    SmallSite site(arguments, [](SmallSite &self, const Arrival &arrival) {
        self.ran(arrival, 200);
        return workerAnswer(arrival, "200 OK", "done");
    });
    site.operatorWrites(7, tenantsWith(keysBefore));
    site.startHosts();
    sleepMs(1500);
    const double before = servedShare(site, 20);
    if (arguments.hasTrouble) {
        site.operatorWrites(9, tenantsWith(form == "keys" ? keysBefore + 1 : keysBefore), form == "timeout" ? "2500.0" : form == "whole" ? "2500" : "3000");
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
