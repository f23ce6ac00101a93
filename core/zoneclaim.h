#pragma once

#include "identifier.h"
#include "storerecord.h"
#include "time.h"

#include <optional>
#include <string_view>

namespace sequoiastand
{

/// What this host knows and wants about the ownership of its availability zone.
struct ZoneClaim
{
    std::optional<TimePoint> observedSince; ///< When this host began to look at its zone.
    std::optional<ZoneOwner> stored;        ///< Last known `zones/<zone>/owner`.
    Revision storedRevision = 0;
    TimePoint storedChangedAt;           ///< When `stored` last changed.
    std::optional<Epoch> requestedEpoch; ///< Written to the store, not yet answered.
    TimePoint requestedAt;
    bool isStoreBehind = false;           ///< The epoch was raised without the store.
    std::optional<TimePoint> ownedSince;  ///< Set while this host owns the zone.
    std::optional<Epoch> handedOverEpoch; ///< The previous owner named this host its successor.
    std::optional<TimePoint> stoppingSince;
    bool isReleasingLeases = false; ///< Leases are being given back before this host exits.
    bool isHandedOver = false;

    friend bool operator==(const ZoneClaim &, const ZoneClaim &) = default;
};

/// Weight of a host for a key; the host with the highest weight is first. Equal in every process.
unsigned long long rendezvousWeight(std::string_view key, std::string_view host);

}
