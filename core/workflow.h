#pragma once

#include "identifier.h"
#include "queueconfiguration.h"
#include "resources.h"
#include "time.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// One step of a workflow: tasks that are alike.
struct StepSpecification
{
    int taskCount = 1;
    Resources perTask;
    Duration estimate{0};   ///< The caller's rough guess of one task's run time.
    std::vector<int> after; ///< Numbers of earlier steps whose tasks must all have finished first.
    bool isCheckpointable = false;
    bool isGang = false;        ///< The tasks run only together.
    bool needsOneRack = false;  ///< Tasks on more than one rack run slower by the service's remote factor.
    std::string requiredLabel;  ///< Label that the target must have; empty: none.
    RackId dataRack;            ///< Rack that holds the data; tasks elsewhere run slower by the remote factor. Empty: none.
    int maxPerTarget = 0;       ///< Most tasks of one occurrence on one target; zero: no limit.
    bool isSpeculative = false; ///< Copies of a task may run side by side.
    bool isLasting = false;     ///< The tasks run until the workflow is cancelled.
    std::string image;          ///< Tasks of one image behave alike.
    Duration latencyTarget{0};  ///< Of a lasting task that serves users of its own; zero: it serves none.
    bool isFiller = false;      ///< The processors are not reserved; the tasks use what others leave.
    int maxUnavailable = 0;     ///< Tasks of a lasting step that may be away at a time because of the scheduler.

    friend bool operator==(const StepSpecification &, const StepSpecification &) = default;
};

/// What a task of the step takes of its target's capacity; the processors of fillers are not counted.
Resources reservedResources(const StepSpecification &step);

/// Times at which the steps of a workflow run again; a count of zero means once, at once.
struct OccurrenceSchedule
{
    int count = 0;
    WallTime firstDue;
    Duration interval{0};

    friend bool operator==(const OccurrenceSchedule &, const OccurrenceSchedule &) = default;
};

/// What a caller asks for: steps that follow one another, with a payload that targets get unchanged.
struct WorkflowSpecification
{
    std::string payload;
    std::vector<StepSpecification> steps;
    OccurrenceSchedule schedule;

    friend bool operator==(const WorkflowSpecification &, const WorkflowSpecification &) = default;
};

/// Durable record of an accepted workflow; never changed after its acceptance.
struct Workflow
{
    RequestId id;
    Queue queue; ///< As it was at the acceptance; counts once the operators have removed the queue.
    OrganisationId organisation;
    WallTime acceptedAt;
    WorkflowSpecification specification;

    friend bool operator==(const Workflow &, const Workflow &) = default;
};

/// Names one step of one occurrence of a workflow.
struct StepId
{
    RequestId workflow;
    int occurrence = 0;
    int step = 0;

    friend auto operator<=>(const StepId &, const StepId &) = default;
};

/// Names one task of a workflow.
struct TaskId
{
    StepId step;
    int index = 0;

    friend auto operator<=>(const TaskId &, const TaskId &) = default;
};

/// "5c0e7a21d94b36f8.0.1.17": workflow, occurrence, step, task.
std::string toString(const TaskId &task);
std::string toString(const StepId &step);
std::optional<TaskId> taskIdFromText(std::string_view text);

/// Occurrences that the schedule holds; at least one.
int occurrenceCount(const OccurrenceSchedule &schedule);

/// When the occurrence may start; workflows without a schedule may start when they are accepted.
WallTime dueTime(const Workflow &workflow, int occurrence);

/// True if any step runs until the workflow is cancelled.
bool isLasting(const WorkflowSpecification &specification);

/// The first fault that makes the specification unusable, or nothing: no steps, counts below one, steps that wait for later ones or for themselves.
std::optional<std::string> findSpecificationError(const WorkflowSpecification &specification);

/// The longest chain of estimates through the steps.
Duration criticalPathLength(const WorkflowSpecification &specification);

}
