#pragma once

#include "logbuffer.h"
#include "logqueue.h"
#include "repeatfilter.h"
#include "settings.h"

#include <log4cplus/logger.h>

#include <memory>
#include <string>

namespace sequoiastand
{

/// Writes log entries as JSON lines through log4cplus. Repeated entries are suppressed for a period unless they name a job, and the number of lines per
/// second is limited; above this limit, lines about decisions on jobs are written later, and others are suppressed. Writing to standard output never blocks.
class Log
{
public:
    explicit Log(const LogSettings &settings, std::string host);

    void write(const LogEntry &entry);

    /// Writes the lines that had to wait, up to the limit, and passes buffered lines to standard output, as much as it accepts without blocking.
    void flush();

    /// Writes the lines that had to wait without regard to the limit, as far as the buffer has room for them.
    void finish();

    /// True if some lines have to be written or passed on by a later flush().
    bool hasPendingLines() const;

private:
    bool hasRoom() const;
    void writeWaiting(TimePoint now);
    void writeLine(const TimedLine &line);

    std::shared_ptr<LogBuffer> m_buffer; ///< Null if the log is written to a file.
    log4cplus::Logger m_logger;
    std::string m_host;
    RepeatFilter m_filter;
    LogQueue m_queue;
};

/// One JSON object without a line break, with time, level, host and the non-empty fields of the entry.
std::string logText(const LogLine &line, const std::string &host, WallTime at);

}
