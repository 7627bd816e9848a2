#pragma once

// Logs: one short sentence, a fixed prefix for each part, the request id where there is one.
//
// A part holds one Log, e.g. `const Log log{LogPart::Relay};`. Levels change while running (setLogLevel).
// Output goes to standard error, as text or as JSON lines. Backed by log4cxx.

#include "base/ids.h"
#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Rhubarbwind
{

enum class LogPart : std::uint8_t {
    Daemon,
    Platform,
    Wire,
    Membership,
    Preset,
    Arbiter,
    Routing,
    Ledger,
    Relay,
    Placement,
    Control,
    StandIn,
    Load,
};

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warn,
    Error,
};

enum class LogLayout : std::uint8_t {
    Text,
    Json,
};

enum class LogError : std::uint8_t {
    UnknownLevel,
    UnknownPart,
};

/** Call once at start, before any other thread. */
void configureLogs(LogLayout layout, LogLevel level);
void setLogLevel(LogPart part, LogLevel level);
Result<LogLevel, LogError> parseLogLevel(std::string_view name);
Result<LogPart, LogError> parseLogPart(std::string_view name);
std::string_view logPartName(LogPart part);

class Log
{
public:
    explicit Log(LogPart part)
        : m_part(part)
    {
    }

    void debug(std::string_view sentence, const RequestId &request = {}) const;
    void info(std::string_view sentence, const RequestId &request = {}) const;
    void warn(std::string_view sentence, const RequestId &request = {}) const;
    void error(std::string_view sentence, const RequestId &request = {}) const;

private:
    LogPart m_part;
};

} // namespace Rhubarbwind
