#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// What the target's clock shows now at the latest answer's rate; none before its first answer.
std::optional<TargetClock> estimatedClock(const DomainTarget &target, TimePoint now);

/// From when on nothing that was started or held under an earlier call runs there any more, even on the slowest clock.
TimePoint latestLapseAt(const DomainTarget &target);

/// The longest time for which a hold of a former owner can keep runs going after that owner's authority ended.
Duration maxFormerOwnerLease(const DomainLimits &limits);

/// Replaces the target's row as a new life of it begins: what the former one ran and knew is gone. Starts that may still arrive there are stopped beforehand,
/// because a run that has been stopped is refused. Runs that cannot stand on the new life are lost.
void beginNewInstance(WorkflowBoard &board, const DomainTarget &former, const TargetRegistration &registration);

/// Notes a start without an answer: a copy of it may arrive seconds later.
void noteLateStart(WorkflowBoard &board, const TaskRun &run);

/// Moves runs that a former owner recorded on a former life of their target to its present one, whose lists decide.
void moveRunsOfFormerInstances(WorkflowBoard &board);

}
