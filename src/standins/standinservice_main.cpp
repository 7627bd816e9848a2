// standin-service: a plain service's place in tests and on the bench. Loopback only. SIGTERM drains and ends it.

#include "standins/serviceserver.h"
#include "telemetry/log.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace Rhubarbwind;

constexpr int exitUsage = 2;
constexpr int exitCrash = 70;
/** From the end of the last answer to the end of the process, so that its last bytes leave. */
constexpr Duration lastWritesTime = 500ms;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("standin-service", "Stands in for a plain service on 127.0.0.0/8");
    options.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("name", "its name in answers and logs", cxxopts::value<std::string>()->default_value("service"));
    options.add_options()("workers", "requests at a time", cxxopts::value<std::uint32_t>()->default_value("8"));
    options.add_options()("queue", "most waiting requests", cxxopts::value<std::size_t>()->default_value("64"));
    options.add_options()("work-ms", "mean time of a request", cxxopts::value<double>()->default_value("50"));
    options.add_options()("seed", "of what is random", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("counters-file", "where counters go before a crash", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("help", "print this");
    return options;
}

int run(const cxxopts::ParseResult &parsed)
{
    const Result<boost::asio::ip::tcp::endpoint, AddressError> listen = parseLoopback(parsed["listen"].as<std::string>());
    if (!listen || parsed["workers"].as<std::uint32_t>() == 0) {
        std::cerr << "standin-service: --listen must be IP:PORT on 127.0.0.0/8, --workers above 0\n";
        return exitUsage;
    }
    ServiceOptions service;
    service.name = parsed["name"].as<std::string>();
    service.listen = listen.value();
    service.workers = parsed["workers"].as<std::uint32_t>();
    service.queueLimit = parsed["queue"].as<std::size_t>();
    service.meanWork = fromSeconds(parsed["work-ms"].as<double>() / 1000);
    service.seed = parsed["seed"].as<std::uint64_t>();
    service.countersFile = parsed["counters-file"].as<std::string>();
    service.crash = [] { std::_Exit(exitCrash); };

    boost::asio::io_context context(1);
    const std::shared_ptr<ServiceServer<SteadyClock>> server = std::make_shared<ServiceServer<SteadyClock>>(context, std::move(service));
    server->start();
    SessionTimer<SteadyClock> lastWrites(context);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error) {
            server->drain([&lastWrites, &context] {
                lastWrites.expires_after(lastWritesTime);
                lastWrites.async_wait([&context](const boost::system::error_code &) { context.stop(); });
            });
        }
    });
    std::cout << "listening on port " << server->port() << std::endl;
    context.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    configureLogs(LogLayout::Text, LogLevel::Warn);
    cxxopts::Options options = describeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        return run(parsed);
    } catch (const std::exception &error) {
        std::cerr << "standin-service: " << error.what() << "\n";
        return exitUsage;
    }
}
