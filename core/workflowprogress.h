#pragma once

#include "target.h"
#include "workflow.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// State of a workflow as shown to callers.
enum class WorkflowState
{
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// True for states that never change again.
bool hasEnded(WorkflowState state);

std::string_view name(WorkflowState state);
std::optional<WorkflowState> workflowStateFromName(std::string_view text);

/// Identifies one run of a target's process. A target that restarts under the same id is a new instance.
struct TargetInstance
{
    TargetId target;
    long long startTimeMs = 0; ///< Unix time of the start in milliseconds, as the target reports it.

    friend auto operator<=>(const TargetInstance &, const TargetInstance &) = default;
};

/// Progress of one task.
struct TaskProgress
{
    bool isFinished = false;
    int lastRun = 0;                     ///< Number of the latest run; zero if the task has not been started yet.
    int failedRuns = 0;                  ///< Number of failed runs; only these count against the queue's maximum number of attempts.
    std::string checkpoint;              ///< Checkpoint from which the next run resumes; empty if it starts from the beginning.
    std::optional<TargetInstance> place; ///< Target instance on which `lastRun` may be running, if any.

    friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

using StepProgress = std::vector<TaskProgress>;

/// Progress of one occurrence, by step.
struct OccurrenceProgress
{
    std::vector<StepProgress> steps;

    friend bool operator==(const OccurrenceProgress &, const OccurrenceProgress &) = default;
};

/// A run that was presumed lost because its target did not answer. The target may still list how it ended.
struct LostRun
{
    int occurrence = 0;
    int step = 0;
    int index = 0;
    int run = 0;

    friend auto operator<=>(const LostRun &, const LostRun &) = default;
};

/// Durable state of a workflow. It is written by the owner of the domain.
struct WorkflowProgress
{
    WorkflowState state = WorkflowState::Queued;
    OrganisationId organisation; ///< Organisation of the workflow, so that a query needs no other record; empty if it was submitted without a key.
    QueueId queue;               ///< Queue of the workflow, for the same reason; empty in records of former versions.
    std::map<int, OccurrenceProgress> occurrences; ///< Occurrences that have begun and not finished.
    int finishedOccurrences = 0;                   ///< All occurrences below this number have finished.
    std::vector<int> finishedOutOfOrder;           ///< Finished occurrences with a number of at least `finishedOccurrences`, in ascending order.
    std::set<LostRun> lostRuns;                    ///< Their ends still count as attempts, and each counts once, also after a change of owner.
    std::optional<WallTime> endedAt;

    friend bool operator==(const WorkflowProgress &, const WorkflowProgress &) = default;
};

/// Progress of an occurrence of which no task has been started.
OccurrenceProgress newOccurrence(const WorkflowSpecification &specification);

bool isFinished(const StepProgress &step);
bool isFinished(const OccurrenceProgress &occurrence);

/// True if the occurrence has finished.
bool isOccurrenceFinished(const WorkflowProgress &progress, int occurrence);

/// Returns the progress with the occurrence marked as finished and its details removed.
WorkflowProgress withFinishedOccurrence(WorkflowProgress progress, int occurrence);

/// True if all steps on which the step depends have finished in the occurrence.
bool isStepReady(const WorkflowSpecification &specification, const OccurrenceProgress &occurrence, int step);

/// Returns the step's progress, or null if its occurrence has not begun or has finished, or if the numbers are out of range.
const StepProgress *findStepProgress(const WorkflowProgress &progress, const StepId &step);

/// Returns the task's progress, or null if its occurrence has not begun or has finished, or if the numbers are out of range.
const TaskProgress *findTask(const WorkflowProgress &progress, const TaskId &task);

}
