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

    long long heldAtVersion = 0; ///< Configuration version at the hold; a newer one lifts it.
    bool isEstablished = false;  ///< Rule 1 or 2 has held since the start; rules 3 and 4 need that.

    friend bool operator==(const StartPermit &, const StartPermit &) = default;
};

bool isValid(const StartPermit &permit, TimePoint now);

std::string_view name(PermitSource source);

}
