#pragma once

#include "identifier.h"
#include "job.h"
#include "refusal.h"
#include "time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sequoiastand
{

/// A submission that this host took and has neither accepted nor refused yet.
struct PendingSubmission
{
    JobSpecification specification;
    TimePoint since;
    bool isAcceptedByStart = false;      ///< The store is away; the job is accepted once its targets have started it.
    std::optional<HostId> offeredTo;     ///< Owner of the zone that was asked to start it.
    std::optional<CallId> offerCall;     ///< Our offer to that owner.
    std::optional<HostId> offeredBy;     ///< Peer that waits for the answer to its offer.
    std::optional<CallId> offeredByCall; ///< That peer's call.

    friend bool operator==(const PendingSubmission &, const PendingSubmission &) = default;
};

/// A submission that ended in a refusal, on the board for the rest of the round.
struct RefusedSubmission
{
    JobId job;
    std::optional<CallId> call; ///< One call only; none means every open call that submits the job.
    Refusal refusal;

    friend bool operator==(const RefusedSubmission &, const RefusedSubmission &) = default;
};

/// What updateJobs keeps besides the records.
struct JobUpdateState
{
    std::set<JobId> unsaved; ///< Rows that differ from what the store is known to hold.
    std::map<JobId, PendingSubmission> submissions;
    std::vector<RefusedSubmission> refusals;
    std::set<JobId> cancellations;                 ///< Waiting jobs to cancel; worked off in bounded steps.
    bool isBulkPaused = false;                     ///< The step's limit is used up; the timer takes the work up again.
    std::map<OrganisationId, int> retryTenths;     ///< Retry budget in tenths of a retry.
    std::map<JobId, TimePoint> jobsWithoutAttempt; ///< Active jobs without an attempt on this board, and since when.
    std::optional<TimePoint> lastMaintenance;

    friend bool operator==(const JobUpdateState &, const JobUpdateState &) = default;
};

}
