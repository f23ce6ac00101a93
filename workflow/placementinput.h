#pragma once

#include "placement.h"
#include "workflowboard.h"

namespace sequoiastand
{

/// A step that has waited this long gets a log line that says why, and another one each time the second period passes.
constexpr Duration firstExplanationAfter{1'000};
constexpr Duration explanationPeriod{5'000};

/// What a placement pass needs of the board: targets with their room, waiting steps, and what is at work. Only the steps if nothing waits.
PlacementInput placementInput(const WorkflowBoard &board);

}
