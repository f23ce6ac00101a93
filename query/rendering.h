#pragma once

#include "resulttable.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastand
{

enum class ResultFormat
{
    Table,
    Json,
    Csv,
};

std::optional<ResultFormat> resultFormatFromName(std::string_view text);

/// Text for people: "2026-11-30 09:15:00", "1h 30m", "12.5".
std::string toText(const ResultCell &cell);

/// "1h 30m", "250 ms".
std::string toText(Duration duration);

/// "2026-11-30 09:15:00".
std::string toText(WallTime time);

/// Durations become milliseconds in JSON and CSV, times ISO 8601. Notices are lines of their own, in CSV behind #.
std::string render(const StatementResult &result, ResultFormat format);

}
