#pragma once

#include "placement.h"
#include "workflowboard.h"

#include <vector>

namespace sequoiastand
{

/// The log first explains the wait of a step after `firstExplanationAfter`, and then again after each `explanationPeriod`.
constexpr Duration firstExplanationAfter{1'000};
constexpr Duration explanationPeriod{5'000};

/// The part of the board that a placement pass needs: targets with their room, and waiting steps. Everything is empty if no step waits.
PlacementInput placementInput(const WorkflowBoard &board);

/// The running work that may be preempted.
std::vector<RunningUnit> runningUnits(const WorkflowBoard &board);

}
