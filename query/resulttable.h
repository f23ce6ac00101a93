#pragma once

#include "core/time.h"

#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Value of one cell; std::monostate if the cell is empty.
using ResultCell = std::variant<std::monostate, std::string, long long, double, bool, Duration, WallTime>;

struct ResultTable
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<ResultCell>> rows;

    friend bool operator==(const ResultTable &, const ResultTable &) = default;
};

/// Answer to one statement: tables, and notices about missing data or the effect of a command.
struct StatementResult
{
    std::vector<ResultTable> tables;
    std::vector<std::string> notices;
    std::string html; ///< HTML document that is shown instead of the tables; empty if the answer has none.

    friend bool operator==(const StatementResult &, const StatementResult &) = default;
};

}
