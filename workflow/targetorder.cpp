#include "targetorder.h"

#include <array>

namespace sequoiastand
{

std::string_view name(OrderRefusal refusal)
{
    static constexpr std::array<std::string_view, 9> names{"none", "fenced", "oldRun", "tooLate", "noRoom", "noTicket", "unhealthy", "otherLife", "invalid"};
    return names.at(static_cast<std::size_t>(refusal));
}

std::string_view name(RunEnd end)
{
    static constexpr std::array<std::string_view, 6> names{"finished", "failed", "stopped", "lapsed", "broken", "alone"};
    return names.at(static_cast<std::size_t>(end));
}

}
