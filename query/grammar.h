#pragma once

#include "statement.h"

#include <string>
#include <string_view>
#include <variant>

namespace sequoiastand
{

/// Where a statement stops being part of the language, and what could stand there.
struct SyntaxError
{
    std::size_t offset = 0; ///< Byte within the statement.
    std::string expected;
    std::string found;

    friend bool operator==(const SyntaxError &, const SyntaxError &) = default;
};

/// Parses one statement without its closing semicolon. Comments start with # and end with the line.
std::variant<Statement, SyntaxError> parseStatement(std::string_view text);

}
