#pragma once

#include "target.h"
#include "workflow.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// What callers are told of a workflow.
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

/// Which life of a target: a restart under the same id is another life.
struct TargetInstance
{
    TargetId target;
    long long startTimeMs = 0; ///< Unix time of the start in milliseconds, as the target reports it.

    friend auto operator<=>(const TargetInstance &, const TargetInstance &) = default;
};

/// How far one task is.
struct TaskProgress
{
    bool isFinished = false;
    int lastRun = 0;                     ///< Number of the newest run; zero: never tried.
    int failedRuns = 0;                  ///< Runs that ended as failed; only these count against the queue's attempts.
    std::string checkpoint;              ///< From which the next run resumes; empty: from the beginning.
    std::optional<TargetInstance> place; ///< Where `lastRun` may be at work; none: nowhere.

    friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

using StepProgress = std::vector<TaskProgress>;

/// How far one occurrence is, step by step.
struct OccurrenceProgress
{
    std::vector<StepProgress> steps;

    friend bool operator==(const OccurrenceProgress &, const OccurrenceProgress &) = default;
};

/// Durable state of a workflow, written by the owner of the domain.
struct WorkflowProgress
{
    WorkflowState state = WorkflowState::Queued;
    OrganisationId organisation;                   ///< Whose workflow it is, so that a query needs no other record; empty on an anonymous queue.
    std::map<int, OccurrenceProgress> occurrences; ///< Begun and not finished.
    int finishedOccurrences = 0;                   ///< All occurrences below this number have finished.
    std::vector<int> finishedOutOfOrder;           ///< Later occurrences that have finished too, in rising order.
    std::optional<WallTime> endedAt;

    friend bool operator==(const WorkflowProgress &, const WorkflowProgress &) = default;
};

/// Progress of an occurrence of which no task has been tried.
OccurrenceProgress newOccurrence(const WorkflowSpecification &specification);

bool isFinished(const StepProgress &step);
bool isFinished(const OccurrenceProgress &occurrence);

/// True if the occurrence has finished.
bool isOccurrenceFinished(const WorkflowProgress &progress, int occurrence);

/// The progress with the occurrence noted as finished and its details dropped.
WorkflowProgress withFinishedOccurrence(WorkflowProgress progress, int occurrence);

/// True if the steps before it in the occurrence have all finished.
bool isStepReady(const WorkflowSpecification &specification, const OccurrenceProgress &occurrence, int step);

/// The task's progress, or nothing if its occurrence has not begun or has finished, or the numbers are out of range.
const TaskProgress *findTask(const WorkflowProgress &progress, const TaskId &task);

}
