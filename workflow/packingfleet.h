#pragma once

#include "placement.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// Indexes of targets of the fleet, in ascending order.
using TargetNumbers = std::vector<std::size_t>;

struct RackTargets
{
    RackId rack;
    TargetNumbers targets;

    friend bool operator==(const RackTargets &, const RackTargets &) = default;
};

/// The targets of a placement pass with indexes that every step of the pass uses. A large fleet has hundreds of targets and dozens of steps wait in a burst, so
/// checks that depend on the target alone are made once per pass.
struct PackingFleet
{
    std::vector<PlacementTarget> targets;
    std::map<TargetId, std::size_t> numbers; ///< Index of each target.

    /// Targets by rack that accept work of a service and have a label, for each pair that a step has asked for.
    std::map<std::pair<ServiceId, std::string>, std::vector<RackTargets>> eligible;
};

PackingFleet makePackingFleet(std::vector<PlacementTarget> targets);

/// The targets that accept work and meet the step's own requirements, by rack. Leaves the adviser's decision aside.
const std::vector<RackTargets> &eligibleTargets(PackingFleet &fleet, const WaitingStep &waiting);

/// Index of the target, or nothing if it is not in the fleet.
std::optional<std::size_t> numberOf(const PackingFleet &fleet, const TargetId &target);

}
