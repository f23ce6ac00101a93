#pragma once

#include "workflowboard.h"

#include <string>

namespace sequoiastand
{

/// Applies the end of a run that a target lists: the task has finished, has failed or waits again. Ends of runs that the board does not follow are only logged,
/// unless they finish a task that still has to finish.
void applyRunEnd(WorkflowBoard &board, const TargetId &target, const EndedRun &ended);

/// Removes a run that its target lists neither as running nor as ended.
void dropUnlistedRun(WorkflowBoard &board, const TaskRun &run);

/// Orders the stop of a stray run: one that runs on the target but is not the newest run of its task.
void stopStray(WorkflowBoard &board, const TargetId &target, const ListedRun &row);

/// Orders the stop of a run that the board does not follow. The answer is ignored.
void sendStrayStop(WorkflowBoard &board, const DomainTarget &target, const TaskId &task, int run);

/// Reason why a gang cannot continue.
enum class GangBreakCause
{
    MemberNotStarted, ///< A member could not be started.
    MemberEnded,      ///< A member has ended; the targets of the others end them without an order, faster than a stop order would.
    MemberFailed,     ///< As MemberEnded, and the failure has already been counted for the gang.
};

/// Stops the other members of the run's gang.
void failGangOf(WorkflowBoard &board, const TaskRun &run, GangBreakCause fault, const std::string &reason);

}
