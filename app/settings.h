#pragma once

#include "net/hostloop.h"

#include <absl/status/statusor.h>

#include <string>

namespace sequoiastand
{

enum class LogLevel
{
    Info,
    Error,
};

struct LogSettings
{
    std::string file; ///< Empty: standard error.
    LogLevel level = LogLevel::Info;

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/// Everything that a host is told at its start.
struct Settings
{
    HostLoopSettings loop;
    LogSettings log;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// Reads settings from JSON with comments. The status lists every fault with the file, the key's path, the value and what is allowed.
absl::StatusOr<Settings> settingsFromText(const std::string &text, const std::string &file);

absl::StatusOr<Settings> settingsFromFile(const std::string &file);

}
