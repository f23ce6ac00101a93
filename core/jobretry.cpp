#include "jobretry.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr int initialRetryTenths = 100;
constexpr int maxRetryTenths = 1'000;
constexpr int tenthsPerRetry = 10;
constexpr Duration reservationRetryDelay{200};
constexpr Duration failureRetryDelay{1'000};
constexpr Duration maxRetryDelay{60'000};

Duration doubled(Duration delay, int times)
{
    for (int time = 0; time < times && delay < maxRetryDelay; ++time) {
        delay *= 2;
    }
    return std::min(delay, maxRetryDelay);
}

bool takeFromBudget(Blackboard &board, const OrganisationId &organisation)
{
    int &tenths = board.jobUpdateState.retryTenths.try_emplace(organisation, initialRetryTenths).first->second;
    if (tenths < tenthsPerRetry) {
        return false;
    }
    tenths -= tenthsPerRetry;
    return true;
}

}

Job withRetryDelay(Blackboard &board, Job job, AttemptEnd end)
{
    if (end == AttemptEnd::Stopped) {
        // The system stopped the job, so its next attempt is neither delayed nor charged to the retry budget.
        job.notBefore.reset();
        return job;
    }
    if (end == AttemptEnd::NeverRan) {
        job.notBefore = board.wallNow + takeJitter(board, reservationRetryDelay);
        count(board.counters, "retries", "reservation");
        return job;
    }
    count(board.counters, "retries", end == AttemptEnd::Failed ? "taskFailed" : "memberLost");
    const bool isWithinBudget = takeFromBudget(board, job.specification.id.organisation);
    if (!isWithinBudget) {
        count(board.counters, "retriesOverBudget", job.specification.id.organisation.value);
        job.explanation += ", later because the organisation's retry budget is used up";
    }
    const Duration bound = isWithinBudget ? doubled(failureRetryDelay, job.failedAttempts - 1) : maxRetryDelay;
    const Duration floor = isWithinBudget ? Duration{0} : maxRetryDelay / 2;
    job.notBefore = board.wallNow + floor + takeJitter(board, bound);
    return job;
}

void addRetryBudget(Blackboard &board, const Job &job)
{
    if (job.state != JobState::Finished) {
        return;
    }
    int &tenths = board.jobUpdateState.retryTenths.try_emplace(job.specification.id.organisation, initialRetryTenths).first->second;
    tenths = std::min(tenths + 1, maxRetryTenths);
}

}
