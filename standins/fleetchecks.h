#pragma once

#include "fleetmodel.h"

namespace sequoiastand
{

/// Time from the start of a lasting task until it counts as available.
constexpr Duration modelStartup{300};

/// The step's specification, or null if the step was never submitted.
const StepSpecification *stepOf(const FleetModel &fleet, const StepId &step);

/// True if the task belongs to a step whose tasks last until the workflow is cancelled.
bool isLasting(const FleetModel &fleet, const TaskId &task);

/// The task under which a failed run is counted: the first task of a gang, otherwise the task itself.
TaskId countedTask(const FleetModel &fleet, const TaskId &task);

// Each of the following functions adds a violation to the model if a rule of the platform is broken.

/// Checks that a task that starts isn't running, hasn't finished, waits for no other step, has its label on the target and has attempts left.
void checkStart(FleetModel &fleet, const ModelTarget &target, const TaskId &task, const StepSpecification &step);

/// Checks that the tasks on the target fit into its capacity.
void checkRoom(FleetModel &fleet, const ModelTarget &target, const TaskId &task);

/// Checks that the start keeps its organisation within the highest of its caps that may be in force. The platform's rule allows a tenth and one task more.
void checkQuota(FleetModel &fleet, const TaskId &task, TimePoint now);

/// Checks that stopping the task keeps the unavailable tasks of its step within the step's limit.
void checkAvailability(FleetModel &fleet, const TaskId &task, TimePoint now);

/// Checks that fillers don't keep a serving task above its latency target for longer than the harm bound.
void checkHarm(FleetModel &fleet, ModelTarget &target, TimePoint now);

/// Records an order for a task that was never submitted.
void recordUnknownTask(FleetModel &fleet, const TaskId &task);

/// Records the end of a run that the owner has acknowledged. Acknowledging a finish after another start is a violation, unless the target lapsed in between.
void recordAcknowledgedEnd(FleetModel &fleet, const ModelTarget &target, const EndedRun &ended, TimePoint now);

}
