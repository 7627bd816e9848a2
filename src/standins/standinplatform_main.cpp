// standin-platform: the platform's object API, host list and weight store for tests and demos, in memory.

#include "base/requestid.h"
#include "preset/presetjson.h"
#include "standins/platformserver.h"
#include "telemetry/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace
{

using namespace Rhubarbwind;

constexpr int exitUsage = 2;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "standin-platform: cannot read " << path << "\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool setListen(const std::string &text, PlatformServerOptions &options)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    options.ip = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const std::from_chars_result read = std::from_chars(text.data() + colon + 1, end, options.port);
    return read.ec == std::errc() && read.ptr == end;
}

bool setHosts(const std::string &path, PlatformServerOptions &options)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return false;
    }
    boost::json::parse_options allowed;
    allowed.allow_comments = true;
    allowed.allow_trailing_commas = true;
    boost::json::error_code error;
    options.hosts = boost::json::parse(*text, error, {}, allowed);
    if (error) {
        std::cerr << "standin-platform: " << path << ": " << error.message() << "\n";
    }
    return !error;
}

bool setPreset(const std::string &path, PlatformServerOptions &options)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return false;
    }
    const Result<Preset, PresetFaults> preset = parsePreset(*text);
    if (preset.has_error()) {
        std::cerr << "standin-platform: " << path << ":\n" << describeFaults(preset.error());
        return false;
    }
    const std::int64_t nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    options.presetInForce = printPresetInForce({1, OperationId(freshId()), OperatorName("seed"), nowMs, preset.value()});
    return true;
}

cxxopts::Options commandLine()
{
    cxxopts::Options line("standin-platform", "Stand-in for the platform: object API, host list, weight store. Keeps everything in memory.\n");
    line.add_options()("listen", "address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1:7100"), "IP:PORT");
    line.add_options()("hosts", "JSON file with the host list", cxxopts::value<std::string>(), "FILE");
    line.add_options()("preset", "preset to put in force as version 1", cxxopts::value<std::string>(), "FILE");
    line.add_options()("host-lag-ms", "how late the host list shows a change", cxxopts::value<std::uint32_t>()->default_value("0"), "MS");
    line.add_options()("seed", "seed of the lost answers", cxxopts::value<std::uint64_t>()->default_value("1"), "N");
    line.add_options()("help", "print this help");
    return line;
}

/** Empty when the program should end with the exit code. */
std::optional<PlatformServerOptions> optionsFrom(int argc, char **argv, int &exitCode)
{
    cxxopts::Options line = commandLine();
    const cxxopts::ParseResult given = line.parse(argc, argv);
    if (given.count("help") != 0) {
        std::cout << line.help() << "\nFaults: POST /standin/faults {\"outage\":true,\"latency_ms\":0,\"lose_answers\":0.1,\"silent_watches\":true,"
                  << "\"calls_per_second\":500,...}; POST /standin/hosts LIST; GET /standin/counters\n";
        exitCode = 0;
        return std::nullopt;
    }
    PlatformServerOptions options;
    options.hostLag = std::chrono::milliseconds(given["host-lag-ms"].as<std::uint32_t>());
    options.seed = given["seed"].as<std::uint64_t>();
    if (!setListen(given["listen"].as<std::string>(), options)) {
        std::cerr << "standin-platform: --listen wants IP:PORT\n";
        return std::nullopt;
    }
    if (given.count("hosts") != 0 && !setHosts(given["hosts"].as<std::string>(), options)) {
        return std::nullopt;
    }
    if (given.count("preset") != 0 && !setPreset(given["preset"].as<std::string>(), options)) {
        return std::nullopt;
    }
    return options;
}

int run(int argc, char **argv)
{
    int exitCode = exitUsage;
    std::optional<PlatformServerOptions> options = optionsFrom(argc, argv, exitCode);
    if (!options) {
        return exitCode;
    }
    configureLogs(LogLayout::Text, LogLevel::Info);
    boost::asio::io_context context(1);
    PlatformServer server(context, std::move(*options));
    const Log log(LogPart::StandIn);
    log.info("platform listens on port " + std::to_string(server.port()));
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) {
        server.stop();
        context.stop();
    });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << "\n";
        return exitUsage;
    }
}
