#pragma once

#include "placementpass.h"

namespace sequoiastand
{

/// A job at least as large as a whole worker; smaller ones find room without a reservation.
bool isLarge(const PlacementPass &pass, const JobSpecification &specification);

/// Keeps places for the oldest large waiting jobs: those that running work is expected to free first. Later jobs stand there only if they
/// are expected to end before, so that backfill delays the large job by no more than the error of the corrected run times.
void addReservations(PlacementPass &pass, const std::vector<QueuedJob> &queue);

/// The job's reservation, if it holds one.
const Reservation *findReservation(const PlacementPass &pass, const JobId &job);

}
