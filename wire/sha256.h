#pragma once

#include <string>
#include <string_view>

namespace sequoiastand
{

/// Lower-case hexadecimal SHA-256, the form in which the configuration holds tokens.
std::string sha256Hex(std::string_view text);

/// Compares two hashes in a time that does not depend on where they differ.
bool areHashesEqual(std::string_view left, std::string_view right);

}
