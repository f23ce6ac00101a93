#pragma once

#include "capacity.h"

#include <map>
#include <utility>

namespace sequoiastand
{

/// Mean ratio of real to declared run times of a group of jobs (geometric mean), kept as the sum of the logarithms and the number of jobs.
struct RunTimeRatio
{
    double logSum = 0;
    int count = 0;

    friend bool operator==(const RunTimeRatio &, const RunTimeRatio &) = default;
};

/// Ratios learnt from finished jobs, by team and by organisation.
struct RunTimeModel
{
    std::map<std::pair<OrganisationId, TeamId>, RunTimeRatio> teams;
    std::map<OrganisationId, RunTimeRatio> organisations;

    friend bool operator==(const RunTimeModel &, const RunTimeModel &) = default;
};

RunTimeModel learnRunTimes(const std::vector<const Job *> &finished);

/// Declared run time, corrected by the ratio of the team's finished jobs, or else of the organisation's.
Duration expectedRunTime(const RunTimeModel &model, const JobSpecification &specification);

/// Expected time until the running work ends. Work that has exceeded its expected run time is expected to run for half as long again as it already has.
Duration expectedRemaining(const RunTimeModel &model, const RunningWork &work);

/// Expected run time that a waiting job still needs after its last checkpoint.
Duration expectedRemaining(const RunTimeModel &model, const Job &job);

}
