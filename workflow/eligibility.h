#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// True if the target may be given new work now: registered, not draining, its zone in service, in contact, and nothing unknown at work on it.
bool takesWork(const WorkflowBoard &board, const DomainTarget &target);

/// The queue as configured now, or as it was when the workflow was accepted.
const Queue &queueOf(const WorkflowBoard &board, const Workflow &workflow);

}
