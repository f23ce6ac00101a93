#pragma once

#include "packingfleet.h"
#include "placement.h"

#include <map>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// The running units of a placement pass with indexes for the search for work to preempt.
struct VictimIndex
{
    std::vector<RunningUnit> units;
    std::vector<bool> isLeaving;                       ///< For each unit, whether its room will be free soon: it ends by itself, or this pass has preempted it.
    std::vector<TargetNumbers> unitTargets;            ///< For each unit the target of each of its tasks.
    std::map<RackId, std::vector<std::size_t>> byRack; ///< Units with at least one task in the rack.
};

/// The state of a placement pass, which takes room from the targets as it places steps.
struct PlacementState
{
    PlacementInput input; ///< The input without its targets and running units, which are in `fleet` and `victims`.
    PackingFleet fleet;
    RunningUnitsSource findRunning;     ///< Provides the running units; called at most once.
    std::map<ServiceId, int> reserved;  ///< Accelerators of each service that are reserved for waiting gangs.
    std::optional<VictimIndex> victims; ///< Set once an urgent step needs room that running work occupies.
};

/// The running units of the pass; reads them when they are needed for the first time. The room of units that end by themselves within the time of a stop is then
/// added to `freeAfterStops` of their targets, because stopping other work would make room no sooner.
VictimIndex &victimsOf(PlacementState &state);

}
