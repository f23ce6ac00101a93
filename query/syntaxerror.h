#pragma once

#include "statement.h"

#include <string>
#include <string_view>

namespace sequoiastand
{

/// What could follow the clauses that were understood, for a fault behind them.
std::string continuations(const Statement &statement);

/// The word at the start of the text in quotes, for "found ...".
std::string wordAt(std::string_view rest);

}
