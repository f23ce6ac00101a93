#pragma once

#include <string>
#include <string_view>

namespace sequoiastand
{

/// Returns the SHA-256 hash in lower-case hexadecimal, the format of token hashes in the configuration.
std::string sha256Hex(std::string_view text);

/// Compares two hashes in constant time.
bool areHashesEqual(std::string_view left, std::string_view right);

}
