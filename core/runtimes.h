#pragma once

#include "capacity.h"

#include <map>
#include <utility>

namespace sequoiastand
{

/// How far real run times of a group of jobs lie from the declared ones, as a sum of logarithms of the ratios.
struct RunTimeRatio
{
    double logSum = 0;
    int count = 0;

    friend bool operator==(const RunTimeRatio &, const RunTimeRatio &) = default;
};

/// Ratios learnt from finished jobs, per team and per organisation.
struct RunTimeModel
{
    std::map<std::pair<OrganisationId, TeamId>, RunTimeRatio> teams;
    std::map<OrganisationId, RunTimeRatio> organisations;

    friend bool operator==(const RunTimeModel &, const RunTimeModel &) = default;
};

RunTimeModel learnRunTimes(const std::vector<const Job *> &finished);

/// Declared run time corrected by what the team's, else the organisation's, finished jobs showed.
Duration expectedRunTime(const RunTimeModel &model, const JobSpecification &specification);

/// Expected time until the running work ends. Work past its expectation counts as half done again, so an overrun is neither ignored nor punished.
Duration expectedRemaining(const RunTimeModel &model, const RunningWork &work);

/// Expected time that a waiting job still needs after its last checkpoint.
Duration expectedRemaining(const RunTimeModel &model, const Job &job);

}
