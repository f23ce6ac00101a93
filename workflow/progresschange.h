#pragma once

#include "workflowboard.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// Changes the workflow's progress and marks it for the next commit. Does nothing if the workflow is not on the board.
void changeProgress(WorkflowBoard &board, const RequestId &workflow, const std::function<void(WorkflowProgress &)> &change);

/// Changes the progress of all tasks of one step. Does nothing if the step's occurrence has finished. The cost depends on the number of the step's tasks.
void changeStep(WorkflowBoard &board, const StepId &step, const std::function<void(StepProgress &)> &change);

/// Changes the progress of one task. Does nothing if the task's occurrence has finished. The cost does not depend on the number of the workflow's tasks,
/// because thousands of them may end within a second.
void changeTask(WorkflowBoard &board, const TaskId &task, const std::function<void(TaskProgress &)> &change);

/// Shows the workflow as running, because a target has accepted or listed a run of it. The change is stored with the next batch that is written for another
/// reason, or in a batch of its own soon after. Does nothing if the workflow is not queued.
void noteBegun(WorkflowBoard &board, const RequestId &workflow);

/// The version of the workflow's current progress, which must be stored before the progress may be acted on; zero if the workflow is not on the board.
unsigned long long progressVersion(const WorkflowBoard &board, const RequestId &workflow);

bool isStored(const WorkflowBoard &board, const RequestId &workflow, unsigned long long version);

const StepSpecification *findStep(const WorkflowBoard &board, const StepId &step);

/// Runs of the step's tasks that are still on the board.
std::vector<TaskRun> runsOf(const WorkflowBoard &board, const StepId &step);

/// Runs of the workflow's tasks that are still on the board.
std::vector<TaskRun> runsOf(const WorkflowBoard &board, const RequestId &workflow);

/// Runs on the target that are no longer waiting for their record to be stored.
std::vector<TaskRun> startedRunsOn(const WorkflowBoard &board, const TargetId &target);

/// Replaces the row of the run's task.
void putRun(WorkflowBoard &board, const TaskRun &run);

/// Removes a run that its target certainly no longer runs, and releases the task's place.
void removeRun(WorkflowBoard &board, const TaskRun &run);

/// Records that the run is presumed lost. Does nothing for lasting tasks, which have any number of attempts.
void noteLostRun(WorkflowBoard &board, const TaskRun &run);

/// Removes the record that the run is presumed lost, because its end is known. Returns false if there is none.
bool takeLostRun(WorkflowBoard &board, const TaskId &task, int run);

/// Reason why runs are stopped, which labels the counter.
enum class RunStopCause
{
    WorkflowEnded,
    Preempted,
    GangBroken,
    StartUnanswered,
    FinishedBefore, ///< An earlier run of the task or gang that was presumed lost has finished.
};

std::string_view name(RunStopCause cause);

/// Requests that runs of one step are stopped after the delay. Runs whose start has not been sent are removed at once, and runs that are already being stopped
/// are skipped. `detail` is added to the log entry.
void stopRuns(WorkflowBoard &board, const std::vector<TaskRun> &runs, RunStopCause cause, const std::string &detail, Duration delay = Duration{0});

}
