#include "log.h"

#include "wire/jsonfields.h"

#include <absl/strings/str_format.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <memory>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr long maxLogFileBytes = 50L * 1024 * 1024;
constexpr int keptLogFiles = 3;

std::string timeText(WallTime at)
{
    const auto day = std::chrono::floor<std::chrono::days>(at);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss<Duration> time{at - day};
    return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                           static_cast<int>(date.year()),
                           static_cast<unsigned>(date.month()),
                           static_cast<unsigned>(date.day()),
                           time.hours().count(),
                           time.minutes().count(),
                           time.seconds().count(),
                           time.subseconds().count());
}

/// log4cplus 2.0.8 starts a pool of four threads when it is loaded; setThreadPoolSize(0) leaves one of them. Deinitialising ends all; loggers and appenders that
/// are made afterwards work without it.
log4cplus::Logger loggerWithoutThreads()
{
    log4cplus::deinitialize();
    return log4cplus::Logger::getRoot();
}

log4cplus::SharedAppenderPtr makeAppender(const LogSettings &settings)
{
    log4cplus::SharedAppenderPtr appender;
    if (settings.file.empty()) {
        appender = new log4cplus::ConsoleAppender(true, true);
    } else {
        appender = new log4cplus::RollingFileAppender(settings.file, maxLogFileBytes, keptLogFiles, true, false);
    }
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return appender;
}

}

Log::Log(const LogSettings &settings, std::string host)
    : m_logger(loggerWithoutThreads())
    , m_host(std::move(host))
{
    m_logger.addAppender(makeAppender(settings));
    m_logger.setLogLevel(settings.level == LogLevel::Error ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL);
}

void Log::write(const LogEntry &entry)
{
    const auto line = filterRepeat(m_filter, entry, EventLoop::now());
    if (!line) {
        return;
    }
    const auto text = logText(*line, m_host, EventLoop::wallNow());
    m_logger.log(entry.isError ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL, text);
}

std::string logText(const LogLine &line, const std::string &host, WallTime at)
{
    nlohmann::ordered_json json{{"time", timeText(at)}, {"level", line.entry.isError ? "error" : "info"}, {"host", host}, {"step", line.entry.step}};
    if (!line.entry.peer.empty()) {
        json["peer"] = line.entry.peer;
    }
    if (!line.entry.job.empty()) {
        json["job"] = line.entry.job;
    }
    json["message"] = line.entry.message;
    if (line.suppressed > 0) {
        json["suppressed"] = line.suppressed;
    }
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}
