#pragma once

#include "workflowboard.h"

#include <set>

namespace sequoiastand
{

/// Zones that count as unresponsive: none of their targets has answered recently, although they have enough targets for that to be certain.
std::set<AvailabilityZoneId> unresponsiveZones(const WorkflowBoard &board);

/// True if the target may be given new work now: it is registered, not draining, in a zone in service and in contact, and it runs nothing unknown.
bool acceptsWork(const WorkflowBoard &board, const DomainTarget &target);

/// Time from the due time within which an occurrence should end: the length of its critical path times the queue's stretch, plus the queue's latency target.
Duration objectiveOf(const Workflow &workflow, const Queue &queue);

/// The workflow's queue as configured now; if it has been removed, as it was when the workflow was accepted.
const Queue &queueOf(const WorkflowBoard &board, const Workflow &workflow);

}
