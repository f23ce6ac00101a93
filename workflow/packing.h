#pragma once

#include "placement.h"

#include <functional>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// Number of tasks for each target, parallel to the targets of the input.
using TaskCounts = std::vector<int>;

/// The number of tasks that fit into the room in every dimension.
int tasksThatFit(const Resources &perTask, const Resources &room);

/// True if the target accepts work and meets the step's own requirements. Leaves the adviser's decision aside.
bool isEligible(const WaitingStep &waiting, const PlacementTarget &target);

/// True if the step may be placed on the target: the target is eligible and, for a step with an adviser, allowed by the adviser.
bool isAllowed(const WaitingStep &waiting, const PlacementTarget &target);

/// Indexes of targets of the input, in ascending order.
using TargetNumbers = std::vector<std::size_t>;

/// Returns the room of a target that a packing may use.
using RoomOf = std::function<Resources(const PlacementTarget &)>;

/// Targets and resources that a packing may use.
struct PackingLimits
{
    RoomOf roomOf;
    std::function<bool(const PlacementTarget &)> mayUse;
    std::optional<int> acceleratorBudget;       ///< Accelerators that the step may take on all targets together; no value means no limit.
    const TargetNumbers *onlyTargets = nullptr; ///< The only targets to consider; null means all.
};

/// Places `count` tasks, or nothing if they do not all fit. Prefers targets that are not suspect, then those in the fullest racks, then those with the fewest
/// free accelerators after the placement.
std::optional<TaskCounts> packTasks(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits);

/// Like packTasks(), but within a single rack: the rack of the step's data if the tasks fit there, otherwise the one with the fewest free accelerators in which
/// they fit.
std::optional<TaskCounts> packRack(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits);

}
