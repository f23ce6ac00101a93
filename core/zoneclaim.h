#pragma once

#include "identifier.h"
#include "storerecord.h"
#include "time.h"

#include <optional>
#include <string_view>

namespace sequoiastand
{

/// Ownership of this host's availability zone: the stored owner and the state of this host's own claim.
struct ZoneClaim
{
    std::optional<TimePoint> observedSince; ///< Time at which this host began to observe its zone.
    std::optional<ZoneOwner> stored;        ///< Last known `zones/<zone>/owner`.
    Revision storedRevision = 0;
    TimePoint storedChangedAt;           ///< Time of the last change of `stored`.
    std::optional<Epoch> requestedEpoch; ///< Epoch of a write that the store has not answered yet.
    TimePoint requestedAt;
    bool isStoreBehind = false;           ///< The epoch was raised while the store was unreachable and is not stored yet.
    std::optional<TimePoint> ownedSince;  ///< Time since which this host owns the zone; none while it does not.
    std::optional<Epoch> handedOverEpoch; ///< Epoch of the previous owner, which named this host its successor.
    std::optional<TimePoint> stoppingSince;
    bool isReleasingLeases = false; ///< Target leases are being released before this host exits.
    bool isHandedOver = false;

    friend bool operator==(const ZoneClaim &, const ZoneClaim &) = default;
};

/// Rendezvous hashing weight of a host for a key. The host with the highest weight is preferred; every process computes the same weight.
unsigned long long rendezvousWeight(std::string_view key, std::string_view host);

}
