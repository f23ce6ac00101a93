#pragma once

#include "core/configuration.h"
#include "core/job.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Time range and limits of a review. Jobs belong to it by when they were accepted, held hours by when they were held.
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

/// Records that a review is made from, and what is known to be missing among them.
struct ReviewInput
{
    ReviewScope scope;
    std::map<JobId, Job> jobs;
    std::map<JobId, HeldInterval> openIntervals; ///< What running attempts hold and no record says yet, up to `now`.
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

/// How the accepted jobs of one group ended: accepted is the sum of the seven states.
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
    DurationFigures completion; ///< From acceptance to the end of finished jobs.
    DurationFigures wait;       ///< From acceptance to the first start of jobs that started.

    friend bool operator==(const OutcomeFigures &, const OutcomeFigures &) = default;
};

/// Accelerator-hours of one organisation.
struct CapacityFigures
{
    std::string organisation;
    double held = 0;
    double borrowed = 0;          ///< Part of `held` outside the organisation's guarantees.
    double guaranteed = 0;        ///< By the configuration in force now.
    double lent = 0;              ///< Unused guaranteed hours that others borrowed, shared out in proportion.
    long long reclaimedCount = 0; ///< Borrowed attempts of this organisation that were preempted.
    double reclaimed = 0;         ///< Hours that those attempts had held.

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
    long long notFinished = 0; ///< Failed, cancelled, refused or unknown.
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

/// Each job once: a terminal record wins over one that is not, otherwise the later one in the list.
std::map<JobId, Job> mergeRecords(const std::vector<Job> &ledger, const std::vector<Job> &present);

/// Mean and nearest-rank percentiles.
DurationFigures figuresOf(std::vector<Duration> durations);

}
