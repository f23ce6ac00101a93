#include "tests/clusterfixture.h"

namespace sequoiastand
{

/// One host with one worker of eight accelerators.
struct Admission : ClusterTest
{
    Admission()
    {
        addTarget("t1", "r1", "a");
        configure(Team{.id = {"desk"}, .organisation = {"kask"}, .acceleratorQuota = 4});
        addEntryHost("a1", "a");
        run(Duration{1'000});
    }

    /// The refusal of a submission; fails the test if it is accepted.
    Refusal refusalOf(const JobSpecification &specification)
    {
        const CallId call = submit(specification);
        runUntil([&] { return !repliesTo(call).empty(); }, Duration{10'000});
        const std::vector<CallerReply> replies = repliesTo(call);
        if (replies.size() != 1 || !replies.front().refusal) {
            ADD_FAILURE() << "the submission was accepted or answered " << replies.size() << " times";
            return {};
        }
        return *replies.front().refusal;
    }
};

TEST_F(Admission, malformedSpecificationsAreBadRequests)
{
    JobSpecification noTasks = specification("j1", 0);
    JobSpecification slash = specification("a/b");
    JobSpecification wide = specification("j2");
    wide.acceleratorsPerTask = 33;
    JobSpecification foreignTeam = specification("j3");
    foreignTeam.team = {"nobody"};
    for (const JobSpecification &wrong : {noTasks, slash, wide, foreignTeam}) {
        const Refusal refusal = refusalOf(wrong);
        EXPECT_EQ(refusal.reason, RefusalReason::BadRequest);
        EXPECT_EQ(refusal.run, RequestEffect::NotRun);
    }
}

TEST_F(Admission, gangAboveTheTeamsQuotaIsRefused)
{
    JobSpecification job = specification("j", 5);
    job.team = {"desk"};
    EXPECT_EQ(refusalOf(job).reason, RefusalReason::QuotaExceeded);
}

TEST_F(Admission, jobLargerThanEveryZoneNeverFits)
{
    EXPECT_EQ(refusalOf(specification("j", 9)).reason, RefusalReason::NeverFits);
}

TEST_F(Admission, deadlineBeforeTheDeclaredEndIsUnreachable)
{
    JobSpecification job = specification("j");
    job.declaredRunTime = Duration{60'000};
    job.deadline = cluster.wallNow + Duration{30'000};
    EXPECT_EQ(refusalOf(job).reason, RefusalReason::DeadlineUnreachable);
}

TEST_F(Admission, submissionIsRefusedWhileEveryZoneIsOut)
{
    configure(AvailabilityZone{.id = {"a"}, .isOut = true});
    run(Duration{1'000});
    EXPECT_EQ(refusalOf(specification("j")).reason, RefusalReason::ZoneOut);
}

TEST_F(Admission, unknownOrganisationIsUnauthorised)
{
    JobSpecification job = specification("j");
    job.id.organisation = {"other"};
    EXPECT_EQ(refusalOf(job).reason, RefusalReason::Unauthorised);
}

// Guards against a queue that grows without limit in a burst of submissions, including a burst within one step.
TEST_F(Admission, submissionsBeyondTheQueueLimitAreRefused)
{
    configure(Organisation{.id = {"kask"}, .maxWaitingJobs = 10});
    run(Duration{1'000});
    holdStarts("a1", true);
    std::vector<CallId> calls;
    calls.reserve(30);
    for (int index = 0; index < 30; ++index) {
        calls.push_back(submit(specification("j" + std::to_string(index))));
    }
    run(Duration{1'000});
    int refused = 0;
    for (const CallId &call : calls) {
        ASSERT_EQ(repliesTo(call).size(), 1U);
        const auto refusal = repliesTo(call).front().refusal;
        refused += refusal && refusal->reason == RefusalReason::QueueFull && refusal->retryAfter > Duration{0} ? 1 : 0;
    }
    EXPECT_EQ(refused, 20);
}

TEST_F(Admission, resentRequestFindsTheFirstSubmission)
{
    const JobSpecification job = specification("j");
    const CallId first = submit(job);
    const CallId second = submit(job);
    runUntil([&] { return stateOf(job.id) == JobState::Finished; }, Duration{10'000});
    const CallId third = submit(job);
    run(Duration{100});
    for (const CallId &call : {first, second, third}) {
        ASSERT_EQ(repliesTo(call).size(), 1U);
        EXPECT_TRUE(repliesTo(call).front().job);
    }
    EXPECT_EQ(startsOf(job.id), 1);
}

// Two hosts receive the same request id at the same time. The store accepts one of them, and the caller of the other gets a refusal.
TEST_F(Admission, requestIdUsedWithOtherContentIsRefusedOnBothHosts)
{
    addEntryHost("a2", "a");
    run(Duration{500});
    const JobSpecification job = specification("j");
    JobSpecification other = job;
    other.payload = payload(5'000);
    const CallId first = submit(job, "a1");
    const CallId second = submit(other, "a2");
    run(Duration{1'000});
    ASSERT_EQ(repliesTo(first).size(), 1U);
    ASSERT_EQ(repliesTo(second).size(), 1U);
    EXPECT_TRUE(repliesTo(first).front().job);
    ASSERT_TRUE(repliesTo(second).front().refusal);
    EXPECT_EQ(repliesTo(second).front().refusal->reason, RefusalReason::RequestIdReused);
    EXPECT_EQ(refusalOf(other).reason, RefusalReason::RequestIdReused);
}

TEST_F(Admission, abandonedCallIsNotAnswered)
{
    const JobSpecification job = specification("j");
    submit(job);
    const CallId wait = askStatus(job.id, Duration{20'000});
    run(Duration{300});
    send("a1", CallAbandoned{wait});
    runUntil([&] { return stateOf(job.id) == JobState::Finished; }, Duration{10'000});
    run(Duration{100});
    EXPECT_TRUE(repliesTo(wait).empty());
    EXPECT_TRUE(board("a1").calls.isEmpty());
}

TEST_F(Admission, waitForAResultEndsWithThePresentState)
{
    JobSpecification job = specification("j");
    job.payload = payload(60'000);
    submit(job);
    run(Duration{500});
    const CallId wait = askStatus(job.id, Duration{1'000});
    run(Duration{900});
    EXPECT_TRUE(repliesTo(wait).empty());
    run(Duration{200});
    ASSERT_EQ(repliesTo(wait).size(), 1U);
    EXPECT_EQ(repliesTo(wait).front().job->state, JobState::Running);
}

// Guards against blocking the event loop with a large number of cancellations.
TEST_F(Admission, manyCancellationsAreHandledInLimitedSteps)
{
    holdStarts("a1", true);
    std::vector<JobSpecification> jobs;
    for (int index = 0; index < 500; ++index) {
        jobs.push_back(specification("j" + std::to_string(index)));
        submit(jobs.back());
    }
    run(Duration{500});
    for (const JobSpecification &job : jobs) {
        cancel(job.id);
    }
    run(tick);
    int cancelled = 0;
    for (const JobSpecification &job : jobs) {
        cancelled += stateOf(job.id) == JobState::Cancelled ? 1 : 0;
    }
    EXPECT_GT(cancelled, 0);
    EXPECT_LT(cancelled, 500);
    run(Duration{500});
    for (const JobSpecification &job : jobs) {
        ASSERT_TRUE(isStored(job.id, JobState::Cancelled));
    }
}

}
