#include "tests/clusterfixture.h"

namespace sequoiastand
{

/// Two hosts of one zone, a1 and a2, of which either owns it, while the store is unreachable.
struct StoreOutage : ClusterTest
{
    StoreOutage()
    {
        addTarget("t1", "r1", "a");
        addEntryHost("a1", "a");
        addEntryHost("a2", "a");
        run(Duration{4'000});
        setStoreUp(false);
        run(Duration{4'000});
    }

    std::string owner()
    {
        return board("a1").epoch > 0 ? "a1" : "a2";
    }

    std::string standby()
    {
        return owner() == "a1" ? "a2" : "a1";
    }

    CallerReply replyTo(CallId call)
    {
        runUntil([&] { return !repliesTo(call).empty(); }, Duration{15'000});
        const std::vector<CallerReply> replies = repliesTo(call);
        return replies.empty() ? CallerReply{} : replies.front();
    }
};

TEST_F(StoreOutage, idempotentJobIsAcceptedOnceItsTargetsHaveStartedIt)
{
    const JobSpecification job = specification("scan");
    const CallId call = submit(job, owner());
    const CallerReply reply = replyTo(call);
    ASSERT_TRUE(reply.job);
    EXPECT_EQ(startsOf(job.id), 1);
    setStoreUp(true);
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{10'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(StoreOutage, standbyOffersTheJobToTheOwner)
{
    const JobSpecification job = specification("scan");
    const CallId call = submit(job, standby());
    ASSERT_TRUE(replyTo(call).job);
    EXPECT_EQ(startsOf(job.id), 1);
    EXPECT_EQ(repliesTo(call).size(), 1U);
}

TEST_F(StoreOutage, jobThatIsNotIdempotentIsRefusedAsNotRun)
{
    JobSpecification job = specification("profile");
    job.isIdempotent = false;
    const CallerReply reply = replyTo(submit(job, owner()));
    ASSERT_TRUE(reply.refusal);
    EXPECT_EQ(reply.refusal->reason, RefusalReason::StoreUnavailable);
    EXPECT_EQ(reply.refusal->run, RequestEffect::NotRun);
    setStoreUp(true);
    run(Duration{10'000});
    EXPECT_EQ(startsOf(job.id), 0);
    EXPECT_FALSE(hasStoredRecord(job.id));
}

// Guards against a job that is recorded and run although it was refused as not run.
TEST_F(StoreOutage, jobThatCannotStartAtOnceIsRefusedAndNeverRuns)
{
    JobSpecification first = specification("first", 8);
    first.payload = payload(30'000);
    ASSERT_TRUE(replyTo(submit(first, owner())).job);
    const JobSpecification second = specification("second");
    const CallerReply reply = replyTo(submit(second, owner()));
    ASSERT_TRUE(reply.refusal);
    EXPECT_EQ(reply.refusal->run, RequestEffect::NotRun);
    setStoreUp(true);
    run(Duration{60'000});
    EXPECT_EQ(startsOf(second.id), 0);
    EXPECT_FALSE(hasStoredRecord(second.id));
    EXPECT_TRUE(isStored(first.id, JobState::Finished));
}

// An accepted job must survive the failure of one host: the targets of the job keep it in their task labels.
TEST_F(StoreOutage, acceptedJobSurvivesTheLossOfItsOwner)
{
    JobSpecification job = specification("scan");
    job.payload = payload(5'000);
    const std::string first = owner();
    const std::string second = standby();
    ASSERT_TRUE(replyTo(submit(job, first)).job);
    kill(first);
    runUntil([&] { return board(second).epoch > 0 && stateOf(job.id, second) == JobState::Finished; }, Duration{30'000});
    const CallId call = askStatus(job.id, Duration{0}, second);
    EXPECT_EQ(replyTo(call).job->result, "pressed");
    setStoreUp(true);
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{10'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(StoreOutage, statusOfUnknownJobIsUnavailable)
{
    const CallerReply reply = replyTo(askStatus({{"kask"}, {"elsewhere"}}, Duration{0}));
    ASSERT_TRUE(reply.refusal);
    EXPECT_EQ(reply.refusal->reason, RefusalReason::StoreUnavailable);
    EXPECT_EQ(reply.refusal->run, RequestEffect::Unknown);
}

TEST_F(StoreOutage, runningJobIsCancelledByItsOwner)
{
    setStoreUp(true);
    JobSpecification job = specification("long");
    job.payload = payload(60'000);
    submit(job, owner());
    runUntil([&] { return isStored(job.id, JobState::Running); }, Duration{5'000});
    setStoreUp(false);
    run(Duration{4'000});
    const CallId call = cancel(job.id, owner());
    const CallerReply reply = replyTo(call);
    ASSERT_TRUE(reply.job);
    EXPECT_EQ(reply.job->state, JobState::Cancelled);
    EXPECT_EQ(runningTasksOf(job.id), 0);
}

/// One host that owns its zone and loses the store during an operation.
struct StoreLossDuringOperation : ClusterTest
{
    StoreLossDuringOperation()
    {
        addTarget("t1", "r1", "a");
        addEntryHost("a1", "a");
        run(Duration{1'000});
    }
};

TEST_F(StoreLossDuringOperation, submissionThatIsNotStoredInTimeIsWithdrawn)
{
    setStoreUp(false);
    const JobSpecification job = specification("scan");
    const CallId call = submit(job);
    runUntil([&] { return !repliesTo(call).empty(); }, Duration{10'000});
    EXPECT_EQ(repliesTo(call).front().refusal->run, RequestEffect::NotRun);
    setStoreUp(true);
    run(Duration{10'000});
    EXPECT_EQ(startsOf(job.id), 0);
    EXPECT_FALSE(hasStoredRecord(job.id));
}

// Guards against the start of a job that is not idempotent before its record is stored.
TEST_F(StoreLossDuringOperation, notIdempotentJobDoesNotStartBeforeItsRecordIsStored)
{
    holdStarts("a1", true);
    JobSpecification job = specification("profile");
    job.isIdempotent = false;
    submit(job);
    runUntil([&] { return hasStoredRecord(job.id); }, Duration{1'000});
    setStoreUp(false);
    holdStarts("a1", false);
    run(Duration{10'000});
    EXPECT_EQ(startsOf(job.id), 0);
    setStoreUp(true);
    runUntil([&] { return isStored(job.id, JobState::Finished); }, Duration{20'000});
    EXPECT_EQ(startsOf(job.id), 1);
}

TEST_F(StoreLossDuringOperation, noTaskStartsWithoutPermit)
{
    holdStarts("a1", true);
    const JobSpecification job = specification("scan");
    submit(job);
    run(Duration{5'000});
    EXPECT_EQ(startsOf(job.id), 0);
    holdStarts("a1", false);
    runUntil([&] { return startsOf(job.id) == 1; }, Duration{2'000});
}

}
