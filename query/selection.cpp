#include "selection.h"

#include "rendering.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <compare>
#include <iterator>
#include <map>
#include <ranges>
#include <type_traits>
#include <utility>

namespace sequoiastand
{

namespace
{

using Row = std::vector<ResultCell>;

std::optional<std::size_t> indexOf(const ResultTable &table, const std::string &column)
{
    const auto found = std::ranges::find(table.columns, column);
    return found == table.columns.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - table.columns.begin()));
}

std::optional<double> numberOf(const ResultCell &cell)
{
    if (const auto *number = std::get_if<long long>(&cell)) {
        return static_cast<double>(*number);
    }
    if (const auto *number = std::get_if<double>(&cell)) {
        return *number;
    }
    if (const auto *duration = std::get_if<Duration>(&cell)) {
        return static_cast<double>(duration->count());
    }
    return std::nullopt;
}

/// Orders empty cells first; compares cells of different kinds as text.
std::weak_ordering compareCells(const ResultCell &left, const ResultCell &right)
{
    const auto leftNumber = numberOf(left);
    const auto rightNumber = numberOf(right);
    if (leftNumber && rightNumber) {
        return std::weak_order(*leftNumber, *rightNumber);
    }
    const auto *leftTime = std::get_if<WallTime>(&left);
    const auto *rightTime = std::get_if<WallTime>(&right);
    if (leftTime != nullptr && rightTime != nullptr) {
        return leftTime->time_since_epoch().count() <=> rightTime->time_since_epoch().count();
    }
    const bool isLeftEmpty = std::holds_alternative<std::monostate>(left);
    const bool isRightEmpty = std::holds_alternative<std::monostate>(right);
    if (isLeftEmpty || isRightEmpty) {
        return isRightEmpty <=> isLeftEmpty;
    }
    return toText(left) <=> toText(right);
}

/// Converts a value to a cell. Text is converted to a number if it is compared with a floating-point cell.
ResultCell cellOf(const QueryValue &value, const ResultCell &comparedCell, WallTime now)
{
    return std::visit(
        [&](const auto &operand) -> ResultCell {
            using Kind = std::decay_t<decltype(operand)>;
            if constexpr (std::is_same_v<Kind, TimeExpression>) {
                return resolveTime(operand, now);
            } else if constexpr (std::is_same_v<Kind, std::string>) {
                double number = 0;
                const bool isNumber =
                    std::holds_alternative<double>(comparedCell) && absl::SimpleAtod(absl::string_view(operand.data(), operand.size()), &number);
                return isNumber ? ResultCell{number} : ResultCell{operand};
            } else {
                return operand;
            }
        },
        value);
}

bool matches(const ResultCell &cell, const Condition &condition, WallTime now)
{
    const auto equals = [&](const QueryValue &value) { return compareCells(cell, cellOf(value, cell, now)) == std::weak_ordering::equivalent; };
    if (condition.comparison == Comparison::In) {
        return std::ranges::any_of(condition.values, equals);
    }
    const ResultCell value = cellOf(condition.values.front(), cell, now);
    if (condition.comparison == Comparison::Contains) {
        return toText(cell).find(toText(value)) != std::string::npos;
    }
    const bool isEmpty = std::holds_alternative<std::monostate>(cell);
    const auto order = compareCells(cell, value);
    switch (condition.comparison) {
    case Comparison::Equal:
        return std::is_eq(order);
    case Comparison::NotEqual:
        return std::is_neq(order);
    case Comparison::Less:
        return !isEmpty && std::is_lt(order);
    case Comparison::LessOrEqual:
        return !isEmpty && std::is_lteq(order);
    case Comparison::Greater:
        return !isEmpty && std::is_gt(order);
    default:
        return !isEmpty && std::is_gteq(order);
    }
}

ColumnError unknownColumn(const ColumnName &column, const ResultTable &table)
{
    return {column, "a column: " + absl::StrJoin(table.columns, ", ")};
}

bool isInRange(const ResultCell &cell, const QueryStatement &query, WallTime now)
{
    const auto *time = std::get_if<WallTime>(&cell);
    return time != nullptr && (!query.since || *time >= resolveTime(*query.since, now)) && (!query.until || *time < resolveTime(*query.until, now));
}

struct Group
{
    long long count = 0;
    std::vector<double> sums;
    std::vector<bool> hasNumber;
};

struct RowLess
{
    bool operator()(const Row &left, const Row &right) const
    {
        return std::ranges::lexicographical_compare(left, right, [](const ResultCell &a, const ResultCell &b) { return std::is_lt(compareCells(a, b)); });
    }
};

/// Groups rows by the key columns. Each group has its number of rows and the sums of the other columns that contain numbers.
ResultTable groupRows(const ResultTable &table, const std::vector<std::size_t> &keys)
{
    std::map<Row, Group, RowLess> groups;
    std::vector<bool> isSummed(table.columns.size(), false);
    for (const auto &row : table.rows) {
        Row key;
        std::ranges::transform(keys, std::back_inserter(key), [&row](std::size_t index) { return row[index]; });
        auto &group = groups[key];
        group.sums.resize(row.size());
        ++group.count;
        for (std::size_t index = 0; index < row.size(); ++index) {
            if (const auto number = numberOf(row[index]); number && std::ranges::find(keys, index) == keys.end()) {
                group.sums[index] += *number;
                isSummed[index] = true;
            }
        }
    }
    ResultTable grouped{table.title, {}, {}};
    std::ranges::transform(keys, std::back_inserter(grouped.columns), [&table](std::size_t index) { return table.columns[index]; });
    grouped.columns.emplace_back("count");
    for (std::size_t index = 0; index < isSummed.size(); ++index) {
        if (isSummed[index]) {
            grouped.columns.push_back(table.columns[index]);
        }
    }
    for (const auto &[key, group] : groups) {
        Row row = key;
        row.emplace_back(group.count);
        for (std::size_t index = 0; index < isSummed.size(); ++index) {
            if (!isSummed[index]) {
                continue;
            }
            const auto isDuration = [index](const Row &source) { return std::holds_alternative<Duration>(source[index]); };
            const bool isDurationColumn = std::ranges::any_of(table.rows, isDuration);
            if (isDurationColumn) {
                row.emplace_back(Duration{static_cast<Duration::rep>(group.sums[index])});
            } else {
                row.emplace_back(group.sums[index]);
            }
        }
        grouped.rows.push_back(std::move(row));
    }
    return grouped;
}

}

WallTime resolveTime(const TimeExpression &expression, WallTime now)
{
    return expression.at ? *expression.at : now - expression.ago;
}

std::variant<ResultTable, ColumnError> selectRows(ResultTable table, const QueryStatement &query, const std::string &timeColumn, WallTime now)
{
    for (const auto &condition : query.conditions) {
        const auto index = indexOf(table, condition.column.text);
        if (!index) {
            return unknownColumn(condition.column, table);
        }
        std::erase_if(table.rows, [&](const Row &row) { return !matches(row[*index], condition, now); });
    }
    if (query.since || query.until) {
        const auto index = indexOf(table, timeColumn);
        if (!index) {
            return ColumnError{{"", 0}, "no since or until: " + table.title + " have no time"};
        }
        std::erase_if(table.rows, [&](const Row &row) { return !isInRange(row[*index], query, now); });
    }
    if (!query.groupBy.empty()) {
        std::vector<std::size_t> keys;
        for (const auto &column : query.groupBy) {
            const auto index = indexOf(table, column.text);
            if (!index) {
                return unknownColumn(column, table);
            }
            keys.push_back(*index);
        }
        table = groupRows(table, keys);
    }
    // A stable sort by each key, beginning with the last key, leaves the rows ordered by all keys.
    for (const auto &key : query.orderBy | std::views::reverse) {
        const auto index = indexOf(table, key.column.text);
        if (!index) {
            return unknownColumn(key.column, table);
        }
        std::ranges::stable_sort(table.rows, [&](const Row &left, const Row &right) {
            const auto order = compareCells(left[*index], right[*index]);
            return key.isDescending ? std::is_gt(order) : std::is_lt(order);
        });
    }
    if (query.limit && table.rows.size() > static_cast<std::size_t>(*query.limit)) {
        table.rows.resize(static_cast<std::size_t>(*query.limit));
    }
    return table;
}

}
