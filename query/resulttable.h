#pragma once

#include "core/time.h"

#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// One value of a result; empty where there is nothing to say.
using ResultCell = std::variant<std::monostate, std::string, long long, double, bool, Duration, WallTime>;

struct ResultTable
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<ResultCell>> rows;

    friend bool operator==(const ResultTable &, const ResultTable &) = default;
};

/// Answer to one statement: tables, then sentences about what is missing or was done.
struct StatementResult
{
    std::vector<ResultTable> tables;
    std::vector<std::string> notices;
    std::string html; ///< A document that stands in place of the tables; empty if there is none.

    friend bool operator==(const StatementResult &, const StatementResult &) = default;
};

}
