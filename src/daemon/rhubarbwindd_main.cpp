#include "daemon/hostruntime.h"
#include "telemetry/log.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <sys/resource.h>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

using namespace Rhubarbwind;

namespace
{

enum ExitCode : int {
    ExitDone = 0,
    ExitBadSettings = 1,
    ExitUsage = 2,
    ExitCannotStart = 3,
};

cxxopts::Options makeOptions()
{
    cxxopts::Options options("rhubarbwindd", "One host of the rhubarbwind router.");
    // clang-format off
    options.add_options()
        ("s,settings", "settings file (JSON with comments)", cxxopts::value<std::string>())
        ("check-settings", "check the settings file, list every fault, and exit")
        ("version", "the version")
        ("h,help", "this text");
    // clang-format on
    return options;
}

std::string readWhole(const std::string &path, bool &readable)
{
    std::ifstream file(path, std::ios::binary);
    readable = static_cast<bool>(file);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::string_view describe(HostStartError error)
{
    switch (error) {
    case HostStartError::CallersAddress:
        return "The callers' address can't be bound.";
    case HostStartError::PeersAddress:
        return "The peers' address can't be bound.";
    case HostStartError::AdminAddress:
        return "The admin address can't be bound.";
    }
    return "The host can't start.";
}

/** An arbiter of a large fleet holds a link with every host; the usual soft limit of 1,024 files is below that. */
void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int runHost(const Settings &settings)
{
    raiseFileLimit();
    configureLogs(settings.logLayout == "json" ? LogLayout::Json : LogLayout::Text, parseLogLevel(settings.logLevel).value());
    const Log log(LogPart::Daemon);
    boost::asio::io_context context(1);
    HostRuntime host(context, settings);
    const Result<void, HostStartError> started = host.start();
    if (started.has_error()) {
        log.error(describe(started.error()));
        return ExitCannotStart;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    // Waits again after each signal: a second one must not fall back to the default action and kill the host.
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](boost::system::error_code error, int) {
            if (!error) {
                host.orderStop();
                waitForSignal();
            }
        });
    };
    waitForSignal();
    log.info("The host has started.");
    context.run();
    log.info("The host has stopped.");
    return ExitDone;
}

int runWith(const cxxopts::ParseResult &parsed)
{
    const std::string path = parsed["settings"].as<std::string>();
    bool readable = false;
    const std::string text = readWhole(path, readable);
    if (!readable) {
        std::cerr << "rhubarbwindd: " << path << " can't be read\n";
        return ExitBadSettings;
    }
    const Result<Settings, DocumentFaults> settings = parseSettings(text);
    if (settings.has_error()) {
        std::cerr << describeFaults(settings.error());
        return ExitBadSettings;
    }
    if (parsed.count("check-settings") > 0) {
        std::cout << path << ": valid\n";
        return ExitDone;
    }
    return runHost(settings.value());
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("version") > 0) {
            std::cout << "rhubarbwindd " << RHUBARBWIND_VERSION << '\n';
            return ExitDone;
        }
        if (parsed.count("settings") == 0) {
            std::cout << options.help();
            return parsed.count("help") > 0 ? ExitDone : ExitUsage;
        }
        return runWith(parsed);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "rhubarbwindd: " << error.what() << '\n';
        return ExitUsage;
    }
}
