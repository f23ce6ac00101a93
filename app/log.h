#pragma once

#include "repeatfilter.h"
#include "settings.h"

#include <log4cplus/logger.h>

#include <string>

namespace sequoiastand
{

/// Writes log entries as JSON lines through log4cplus, without its threads.
class Log
{
public:
    explicit Log(const LogSettings &settings, std::string host);

    void write(const LogEntry &entry);

private:
    log4cplus::Logger m_logger;
    std::string m_host;
    RepeatFilter m_filter;
};

/// One JSON object without a line break: time, level, host, and the fields of the entry that are not empty.
std::string logText(const LogLine &line, const std::string &host, WallTime at);

}
