#pragma once

#include "statement.h"

#include <string>
#include <string_view>

namespace sequoiastand
{

/// Lists the clauses that may follow the parsed part of a statement, for the message of a syntax error that comes directly after this part.
std::string continuations(const Statement &statement);

/// The first word of the text in quotes, for the part of an error message that says what was found.
std::string wordAt(std::string_view rest);

}
