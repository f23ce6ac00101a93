#pragma once

#include "attempt.h"
#include "job.h"
#include "time.h"

namespace sequoiastand
{

/// How an attempt ended, which decides the next state of its job.
enum class AttemptEnd
{
    Finished,
    Failed,     ///< At least one task failed.
    NeverRan,   ///< No task can have run.
    Stopped,    ///< The system stopped every task that ran, and the targets confirmed it.
    MemberLost, ///< A task may have run, and its end was never reported.
};

AttemptEnd attemptEndOf(const Attempt &attempt, const JobSpecification &specification);

/// Run time that the last checkpoints of all tasks cover.
Duration checkpointOf(const Attempt &attempt, const Job &job);

/// The job after the attempt: ended, or waiting for the next attempt. The caller adds the retry delay and charges the retry budget.
Job withAttemptEnd(Job job, const Attempt &attempt, int maxAttempts, TimePoint now, WallTime wallNow);

/// Results of the gang's tasks in the order of their index, one per line.
std::string resultOf(const Attempt &attempt);

}
