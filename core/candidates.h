#pragma once

#include "placementpass.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// Capacity that a job may use. The tiers are tried in this order; earlier ones affect other organisations less.
enum class PlacementTier
{
    OwnCells,
    Unbound,    ///< The organisation's own cells and the capacity that is in no cell.
    Everywhere, ///< All capacity, also free cells of other organisations; only for work that can be preempted.
};

/// Accelerators of each target that the job may use in the tier, whether they are free or not.
std::vector<AcceleratorMask> allowedAccelerators(PlacementPass &pass, const JobSpecification &specification, PlacementTier tier);

/// Free capacity of each target in the tier, without what is reserved for other jobs.
std::vector<Room> roomsFor(PlacementPass &pass, const QueuedJob &queued, PlacementTier tier);

/// Limits the rooms to processors and memory that other organisations' cells on the target do not need. Applies to jobs that cannot be preempted.
void excludeForeignShares(PlacementPass &pass, const JobSpecification &specification, std::vector<Room> &rooms);

/// Tiers that the job may use, in the order in which to try them.
std::vector<PlacementTier> tiersFor(const PlacementPass &pass, const JobSpecification &specification);

/// Free places for the whole gang, or nothing if it does not fit. Caches requests that failed in this pass.
std::optional<ChosenPlaces> findFreePlaces(PlacementPass &pass, const QueuedJob &queued);

/// True if the job would fit the zone if every target were usable and no other work ran.
bool fitsEmptyZone(PlacementPass &pass, const JobSpecification &specification);

}
