#pragma once

#include "advisermodel.h"
#include "core/targetregistration.h"
#include "core/time.h"
#include "core/workflow.h"
#include "workflow/targetorder.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

/// How the tasks of a workflow behave.
struct TaskBehaviour
{
    Duration work{1'000};       ///< Of each task on a sound target.
    std::set<int> failingTasks; ///< Indexes of tasks that always fail at the end of their work.
    Duration tail{0};           ///< Of a serving task's response times when nothing disturbs it.
    Duration disturbance{0};    ///< What one filler at full speed adds to the tails on its target.

    friend bool operator==(const TaskBehaviour &, const TaskBehaviour &) = default;
};

/// A run at work on a target of the model.
struct ModelRun
{
    int run = 0;
    TimePoint startedAt;
    Duration done{0}; ///< Of its work, until `countedAt`.
    TimePoint countedAt;
    bool isGangComplete = true; ///< All members of its gang are there; runs that are no gang's are always.
    std::optional<TimePoint> stopsAt;
    std::optional<TimePoint> gangFailureAt; ///< Another member of its gang has ended.
    Revision token = 0;
    int pace = 100;                     ///< Percent of its full speed.
    std::optional<TimePoint> overSince; ///< When its tail rose over its target with fillers as the cause.

    friend bool operator==(const ModelRun &, const ModelRun &) = default;
};

/// How a target misbehaves.
struct ModelTargetFaults
{
    double slowness = 1; ///< Work takes this many times as long.
    bool failsEverything = false;
    bool isStalled = false; ///< Its runs make no progress.

    friend bool operator==(const ModelTargetFaults &, const ModelTargetFaults &) = default;
};

struct ModelTarget
{
    TargetRegistration registration;
    TimePoint bornAt;
    Revision fence = 0;
    TimePoint heldUntil;
    TimePoint lapsedAt; ///< When nothing held it last.
    std::map<TaskId, ModelRun> running;
    std::deque<EndedRun> ended;
    long long ends = 0;
    std::map<long long, TimePoint> endedAt; ///< Times of the ends that are not forgotten.
    std::map<TaskId, int> highestEnded;     ///< Runs up to this number are refused.
    ModelTargetFaults faults;

    friend bool operator==(const ModelTarget &, const ModelTarget &) = default;
};

/// Targets that follow the platform's rules for runs, on a time that the caller gives. Notes what an outside observer would object to.
struct FleetModel
{
    Duration holdMax{10'000};
    Duration stopGrace{200};
    Duration gangWait{3'000};
    Duration harmBound{4'000};
    Duration gangBreak{200}; ///< From the end of one member until the others end as broken, unless they have been told to stop before.
    Duration checkpointPeriod{500};
    std::map<TargetId, ModelTarget> targets;
    std::map<RequestId, Workflow> workflows;
    std::map<RequestId, TaskBehaviour> behaviours;
    AdviserModel adviser;                             ///< Of queues with an adviser; their starts need a ticket.
    std::map<TaskId, TimePoint> finished;             ///< When a run of the task finished first.
    std::map<TaskId, TimePoint> acknowledgedFinishes; ///< When a finish of the task was acknowledged, if the target had been held until then.
    std::map<TaskId, TimePoint> lastStart;
    std::map<TaskId, int> failures;                        ///< Acknowledged failed runs of a task; of a gang under its first task.
    std::map<TaskId, std::map<int, TimePoint>> failedRuns; ///< What `failures` counts: when each run had failed.
    std::map<TaskId, std::set<int>>
        failedEnds; ///< Runs that ended as failed, counted like `failures`, also those that a crash took before they were acknowledged.
    std::map<RequestId, int> starts;
    std::vector<std::string> violations;
    TimePoint now; ///< Of the last order.
};

void addTarget(FleetModel &fleet, const TargetRegistration &registration, TimePoint now);

/// Ends everything on the target as a crash does and begins a new life.
void restartTarget(FleetModel &fleet, const TargetId &target, TimePoint now);

/// Everything on the target ends; the target answers nothing any more.
void removeTarget(FleetModel &fleet, const TargetId &target);

/// Carries out an order. A hold answers at once; whoever drives the model lets it wait.
TargetOrderReply carryOut(FleetModel &fleet, const TargetOrder &order, TimePoint now);

/// Lets work go on, and runs end, until now.
void advance(FleetModel &fleet, TimePoint now);

/// What is at work on the target takes.
Resources usedOn(const FleetModel &fleet, const ModelTarget &target);

/// Tail of a serving task's response times on the target now.
Duration tailOf(const FleetModel &fleet, const ModelTarget &target, const TaskId &task);

/// True if the workflow has something at work anywhere.
bool isAtWork(const FleetModel &fleet, const RequestId &workflow);

}
