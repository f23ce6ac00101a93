#pragma once

#include "attempt.h"
#include "job.h"
#include "time.h"

namespace sequoiastand
{

/// How an attempt ended, as far as it decides what becomes of its job.
enum class AttemptEnd
{
    Finished,
    Failed,     ///< A task failed by itself.
    NeverRan,   ///< Certainly no task ran.
    Stopped,    ///< Every task that ran was stopped on purpose and reported so.
    MemberLost, ///< A task may have run and nobody knows how far.
};

AttemptEnd attemptEndOf(const Attempt &attempt, const JobSpecification &specification);

/// Work that every task's last checkpoint covers.
Duration checkpointOf(const Attempt &attempt, const Job &job);

/// The job after the attempt: ended, or waiting for the next attempt. Delay and budget of a retry are the caller's.
Job withAttemptEnd(Job job, const Attempt &attempt, int maxAttempts, TimePoint now, WallTime wallNow);

/// Results of the gang's tasks in order of index, one per line.
std::string resultOf(const Attempt &attempt);

}
