#include "rendering.h"

#include "wire/jsonfields.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <type_traits>

namespace sequoiastand
{

namespace
{

std::string timeText(WallTime time, char separator)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss clock{std::chrono::floor<std::chrono::seconds>(time - day)};
    return absl::StrFormat("%04d-%02d-%02d%c%02d:%02d:%02d",
                           static_cast<int>(date.year()),
                           static_cast<unsigned>(date.month()),
                           static_cast<unsigned>(date.day()),
                           separator,
                           clock.hours().count(),
                           clock.minutes().count(),
                           clock.seconds().count());
}

std::string numberText(double value)
{
    if (!std::isfinite(value)) {
        return "-";
    }
    const std::string text = absl::StrFormat("%.2f", value);
    return text.ends_with(".00") ? text.substr(0, text.size() - 3) : text;
}

bool isNumeric(const ResultCell &cell)
{
    return std::holds_alternative<long long>(cell) || std::holds_alternative<double>(cell) || std::holds_alternative<Duration>(cell);
}

nlohmann::json toJson(const ResultCell &cell)
{
    return std::visit(
        [](const auto &value) -> nlohmann::json {
            using Kind = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Kind, std::monostate>) {
                return nullptr;
            } else if constexpr (std::is_same_v<Kind, Duration>) {
                return value.count();
            } else if constexpr (std::is_same_v<Kind, WallTime>) {
                return timeText(value, 'T') + "Z";
            } else {
                return value;
            }
        },
        cell);
}

/// Columns count characters, not bytes, so that names with umlauts stay aligned.
std::size_t width(std::string_view text)
{
    return static_cast<std::size_t>(std::ranges::count_if(text, [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; }));
}

/// A line break within a value would end the row.
std::string oneLine(std::string text)
{
    std::ranges::replace_if(
        text, [](char character) { return character == '\n' || character == '\r' || character == '\t'; }, ' ');
    return text;
}

void appendPadded(std::string &out, const std::string &text, std::size_t columnWidth, bool isRight, bool isLast)
{
    const std::string padding(columnWidth - std::min(columnWidth, width(text)), ' ');
    if (isRight) {
        absl::StrAppend(&out, padding, text);
    } else {
        absl::StrAppend(&out, text, isLast ? std::string{} : padding);
    }
    out += isLast ? "\n" : "  ";
}

void appendTable(std::string &out, const ResultTable &table)
{
    std::vector<std::vector<std::string>> texts;
    std::vector<std::size_t> widths;
    std::vector<bool> isRight(table.columns.size(), !table.rows.empty());
    std::ranges::transform(table.columns, std::back_inserter(widths), [](const std::string &column) { return width(column); });
    for (const auto &row : table.rows) {
        auto &line = texts.emplace_back();
        for (std::size_t index = 0; index < row.size(); ++index) {
            line.push_back(oneLine(toText(row[index])));
            widths[index] = std::max(widths[index], width(line.back()));
            isRight[index] = isRight[index] && (isNumeric(row[index]) || std::holds_alternative<std::monostate>(row[index]));
        }
    }
    const auto appendLine = [&](const std::vector<std::string> &line) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            appendPadded(out, line[index], widths[index], isRight[index], index + 1 == line.size());
        }
    };
    if (!table.title.empty()) {
        absl::StrAppend(&out, table.title, "\n");
    }
    appendLine(table.columns);
    std::ranges::for_each(texts, appendLine);
}

std::string tableText(const StatementResult &result)
{
    std::string out;
    for (const auto &table : result.tables) {
        if (!out.empty()) {
            out += "\n";
        }
        appendTable(out, table);
        absl::StrAppend(&out, "(", table.rows.size(), table.rows.size() == 1 ? " row)\n" : " rows)\n");
    }
    for (const auto &notice : result.notices) {
        absl::StrAppend(&out, notice, "\n");
    }
    return out;
}

std::string jsonText(const StatementResult &result)
{
    nlohmann::json json{{"tables", nlohmann::json::array()}, {"notices", result.notices}};
    for (const auto &table : result.tables) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto &row : table.rows) {
            auto &cells = rows.emplace_back(nlohmann::json::array());
            for (const auto &cell : row) {
                cells.push_back(toJson(cell));
            }
        }
        json["tables"].push_back({{"title", table.title}, {"columns", table.columns}, {"rows", std::move(rows)}});
    }
    return toText(json) + "\n";
}

/// Quotes as RFC 4180 says. A leading = + - or @ of a text gets a ', because spreadsheets take such texts for formulas.
std::string csvField(std::string text, bool isText)
{
    if (isText && !text.empty() && std::string_view{"=+-@"}.find(text.front()) != std::string_view::npos) {
        text.insert(text.begin(), '\'');
    }
    if (text.find_first_of(",\"\r\n") == std::string::npos) {
        return text;
    }
    std::string quoted = "\"";
    for (const char character : text) {
        quoted.append(character == '"' ? 2 : 1, character);
    }
    return quoted + "\"";
}

std::string csvText(const ResultCell &cell)
{
    if (const auto *duration = std::get_if<Duration>(&cell)) {
        return std::to_string(duration->count());
    }
    if (const auto *time = std::get_if<WallTime>(&cell)) {
        return timeText(*time, 'T') + "Z";
    }
    return csvField(toText(cell), std::holds_alternative<std::string>(cell));
}

std::string csvText(const StatementResult &result)
{
    std::string out;
    const auto appendRow = [&out](const auto &row, const auto &text) {
        for (std::size_t index = 0; index < row.size(); ++index) {
            absl::StrAppend(&out, index == 0 ? "" : ",", text(row[index]));
        }
        out += "\r\n";
    };
    for (const auto &table : result.tables) {
        if (result.tables.size() > 1) {
            absl::StrAppend(&out, "# ", oneLine(table.title), "\r\n");
        }
        appendRow(table.columns, [](const std::string &column) { return csvField(column, false); });
        for (const auto &row : table.rows) {
            appendRow(row, [](const ResultCell &cell) { return csvText(cell); });
        }
    }
    for (const auto &notice : result.notices) {
        absl::StrAppend(&out, "# ", oneLine(notice), "\r\n");
    }
    return out;
}

}

std::optional<ResultFormat> resultFormatFromName(std::string_view text)
{
    if (text == "table") {
        return ResultFormat::Table;
    }
    if (text == "json") {
        return ResultFormat::Json;
    }
    return text == "csv" ? std::optional{ResultFormat::Csv} : std::nullopt;
}

std::string toText(Duration duration)
{
    if (duration < Duration{0}) {
        return "-" + toText(-duration);
    }
    if (duration < Duration{1'000}) {
        return absl::StrCat(duration.count(), " ms");
    }
    const auto seconds = std::chrono::floor<std::chrono::seconds>(duration).count();
    if (seconds < 60) {
        return numberText(static_cast<double>(duration.count()) / 1'000.0) + " s";
    }
    if (seconds < 3'600) {
        return absl::StrFormat("%dm %02ds", seconds / 60, seconds % 60);
    }
    return absl::StrFormat("%dh %02dm", seconds / 3'600, seconds / 60 % 60);
}

std::string toText(WallTime time)
{
    return timeText(time, ' ');
}

std::string toText(const ResultCell &cell)
{
    return std::visit(
        [](const auto &value) -> std::string {
            using Kind = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Kind, std::monostate>) {
                return "";
            } else if constexpr (std::is_same_v<Kind, std::string>) {
                return value;
            } else if constexpr (std::is_same_v<Kind, bool>) {
                return value ? "yes" : "no";
            } else if constexpr (std::is_same_v<Kind, double>) {
                return numberText(value);
            } else if constexpr (std::is_same_v<Kind, long long>) {
                return std::to_string(value);
            } else {
                return toText(value);
            }
        },
        cell);
}

std::string render(const StatementResult &result, ResultFormat format)
{
    if (!result.html.empty()) {
        return result.html;
    }
    switch (format) {
    case ResultFormat::Json:
        return jsonText(result);
    case ResultFormat::Csv:
        return csvText(result);
    case ResultFormat::Table:
        break;
    }
    return tableText(result);
}

}
