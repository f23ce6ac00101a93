#include "tests/clusterfixture.h"

namespace sequoiastand
{

/// The only host of a zone, about to stop.
struct PlannedStop : ClusterTest
{
    PlannedStop()
    {
        addTarget("t1", "r1", "a");
        addEntryHost("a1", "a");
        run(Duration{1'000});
    }

    void stop()
    {
        send("a1", StopRequested{});
    }
};

TEST_F(PlannedStop, newSubmissionIsRefusedAsNotRun)
{
    stop();
    run(Duration{100});
    const CallId call = submit(specification("late"));
    run(Duration{100});
    ASSERT_EQ(repliesTo(call).size(), 1U);
    EXPECT_EQ(repliesTo(call).front().refusal->reason, RefusalReason::ShuttingDown);
    EXPECT_EQ(repliesTo(call).front().refusal->run, RequestEffect::NotRun);
}

TEST_F(PlannedStop, submissionInTheSameStepAsTheStopIsAnsweredOnce)
{
    const CallId before = submit(specification("before"));
    stop();
    run(Duration{1'000});
    EXPECT_EQ(repliesTo(before).size(), 1U);
}

TEST_F(PlannedStop, openWaitIsAnsweredAtTheLimitWithUnknown)
{
    JobSpecification job = specification("long");
    job.payload = payload(120'000);
    submit(job);
    run(Duration{500});
    const CallId wait = askStatus(job.id, Duration{300'000});
    run(Duration{100});
    stop();
    run(Duration{29'000});
    EXPECT_TRUE(repliesTo(wait).empty());
    run(Duration{1'500});
    ASSERT_EQ(repliesTo(wait).size(), 1U);
    EXPECT_EQ(repliesTo(wait).front().refusal->reason, RefusalReason::ShuttingDown);
    EXPECT_EQ(repliesTo(wait).front().refusal->run, RequestEffect::Unknown);
    EXPECT_TRUE(board("a1").calls.isEmpty());
}

TEST_F(PlannedStop, leasesAreReleasedAndRunningTasksGoOn)
{
    JobSpecification job = specification("long", 4);
    job.payload = payload(60'000);
    submit(job);
    runUntil([&] { return stateOf(job.id) == JobState::Running; }, Duration{2'000});
    stop();
    run(Duration{2'000});
    EXPECT_TRUE(targets.at({"t1"}).holder.value.empty());
    EXPECT_EQ(runningTasksOf(job.id), 4);
    EXPECT_EQ(board("a1").epoch, 0);
}

}
