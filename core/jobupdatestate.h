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

/// A submission that this host has received but neither accepted nor refused yet.
struct PendingSubmission
{
    JobSpecification specification;
    TimePoint since;
    bool isAcceptedByStart = false;      ///< The store is unreachable; the job is accepted once its targets have started it.
    std::optional<HostId> offeredTo;     ///< Zone owner that this host asked to start the job.
    std::optional<CallId> offerCall;     ///< Call id of the offer to that owner.
    std::optional<HostId> offeredBy;     ///< Peer that offered the job and waits for a reply.
    std::optional<CallId> offeredByCall; ///< Call id of that peer's offer.

    friend bool operator==(const PendingSubmission &, const PendingSubmission &) = default;
};

/// A refused submission, kept on the board for the rest of the round.
struct RefusedSubmission
{
    JobId job;
    std::optional<CallId> call; ///< The call that is refused; none means every open call that submits the job.
    Refusal refusal;

    friend bool operator==(const RefusedSubmission &, const RefusedSubmission &) = default;
};

/// State that updateJobs keeps besides the jobs.
struct JobUpdateState
{
    std::set<JobId> unsaved; ///< Jobs whose row may differ from the stored record.
    std::map<JobId, PendingSubmission> submissions;
    std::vector<RefusedSubmission> refusals;
    std::set<JobId> cancellations;                 ///< Waiting jobs to cancel; each step cancels a limited number of them.
    bool isBulkPaused = false;                     ///< True if the limit of this step is reached; cancellations continue when the timer fires.
    std::map<OrganisationId, int> retryTenths;     ///< Retry budget in tenths of a retry.
    std::map<JobId, TimePoint> jobsWithoutAttempt; ///< Active jobs without an attempt on this board, each with the time since which it has none.
    std::optional<TimePoint> lastMaintenance;

    friend bool operator==(const JobUpdateState &, const JobUpdateState &) = default;
};

}
