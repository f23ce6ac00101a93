#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

// The platform may deliver an order seconds after its sender has stopped waiting; the longest delay seen is 12 s.
constexpr Duration maxDeliveryDelay{15'000};

/// Estimate of the time on the target's clock, from the newest answer and the time passed since; none before the first answer.
std::optional<TargetClock> estimatedClock(const DomainTarget &target, TimePoint now);

/// Latest time at which the target's lease ends, even if its clock is as slow as allowed. After this time, no run that an earlier start or hold permitted is
/// still running on the target.
TimePoint latestLapseAt(const DomainTarget &target);

/// Longest time for which a hold by a former owner can keep runs going after that owner's authority has ended.
Duration maxFormerOwnerLease(const DomainLimits &limits);

/// True if an instance can have started at this time. A start that lies further ahead of this host's clock than any two clocks differ is not a target's.
bool isPossibleStart(long long startTimeMs, WallTime now);

/// Replaces the target's row when a new instance of it begins, which has lost the runs and the state of the former one. Runs whose start may still arrive
/// late are stopped on the new instance first, because a target refuses to start a run that was stopped before. Runs that cannot be on the new instance
/// are lost.
void beginNewInstance(WorkflowBoard &board, const DomainTarget &former, const TargetRegistration &registration);

/// Records a start without an answer, because a copy of it may arrive seconds later.
void noteLateStart(WorkflowBoard &board, const TaskRun &run);

/// Notes that the target's present instance has listed the end of the run or has carried out its stop, so that a late copy of the start has no effect there.
void fenceLateStart(WorkflowBoard &board, const TaskId &task, int run);

/// Requires that the target's present instance confirms the stop of each start that may still arrive there.
void requireStopsOfLateStarts(WorkflowBoard &board, const TargetId &target);

/// Moves runs that a former owner recorded on a former instance of a target to the current instance, whose lists show whether they run there.
void moveRunsOfFormerInstances(WorkflowBoard &board);

}
