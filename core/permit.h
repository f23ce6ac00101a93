#pragma once

#include "time.h"

#include <string_view>

namespace sequoiastand
{

enum class PermitSource
{
    None,
    StoreRead,
    PeerRead,
    StoreDownForAll,
    IsolatedPeriod,
};

/// Until when this host may start work, and why.
struct StartPermit
{
    TimePoint validUntil;
    PermitSource source = PermitSource::None;
    TimePoint lastProven;       ///< Last time that rules 1 to 3 held; rule 4 counts from here.
    bool isHeldLocally = false; ///< An operator stopped starts on this host.

    friend bool operator==(const StartPermit &, const StartPermit &) = default;
};

bool isValid(const StartPermit &permit, TimePoint now);

std::string_view name(PermitSource source);

}
