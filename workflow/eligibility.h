#pragma once

#include "workflowboard.h"

#include <set>

namespace sequoiastand
{

/// Zones that count as unresponsive: none of their targets has answered recently, and they have so many targets that this cannot be chance.
std::set<AvailabilityZoneId> unresponsiveZones(const WorkflowBoard &board);

/// True if the target is registered, does not drain, and its zone is not evacuated.
bool isInService(const WorkflowBoard &board, const DomainTarget &target);

/// True if the target may be given new work as soon as it has answered the latest order and the latest hold.
bool acceptsWorkIfReachable(const WorkflowBoard &board, const DomainTarget &target);

/// True if the target may be given new work now: it is registered, its zone is not evacuated, it is not draining, it answers orders, it is not avoided for a
/// while (`avoidUntil`), it can execute no late start of a former instance, and it runs no stray tasks.
bool acceptsWork(const WorkflowBoard &board, const DomainTarget &target);

/// Time from the due time within which an occurrence should end: the length of its critical path times the queue's stretch, plus the queue's latency target.
Duration objectiveOf(const Workflow &workflow, const Queue &queue);

/// The workflow's queue as configured now. If the queue has been removed, its settings from when the workflow was accepted.
const Queue &queueOf(const WorkflowBoard &board, const Workflow &workflow);

}
