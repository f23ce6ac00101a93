#pragma once

#include "workflowboard.h"

namespace sequoiastand
{

/// Estimated time until the run ends by itself, from the progress that its target has listed; the maximum duration if that shows nothing yet.
Duration remainingTime(const TaskRun &run, TimePoint now);

/// Core-seconds of work that a stop of the run discards; an accelerator counts as eight cores. Without checkpoints this is the whole run, with checkpoints the work
/// since the last one and the time to restore it.
double lostWork(const WorkflowBoard &board, const TaskRun &run, const StepSpecification &step);

}
