#pragma once

#include "workflowboard.h"

#include <set>

namespace sequoiastand
{

/// Zones of which no target has answered lately, although many should have.
std::set<AvailabilityZoneId> unresponsiveZones(const WorkflowBoard &board);

/// True if the target may be given new work now: registered, not draining, its zone in service, in contact, and nothing unknown at work on it.
bool acceptsWork(const WorkflowBoard &board, const DomainTarget &target);

/// Time from its due time in which an occurrence of the workflow should end: the queue's stretch of its longest chain, and the queue's latency target.
Duration objectiveOf(const Workflow &workflow, const Queue &queue);

/// The queue as configured now, or as it was when the workflow was accepted.
const Queue &queueOf(const WorkflowBoard &board, const Workflow &workflow);

}
