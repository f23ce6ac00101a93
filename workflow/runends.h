#pragma once

#include "workflowboard.h"

#include <string>

namespace sequoiastand
{

/// Applies an end that a target lists: the task finished, failed, or goes back to waiting. Ends of runs that are no longer the newest are noted in the log only.
void applyRunEnd(WorkflowBoard &board, const TargetId &target, const EndedRun &ended);

/// Ends a run that its target neither runs nor lists as ended.
void dropUnlistedRun(WorkflowBoard &board, const TaskRun &run);

/// Orders a stop of something at work that is not the newest run of its task.
void stopStray(WorkflowBoard &board, const TargetId &target, const ListedRun &row);

/// Orders a stop whose answer does not matter: of a run that the board does not follow.
void sendStrayStop(WorkflowBoard &board, const DomainTarget &target, const TaskId &task, int run);

/// Why a gang cannot go on.
enum class GangBreakCause
{
    MemberNotStarted, ///< A member was not started.
    MemberEnded,      ///< The targets end the other members by themselves, faster than a stop would.
    MemberFailed,     ///< As before, and the failure has been counted for the gang.
};

/// Ends the other members of the run's gang.
void failGangOf(WorkflowBoard &board, const TaskRun &run, GangBreakCause fault, const std::string &reason);

}
