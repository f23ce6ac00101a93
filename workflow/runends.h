#pragma once

#include "workflowboard.h"

#include <string>

namespace sequoiastand
{

/// Applies the end of a run that a target lists: the task has finished, has failed or waits again. If the board does not follow the run, its end is only
/// logged, unless the run has completed a task that is still unfinished on the board.
void applyRunEnd(WorkflowBoard &board, const TargetId &target, const EndedRun &ended);

/// Removes a run that its target lists neither as running nor as ended.
void dropUnlistedRun(WorkflowBoard &board, const TaskRun &run);

/// Orders the stop of a stray run: one that runs on the target but is not the newest run of its task.
void stopStray(WorkflowBoard &board, const TargetId &target, const ListedRun &row);

/// Orders the stop of a run that the board does not follow, and returns the call's id.
CallId sendStrayStop(WorkflowBoard &board, const DomainTarget &target, const TaskId &task, int run);

/// Reason why a gang cannot continue.
enum class GangBreakCause
{
    MemberNotStarted, ///< A member could not be started.
    MemberEnded,      ///< A member has ended. The targets end the other members without an order, which is faster than a stop order.
    MemberFailed,     ///< Like MemberEnded, but the member has failed, and its failure has already been counted for the gang.
};

/// Stops the other members of the run's gang.
void failGangOf(WorkflowBoard &board, const TaskRun &run, GangBreakCause fault, const std::string &reason);

}
