// standin-platform: the platform's object API, host list and weight store for tests and demos, in memory.

#include "base/requestid.h"
#include "preset/presetjson.h"
#include "standins/platformserver.h"
#include "standins/standinprogram.h"

#include <fstream>
#include <optional>
#include <sstream>

namespace
{

using namespace Rhubarbwind;

constexpr const char *program = "standin-platform";

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << program << ": cannot read " << path << "\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool setHosts(const std::string &path, PlatformServerOptions &options)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return false;
    }
    Result<boost::json::value, DocumentFaults> hosts = parseDocument(*text);
    if (hosts.has_error()) {
        std::cerr << program << ": " << path << ":\n" << describeFaults(hosts.error());
        return false;
    }
    options.hosts = std::move(hosts.value());
    return true;
}

bool setPreset(const std::string &path, PlatformServerOptions &options)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return false;
    }
    const Result<Preset, PresetFaults> preset = parsePreset(*text);
    if (preset.has_error()) {
        std::cerr << program << ": " << path << ":\n" << describeFaults(preset.error());
        return false;
    }
    const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    options.presetInForce = printPresetInForce({1, OperationId(freshId()), OperatorName("seed"), nowMs, preset.value()});
    return true;
}

cxxopts::Options commandLine()
{
    cxxopts::Options options = standinCommandLine(program,
                                                  "Stand-in for the platform: object API, host list, weight store. Keeps everything in memory.\n"
                                                  "Faults: POST /standin/faults {\"outage\":true,\"latency_ms\":0,\"lose_answers\":0.1,\"silent_watches\":true,"
                                                  "\"calls_per_second\":500,...}; POST /standin/hosts LIST; GET /standin/counters\n",
                                                  "127.0.0.1:7100");
    options.add_options()("hosts", "JSON file with the host list", cxxopts::value<std::string>(), "FILE");
    options.add_options()("preset", "preset to put in force as version 1", cxxopts::value<std::string>(), "FILE");
    options.add_options()("host-lag-ms", "how late the host list shows a change", cxxopts::value<std::uint32_t>()->default_value("0"), "MS");
    return options;
}

int run(const cxxopts::ParseResult &parsed)
{
    const Result<boost::asio::ip::tcp::endpoint, AddressError> listen = listenAddress(parsed);
    if (!listen) {
        return usageError(program, "--listen must be IP:PORT on 127.0.0.0/8");
    }
    PlatformServerOptions options;
    options.ip = listen.value().address().to_string();
    options.port = listen.value().port();
    options.hostLag = std::chrono::milliseconds(parsed["host-lag-ms"].as<std::uint32_t>());
    options.seed = parsed["seed"].as<std::uint64_t>();
    const bool read = (parsed.count("hosts") == 0 || setHosts(parsed["hosts"].as<std::string>(), options))
        && (parsed.count("preset") == 0 || setPreset(parsed["preset"].as<std::string>(), options));
    if (!read) {
        return exitUsage;
    }
    boost::asio::io_context context(1);
    PlatformServer server(context, std::move(options));
    const Log log(LogPart::StandIn);
    log.info("platform listens on port " + std::to_string(server.port()));
    runUntilSignal(context, Duration::zero(), [&server](const std::function<void()> &ended) {
        server.stop();
        ended();
    });
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    return standinMain(argc, argv, commandLine(), LogLevel::Info, run);
}
