#include "tests/clusterfixture.h"

namespace sequoiastand
{

/// One host that owns its zone, with two workers.
struct JobPath : ClusterTest
{
    JobPath()
    {
        addTarget("t1", "r1", "a");
        addTarget("t2", "r1", "a");
        addEntryHost("a1", "a");
        run(Duration{1'000});
    }
};

TEST_F(JobPath, submittedJobRunsOnceAndItsStoredResultIsAnswered)
{
    const JobSpecification scan = specification("scan");
    const CallId submitted = submit(scan);
    const CallId waiting = askStatus(scan.id, Duration{20'000});
    runUntil([&] { return !repliesTo(waiting).empty(); }, Duration{10'000});
    ASSERT_EQ(repliesTo(submitted).size(), 1U);
    ASSERT_TRUE(repliesTo(submitted).front().job);
    EXPECT_GT(repliesTo(submitted).front().job->revision, 0);
    const CallerReply result = repliesTo(waiting).front();
    ASSERT_TRUE(result.job);
    EXPECT_EQ(result.job->state, JobState::Finished);
    EXPECT_EQ(result.job->result, "pressed");
    runUntil([&] { return isStored(scan.id, JobState::Finished); }, Duration{1'000});
    EXPECT_EQ(startsOf(scan.id), 1);
    EXPECT_EQ(storedJob(scan.id).held.size(), 1U);
}

// Guards against targets that delete a result before the store holds it, and against results that are never deleted.
TEST_F(JobPath, targetDeletesEndedTaskOnlyAfterItsRecordIsStored)
{
    const JobSpecification scan = specification("scan");
    submit(scan);
    runUntil([&] { return stateOf(scan.id) == JobState::Running; }, Duration{2'000});
    setStoreUp(false);
    runUntil([&] { return stateOf(scan.id) == JobState::Finished; }, Duration{5'000});
    run(Duration{5'000});
    const auto keptTasks = [this] { return targets.at({"t1"}).tasks.size() + targets.at({"t2"}).tasks.size(); };
    EXPECT_EQ(keptTasks(), 1U);
    setStoreUp(true);
    run(Duration{5'000});
    EXPECT_TRUE(isStored(scan.id, JobState::Finished));
    EXPECT_EQ(keptTasks(), 0U);
}

TEST_F(JobPath, gangRunsWholeOnSeveralTargets)
{
    JobSpecification gang = specification("gang", 12);
    submit(gang);
    runUntil([&] { return stateOf(gang.id) == JobState::Running; }, Duration{2'000});
    EXPECT_EQ(runningTasksOf(gang.id), 12);
    runUntil([&] { return isStored(gang.id, JobState::Finished); }, Duration{5'000});
}

TEST_F(JobPath, cancelledRunningJobStopsAndIsAnsweredOnce)
{
    JobSpecification job = specification("long", 4);
    job.payload = payload(60'000);
    submit(job);
    runUntil([&] { return stateOf(job.id) == JobState::Running; }, Duration{2'000});
    const CallId cancelled = cancel(job.id);
    runUntil([&] { return isStored(job.id, JobState::Cancelled); }, Duration{5'000});
    EXPECT_EQ(runningTasksOf(job.id), 0);
    EXPECT_EQ(repliesTo(cancelled).size(), 1U);
}

TEST_F(JobPath, statusOfUnknownJobIsNotFound)
{
    const CallId call = askStatus({{"kask"}, {"none"}}, Duration{0});
    run(Duration{50});
    ASSERT_EQ(repliesTo(call).size(), 1U);
    EXPECT_EQ(repliesTo(call).front().refusal->reason, RefusalReason::NotFound);
}

}
