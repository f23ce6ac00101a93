#pragma once

#include "logbuffer.h"
#include "logratelimit.h"
#include "repeatfilter.h"
#include "settings.h"

#include <log4cplus/logger.h>

#include <memory>
#include <string>

namespace sequoiastand
{

/// Writes log entries as JSON lines through log4cplus. An entry that names a job is written each time; others are written once a while. The rate is bounded,
/// and standard output is never waited for.
class Log
{
public:
    explicit Log(const LogSettings &settings, std::string host);

    void write(const LogEntry &entry);

    /// Hands what has been written on to standard output, as far as it takes it at once.
    void flush();

private:
    void writeLine(const LogLine &line);

    std::shared_ptr<LogBuffer> m_buffer; ///< Null when the log goes to a file.
    log4cplus::Logger m_logger;
    std::string m_host;
    RepeatFilter m_filter;
    LogRateLimit m_rate;
};

/// One JSON object without a line break: time, level, host, and the fields of the entry that are not empty.
std::string logText(const LogLine &line, const std::string &host, WallTime at);

}
