#include "soak/fleetuse.h"
#include "soak/soakhistory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace sequoiastand
{

/// The room of a fleet of three sound targets, of which one has the label "large".
struct SoakFleetUse : testing::Test
{
    SoakFleetUse()
    {
        for (const std::string target : {"t1", "t2", "t3"}) {
            use.sound[{target}] = {{4'000, 4'000, 4}, {"kind", "r1"}, {}};
        }
        use.sound.at({"t3"}).labels.emplace_back("large");
        step.perTask = {1'000, 1'000, 1};
    }

    int room(int wanted) const
    {
        return roomFor(use, id, step, wanted, 2);
    }

    const StepId id{{"00000000000000aa"}, 0, 0};
    FleetUse use;
    StepSpecification step;
};

TEST_F(SoakFleetUse, stepWithoutDemandsMayUseAllTargets)
{
    EXPECT_EQ(room(100), 12);
    EXPECT_EQ(room(5), 5);
}

// Guards against a standstill that is reported though only targets without the required label have room.
TEST_F(SoakFleetUse, requiredLabelLeavesOnlyTheTargetsThatHaveIt)
{
    step.requiredLabel = "large";
    EXPECT_EQ(room(100), 4);
}

// Guards against room on targets that already run as many tasks of the step as may run there.
TEST_F(SoakFleetUse, limitOnOneTargetHoldsForEachCopyBesideTheRunningTasks)
{
    step.maxPerTarget = 1;
    EXPECT_EQ(room(100), 6);
    use.sound.at({"t1"}).tasks[id] = 1;
    EXPECT_EQ(room(100), 4);
}

// Guards against a check that excuses the wait for a preferred rack.
TEST_F(SoakFleetUse, preferredRacksLeaveTheRoomAsItIs)
{
    step.needsOneRack = true;
    step.dataRack = {"r2"};
    EXPECT_EQ(room(100), 12);
}

// Guards against standstills on a full fleet that are reported because of room which other work is about to take.
TEST_F(SoakFleetUse, roomThatWasInUseInARecentSampleDoesNotLast)
{
    auto former = use;
    former.sound.at({"t1"}).free.accelerators = 1;
    former.sound.erase({"t2"});
    use = withLastingRoom(use, {former});
    EXPECT_EQ(room(100), 5);
}

/// A history with one urgent workflow of two tasks, accepted at 10.0 s and started at 10.2 s.
struct SoakUrgentWork : testing::Test
{
    SoakUrgentWork()
    {
        history.workflows[workflow] = {.endState = WorkflowState::Completed, .firstStepTasks = 2};
        ObservedCall submission;
        submission.action = CallerAction::Submit;
        submission.workflow = workflow;
        submission.sentAt = at(9'990);
        submission.endedAt = at(10'000);
        submission.status = 200;
        history.calls.push_back(submission);
        history.starts.push_back({at(10'200), {step, 0}, {"t1"}, {"a"}, false});
        history.starts.push_back({at(10'200), {step, 1}, {"t1"}, {"a"}, false});
    }

    static TimePoint at(int ms)
    {
        return TimePoint{Duration{100'000 + ms}};
    }

    const RequestId workflow{"00000000000000aa"};
    const StepId step{workflow, 0, 0};
    SoakHistory history;
};

TEST_F(SoakUrgentWork, startOfAllTasksInTimeIsAccepted)
{
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

// Guards against a check that is content with the first of several tasks.
TEST_F(SoakUrgentWork, taskThatBeginsLateInACalmTimeIsFound)
{
    history.starts.back().at = at(12'901);
    EXPECT_THAT(checkHistory(history), testing::ElementsAre(testing::StartsWith("RECLAIM")));
    history.disturbances.push_back({{"h1"}, at(6'000), at(6'500)});
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

TEST_F(SoakUrgentWork, workBeyondTheGuaranteeMayBeginLater)
{
    history.starts.back().at = at(12'901);
    history.workflows.at(workflow).isBeyondGuarantee = true;
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

// Guards against a cancellation that is confirmed and never reaches the target.
TEST_F(SoakUrgentWork, cancelledRunThatGoesOnInACalmTimeIsFound)
{
    history.workflows.at(workflow).cancelledAt = at(20'000);
    auto &run = history.cancelledRuns[{{step, 0}, 1}];
    run = {{"t1"}, at(20'000), at(23'199)};
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
    run.until = at(23'200);
    EXPECT_THAT(checkHistory(history), testing::ElementsAre(testing::StartsWith("UNASKED")));
    history.disturbances.push_back({{"h1"}, at(15'000), at(16'100)});
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

}
