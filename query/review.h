#pragma once

#include "core/configuration.h"
#include "core/job.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Time range and filters of a review. The time range selects jobs by the time at which they were accepted, and accelerator-hours by the time at which the
/// accelerators were held.
struct ReviewScope
{
    WallTime from;
    WallTime until;
    std::optional<OrganisationId> organisation;
    std::optional<TeamId> team;
    std::optional<JobClass> jobClass;
    std::optional<AvailabilityZoneId> availabilityZone;

    friend bool operator==(const ReviewScope &, const ReviewScope &) = default;
};

/// Records for a review, with descriptions of the records that are known to be missing.
struct ReviewInput
{
    ReviewScope scope;
    std::map<JobId, Job> jobs;
    std::map<JobId, HeldInterval> openIntervals; ///< Holdings of running attempts up to `now`, which no record contains yet.
    Configuration configuration;
    WallTime now;
    std::vector<std::string> gaps;

    friend bool operator==(const ReviewInput &, const ReviewInput &) = default;
};

struct DurationFigures
{
    long long count = 0;
    Duration mean{0};
    Duration p50{0};
    Duration p90{0};
    Duration p99{0};

    friend bool operator==(const DurationFigures &, const DurationFigures &) = default;
};

/// Outcomes of the accepted jobs of one group. `accepted` is the sum of the seven counts from `finished` to `waiting`.
struct OutcomeFigures
{
    std::string group;
    long long accepted = 0;
    long long finished = 0;
    long long failed = 0;
    long long cancelled = 0;
    long long refused = 0;
    long long unknown = 0;
    long long running = 0;
    long long waiting = 0;
    long long deadlines = 0;
    long long missedDeadlines = 0;
    DurationFigures completion; ///< Time from acceptance to the end of the job, for finished jobs.
    DurationFigures wait;       ///< Time from acceptance to the first start, for jobs that started.

    friend bool operator==(const OutcomeFigures &, const OutcomeFigures &) = default;
};

/// Accelerator-hours of one organisation.
struct CapacityFigures
{
    std::string organisation;
    double held = 0;
    double borrowed = 0;          ///< Part of `held` outside the organisation's guarantees.
    double guaranteed = 0;        ///< Guaranteed hours under the current configuration.
    double lent = 0;              ///< Unused guaranteed hours that others borrowed; a zone's lent hours are divided in proportion to the unused guarantees.
    long long reclaimedCount = 0; ///< Preempted attempts of this organisation that held borrowed accelerators.
    double reclaimed = 0;         ///< Accelerator-hours held by the preempted attempts that `reclaimedCount` counts.

    friend bool operator==(const CapacityFigures &, const CapacityFigures &) = default;
};

struct LossFigures
{
    std::string cause;
    long long attempts = 0;
    double acceleratorHours = 0;

    friend bool operator==(const LossFigures &, const LossFigures &) = default;
};

struct DayFigures
{
    WallTime day;
    long long finished = 0;
    long long notFinished = 0; ///< Jobs that failed, were cancelled or refused, or have an unknown outcome.
    double held = 0;
    double borrowed = 0;

    friend bool operator==(const DayFigures &, const DayFigures &) = default;
};

struct JobInDoubt
{
    JobId job;
    std::optional<WallTime> since;
    std::string explanation;

    friend bool operator==(const JobInDoubt &, const JobInDoubt &) = default;
};

struct Review
{
    ReviewScope scope;
    WallTime createdAt;
    OutcomeFigures total;
    std::vector<OutcomeFigures> byOrganisation;
    std::vector<OutcomeFigures> byClass;
    std::map<std::string, long long> refusals; ///< Refused jobs by reason.
    std::vector<CapacityFigures> capacity;
    CapacityFigures capacityTotal;
    std::vector<LossFigures> losses;
    std::vector<JobInDoubt> inDoubt;
    std::vector<DayFigures> days;
    std::vector<std::string> gaps;

    friend bool operator==(const Review &, const Review &) = default;
};

Review makeReview(const ReviewInput &input);

/// Merges two lists of records into one record for each job: a terminal record takes precedence over others, and a later record over an earlier one.
std::map<JobId, Job> mergeRecords(const std::vector<Job> &ledger, const std::vector<Job> &board);

/// Count, mean and nearest-rank percentiles of the durations.
DurationFigures figuresOf(std::vector<Duration> durations);

}
