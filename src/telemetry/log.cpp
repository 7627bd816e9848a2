// log4cxx carries the records; each part is a logger below "rhubarbwind", so a level set on one part leaves
// the rest alone. The request id travels as a diagnostic context, which both layouts print.

#include "telemetry/log.h"

#include <array>

#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>

namespace Rhubarbwind
{

namespace
{

struct NamedPart
{
    LogPart part;
    std::string_view name;
};

constexpr std::array namedParts{
    NamedPart{LogPart::Daemon, "daemon"},
    NamedPart{LogPart::Platform, "platform"},
    NamedPart{LogPart::Wire, "wire"},
    NamedPart{LogPart::Membership, "membership"},
    NamedPart{LogPart::Preset, "preset"},
    NamedPart{LogPart::Arbiter, "arbiter"},
    NamedPart{LogPart::Routing, "routing"},
    NamedPart{LogPart::Ledger, "ledger"},
    NamedPart{LogPart::Relay, "relay"},
    NamedPart{LogPart::Placement, "placement"},
    NamedPart{LogPart::Control, "control"},
    NamedPart{LogPart::StandIn, "standin"},
    NamedPart{LogPart::Load, "load"},
};

struct NamedLevel
{
    LogLevel level;
    std::string_view name;
};

constexpr std::array namedLevels{
    NamedLevel{LogLevel::Debug, "debug"},
    NamedLevel{LogLevel::Info, "info"},
    NamedLevel{LogLevel::Warn, "warn"},
    NamedLevel{LogLevel::Error, "error"},
};

log4cxx::LevelPtr nativeLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

const log4cxx::LoggerPtr &loggerOf(LogPart part)
{
    static const std::array loggers = [] {
        std::array<log4cxx::LoggerPtr, namedParts.size()> made;
        for (const NamedPart &entry : namedParts) {
            made.at(static_cast<std::size_t>(entry.part)) = log4cxx::Logger::getLogger("rhubarbwind." + std::string(entry.name));
        }
        return made;
    }();
    return loggers.at(static_cast<std::size_t>(part));
}

void write(LogPart part, LogLevel level, std::string_view sentence, const RequestId &request)
{
    const log4cxx::LoggerPtr &logger = loggerOf(part);
    const log4cxx::LevelPtr native = nativeLevel(level);
    if (!logger->isEnabledFor(native)) {
        return;
    }
    std::string line(logPartName(part));
    line.append(": ").append(sentence);
    if (request.empty()) {
        logger->forcedLog(native, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
        return;
    }
    const log4cxx::MDC context("request", request.text());
    logger->forcedLog(native, line, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace

void configureLogs(LogLayout layout, LogLevel level)
{
    log4cxx::LayoutPtr native;
    if (layout == LogLayout::Json) {
        native = std::make_shared<log4cxx::JSONLayout>();
    } else {
        native = std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %m %X{request}%n");
    }
    const log4cxx::ConsoleAppenderPtr appender = std::make_shared<log4cxx::ConsoleAppender>(native, "System.err");
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(nativeLevel(level));
}

void setLogLevel(LogPart part, LogLevel level)
{
    loggerOf(part)->setLevel(nativeLevel(level));
}

Result<LogLevel, LogError> parseLogLevel(std::string_view name)
{
    for (const NamedLevel &entry : namedLevels) {
        if (entry.name == name) {
            return entry.level;
        }
    }
    return LogError::UnknownLevel;
}

Result<LogPart, LogError> parseLogPart(std::string_view name)
{
    for (const NamedPart &entry : namedParts) {
        if (entry.name == name) {
            return entry.part;
        }
    }
    return LogError::UnknownPart;
}

std::string_view logPartName(LogPart part)
{
    return namedParts.at(static_cast<std::size_t>(part)).name;
}

void Log::debug(std::string_view sentence, const RequestId &request) const
{
    write(m_part, LogLevel::Debug, sentence, request);
}

void Log::info(std::string_view sentence, const RequestId &request) const
{
    write(m_part, LogLevel::Info, sentence, request);
}

void Log::warn(std::string_view sentence, const RequestId &request) const
{
    write(m_part, LogLevel::Warn, sentence, request);
}

void Log::error(std::string_view sentence, const RequestId &request) const
{
    write(m_part, LogLevel::Error, sentence, request);
}

} // namespace Rhubarbwind
