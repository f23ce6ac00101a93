#pragma once

#include "identifier.h"
#include "queueconfiguration.h"
#include "resources.h"
#include "time.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

constexpr std::size_t maxWorkflowSteps = 64;

/// One step of a workflow, which consists of equal tasks.
struct StepSpecification
{
    int taskCount = 1;
    Resources perTask;
    Duration estimate{0};   ///< The caller's estimate of the run time of one task.
    std::vector<int> after; ///< Numbers of the earlier steps on which this step depends: all their tasks must have finished first.
    bool isCheckpointable = false;
    bool isGang = false;        ///< True if the tasks run only together.
    bool needsOneRack = false;  ///< True if tasks on more than one rack run slower by the service's remote factor.
    std::string requiredLabel;  ///< Label that the target must have; empty if none is required.
    RackId dataRack;            ///< Rack that holds the data; tasks on other racks run slower by the remote factor. Empty if no rack is preferred.
    int maxPerTarget = 0;       ///< Maximum number of tasks of one occurrence on one target; zero means no limit.
    bool isSpeculative = false; ///< True if several copies of a task may run at the same time.
    bool isLasting = false;     ///< True if the tasks run until the workflow is cancelled.
    std::string image;          ///< Image of the tasks; tasks with equal images are expected to behave alike.
    Duration latencyTarget{0};  ///< Latency target of a lasting task that serves users; zero if it serves none.
    bool isFiller = false;      ///< True if no processors are reserved for the tasks; they use what other tasks leave idle.
    int maxUnavailable = 0;     ///< Maximum number of tasks of a lasting step that the scheduler may make unavailable at a time.

    friend bool operator==(const StepSpecification &, const StepSpecification &) = default;
};

/// Resources that a task of the step reserves on its target. No processors are reserved for fillers.
Resources reservedResources(const StepSpecification &step);

/// Times at which the steps of a workflow run. A count of zero means that they run once, without delay.
struct OccurrenceSchedule
{
    int count = 0;
    WallTime firstDue;
    Duration interval{0};

    friend bool operator==(const OccurrenceSchedule &, const OccurrenceSchedule &) = default;
};

/// Request of a caller: steps that depend on one another, and a payload that is passed to the targets unchanged.
struct WorkflowSpecification
{
    std::string payload;
    std::vector<StepSpecification> steps;
    OccurrenceSchedule schedule;

    friend bool operator==(const WorkflowSpecification &, const WorkflowSpecification &) = default;
};

/// Durable record of an accepted workflow. It never changes after the acceptance.
struct Workflow
{
    RequestId id;
    Queue queue; ///< The queue as it was at the acceptance; used if the operators have removed the queue since.
    OrganisationId organisation;
    WallTime acceptedAt;
    WorkflowSpecification specification;

    friend bool operator==(const Workflow &, const Workflow &) = default;
};

/// Identifies one step of one occurrence of a workflow.
struct StepId
{
    RequestId workflow;
    int occurrence = 0;
    int step = 0;

    friend auto operator<=>(const StepId &, const StepId &) = default;
};

/// Identifies one task of a workflow.
struct TaskId
{
    StepId step;
    int index = 0;

    friend auto operator<=>(const TaskId &, const TaskId &) = default;
};

/// Text of the form "5c0e7a21d94b36f8.0.1.17": workflow, occurrence, step and task.
std::string toString(const TaskId &task);
std::string toString(const StepId &step);
std::optional<TaskId> taskIdFromText(std::string_view text);

/// Number of occurrences in the schedule; at least one.
int occurrenceCount(const OccurrenceSchedule &schedule);

/// Time at which the occurrence may start. Workflows without a schedule may start when they are accepted.
WallTime dueTime(const Workflow &workflow, int occurrence);

/// True if any step runs until the workflow is cancelled.
bool isLasting(const WorkflowSpecification &specification);

/// Returns the first error that makes the specification invalid, or nothing. Errors are, for example, a lack of steps, counts below one, and steps that
/// depend on themselves or on later steps.
std::optional<std::string> findSpecificationError(const WorkflowSpecification &specification);

/// Length of the critical path through the steps, according to their estimates.
Duration criticalPathLength(const WorkflowSpecification &specification);

}
