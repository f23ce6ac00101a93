#include "runtimes.h"

#include <algorithm>
#include <cmath>

namespace sequoiastand
{

namespace
{

constexpr Duration defaultRunTime = std::chrono::hours{1};
constexpr Duration minRemainingTime = std::chrono::seconds{10};
/// Weight of the assumption that declared run times are right, as a number of finished jobs. It limits the influence of a single unusual job.
constexpr double priorJobs = 2.0;
constexpr double maxCorrection = 30.0;

Duration declared(const JobSpecification &specification)
{
    return specification.declaredRunTime > Duration{0} ? specification.declaredRunTime : defaultRunTime;
}

/// Time for which the job actually ran, without the waits between its attempts.
Duration runTimeOf(const Job &job)
{
    Duration held{0};
    for (const auto &interval : job.held) {
        held += interval.until - interval.from - interval.lostWork;
    }
    return held > Duration{0} ? held : *job.finishedAt - *job.startedAt;
}

void add(RunTimeRatio &ratio, double logRatio)
{
    ratio.logSum += logRatio;
    ++ratio.count;
}

Duration remainingAfter(Duration expected, Duration done)
{
    return std::max(minRemainingTime, expected > done ? expected - done : done / 2);
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
        const auto ran = std::max(Duration{1}, runTimeOf(job));
        const double logRatio = std::log(static_cast<double>(ran.count()) / static_cast<double>(job.specification.declaredRunTime.count()));
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
    const auto before = work.job ? work.job->checkpointedWork : Duration{0};
    return remainingAfter(expectedRunTime(model, *work.specification), before + work.elapsed);
}

Duration expectedRemaining(const RunTimeModel &model, const Job &job)
{
    return remainingAfter(expectedRunTime(model, job.specification), job.checkpointedWork);
}

}
