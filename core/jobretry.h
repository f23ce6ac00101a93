#pragma once

#include "blackboard.h"
#include "joboutcome.h"

namespace sequoiastand
{

/// Sets the earliest time of the waiting job's next attempt: a delay with full jitter, which is longer once the organisation's retry budget is used up.
Job withRetryDelay(Blackboard &board, Job job, AttemptEnd end);

/// Adds a tenth of a retry to the organisation's budget if the job has finished successfully.
void addRetryBudget(Blackboard &board, const Job &job);

}
