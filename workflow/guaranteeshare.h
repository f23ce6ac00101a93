#pragma once

#include "workflowboard.h"

#include <set>

namespace sequoiastand
{

/// Workflows of the most urgent priority that are covered by their organisations' guarantees, which are used up in the order of acceptance. Work beyond a
/// guarantee runs on borrowed resources and can be preempted. A workflow uses as many accelerators as its widest step, once for each open occurrence and at
/// least once.
std::set<RequestId> guaranteedWorkflows(const WorkflowBoard &board);

}
