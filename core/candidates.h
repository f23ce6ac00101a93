#pragma once

#include "placementpass.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// Where a job may stand, from the place that disturbs others least to the widest.
enum class PlacementTier
{
    OwnCells,
    Unbound,    ///< Own cells and capacity that no guarantee is bound to.
    Everywhere, ///< Also free cells of other organisations, for work that can be preempted.
};

/// Accelerators per target on which the job may stand in that tier, whoever holds them now.
std::vector<AcceleratorMask> allowedAccelerators(PlacementPass &pass, const JobSpecification &specification, PlacementTier tier);

/// The free rooms of the tier, without what reservations of other jobs keep free.
std::vector<Room> roomsFor(PlacementPass &pass, const QueuedJob &queued, PlacementTier tier);

/// Limits rooms to processors and memory that foreign cells on the target do not need, for work that cannot be preempted.
void excludeForeignShares(PlacementPass &pass, const JobSpecification &specification, std::vector<Room> &rooms);

/// Tiers that the job may use, in order.
std::vector<PlacementTier> tiersFor(const PlacementPass &pass, const JobSpecification &specification);

/// Free places for the whole gang, or nothing. Remembers requests that failed in this pass.
std::optional<ChosenPlaces> findFreePlaces(PlacementPass &pass, const QueuedJob &queued);

/// True if the job could run in the zone if all its targets were in good order and without other work.
bool fitsEmptyZone(PlacementPass &pass, const JobSpecification &specification);

}
