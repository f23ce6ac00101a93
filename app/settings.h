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
    std::string file; ///< Empty for standard output.
    LogLevel level = LogLevel::Info;

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/// Settings of one host, which belongs either to a zone domain or to a service domain.
struct Settings
{
    HostLoopSettings loop;                    ///< Settings of a host of a zone domain.
    std::optional<DomainLoopSettings> domain; ///< Settings of a host of a service domain on the platform; absent for a zone domain.
    LogSettings log;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// Reads settings from JSON with comments. The status lists every error with the file, the key's path, the invalid value and the allowed values.
absl::StatusOr<Settings> settingsFromText(const std::string &text, const std::string &file);

absl::StatusOr<Settings> settingsFromFile(const std::string &file);

}
