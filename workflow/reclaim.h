#pragma once

#include "packing.h"
#include "placementstate.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// The future places of an urgent step, and the tasks that are preempted for it.
struct Reclaim
{
    TaskCounts places; ///< Tasks for each target, parallel to the targets of the fleet.
    std::vector<PreemptedTask> stops;

    friend bool operator==(const Reclaim &, const Reclaim &) = default;
};

/// Chooses less urgent units whose preemption makes room for the whole step, with as little lost work as the search finds. Returns nothing if preempting all of
/// them would not be enough. Equally urgent work on borrowed resources is preempted only for a step within its organisation's guarantee, and only if preempting
/// less urgent work is not enough. A step that needs a single rack gets one if possible; otherwise it is placed on several racks only if `maySpread` is set.
/// The room of the chosen units is added to `freeAfterStops` of their targets, and the units are marked as preempted.
std::optional<Reclaim> findReclaim(PlacementState &state, const WaitingStep &waiting, bool maySpread);

/// The number of the step's tasks that its organisation's cap would allow if all work of the organisation were stopped that may be stopped for the step.
int tasksBesideOwnWork(PlacementState &state, const WaitingStep &waiting);

/// Chooses units of the step's own organisation whose stop lets all tasks of the guaranteed step start within the cap, with as little lost work as the search
/// finds: less urgent work, and if that is not enough, equally urgent work beyond the guarantee. Chooses none if stops under way are enough. Returns nothing if
/// the cap cannot be kept.
std::optional<std::vector<std::size_t>> findCapStops(PlacementState &state, const WaitingStep &waiting);

/// Marks the units as preempted, adds their room to `freeAfterStops` of their targets, and returns their tasks.
std::vector<PreemptedTask> stopUnits(PlacementState &state, const WaitingStep &waiting, const std::vector<std::size_t> &units);

TaskId firstTask(const PlacementState &state, std::size_t unit);

}
