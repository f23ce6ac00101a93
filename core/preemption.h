#pragma once

#include "placementpass.h"

#include <functional>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// Places for a job and the running work that must stop before it starts; no victims means that work there is stopping already.
struct PreemptionChoice
{
    ChosenPlaces places;
    std::vector<int> victims; ///< Indexes into CapacityMap::work.

    friend bool operator==(const PreemptionChoice &, const PreemptionChoice &) = default;
};

/// Accelerator time lost if the work stops now: what the last checkpoint does not cover and a fixed cost for stopping and starting again.
Duration acceleratorTimeLost(const RunningWork &work);

/// Work that can be preempted, cheapest first, checkpointable work before other work.
const std::vector<int> &victimOrder(PlacementPass &pass);

/// Running work in that order that is not stopping yet and satisfies the predicate.
std::vector<int> victimsByCost(PlacementPass &pass, const std::function<bool(const RunningWork &)> &isCandidate);

/// The cheapest victims, as a prefix of that order, whose capacity together with free and stopping capacity holds the gang on the allowed accelerators.
std::optional<PreemptionChoice>
choosePreemption(PlacementPass &pass, const JobSpecification &specification, const std::vector<AcceleratorMask> &allowed, const std::vector<int> &victims);

/// An organisation reclaims its own cells from borrowers.
std::optional<PreemptionChoice> reclaimCells(PlacementPass &pass, const QueuedJob &queued);

/// An urgent job takes the place of the cheapest borrower, or of its own organisation's other work.
std::optional<PreemptionChoice> preemptForUrgent(PlacementPass &pass, const QueuedJob &queued);

/// While a zone is out, ordinary work displaces patient borrowers that can be checkpointed.
std::optional<PreemptionChoice> preemptForOrdinary(PlacementPass &pass, const QueuedJob &queued);

/// True if some of the work stands outside its organisation's cells.
bool isBorrowing(PlacementPass &pass, const RunningWork &work);

}
