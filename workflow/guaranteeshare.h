#pragma once

#include "workflowboard.h"

#include <set>

namespace sequoiastand
{

/// Workflows of the most urgent priority that their organisations' guarantees cover, in the order of their acceptance. What goes beyond is borrowed and can be
/// taken back. A workflow counts with its widest step, once for each occurrence that has begun.
std::set<RequestId> guaranteedWorkflows(const WorkflowBoard &board);

}
