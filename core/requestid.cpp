#include "requestid.h"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace sequoiastand
{

bool isRequestId(std::string_view text)
{
    constexpr std::size_t digits = 16;
    return text.size() == digits && std::ranges::all_of(text, [](unsigned char digit) { return absl::ascii_isxdigit(digit); });
}

}
