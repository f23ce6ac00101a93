#pragma once

#include "placement.h"

#include <functional>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// Tasks for each target, parallel to the targets of the input.
using TaskCounts = std::vector<int>;

/// How many tasks of the step the room holds, as its largest dimension allows.
int tasksThatFit(const Resources &perTask, const Resources &room);

/// True if the step may stand on the target, as far as the target and the step's own wishes decide.
bool isEligible(const WaitingStep &waiting, const PlacementTarget &target);

/// True if the step may stand on the target at all; steps with an adviser need its word.
bool isAllowed(const WaitingStep &waiting, const PlacementTarget &target);

/// Positions of targets among those of the input, in rising order.
using TargetNumbers = std::vector<std::size_t>;

/// The room of a target that a packing may use.
using RoomOf = std::function<Resources(const PlacementTarget &)>;

/// What a packing may use.
struct PackingLimits
{
    RoomOf roomOf;
    std::function<bool(const PlacementTarget &)> mayUse;
    std::optional<int> acceleratorBudget;       ///< That the step may take in all; none: no limit.
    const TargetNumbers *onlyTargets = nullptr; ///< The only targets to look at; none: all.
};

/// Places for `count` tasks, or nothing if they do not all fit. Fills the targets that leave the least room first.
std::optional<TaskCounts> packTasks(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits);

/// As packTasks(), within the one rack that it leaves the least room in.
std::optional<TaskCounts> packRack(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits);

}
