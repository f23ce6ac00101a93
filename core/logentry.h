#pragma once

#include <string>

namespace sequoiastand
{

/// One finding that the log front end writes as a JSON line.
struct LogEntry
{
    std::string step;
    std::string peer;
    std::string job;
    std::string message;
    bool isError = false;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

}
