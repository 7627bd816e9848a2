// Signals that a host's process gets before its event loop runs.

#define BOOST_PROCESS_USE_STD_FS 1

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/io.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/stat.h>

namespace process = boost::process;

TEST_CASE("a reload that arrives while a host starts does not end it", "[graceful-shutdown]")
{
    // Failure: SIGHUP had its default action until the host had started, so a restart followed by a reload ended the host.
    const std::filesystem::path settings = std::filesystem::temp_directory_path() / ("rhubarbwind-start-" + std::to_string(::getpid()));
    std::filesystem::remove(settings);
    REQUIRE(::mkfifo(settings.c_str(), S_IRUSR | S_IWUSR) == 0);
    process::child host(
        process::exe = RHUBARBWIND_HOST_PROGRAM, process::args = {"--settings", settings.string(), "--check-settings"}, process::std_err > process::null);
    // Opens once the host reads its settings, and lets it go on when it closes.
    std::ofstream writer(settings);
    ::kill(host.id(), SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    writer << "{}";
    writer.close();
    host.wait();
    CHECK(WIFEXITED(host.native_exit_code()));
    std::filesystem::remove(settings);
}
