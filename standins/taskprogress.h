#pragma once

#include "targetmodel.h"

namespace sequoiastand
{

/// Starts a reserved task. Its payload may set the actual run time, outcome and result: {"runMs": 500, "outcome": "fail", "result": "..."}.
void startTask(ModelTask &task, const JobSpecification &specification, Duration checkpointedWork, bool failsAtOnce, TimePoint now);

/// Stops a running task, at once or after a checkpoint of the given duration if the job allows one.
void stopTask(ModelTask &task, Duration checkpointDuration, TimePoint now);

void throttleTask(ModelTask &task, int percent, TimePoint now);

/// Resumes a running task after a pause during which it made no progress.
void resumeTask(ModelTask &task, Duration pause);

/// Ends the task if its work or its checkpoint is complete by the given time.
void advanceTask(ModelTask &task, TimePoint now);

/// The task as the worker reports it; a task whose end is still unreported appears as running.
ReportedTask reportOf(const ModelTask &task);

std::optional<TimePoint> nextChange(const ModelTask &task, Duration lag);

}
