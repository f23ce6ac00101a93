#pragma once

#include <string>

namespace sequoiastand
{

/// An entry that the log front end writes as one JSON line.
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
