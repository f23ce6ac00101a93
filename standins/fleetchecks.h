#pragma once

#include "fleetmodel.h"

namespace sequoiastand
{

/// Until a lasting task of the model is at work.
constexpr Duration modelStartup{300};

/// The step's specification, or null if nobody has submitted it.
const StepSpecification *stepOf(const FleetModel &fleet, const StepId &step);

/// Under which task a failed run counts: tasks count by themselves, gangs under their first task.
TaskId countedTask(const FleetModel &fleet, const TaskId &task);

// Each of these adds an objection to the model where the platform's rule is broken.

/// A start while the task runs elsewhere, has finished, waits for another step, lacks its label, or has no tries left.
void checkStart(FleetModel &fleet, const ModelTarget &target, const TaskId &task, const StepSpecification &step);

/// More on the target than it has room for.
void checkRoom(FleetModel &fleet, const ModelTarget &target, const TaskId &task);

/// A stop of a task at work while as many others of its step are away as the step allows.
void checkAvailability(FleetModel &fleet, const TaskId &task, TimePoint now);

/// Serving tasks that fillers keep over their target for too long.
void checkHarm(FleetModel &fleet, ModelTarget &target, TimePoint now);

/// A task that nobody has submitted.
void recordUnknownTask(FleetModel &fleet, const TaskId &task);

/// Takes note of an end that the owner has acknowledged. A finish that was followed by another start must not be, unless the target lapsed in between.
void recordAcknowledgedEnd(FleetModel &fleet, const ModelTarget &target, const EndedRun &ended, TimePoint now);

}
