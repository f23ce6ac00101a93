#pragma once

#include "workflowboard.h"

#include <string>

namespace sequoiastand
{

/// Applies an end that a target lists: the task finished, failed, or goes back to waiting. Ends of runs that are no longer the newest are noted in the log only.
void takeEnd(WorkflowBoard &board, const TargetId &target, const EndedRun &ended);

/// Ends a run that its target neither runs nor lists as ended.
void loseUnlistedRun(WorkflowBoard &board, const TaskRun &run);

/// Orders a stop of something at work that is not the newest run of its task.
void stopStray(WorkflowBoard &board, const TargetId &target, const ListedRun &row);

/// Orders a stop whose answer does not matter: of a run that the board does not follow.
void sendStrayStop(WorkflowBoard &board, const DomainTarget &target, const TaskId &task, int run);

/// Stops the other members of the run's gang, because the gang cannot go on without it. `isCounted` says that the run's end has been counted as the gang's
/// failure; failures of the others are then not counted again.
void failGangOf(WorkflowBoard &board, const TaskRun &run, const std::string &reason, bool isCounted = false);

}
