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

/// Human-readable text such as "2026-11-30 09:15:00", "1h 30m" or "12.5".
std::string toText(const ResultCell &cell);

/// Human-readable duration such as "1h 30m" or "250 ms".
std::string toText(Duration duration);

/// Human-readable time such as "2026-11-30 09:15:00".
std::string toText(WallTime time);

/// Renders a result. JSON and CSV give durations in milliseconds and times in ISO 8601. Each notice is a separate line, which starts with # in CSV.
std::string render(const StatementResult &result, ResultFormat format);

}
