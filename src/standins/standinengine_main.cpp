// standin-engine: a model engine's place in tests and on the bench. Loopback only. SIGTERM drains and ends it.

#include "standins/engineserver.h"
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
    cxxopts::Options options("standin-engine", "Stands in for a model engine on 127.0.0.0/8");
    options.add_options()("listen", "IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("name", "its name in logs", cxxopts::value<std::string>()->default_value("engine"));
    options.add_options()("model", "the model it holds at start", cxxopts::value<std::string>()->default_value("model"));
    options.add_options()("slots", "largest batch", cxxopts::value<std::uint32_t>()->default_value("16"));
    options.add_options()("queue", "most waiting runs", cxxopts::value<std::size_t>()->default_value("64"));
    options.add_options()("base-token-ms", "a step without a batch", cxxopts::value<double>()->default_value("20"));
    options.add_options()("per-batch-token-ms", "added to a step by each run", cxxopts::value<double>()->default_value("2"));
    options.add_options()("prefill-us-per-token", "added by each prompt token", cxxopts::value<double>()->default_value("60"));
    options.add_options()("speed", "factor: 2 halves every step", cxxopts::value<double>()->default_value("1"));
    options.add_options()("kv-tokens", "memory", cxxopts::value<std::uint64_t>()->default_value("65536"));
    options.add_options()("cache-blocks", "prefix cache", cxxopts::value<std::size_t>()->default_value("1024"));
    options.add_options()("load-lag-ms", "age of load reports", cxxopts::value<double>()->default_value("1000"));
    options.add_options()("cache-lag-ms", "age of cache events", cxxopts::value<double>()->default_value("1000"));
    options.add_options()("cache-loss", "part of the cache events that is lost", cxxopts::value<double>()->default_value("0.02"));
    options.add_options()("loading-ms", "time to load a model", cxxopts::value<double>()->default_value("2000"));
    options.add_options()("seed", "of what is random", cxxopts::value<std::uint64_t>()->default_value("1"));
    options.add_options()("checks-fencing", "refuse orders with an old fencing number");
    options.add_options()("counters-file", "where counters go before a crash", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("help", "print this");
    return options;
}

Duration milliseconds(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return fromSeconds(parsed[name].as<double>() / 1000);
}

EngineOptions engineOptions(const cxxopts::ParseResult &parsed)
{
    EngineOptions engine;
    engine.slots = parsed["slots"].as<std::uint32_t>();
    engine.queueLimit = parsed["queue"].as<std::size_t>();
    engine.baseToken = milliseconds(parsed, "base-token-ms");
    engine.perBatchToken = milliseconds(parsed, "per-batch-token-ms");
    engine.prefillPerToken = fromSeconds(parsed["prefill-us-per-token"].as<double>() / 1e6);
    engine.speed = parsed["speed"].as<double>();
    engine.kvTokens = parsed["kv-tokens"].as<std::uint64_t>();
    engine.loadLag = milliseconds(parsed, "load-lag-ms");
    engine.loadingTime = milliseconds(parsed, "loading-ms");
    engine.checksFencing = parsed.count("checks-fencing") > 0;
    engine.seed = parsed["seed"].as<std::uint64_t>();
    engine.cache.capacity = parsed["cache-blocks"].as<std::size_t>();
    engine.cache.newsLag = milliseconds(parsed, "cache-lag-ms");
    engine.cache.newsLoss = parsed["cache-loss"].as<double>();
    return engine;
}

int run(const cxxopts::ParseResult &parsed)
{
    const Result<boost::asio::ip::tcp::endpoint, AddressError> listen = parseLoopback(parsed["listen"].as<std::string>());
    if (!listen || parsed["speed"].as<double>() <= 0 || parsed["slots"].as<std::uint32_t>() == 0) {
        std::cerr << "standin-engine: --listen must be IP:PORT on 127.0.0.0/8, --speed and --slots above 0\n";
        return exitUsage;
    }
    EngineServerOptions options;
    options.name = parsed["name"].as<std::string>();
    options.listen = listen.value();
    options.engine = engineOptions(parsed);
    options.duty.model = parsed["model"].as<std::string>();
    options.countersFile = parsed["counters-file"].as<std::string>();
    options.crash = [] { std::_Exit(exitCrash); };

    boost::asio::io_context context(1);
    const std::shared_ptr<EngineServer<SteadyClock>> server = std::make_shared<EngineServer<SteadyClock>>(context, std::move(options));
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
        std::cerr << "standin-engine: " << error.what() << "\n";
        return exitUsage;
    }
}
