#pragma once

#include "placementpass.h"

#include <functional>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// Places for a job, and the running work that must be stopped before the job starts. If `victims` is empty, the work that still occupies the places is
/// already stopping.
struct PreemptionChoice
{
    ChosenPlaces places;
    std::vector<int> victims; ///< Indexes into CapacityMap::work.

    friend bool operator==(const PreemptionChoice &, const PreemptionChoice &) = default;
};

/// Accelerator time lost if the work stops now: the run time since the last checkpoint and a fixed cost of stopping and restarting.
Duration acceleratorTimeLost(const RunningWork &work);

/// Work that can be preempted: first the work that can be checkpointed, then the rest, each in ascending order of the accelerator time lost.
const std::vector<int> &victimOrder(PlacementPass &pass);

/// Work that is not stopping yet and satisfies the predicate, in the order of victimOrder().
std::vector<int> victimsByCost(PlacementPass &pass, const std::function<bool(const RunningWork &)> &isCandidate);

/// Chooses the shortest prefix of `victims` whose capacity, together with free and stopping capacity, holds the gang on the allowed accelerators.
/// Victims that the chosen places do not need are left out.
std::optional<PreemptionChoice>
choosePreemption(PlacementPass &pass, const JobSpecification &specification, const std::vector<AcceleratorMask> &allowed, const std::vector<int> &victims);

/// Places in the organisation's own cells, and the work of other organisations to preempt in these cells.
std::optional<PreemptionChoice> reclaimCells(PlacementPass &pass, const QueuedJob &queued);

/// Places for an urgent job, and the work to preempt for it: the cheapest work that borrows capacity or belongs to the same organisation.
std::optional<PreemptionChoice> preemptForUrgent(PlacementPass &pass, const QueuedJob &queued);

/// Places for an ordinary job while another zone is out of service, and the work to preempt for the job: patient work that borrows capacity and can be
/// checkpointed.
std::optional<PreemptionChoice> preemptForOrdinary(PlacementPass &pass, const QueuedJob &queued);

/// True if some of the work runs outside its organisation's cells.
bool isBorrowing(PlacementPass &pass, const RunningWork &work);

}
