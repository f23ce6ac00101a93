#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// True if this host decides about jobs of its zone: it owns the zone and is not giving its leases back.
bool isZoneScheduler(const Blackboard &board);

/// True if the job belongs to this host's zone and this host decides about it.
bool isScheduledHere(const Blackboard &board, const Job &job);

/// The attempt of the job that is on the board, if there is one.
const Attempt *attemptOf(const Blackboard &board, const JobId &job);

/// True if the record shows that the attempt is over, so whatever a target still runs of it must stop.
bool isStaleAttempt(const Job &job, const AttemptId &attempt, const AvailabilityZoneId &zone);

/// Puts the row and asks for its record to be written.
void saveJob(Blackboard &board, Job job);

/// What the row becomes when the store shows a record with a higher revision.
struct MergedJob
{
    Job job;
    bool needsSaving = false;

    friend bool operator==(const MergedJob &, const MergedJob &) = default;
};

/// Terminal states of the store win; otherwise the scheduling host keeps its view of the run and takes the rest from the store.
MergedJob mergeJob(const Job &local, const Job &stored, bool isScheduledHere, bool isUnsaved);

/// Applies results of writes and what the store showed in the present inbox.
void applyStoredJobs(Blackboard &board);

/// Asks again for records whose write was lost track of.
void requestMissingWrites(Blackboard &board);

}
