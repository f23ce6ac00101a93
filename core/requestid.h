#pragma once

#include <string_view>

namespace sequoiastand
{

/// True for an id of a workflow as callers choose it: 16 hexadecimal digits.
bool isRequestId(std::string_view text);

}
