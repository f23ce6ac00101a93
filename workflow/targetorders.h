#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// An order from this owner to the target. It carries the owner's fencing token, and it is not sent any more once the owner's authority has ended, however long
/// it has waited for a connection or the process has been paused by then.
TargetOrder makeOrder(WorkflowBoard &board, const DomainTarget &target, TargetOrderRequest request, Duration timeout);

}
