#pragma once

#include "net/hostloop.h"
#include "platform/domainloop.h"

#include <absl/status/statusor.h>

#include <optional>
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
    std::string file; ///< Empty: standard output.
    LogLevel level = LogLevel::Info;

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/// Everything that a host is told at its start. The placement domain decides which of the loops runs.
struct Settings
{
    HostLoopSettings loop;                    ///< Of a zone domain.
    std::optional<DomainLoopSettings> domain; ///< Of a service domain on the platform.
    LogSettings log;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// Reads settings from JSON with comments. The status lists every fault with the file, the key's path, the value and what is allowed.
absl::StatusOr<Settings> settingsFromText(const std::string &text, const std::string &file);

absl::StatusOr<Settings> settingsFromFile(const std::string &file);

}
