#include "log.h"

#include "wire/jsonfields.h"

#include <absl/strings/str_format.h>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>
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

/// Appends log events to the buffer for standard output.
class BufferAppender : public log4cplus::Appender
{
public:
    explicit BufferAppender(std::shared_ptr<LogBuffer> buffer)
        : m_buffer(std::move(buffer))
    {
    }

    BufferAppender(const BufferAppender &) = delete;
    BufferAppender &operator=(const BufferAppender &) = delete;

    ~BufferAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        m_buffer->add(event.getMessage() + "\n");
    }

private:
    std::shared_ptr<LogBuffer> m_buffer;
};

log4cplus::SharedAppenderPtr makeAppender(const LogSettings &settings, const std::shared_ptr<LogBuffer> &buffer)
{
    if (buffer) {
        return log4cplus::SharedAppenderPtr(new BufferAppender(buffer));
    }
    log4cplus::SharedAppenderPtr appender(new log4cplus::RollingFileAppender(settings.file, maxLogFileBytes, keptLogFiles, true, false));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    return appender;
}

}

Log::Log(const LogSettings &settings, std::string host)
    : m_buffer(settings.file.empty() ? std::make_shared<LogBuffer>(STDOUT_FILENO) : nullptr)
    , m_logger(log4cplus::Logger::getRoot())
    , m_host(std::move(host))
{
    // log4cplus 2.0.8 starts a pool of four threads when it is loaded. Size 0 ends all threads but one. The remaining thread stays
    // idle; joining it would block forever.
    log4cplus::setThreadPoolSize(0);
    m_logger.addAppender(makeAppender(settings, m_buffer));
    m_logger.setLogLevel(settings.level == LogLevel::Error ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL);
}

void Log::write(const LogEntry &entry)
{
    const auto now = EventLoop::now();
    const auto line = filterRepeat(m_filter, entry, now);
    if (!line) {
        return;
    }
    writeWaiting(now);
    std::ranges::for_each(admit(m_queue, {*line, EventLoop::wallNow()}, hasRoom(), now), [this](const TimedLine &admitted) { writeLine(admitted); });
}

bool Log::hasRoom() const
{
    return !m_buffer || m_buffer->hasRoom();
}

bool Log::hasPendingLines() const
{
    return !m_queue.waiting.empty() || (m_buffer && !m_buffer->isEmpty());
}

void Log::writeLine(const TimedLine &line)
{
    const auto text = logText(line.line, m_host, line.at);
    m_logger.log(line.line.entry.isError ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL, text);
}

void Log::writeWaiting(TimePoint now)
{
    if (const auto suppressed = takeSuppressed(m_queue.rate, now); suppressed > 0) {
        const auto &rate = m_queue.rate;
        writeLine({{{"log",
                     "",
                     "",
                     std::to_string(suppressed) + " lines were suppressed because more than " + std::to_string(rate.jobLinesPerSecond) + " about jobs or "
                         + std::to_string(rate.linesPerSecond) + " in total arrived within one second, or because the log's reader is too slow",
                     true},
                    0},
                   EventLoop::wallNow()});
    }
    if (hasRoom()) {
        std::ranges::for_each(takeWaiting(m_queue, now), [this](const TimedLine &line) { writeLine(line); });
    }
}

void Log::flush()
{
    writeWaiting(EventLoop::now());
    if (m_buffer) {
        m_buffer->flush();
    }
}

void Log::finish()
{
    std::ranges::for_each(std::exchange(m_queue.waiting, {}), [this](const TimedLine &line) { writeLine(line); });
    flush();
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
