#include "permit.h"

#include <array>

namespace sequoiastand
{

bool isValid(const StartPermit &permit, TimePoint now)
{
    return permit.source != PermitSource::None && !permit.isHeldLocally && now < permit.validUntil;
}

std::string_view name(PermitSource source)
{
    static constexpr std::array<std::string_view, 5> names{"none", "storeRead", "peerRead", "storeDownForAll", "isolatedPeriod"};
    return names.at(static_cast<std::size_t>(source));
}

}
