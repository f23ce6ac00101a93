#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// True if this host schedules the jobs of its zone: it owns the zone and is not releasing its leases.
bool isZoneScheduler(const Blackboard &board);

/// True if the job belongs to this host's zone and this host schedules it.
bool isScheduledHere(const Blackboard &board, const Job &job);

/// The job's attempt on the board, or null.
const Attempt *attemptOf(const Blackboard &board, const JobId &job);

/// True if the record shows that the attempt is over, so that any of its tasks on a target must stop.
bool isStaleAttempt(const Job &job, const AttemptId &attempt, const AvailabilityZoneId &zone);

/// Replaces the row and queues a write of its record to the store.
void saveJob(Blackboard &board, Job job);

/// Result of merging a row with a stored record of a higher revision.
struct MergedJob
{
    Job job;
    bool needsSaving = false;

    friend bool operator==(const MergedJob &, const MergedJob &) = default;
};

/// Merges a row with its stored record. Terminal states in the store take precedence; otherwise the scheduling host keeps its state of the run and takes the
/// other fields from the store.
MergedJob mergeJob(const Job &local, const Job &stored, bool isScheduledHere, bool isUnsaved);

/// Applies the results of writes and the store entries in the inbox.
void applyStoredJobs(Blackboard &board);

/// Queues writes for unsaved records that have no queued or sent write.
void requestMissingWrites(Blackboard &board);

}
