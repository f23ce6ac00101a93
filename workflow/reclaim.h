#pragma once

#include "packing.h"
#include "placement.h"

#include <optional>
#include <vector>

namespace sequoiastand
{

/// Where an urgent step will stand, and what is stopped for it.
struct Reclaim
{
    TaskCounts places; ///< Parallel to the targets of the input.
    std::vector<PreemptedTask> stops;

    friend bool operator==(const Reclaim &, const Reclaim &) = default;
};

/// The cheapest set of less urgent units whose stop makes room for the whole step, or nothing if even all of them would not. Equally urgent work that stands on
/// borrowed room is stopped only for a step within its organisation's guarantee, and only if less urgent work is not enough. A step that wants one rack gets one
/// if that is possible, and otherwise only if it may be spread.
/// The room they leave is added to `soon` of their targets, and they are taken out of `running`.
std::optional<Reclaim> findReclaim(PlacementInput &input, const WaitingStep &waiting, bool maySpread);

}
