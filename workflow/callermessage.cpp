#include "callermessage.h"

#include <array>

namespace sequoiastand
{

std::string_view name(CallerAction action)
{
    static constexpr std::array<std::string_view, 3> names{"submit", "query", "cancel"};
    return names.at(static_cast<std::size_t>(action));
}

}
