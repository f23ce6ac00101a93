#pragma once

#include "packingfleet.h"
#include "placement.h"

#include <functional>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// Number of tasks for each target, parallel to the targets of the fleet.
using TaskCounts = std::vector<int>;

/// The number of tasks that fit into the room in every dimension.
int tasksThatFit(const Resources &perTask, const Resources &room);

/// The number of the step's tasks that may be placed on the target: as many as fit into the room, but no more than the step allows on one target.
int roomForTasks(const WaitingStep &waiting, const PlacementTarget &target, const Resources &room);

/// True if the target offers the step's service and has the label that the step requires.
bool meetsRequirements(const WaitingStep &waiting, const PlacementTarget &target);

/// True if the target accepts work and meets the step's own requirements. Leaves the adviser's decision aside.
bool isEligible(const WaitingStep &waiting, const PlacementTarget &target);

/// True if the step may be placed on the target: the target is eligible and, for a step with an adviser, allowed by the adviser.
bool isAllowed(const WaitingStep &waiting, const PlacementTarget &target);

/// Returns the room of a target that a packing may use.
using RoomOf = std::function<Resources(const PlacementTarget &)>;

/// Targets and resources that a packing may use.
struct PackingLimits
{
    RoomOf roomOf;
    std::function<bool(const PlacementTarget &)> mayUse;
    std::optional<int> acceleratorBudget; ///< Accelerators that the step may take on all targets together; no value means no limit.
    const RackId *onlyRack = nullptr;     ///< The only rack to consider; null means all.
};

/// Places `count` tasks, or nothing if they do not all fit. Prefers targets that are not suspect, then those in the fullest racks, then those with the fewest
/// free accelerators after the placement.
std::optional<TaskCounts> packTasks(PackingFleet &fleet, const WaitingStep &waiting, int count, const PackingLimits &limits);

/// Places as many tasks as fit, but no more than `count`, in the same order as packTasks().
TaskCounts packAsManyAsFit(PackingFleet &fleet, const WaitingStep &waiting, int count, const PackingLimits &limits);

/// Like packTasks(), but within a single rack: the rack of the step's data if the tasks fit there, otherwise the one with the fewest free accelerators in which
/// they fit.
std::optional<TaskCounts> packRack(PackingFleet &fleet, const WaitingStep &waiting, int count, const PackingLimits &limits);

}
