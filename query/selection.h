#pragma once

#include "core/time.h"
#include "resulttable.h"
#include "statement.h"

#include <absl/status/statusor.h>

namespace sequoiastand
{

/// An unknown column in a query, with the columns that the subject has.
struct ColumnError
{
    ColumnName column;
    std::string expected;

    friend bool operator==(const ColumnError &, const ColumnError &) = default;
};

/// Applies conditions, time range, grouping, order and limit to a subject's rows. `since` and `until` refer to `timeColumn`, which is empty if the subject
/// has no time.
std::variant<ResultTable, ColumnError> selectRows(ResultTable table, const QueryStatement &query, const std::string &timeColumn, WallTime now);

/// Absolute time of an expression that is evaluated at `now`.
WallTime resolveTime(const TimeExpression &expression, WallTime now);

}
