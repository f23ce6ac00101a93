#pragma once

#include "core/time.h"
#include "resulttable.h"
#include "statement.h"

#include <absl/status/statusor.h>

namespace sequoiastand
{

/// A column that a query names but its subject does not have, and the columns that it has.
struct ColumnError
{
    ColumnName column;
    std::string expected;

    friend bool operator==(const ColumnError &, const ColumnError &) = default;
};

/// Applies conditions, time range, grouping, order and limit to a subject's rows. `timeColumn` is what since and until refer to; empty if the subject has no time.
std::variant<ResultTable, ColumnError> selectRows(ResultTable table, const QueryStatement &query, const std::string &timeColumn, WallTime now);

/// The time that the expression means at `now`.
WallTime resolveTime(const TimeExpression &expression, WallTime now);

}
