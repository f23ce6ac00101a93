#pragma once

#include "advisermodel.h"
#include "core/queueconfiguration.h"
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
    Duration work{1'000};             ///< Work of each task, as run time on a target without faults.
    std::set<int> failingTasks;       ///< Indexes of the tasks that always fail at the end of their work.
    Duration tail{0};                 ///< Tail latency of a serving task without fillers beside it.
    Duration disturbance{0};          ///< Increase of the tail latencies on a target by one filler at full speed.
    std::optional<RunEnd> lastingEnd; ///< How runs of lasting tasks end at the end of their work; without a value they do not end.

    friend bool operator==(const TaskBehaviour &, const TaskBehaviour &) = default;
};

/// A run in progress on a target of the model.
struct ModelRun
{
    int run = 0;
    TimePoint startedAt;
    Duration done{0}; ///< Work done up to `countedAt`.
    TimePoint countedAt;
    bool isGangComplete = true; ///< True once all members of the run's gang have started; always true for a run outside a gang.
    std::optional<TimePoint> stopsAt;
    std::optional<TimePoint> gangFailureAt; ///< When the run ends as broken, because another member of its gang has ended.
    Revision token = 0;
    int pace = 100;                            ///< Speed in percent of full speed.
    std::optional<TimePoint> aboveTargetSince; ///< Since when fillers have kept the run's tail latency above its latency target.

    friend bool operator==(const ModelRun &, const ModelRun &) = default;
};

/// Faults of a target.
struct ModelTargetFaults
{
    double slowness = 1; ///< Factor by which work takes longer.
    bool failsEverything = false;
    bool isStalled = false; ///< Runs on the target make no progress.

    friend bool operator==(const ModelTargetFaults &, const ModelTargetFaults &) = default;
};

struct ModelTarget
{
    TargetRegistration registration;
    TimePoint instanceStartedAt;
    Revision fence = 0;
    TimePoint heldUntil;
    TimePoint lapsedAt; ///< The last time at which the hold on the target had lapsed.
    std::map<TaskId, ModelRun> running;
    std::deque<EndedRun> ended;
    long long ends = 0;
    std::map<long long, TimePoint> endedAt; ///< End times of runs that are still listed, by number of the end.
    std::map<TaskId, int> highestEnded;     ///< Highest ended run of each task; starts of runs up to it are refused.
    ModelTargetFaults faults;

    friend bool operator==(const ModelTarget &, const ModelTarget &) = default;
};

/// A cap of an organisation in a configuration that may be in force.
struct ModelCap
{
    ResourceCap cap;
    std::optional<TimePoint> until; ///< Time from which a newer configuration is in force everywhere; no value for the newest one.

    friend bool operator==(const ModelCap &, const ModelCap &) = default;
};

/// Model of targets that follow the platform's rules for runs, on virtual time. It records violations of the rules by the hosts.
struct FleetModel
{
    Duration holdMax{10'000};
    Duration stopGrace{200};
    Duration gangWait{3'000};
    Duration harmBound{4'000};
    Duration gangBreak{200}; ///< Time from the end of one member until the others end as broken, unless they are stopped before.
    Duration checkpointPeriod{500};
    std::size_t maxListedEnds = 500; ///< Largest number of ends in one answer to a hold; the others are listed once these have been acknowledged.
    std::map<TargetId, ModelTarget> targets;
    std::map<RequestId, Workflow> workflows;
    std::map<RequestId, TaskBehaviour> behaviours;
    std::map<OrganisationId, std::vector<ModelCap>> caps; ///< Caps by organisation; one without a row has no limit.
    AdviserModel adviser;                                 ///< The adviser of queues whose starts need a ticket.
    std::map<TaskId, TimePoint> finished;                 ///< When a run of the task first finished.
    std::map<TaskId, TimePoint>
        acknowledgedFinishes; ///< When a finish of the task was acknowledged, if the hold on the target had not lapsed since the finish.
    std::map<TaskId, TimePoint> lastStart;
    std::map<TaskId, int> failures;                        ///< Number of acknowledged failed runs of a task; a gang's runs count under its first task.
    std::map<TaskId, std::map<int, TimePoint>> failedRuns; ///< Time of failure of each run counted in `failures`.
    std::map<TaskId, std::set<int>>
        failedEnds; ///< Numbers of a task's failed runs, acknowledged or lost in a crash; a gang's runs are listed under its first task.
    std::map<RequestId, int> starts;
    std::vector<std::string> violations;
    TimePoint now; ///< Time of the last order.
};

void addTarget(FleetModel &fleet, const TargetRegistration &registration, TimePoint now);

/// Ends all runs on the target as a crash does and starts a new instance.
void restartTarget(FleetModel &fleet, const TargetId &target, TimePoint now);

/// Removes the target with all its runs; it answers no further orders.
void removeTarget(FleetModel &fleet, const TargetId &target);

/// Executes an order. The model answers a hold at once; its caller implements the wait.
TargetOrderReply carryOut(FleetModel &fleet, const TargetOrder &order, TimePoint now);

/// Advances the runs to the given time and ends those that are due.
void advance(FleetModel &fleet, TimePoint now);

/// Sets the organisation's cap. The former one may be in force until the given time.
void setCap(FleetModel &fleet, const OrganisationId &organisation, const ResourceCap &cap, TimePoint formerUntil);

/// Resources used by the runs on the target.
Resources usedOn(const FleetModel &fleet, const ModelTarget &target);

/// Current tail latency of a serving task on the target.
Duration tailOf(const FleetModel &fleet, const ModelTarget &target, const TaskId &task);

/// True if a task of the workflow is running on any target.
bool isAtWork(const FleetModel &fleet, const RequestId &workflow);

}
