#pragma once

#include "statement.h"

#include <string>
#include <string_view>
#include <variant>

namespace sequoiastand
{

/// Position of a syntax error in a statement, with what was expected and what was found there.
struct SyntaxError
{
    std::size_t offset = 0; ///< Offset in bytes from the start of the statement.
    std::string expected;
    std::string found;

    friend bool operator==(const SyntaxError &, const SyntaxError &) = default;
};

/// Parses one statement without its closing semicolon. Comments extend from # to the end of the line.
std::variant<Statement, SyntaxError> parseStatement(std::string_view text);

}
