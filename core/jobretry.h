#pragma once

#include "blackboard.h"
#include "joboutcome.h"

namespace sequoiastand
{

/// The waiting job with the earliest time of its next attempt: full jitter, and a longer delay once the organisation's budget is used up.
Job withRetryDelay(Blackboard &board, Job job, AttemptEnd end);

/// A finished job adds a tenth of a retry to its organisation's budget.
void addRetryBudget(Blackboard &board, const Job &job);

}
