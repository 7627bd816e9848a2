#include "ctl/commands.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>

using namespace Rhubarbwind;

namespace
{

constexpr std::string_view defaultAddress = "127.0.0.1:7001";
constexpr Duration callTimeout = 10s;

std::string fromEnvironment(const char *name, std::string_view fallback)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): read once at start
    return value == nullptr ? std::string(fallback) : std::string(value);
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("rhubarbwindctl", "Operate a fleet of rhubarbwind hosts through any one of them.");
    // clang-format off
    options.add_options()
        ("a,address", "admin address of a host; default from RHUBARBWIND_ADDRESS", cxxopts::value<std::string>()->default_value(fromEnvironment("RHUBARBWIND_ADDRESS", defaultAddress)))
        ("t,token", "operator token; default from RHUBARBWIND_TOKEN", cxxopts::value<std::string>()->default_value(fromEnvironment("RHUBARBWIND_TOKEN", "")))
        ("json", "print JSON")
        ("wait", "preset switch: wait until in force on every live host")
        ("wait-limit-ms", "longest wait", cxxopts::value<unsigned>()->default_value("10000"))
        ("h,help", "this text")
        ("version", "the version")
        ("words", "command and arguments", cxxopts::value<std::vector<std::string>>());
    // clang-format on
    options.parse_positional({"words"});
    options.positional_help("COMMAND [ARGUMENT...]");
    return options;
}

void printHelp(const cxxopts::Options &options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const Command &command : commands()) {
        std::string usage(command.name);
        usage.append(command.arguments.empty() ? "" : " ").append(command.arguments);
        usage.resize(std::max<std::size_t>(usage.size(), 28), ' ');
        std::cout << "  " << usage << ' ' << command.help << '\n';
    }
    std::cout << "\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 no answer (outcome unknown), 4 accepted but not in force everywhere in time.\n";
}

/** The command whose words begin the line, with the number of words it took. */
std::pair<const Command *, std::size_t> findCommand(const std::vector<std::string> &words)
{
    for (const std::size_t count : {std::size_t{2}, std::size_t{1}}) {
        if (words.size() < count) {
            continue;
        }
        const std::string name = count == 2 ? words[0] + " " + words[1] : words[0];
        const auto found = std::ranges::find(commands(), std::string_view(name), &Command::name);
        if (found != commands().end()) {
            return {&*found, count};
        }
    }
    return {nullptr, 0};
}

int fail(ExitCode code, std::string_view sentence)
{
    std::cerr << "rhubarbwindctl: " << sentence << '\n';
    return static_cast<int>(code);
}

int runCommand(const cxxopts::ParseResult &parsed)
{
    std::vector<std::string> words = parsed["words"].as<std::vector<std::string>>();
    const auto [command, used] = findCommand(words);
    if (command == nullptr) {
        return fail(ExitCode::Usage, "no such command; --help lists them");
    }
    words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(used));
    if (words.size() < command->leastWords || words.size() > command->mostWords) {
        return fail(ExitCode::Usage, "wrong number of arguments; --help lists them");
    }
    const Result<AdminAddress, AdminAddressError> address = parseAdminAddress(parsed["address"].as<std::string>());
    if (address.has_error()) {
        return fail(ExitCode::Usage, "the address is not IP:PORT");
    }
    const AdminClient client(address.value(), parsed["token"].as<std::string>(), callTimeout);
    const CommandContext context{client,
                                 std::move(words),
                                 parsed.count("json") > 0,
                                 parsed.count("wait") > 0,
                                 std::chrono::milliseconds(parsed["wait-limit-ms"].as<unsigned>()),
                                 std::cout,
                                 std::cerr};
    return static_cast<int>(command->run(context));
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("version") > 0) {
            std::cout << "rhubarbwindctl " << RHUBARBWIND_VERSION << '\n';
            return 0;
        }
        if (parsed.count("help") > 0 || parsed.count("words") == 0) {
            printHelp(options);
            return parsed.count("help") > 0 ? 0 : static_cast<int>(ExitCode::Usage);
        }
        return runCommand(parsed);
    } catch (const cxxopts::exceptions::exception &error) {
        return fail(ExitCode::Usage, error.what());
    }
}
