#pragma once

#include "core/queueconfiguration.h"
#include "core/workflowprogress.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// A target as a placement pass sees it.
struct PlacementTarget
{
    TargetId id;
    ServiceId service;
    RackId rack;
    std::vector<std::string> labels;
    Resources capacity;
    Resources free;           ///< Room that nothing holds now.
    Resources freeAfterStops; ///< `free` and what is being stopped.
    bool acceptsWork = false; ///< May be given work now.
    bool isSuspect = false;   ///< Failed runs there since it last finished one.

    friend bool operator==(const PlacementTarget &, const PlacementTarget &) = default;
};

/// Targets of which the step's adviser has spoken. The others have to be asked about before the step may run there.
struct StepPermission
{
    std::set<TargetId> allowed; ///< With a ticket that lasts until a start has arrived.
    std::set<TargetId> expired; ///< Allowed too, but without a valid ticket.
    std::set<TargetId> refused;

    friend bool operator==(const StepPermission &, const StepPermission &) = default;
};

/// Tasks of one step that may start: a whole gang, or every waiting task of a step that is none.
struct WaitingStep
{
    StepId step;
    StepSpecification specification;
    ServiceId service;
    OrganisationId organisation;
    int priority = 0;
    bool isGuaranteed = false; ///< Most urgent work within its organisation's guarantee; gets back what others borrow.
    std::vector<int> tasks;
    bool hasFailed = false;                ///< A run of it has failed; it must not fail on a bad target again.
    Duration waited{0};                    ///< Since it could first have started.
    Duration remaining{0};                 ///< Estimated run time that is left.
    Duration slack{0};                     ///< Until it must start to meet its objective; negative: it is late.
    std::map<TargetId, int> tasksOnTarget; ///< Tasks of the step that stand on a target already.
    bool needsExplanation = false;         ///< The plan says why it does not start.
    std::optional<StepPermission> advice;  ///< Only for steps of a queue with an adviser.

    friend bool operator==(const WaitingStep &, const WaitingStep &) = default;
};

/// Something at work that may be stopped to make room: a whole gang, or one task.
struct RunningUnit
{
    StepId step;
    int priority = 0;
    bool isGuaranteed = false; ///< Most urgent work within its organisation's guarantee; never stopped for other work.
    OrganisationId organisation;
    Resources perTask;
    std::map<int, TargetId> tasks; ///< Place of each task.
    double lostWork = 0;           ///< Core-seconds that a stop throws away.

    friend bool operator==(const RunningUnit &, const RunningUnit &) = default;
};

/// Tasks on each target.
using TaskPlaces = std::map<TargetId, int>;

struct PlacementInput
{
    std::vector<PlacementTarget> targets;
    std::vector<WaitingStep> waiting;
    std::vector<RunningUnit> running;
    std::map<StepId, TaskPlaces> held;       ///< Room that earlier passes keep for urgent steps until what stands there has been stopped.
    double remoteFactor = 3;                 ///< How much longer a gang on several racks takes, or a task away from its data.
    Duration maxLocalityWait{1'000};         ///< How long urgent work waits for its rack or its data at most.
    bool mayPreempt = true;                  ///< Work may be stopped for urgent steps; false while much of the fleet has not been looked at.
    std::map<ServiceId, int> urgentReserves; ///< Accelerators of a service that other than the most urgent work leaves free.

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

/// Why a step does not start now.
enum class WaitReason
{
    NoRoom,       ///< The targets that take work have no room for it.
    Reserve,      ///< There is room, but it is kept for urgent work.
    OneRack,      ///< There is room, but in no single rack.
    DataRackFull, ///< There is room, but not in the rack of its data.
    NotAdvised,   ///< There is room, but not on the targets that its adviser has allowed so far.
    Preempting,   ///< Other work is being stopped for it.
};

std::string_view name(WaitReason reason);

/// What a step that does not start was weighed against.
struct WaitExplanation
{
    WaitReason reason = WaitReason::NoRoom;
    int freeAccelerators = 0; ///< On all targets that it may use.
    int kept = 0;             ///< Of these, for urgent work.

    friend bool operator==(const WaitExplanation &, const WaitExplanation &) = default;
};

struct PlacementPlan
{
    std::vector<PlannedStart> starts;
    std::vector<PreemptedTask> stops;
    std::map<StepId, TaskPlaces> held;       ///< For the next pass.
    std::map<StepId, WaitExplanation> waits; ///< Of steps that want a reason.

    friend bool operator==(const PlacementPlan &, const PlacementPlan &) = default;
};

/// Sorts steps into the order in which they are placed: urgent steps first, those within a guarantee before the others; within a priority those that can still end in
/// time, by the time that is left until they must start. Work that is late already has lost most of its value to its caller, and would make others late too.
void sortWaiting(std::vector<WaitingStep> &waiting);

/// Decides which waiting steps start where now, and what is stopped for urgent ones. Gangs start whole or not at all.
PlacementPlan planPlacements(PlacementInput input);

}
