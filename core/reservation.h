#pragma once

#include "placementpass.h"

namespace sequoiastand
{

/// True if the job needs at least as many accelerators as the largest worker has. Smaller jobs find room without a reservation.
bool isLarge(const PlacementPass &pass, const JobSpecification &specification);

/// Reserves places for the oldest large waiting jobs: the places that running work is expected to free first. Later jobs may use them only if they
/// are expected to end before the reserved start, so that backfill delays the large job by no more than the error of the corrected run times.
void addReservations(PlacementPass &pass, const std::vector<QueuedJob> &queue);

/// The job's reservation, or null.
const Reservation *findReservation(const PlacementPass &pass, const JobId &job);

}
