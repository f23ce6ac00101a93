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

/// Writes log entries as JSON lines through log4cplus. Repeated entries are suppressed for a period unless they name a job, and the number of lines per
/// second is limited. Writing to standard output never blocks.
class Log
{
public:
    explicit Log(const LogSettings &settings, std::string host);

    void write(const LogEntry &entry);

    /// Passes buffered lines to standard output, as much as it accepts without blocking.
    void flush();

private:
    void writeLine(const LogLine &line);

    std::shared_ptr<LogBuffer> m_buffer; ///< Null if the log is written to a file.
    log4cplus::Logger m_logger;
    std::string m_host;
    RepeatFilter m_filter;
    LogRateLimit m_rate;
};

/// One JSON object without a line break, with time, level, host and the non-empty fields of the entry.
std::string logText(const LogLine &line, const std::string &host, WallTime at);

}
