#pragma once

#include "workflowboard.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// Replaces the workflow's progress by a changed one and notes that the store must be told. Does nothing for a workflow that is not on the board.
void changeProgress(WorkflowBoard &board, const RequestId &workflow, const std::function<void(WorkflowProgress &)> &change);

/// Applies the change to one task's progress; a task of an occurrence that has finished is left alone.
void changeTask(WorkflowBoard &board, const TaskId &task, const std::function<void(TaskProgress &)> &change);

/// The version that the store must hold before what the workflow's progress says now may be acted on; zero if the workflow is not on the board.
unsigned long long progressVersion(const WorkflowBoard &board, const RequestId &workflow);

bool isStored(const WorkflowBoard &board, const RequestId &workflow, unsigned long long version);

const StepSpecification *findStep(const WorkflowBoard &board, const StepId &step);

/// Runs of the step's tasks that are still on the board.
std::vector<TaskRun> runsOf(const WorkflowBoard &board, const StepId &step);

/// Runs of the workflow's tasks that are still on the board.
std::vector<TaskRun> runsOf(const WorkflowBoard &board, const RequestId &workflow);

/// Replaces the row of the run's task.
void putRun(WorkflowBoard &board, const TaskRun &run);

/// Removes a run that its target certainly does not run any more, and frees the task.
void removeRun(WorkflowBoard &board, const TaskRun &run);

/// Why runs are stopped; names the counter.
enum class RunStopCause
{
    WorkflowEnded,
    Preempted,
    GangBroken,
    StartUnanswered,
    FinishedBefore, ///< An earlier run of the task or gang has finished after all.
};

std::string_view name(RunStopCause cause);

/// Asks for runs of one step to be stopped, after the delay; those whose orders have not gone out are removed at once. Runs that are being stopped already are left
/// alone. `detail` goes to the log.
void stopRuns(WorkflowBoard &board, const std::vector<TaskRun> &runs, RunStopCause cause, const std::string &detail, Duration delay = Duration{0});

}
