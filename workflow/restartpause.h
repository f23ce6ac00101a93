#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// Notes that a run of a lasting task has ended by itself. If the task's runs end soon after their starts again and again, its next run has to wait, because
/// each start costs orders and writes.
void noteLastingEnd(WorkflowBoard &board, const TaskRun &run, bool isGang);

/// True while the next run of the task, or of its gang, has to wait.
bool isRestartPaused(const WorkflowBoard &board, const TaskId &task, bool isGang);

/// Earliest time at which a task that waits may start again; no value if none waits.
std::optional<TimePoint> nextRestart(const WorkflowBoard &board);

/// Forgets the pauses of a workflow that has ended.
void forgetRestartPauses(WorkflowBoard &board, const RequestId &workflow);

}
