#pragma once

#include "targetmodel.h"

namespace sequoiastand
{

/// Starts a reserved task. Its payload may name the true run time, outcome and result: {"runMs": 500, "outcome": "fail", "result": "..."}.
void startTask(ModelTask &task, const JobSpecification &specification, Duration checkpointedWork, bool failsAtOnce, TimePoint now);

/// Stops a running task, at once or after a checkpoint of that duration if the job allows one.
void stopTask(ModelTask &task, Duration checkpointDuration, TimePoint now);

void throttleTask(ModelTask &task, int percent, TimePoint now);

/// Moves a running task on by a pause in which it did nothing.
void resumeTask(ModelTask &task, Duration pause);

/// Ends the task if its work or its checkpoint is done by then.
void advanceTask(ModelTask &task, TimePoint now);

/// The task as the worker reports it, with an end that is still hidden shown as running.
ReportedTask reportOf(const ModelTask &task);

std::optional<TimePoint> nextChange(const ModelTask &task, Duration lag);

}
