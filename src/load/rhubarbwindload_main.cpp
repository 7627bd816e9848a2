// rhubarbwind-load: sends a mix of requests to rhubarbwind on 127.0.0.0/8, checks every answer, prints a table.
//
// Exit codes: 0 done; 1 --check found a broken promise; 2 wrong usage or a faulty mix.

#include "load/loadrun.h"
#include "load/report.h"
#include "standins/standinhttp.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

using namespace Rhubarbwind;

constexpr int exitBroken = 1;
constexpr int exitUsage = 2;
constexpr double longestRunSeconds = 3600;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("rhubarbwind-load", "Sends a mix of requests to hosts on 127.0.0.0/8 and checks every answer");
    options.add_options()("mix", "mix file (JSON with comments)", cxxopts::value<std::string>());
    options.add_options()("class", "send only these classes of the mix", cxxopts::value<std::vector<std::string>>());
    options.add_options()("compare", "send nothing: set the runs of a JSON lines file side by side", cxxopts::value<std::string>());
    options.add_options()("host", "IP:PORT for callers, or IP:PORT/IP:PORT with the admin address to probe", cxxopts::value<std::vector<std::string>>());
    options.add_options()("endpoint", "IP:PORT of a stand-in to ask for counters", cxxopts::value<std::vector<std::string>>());
    options.add_options()("counters-file", "counters of a stand-in that ended by a fault", cxxopts::value<std::vector<std::string>>());
    options.add_options()("rate", "factor on every rate of the mix", cxxopts::value<double>()->default_value("1"));
    options.add_options()("duration-s", "of the arrivals; 0: as the mix says", cxxopts::value<double>()->default_value("0"));
    options.add_options()("patience-s", "longest wait of a caller", cxxopts::value<double>()->default_value("60"));
    options.add_options()("seed", "of arrivals and lengths", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("label", "names the run in output and ids; one run a label", cxxopts::value<std::string>()->default_value("load"));
    options.add_options()("json", "append JSON lines to this file", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("direct", "the hosts are endpoints: they name no outcome");
    options.add_options()("check", "exit 1 when a promise was broken");
    options.add_options()("expect-whole", "no fault is injected, so no answer may break either");
    options.add_options()("help", "print this");
    return options;
}

std::vector<std::string> listOf(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed.count(name) > 0 ? parsed[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

bool readAddresses(const cxxopts::ParseResult &parsed, LoadRunOptions &options)
{
    for (const std::string &text : listOf(parsed, "host")) {
        const std::size_t slash = text.find('/');
        const Result<boost::asio::ip::tcp::endpoint, AddressError> host = parseLoopback(text.substr(0, slash));
        if (!host) {
            return false;
        }
        options.caller.hosts.push_back(host.value());
        options.probes.emplace_back();
        if (slash != std::string::npos) {
            const Result<boost::asio::ip::tcp::endpoint, AddressError> probe = parseLoopback(text.substr(slash + 1));
            if (!probe) {
                return false;
            }
            options.probes.back() = probe.value();
        }
    }
    for (const std::string &text : listOf(parsed, "endpoint")) {
        const Result<boost::asio::ip::tcp::endpoint, AddressError> endpoint = parseLoopback(text);
        if (!endpoint) {
            return false;
        }
        options.endpoints.push_back(endpoint.value());
    }
    return !options.caller.hosts.empty();
}

int runLoad(const cxxopts::ParseResult &parsed, const Mix &mix, LoadRunOptions options)
{
    ArrivalOptions arrivals;
    arrivals.label = parsed["label"].as<std::string>();
    arrivals.seed = parsed["seed"].as<std::uint64_t>();
    arrivals.rateFactor = parsed["rate"].as<double>();
    const double seconds = parsed["duration-s"].as<double>();
    arrivals.duration = seconds > 0 ? fromSeconds(std::min(seconds, longestRunSeconds)) : mix.duration;
    options.caller.patience = fromSeconds(std::min(parsed["patience-s"].as<double>(), longestRunSeconds));
    options.caller.direct = parsed.count("direct") > 0;
    options.counterFiles = listOf(parsed, "counters-file");

    Tally tally(mix);
    LoadRun run(mix, planArrivals(mix, arrivals), std::move(options));
    const LoadRunReport report = run.run(tally);
    const std::vector<BrokenPromise> broken = brokenPromises(tally, parsed.count("expect-whole") > 0);
    printTable(std::cout, arrivals.label, mix, tally, report, broken);
    if (const std::string path = parsed["json"].as<std::string>(); !path.empty()) {
        std::ofstream file(path, std::ios::app);
        printJsonLines(file, arrivals.label, tally, report);
    }
    return parsed.count("check") > 0 && !broken.empty() ? exitBroken : EXIT_SUCCESS;
}

/** Classes that are not asked for keep their place, since bursts name them, but send nothing. */
bool keepClasses(const std::vector<std::string> &wanted, Mix &mix)
{
    std::size_t kept = 0;
    for (MixClass &rule : mix.classes) {
        const bool keep = wanted.empty() || std::find(wanted.begin(), wanted.end(), rule.name) != wanted.end();
        kept += keep ? 1 : 0;
        rule.ratePerSecond = keep ? rule.ratePerSecond : 0;
    }
    return wanted.empty() || kept == wanted.size();
}

int run(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("compare") > 0) {
        std::ifstream lines(parsed["compare"].as<std::string>());
        printComparison(std::cout, lines);
        return EXIT_SUCCESS;
    }
    LoadRunOptions options;
    if (parsed.count("mix") == 0 || !readAddresses(parsed, options)) {
        std::cerr << "rhubarbwind-load: --mix and at least one --host are needed; addresses are IP:PORT on 127.0.0.0/8\n";
        return exitUsage;
    }
    std::ifstream file(parsed["mix"].as<std::string>());
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    Result<Mix, DocumentFaults> mix = parseMix(text);
    if (!mix) {
        std::cerr << "rhubarbwind-load: " << parsed["mix"].as<std::string>() << ":\n" << describeFaults(mix.error());
        return exitUsage;
    }
    if (!keepClasses(listOf(parsed, "class"), mix.value())) {
        std::cerr << "rhubarbwind-load: --class names a class that the mix does not have\n";
        return exitUsage;
    }
    return runLoad(parsed, mix.value(), std::move(options));
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = describeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        return run(parsed);
    } catch (const std::exception &error) {
        std::cerr << "rhubarbwind-load: " << error.what() << "\n";
        return exitUsage;
    }
}
