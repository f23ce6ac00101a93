#pragma once

#include "core/queueconfiguration.h"
#include "core/workflowprogress.h"
#include "interference.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// The state of a target at the start of a placement pass.
struct PlacementTarget
{
    TargetId id;
    ServiceId service;
    RackId rack;
    std::vector<std::string> labels;
    Resources capacity;
    Resources free;              ///< Resources that nothing occupies now.
    Resources freeAfterStops;    ///< `free` plus the resources of runs that are being stopped.
    bool isInService = false;    ///< The target is registered, does not drain, and its zone is not evacuated.
    bool acceptsWork = false;    ///< The target may be given new work now.
    double runTimeFactor = 1;    ///< Run time on the target relative to the median of its service; larger on slower targets.
    std::vector<TaskKind> kinds; ///< Distinct kinds of the tasks that run on the target; filled only while interference is known.
    bool isSuspect = false;      ///< Enough runs have failed on the target, with none finished since, that it may be faulty.

    friend bool operator==(const PlacementTarget &, const PlacementTarget &) = default;
};

/// Targets on which the step's adviser has decided. The adviser has to be asked about any other target before the step may run there.
struct StepPermission
{
    std::set<TargetId> allowed; ///< Targets with a ticket that stays valid until a start order has arrived.
    std::set<TargetId> expired; ///< Targets that are allowed, but without a valid ticket.
    std::set<TargetId> refused;

    friend bool operator==(const StepPermission &, const StepPermission &) = default;
};

/// Tasks of one step that may start: a whole gang, or all waiting tasks of a step that is not a gang.
struct WaitingStep
{
    StepId step;
    StepSpecification specification;
    ServiceId service;
    OrganisationId organisation;
    int priority = 0;
    bool isGuaranteed = false; ///< Work of the most urgent priority within its organisation's guarantee; it may reclaim resources that others have borrowed.
    std::vector<int> tasks;
    TaskKind kind;
    int unreservedMilliCpu = 0;            ///< Processors that each task of a filler uses without reserving them; they count against the organisation's cap.
    bool isBeyondShare = false;            ///< The organisation holds its fair share of the service's accelerators or more.
    bool avoidsSuspects = false;           ///< A run of the step has failed, so the step has few attempts left and uses suspect targets only in need.
    Duration waited{0};                    ///< Time since the step could first have started, or since its latest run ended.
    Duration remaining{0};                 ///< Estimated remaining run time.
    Duration slack{0};                     ///< Time until the step must start to meet its objective; negative if it is late.
    std::map<TargetId, int> tasksOnTarget; ///< Number of the step's tasks that already have a place on each target.
    bool needsExplanation = false;         ///< The plan must explain why the step does not start.
    std::optional<StepPermission> advice;  ///< Set only for steps of a queue with an adviser.

    friend bool operator==(const WaitingStep &, const WaitingStep &) = default;
};

/// Running work that is preempted as one unit: a whole gang, or one task.
struct RunningUnit
{
    StepId step;
    int priority = 0;
    bool isGuaranteed = false; ///< Work of the most urgent priority within its organisation's guarantee; it is never preempted.
    OrganisationId organisation;
    Resources perTask;
    int unreservedMilliCpu = 0;           ///< Processors that each task of a filler uses without reserving them; they count against the organisation's cap.
    std::map<int, TargetId> tasks;        ///< Target of each task, by task index.
    double lostWork = 0;                  ///< Core-seconds of work that a stop discards.
    Duration remaining = Duration::max(); ///< Estimated time until the unit ends by itself, from its progress; the maximum if that is unknown.

    friend bool operator==(const RunningUnit &, const RunningUnit &) = default;
};

/// Number of tasks on each target.
using TaskPlaces = std::map<TargetId, int>;

struct PlacementInput
{
    std::vector<PlacementTarget> targets;
    std::vector<WaitingStep> waiting;
    std::map<StepId, TaskPlaces> held; ///< Room that earlier passes hold for urgent steps until the preempted work there has stopped.
    Duration stopTime{500};            ///< Time from the decision to stop a run until its room is known to be free.
    double remoteFactor = 3;           ///< Factor by which run time grows for a gang on several racks, or for a task outside the rack of its data.
    Duration maxLocalityWait{1'000};   ///< Longest time that urgent work waits for a single rack or for the rack of its data.
    Duration maxAvoidableWait{1'500};  ///< Longest time that a step waits although there is room for it twice over.
    bool mayPreempt = true;            ///< Work may be preempted for urgent steps; false while the state of much of the fleet is unknown.
    std::map<OrganisationId, ResourceCap> organisationRoom;           ///< What each organisation may start within its cap; a missing organisation has no limit.
    std::map<OrganisationId, ResourceCap> organisationRoomAfterStops; ///< `organisationRoom` plus what the organisation's runs use that are being stopped.
    std::set<KindPair> interference;                                  ///< Kinds of tasks that slow each other down on one target.
    std::map<ServiceId, int> urgentReserves;                          ///< Accelerators of each service that work below the most urgent priority leaves free.

    friend bool operator==(const PlacementInput &, const PlacementInput &) = default;
};

struct PlannedStart
{
    TaskId task;
    TargetId target;

    friend bool operator==(const PlannedStart &, const PlannedStart &) = default;
};

struct PreemptedTask
{
    TaskId task;
    StepId inFavourOf;

    friend bool operator==(const PreemptedTask &, const PreemptedTask &) = default;
};

/// Reason why a step does not start now.
enum class WaitReason
{
    NoRoom,          ///< The targets that accept work have no room for the step.
    Reserve,         ///< There is room, but it is reserved for urgent work.
    OneRack,         ///< There is room, but not in any single rack.
    DataRackFull,    ///< There is room, but not in the rack of the step's data.
    Suspects,        ///< There is room, but only with suspect targets, which the step avoids after a failed run.
    NotAdvised,      ///< There is room, but not on the targets that the step's adviser has allowed so far.
    Preempting,      ///< Other work is being stopped to make room for the step.
    OrganisationCap, ///< The organisation has too much running to start the step within its cap.
};

std::string_view name(WaitReason reason);

/// Explains to operators why a step does not start.
struct WaitExplanation
{
    WaitReason reason = WaitReason::NoRoom;
    int freeAccelerators = 0; ///< Free accelerators on all targets that the step may use.
    int kept = 0;             ///< Accelerators of the step's service that are reserved for urgent work.
    std::string detail;       ///< What the organisation may still start; empty unless the step waits for its cap.

    friend bool operator==(const WaitExplanation &, const WaitExplanation &) = default;
};

struct PlacementPlan
{
    std::vector<PlannedStart> starts;
    std::vector<PreemptedTask> stops;
    std::map<StepId, TaskPlaces> held;       ///< Room that the next pass has to hold for urgent steps.
    std::map<StepId, WaitExplanation> waits; ///< Explanations for the steps that need one.
    std::set<StepId> capWaits;               ///< Steps of which tasks wait because their organisation has reached its cap.
    std::set<TaskId> capStops;               ///< The first task of each unit in `stops` that is stopped to keep its own organisation within its cap.

    friend bool operator==(const PlacementPlan &, const PlacementPlan &) = default;
};

/// Sorts steps into placement order: by priority, then guaranteed steps before others, then steps that can still meet their objective before late ones, then by
/// the time left until they must start. Late work comes last because it has lost most of its value to its caller, and placing it first would make other work
/// late too.
void sortWaiting(std::vector<WaitingStep> &waiting);

/// Returns the running units that may be preempted.
using RunningUnitsSource = std::function<std::vector<RunningUnit>()>;

/// Decides which waiting steps start now and on which targets, and which work is preempted for urgent steps. A gang starts as a whole or not at all. The running
/// units are read only if an urgent step finds no room, because most passes need none of them.
PlacementPlan planPlacements(PlacementInput input, const RunningUnitsSource &findRunning);

}
