#pragma once

#include "workflowboard.h"

#include <set>

namespace sequoiastand
{

/// Workflows of the most urgent priority that are covered by their organisations' guarantees, which are used up in the order of acceptance. Work beyond a
/// guarantee runs on borrowed resources and can be preempted. A workflow uses up the accelerators of its widest step, multiplied by the number of its open
/// occurrences (at least one). A guarantee counts only up to the organisation's cap.
std::set<RequestId> guaranteedWorkflows(const WorkflowBoard &board);

}
