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

/// Permission of this host to start work, limited in time. docs/design.md defines rules 1 to 4, which extend it.
struct StartPermit
{
    TimePoint validUntil;
    PermitSource source = PermitSource::None;
    TimePoint lastProven;       ///< Last time at which one of rules 1 to 3 held; the period of rule 4 begins at this time.
    bool isHeldLocally = false; ///< An operator has stopped starts on this host.

    long long heldAtVersion = 0; ///< Configuration version at which the operator stopped starts; a newer version allows them again.
    bool isEstablished = false;  ///< Rule 1 or 2 has held at least once in this process, as rules 3 and 4 require.

    friend bool operator==(const StartPermit &, const StartPermit &) = default;
};

bool isValid(const StartPermit &permit, TimePoint now);

std::string_view name(PermitSource source);

}
