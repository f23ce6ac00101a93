#include "runtimes.h"

#include <algorithm>
#include <cmath>

namespace sequoiastand
{

namespace
{

constexpr Duration defaultRunTime = std::chrono::hours{1};
constexpr Duration minRemainingTime = std::chrono::seconds{10};
/// Number of assumed jobs with exactly their declared run time that are added to the finished jobs of every ratio. They limit the influence of a single
/// unusual job.
constexpr double priorJobs = 2.0;
constexpr double maxCorrection = 30.0;

Duration declared(const JobSpecification &specification)
{
    return specification.declaredRunTime > Duration{0} ? specification.declaredRunTime : defaultRunTime;
}

/// Time for which the job ran, without lost work and without the waits between its attempts; the time from start to finish if this is zero.
Duration runTimeOf(const Job &job)
{
    Duration heldTime{0};
    for (const auto &interval : job.held) {
        heldTime += interval.until - interval.from - interval.lostWork;
    }
    return heldTime > Duration{0} ? heldTime : *job.finishedAt - *job.startedAt;
}

void add(RunTimeRatio &ratio, double logRatio)
{
    ratio.logSum += logRatio;
    ++ratio.count;
}

Duration remainingAfter(Duration expectedTime, Duration workedTime)
{
    return std::max(minRemainingTime, expectedTime > workedTime ? expectedTime - workedTime : workedTime / 2);
}

}

RunTimeModel learnRunTimes(const std::vector<const Job *> &finished)
{
    RunTimeModel model;
    for (const auto *row : finished) {
        const auto &job = *row;
        const auto &id = job.specification.id;
        if (!job.startedAt || !job.finishedAt || job.specification.declaredRunTime <= Duration{0}) {
            continue;
        }
        const auto runTime = std::max(Duration{1}, runTimeOf(job));
        const double logRatio = std::log(static_cast<double>(runTime.count()) / static_cast<double>(job.specification.declaredRunTime.count()));
        add(model.teams[{id.organisation, job.specification.team}], logRatio);
        add(model.organisations[id.organisation], logRatio);
    }
    return model;
}

Duration expectedRunTime(const RunTimeModel &model, const JobSpecification &specification)
{
    RunTimeRatio ratio;
    if (const auto team = model.teams.find({specification.id.organisation, specification.team}); team != model.teams.end()) {
        ratio = team->second;
    } else if (const auto organisation = model.organisations.find(specification.id.organisation); organisation != model.organisations.end()) {
        ratio = organisation->second;
    }
    const double correction = std::clamp(std::exp(ratio.logSum / (ratio.count + priorJobs)), 1 / maxCorrection, maxCorrection);
    return Duration{static_cast<Duration::rep>(static_cast<double>(declared(specification).count()) * correction)};
}

Duration expectedRemaining(const RunTimeModel &model, const RunningWork &work)
{
    if (!work.specification) {
        return defaultRunTime;
    }
    const auto savedWork = work.job ? work.job->checkpointedWork : Duration{0};
    return remainingAfter(expectedRunTime(model, *work.specification), savedWork + work.elapsed);
}

Duration expectedRemaining(const RunTimeModel &model, const Job &job)
{
    return remainingAfter(expectedRunTime(model, job.specification), job.checkpointedWork);
}

}
