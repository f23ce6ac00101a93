#include "tests/clusterfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// One host that owns its zone, with two workers into which faults can be injected.
struct JobRetry : ClusterTest
{
    JobRetry()
    {
        addTarget("t1", "r1", "a");
        addTarget("t2", "r1", "a");
        addEntryHost("a1", "a");
        run(Duration{1'000});
    }

    Job recordOf(const JobId &id)
    {
        const Job *found = job(id);
        return found == nullptr ? Job{} : *found;
    }

    TargetId targetOf(const JobId &id) const
    {
        for (const auto &[name, model] : targets) {
            for (const auto &[key, task] : model.tasks) {
                if (key.first.job == id) {
                    return name;
                }
            }
        }
        return {};
    }
};

TEST_F(JobRetry, failingIdempotentJobEndsAfterFourAttempts)
{
    JobSpecification job = specification("failing");
    job.payload = payload(100, "fail");
    submit(job);
    runUntil([&] { return isStored(job.id, JobState::Failed); }, Duration{60'000});
    EXPECT_EQ(startsOf(job.id), 4);
    EXPECT_EQ(storedJob(job.id).held.size(), 4U);
    EXPECT_EQ(storedJob(job.id).failedAttempts, 4);
}

// Guards against a second run of a job that is not idempotent.
TEST_F(JobRetry, failingJobThatIsNotIdempotentRunsOnce)
{
    JobSpecification job = specification("profile");
    job.isIdempotent = false;
    job.payload = payload(100, "fail");
    submit(job);
    runUntil([&] { return isStored(job.id, JobState::Failed); }, Duration{10'000});
    run(Duration{30'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(JobRetry, notIdempotentJobIsRecordedBeforeItsStart)
{
    JobSpecification job = specification("profile");
    job.isIdempotent = false;
    submit(job);
    runUntil([&] { return stateOf(job.id) == JobState::Reserving; }, Duration{1'000});
    EXPECT_EQ(startsOf(job.id), 0);
    runUntil([&] { return startsOf(job.id) == 1; }, Duration{1'000});
    EXPECT_TRUE(storedJob(job.id).mayHaveStarted);
    EXPECT_EQ(storedJob(job.id).attemptCount, 1);
}

// The reply to a start is lost although the task runs. The target's report resolves the start, so no task starts twice.
TEST_F(JobRetry, lostStartAnswerIsResolvedFromTheReport)
{
    losesStartAnswers = true;
    JobSpecification job = specification("profile", 3);
    job.isIdempotent = false;
    submit(job);
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{20'000});
    EXPECT_EQ(startsOf(job.id), 3);
}

// The start call itself is lost. Another attempt is safe only after the target's report proves it by showing a mere reservation, or nothing, for the task.
TEST_F(JobRetry, lostStartOfIdempotentJobIsRetried)
{
    losesStarts = true;
    const JobSpecification job = specification("scan");
    submit(job);
    run(Duration{3'000});
    EXPECT_EQ(startsOf(job.id), 0);
    losesStarts = false;
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{60'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(JobRetry, jobOnUnresponsiveTargetMovesToAnotherOne)
{
    JobSpecification job = specification("scan");
    job.payload = payload(30'000);
    submit(job);
    runUntil([&] { return stateOf(job.id) == JobState::Running; }, Duration{2'000});
    const TargetId first = targetOf(job.id);
    setFaults(first.value, {.isSilent = true});
    runUntil([&] { return startsOf(job.id) == 2; }, Duration{20'000});
    EXPECT_EQ(targets.at(first).tasks.size(), 1U);
    EXPECT_GE(recordOf(job.id).held.front().lostWork, Duration{6'000});
}

// Guards against the state "unknown" for a job whose target is only unresponsive: the target keeps its task for ten minutes.
TEST_F(JobRetry, notIdempotentJobOnUnresponsiveTargetWaitsForTheTargetToReturn)
{
    JobSpecification job = specification("profile");
    job.isIdempotent = false;
    job.payload = payload(30'000);
    submit(job);
    runUntil([&] { return stateOf(job.id) == JobState::Running; }, Duration{2'000});
    const TargetId first = targetOf(job.id);
    setFaults(first.value, {.isSilent = true});
    run(Duration{60'000});
    EXPECT_EQ(stateOf(job.id), JobState::Running);
    setFaults(first.value, {});
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{10'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(JobRetry, notIdempotentJobOnTargetThatStaysUnresponsiveBecomesUnknown)
{
    JobSpecification job = specification("profile");
    job.isIdempotent = false;
    submit(job);
    runUntil([&] { return stateOf(job.id) == JobState::Running; }, Duration{2'000});
    setFaults(targetOf(job.id).value, {.isSilent = true});
    runUntil([&] { return isStored(job.id, JobState::Unknown); }, Duration{700'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(JobRetry, lostMemberStopsTheWholeGang)
{
    JobSpecification gang = specification("gang", 12);
    gang.payload = payload(60'000);
    submit(gang);
    runUntil([&] { return stateOf(gang.id) == JobState::Running; }, Duration{2'000});
    targets.at({"t1"}) = restarted(targets.at({"t1"}));
    runUntil([&] { return runningTasksOf(gang.id) == 0; }, Duration{5'000});
    runUntil([&] { return runningTasksOf(gang.id) == 12 && stateOf(gang.id) == JobState::Running; }, Duration{20'000});
}

// Guards against a gang that runs in part because one target refuses its reservation.
TEST_F(JobRetry, refusedReservationReleasesTheOthers)
{
    targets.at({"t2"}).acceleratorCount = 4;
    JobSpecification gang = specification("gang", 16);
    submit(gang);
    run(Duration{2'000});
    EXPECT_EQ(startsOf(gang.id), 0);
    EXPECT_GT(board("a1").counters.values[(CounterKey{"retries", "reservation"})], 1);
    targets.at({"t2"}).acceleratorCount = 8;
    runUntil([&] { return isStored(gang.id, JobState::Finished); }, Duration{10'000});
    EXPECT_EQ(startsOf(gang.id), 16);
    EXPECT_EQ(storedJob(gang.id).failedAttempts, 0);
}

TEST_F(JobRetry, retriesBeyondTheBudgetWaitLonger)
{
    board("a1").jobUpdateState.retryTenths[{"kask"}] = 0;
    JobSpecification job = specification("failing");
    job.payload = payload(100, "fail");
    submit(job);
    runUntil([&] { return recordOf(job.id).failedAttempts == 1; }, Duration{5'000});
    EXPECT_GE(*recordOf(job.id).notBefore, cluster.wallNow + Duration{25'000});
    EXPECT_EQ((board("a1").counters.values[{"retriesOverBudget", "kask"}]), 1);
}

// Guards against a worker that fails every task it starts and thereby consumes the attempts of all queued jobs.
TEST_F(JobRetry, targetThatFailsThreeDifferentJobsIsQuarantinedAndReturnsAfterAProbe)
{
    setFaults("t1", {.failsEverything = true});
    setFaults("t2", {.isSilent = true});
    run(Duration{5'000});
    for (const char *name : {"j1", "j2", "j3"}) {
        JobSpecification job = specification(name, 1);
        job.payload = payload(300'000);
        submit(job);
    }
    runUntil([&] { return board("a1").targets.find({"t1"})->health == TargetHealth::Quarantined; }, Duration{20'000});
    const int before = startsOf({{"kask"}, {"j1"}}) + startsOf({{"kask"}, {"j2"}}) + startsOf({{"kask"}, {"j3"}});
    run(Duration{50'000});
    EXPECT_EQ(startsOf({{"kask"}, {"j1"}}) + startsOf({{"kask"}, {"j2"}}) + startsOf({{"kask"}, {"j3"}}), before);
    setFaults("t1", {});
    for (const char *name : {"p1", "p2"}) {
        submit(specification(name, 1));
    }
    runUntil([&] { return board("a1").targets.find({"t1"})->health == TargetHealth::Healthy; }, Duration{400'000});
}

// Guards against an event loop that is blocked while many running gangs are stopped.
TEST_F(JobRetry, stopCallsOfOneStepAreLimited)
{
    for (int index = 0; index < 60; ++index) {
        addTarget("u" + std::to_string(index), "r2", "a");
    }
    run(Duration{2'000});
    std::vector<JobId> jobs;
    for (int index = 0; index < 400; ++index) {
        JobSpecification job = specification("j" + std::to_string(index));
        job.payload = payload(120'000);
        jobs.push_back(job.id);
        submit(job);
    }
    runUntil([&] { return std::ranges::all_of(jobs, [&](const JobId &id) { return stateOf(id) == JobState::Running; }); }, Duration{20'000});
    for (const JobId &id : jobs) {
        cancel(id);
    }
    for (int count = 0; count < 3; ++count) {
        sentCalls.clear();
        run(tick);
        EXPECT_LE(std::ranges::count_if(sentCalls, [](const TargetCall &call) { return std::holds_alternative<StopTask>(call.request); }), 200);
    }
    runUntil([&] { return std::ranges::all_of(jobs, [&](const JobId &id) { return isStored(id, JobState::Cancelled); }); }, Duration{5'000});
}

}
