#include "core/joboutcome.h"
#include "core/jobrecord.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

/// A gang of two tasks that ran for a minute.
struct JobOutcomeUpdate : testing::Test
{
    JobOutcomeUpdate()
    {
        job.specification.id = {{"kask"}, {"gang"}};
        job.specification.taskCount = 2;
        job.state = JobState::Running;
        job.attemptCount = 1;
        attempt.id = {job.specification.id, 1};
        attempt.step = AttemptStep::Ended;
        attempt.runningSince = TimePoint{Duration{0}};
        for (int index = 0; index < 2; ++index) {
            AttemptMember member;
            member.index = index;
            member.step = MemberStep::Ended;
            member.mayHaveRun = true;
            attempt.members.push_back(member);
        }
    }

    void endAs(TaskState first, TaskState second)
    {
        attempt.members[0].end = first;
        attempt.members[1].end = second;
    }

    Job after() const
    {
        return withAttemptEnd(job, attempt, 4, TimePoint{Duration{60'000}}, WallTime{Duration{1'060'000}});
    }

    Job job;
    Attempt attempt;
};

TEST_F(JobOutcomeUpdate, gangFinishesOnlyIfEveryTaskFinished)
{
    endAs(TaskState::Finished, TaskState::Finished);
    EXPECT_EQ(after().state, JobState::Finished);
    endAs(TaskState::Finished, TaskState::Stopped);
    EXPECT_EQ(after().state, JobState::Unknown);
}

TEST_F(JobOutcomeUpdate, preemptedJobResumesFromItsCheckpointAndLosesOnlyTheRest)
{
    job.specification.isCheckpointable = true;
    attempt.stopCause = StopCause::Preempted;
    attempt.checkpointedWork = Duration{45'000};
    endAs(TaskState::Stopped, TaskState::Stopped);
    const Job resumed = after();
    EXPECT_EQ(resumed.state, JobState::Waiting);
    EXPECT_EQ(resumed.checkpointedWork, Duration{45'000});
    EXPECT_EQ(resumed.held.front().lostWork, Duration{15'000});
    EXPECT_EQ(resumed.failedAttempts, 0);
}

// Guards against a second run from the beginning after a stop without a checkpoint.
TEST_F(JobOutcomeUpdate, notIdempotentJobStoppedWithoutCheckpointIsUnknown)
{
    job.specification.isCheckpointable = true;
    attempt.stopCause = StopCause::Preempted;
    endAs(TaskState::Stopped, TaskState::Stopped);
    EXPECT_EQ(after().state, JobState::Unknown);
}

TEST_F(JobOutcomeUpdate, lostTaskOfNotIdempotentJobIsUnknownEvenWithCheckpoint)
{
    job.specification.isCheckpointable = true;
    attempt.checkpointedWork = Duration{45'000};
    endAs(TaskState::Stopped, TaskState::Stopped);
    attempt.members[1].end.reset();
    EXPECT_EQ(after().state, JobState::Unknown);
}

TEST_F(JobOutcomeUpdate, adoptedGangWithMissingMemberIsNotFinished)
{
    endAs(TaskState::Finished, TaskState::Finished);
    attempt.members.pop_back();
    EXPECT_EQ(after().state, JobState::Unknown);
    job.specification.isIdempotent = true;
    EXPECT_EQ(after().state, JobState::Waiting);
}

TEST_F(JobOutcomeUpdate, cancelledJobThatFinishedFirstIsFinished)
{
    job.isCancelRequested = true;
    endAs(TaskState::Finished, TaskState::Finished);
    EXPECT_EQ(after().state, JobState::Finished);
    endAs(TaskState::Finished, TaskState::Stopped);
    EXPECT_EQ(after().state, JobState::Cancelled);
}

/// A row on this host and its stored record with a higher revision.
struct JobMerge : testing::Test
{
    JobMerge()
    {
        local.specification.id = {{"kask"}, {"job"}};
        local.availabilityZone = {"a"};
        local.revision = 5;
        stored = local;
        stored.revision = 9;
    }

    Job local;
    Job stored;
};

TEST_F(JobMerge, terminalStateNeverChanges)
{
    local.state = JobState::Finished;
    stored.state = JobState::Running;
    EXPECT_EQ(mergeJob(local, stored, true, false).job.state, JobState::Finished);
    local.state = JobState::Running;
    stored.state = JobState::Cancelled;
    EXPECT_EQ(mergeJob(local, stored, true, true).job.state, JobState::Cancelled);
}

TEST_F(JobMerge, ownersRunAndOthersCancellationAreBothKept)
{
    local.state = JobState::Running;
    local.attemptCount = 2;
    stored.isCancelRequested = true;
    const MergedJob merged = mergeJob(local, stored, true, true);
    EXPECT_EQ(merged.job.state, JobState::Running);
    EXPECT_EQ(merged.job.attemptCount, 2);
    EXPECT_TRUE(merged.job.isCancelRequested);
    EXPECT_EQ(merged.job.revision, 9);
    EXPECT_TRUE(merged.needsSaving);
}

TEST_F(JobMerge, jobThatAnotherZoneTookOverIsReplacedByTheStoredRecord)
{
    local.state = JobState::Running;
    stored.availabilityZone = {"b"};
    EXPECT_EQ(mergeJob(local, stored, true, true).job, stored);
}

// The first result counts. Here, the zone that was considered lost finished the job before the zone that took the job over.
TEST_F(JobMerge, unsavedResultWinsOverATakeover)
{
    local.state = JobState::Finished;
    local.result = "pressed";
    stored.availabilityZone = {"b"};
    const MergedJob merged = mergeJob(local, stored, true, true);
    EXPECT_EQ(merged.job.result, "pressed");
    EXPECT_TRUE(merged.needsSaving);
}

}
