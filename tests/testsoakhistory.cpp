#include "soak/faultplan.h"
#include "soak/soakhistory.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

namespace sequoiastand
{

/// A history in which one workflow was accepted by one host and completed; each test breaks one promise in it.
struct SoakHistoryCheck : testing::Test
{
    SoakHistoryCheck()
    {
        history.workflows[workflow] = {false, std::nullopt, false, WorkflowState::Completed};
        history.calls.push_back(call(CallerAction::Submit, 1'000, 1'010, 200));
        history.starts.push_back({at(1'100), task(0), {"t1"}, {"a"}, false});
    }

    static TimePoint at(int ms)
    {
        return TimePoint{Duration{100'000 + ms}};
    }

    static TaskId task(int index)
    {
        return {{workflow, 0, 0}, index};
    }

    static ObservedCall call(CallerAction action, int sentMs, int endedMs, int status)
    {
        ObservedCall made;
        made.action = action;
        made.workflow = workflow;
        made.host = {"h1"};
        made.key = "key";
        made.sentAt = at(sentMs);
        made.endedAt = at(endedMs);
        made.status = status;
        return made;
    }

    /// Expects one broken promise of that rule, and none once everyone was disturbed all the time.
    void expectBroken(const std::string &rule, bool isExcusedByDisturbance)
    {
        EXPECT_THAT(checkHistory(history), testing::ElementsAre(testing::StartsWith(rule)));
        history.disturbances.push_back({HostId{}, at(0), at(60'000)});
        EXPECT_EQ(checkHistory(history).empty(), isExcusedByDisturbance);
    }

    static inline const RequestId workflow{"00000000000000aa"};
    SoakHistory history;
};

TEST_F(SoakHistoryCheck, historyInWhichEverythingWentWellIsAccepted)
{
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

TEST_F(SoakHistoryCheck, startOfRejectedWorkIsFound)
{
    history.calls.front().status = 503;
    expectBroken("REFUSED", false);
}

TEST_F(SoakHistoryCheck, answerThatLeavesTheOutcomeOpenIsNoRejection)
{
    for (const int status : {0, 502, 504}) {
        history.calls.front().status = status;
        EXPECT_THAT(checkHistory(history), testing::IsEmpty()) << status;
    }
}

TEST_F(SoakHistoryCheck, acceptedWorkThatIsUnknownAtTheEndIsFound)
{
    history.workflows.at(workflow).endState.reset();
    expectBroken("LOST", false);
}

TEST_F(SoakHistoryCheck, acceptedWorkThatHasNotEndedIsFound)
{
    history.workflows.at(workflow).endState = WorkflowState::Running;
    expectBroken("LOST", false);
}

TEST_F(SoakHistoryCheck, soundWorkThatIsShownAsFailedIsFound)
{
    history.workflows.at(workflow).endState = WorkflowState::Failed;
    expectBroken("LOST", false);
}

TEST_F(SoakHistoryCheck, workThatFailedAsOftenAsItsQueueAllowsMayBeShownAsFailed)
{
    // Seed 112: two targets that fail everything used up the two attempts of a task that was sound.
    history.workflows.at(workflow) = {true, std::nullopt, false, WorkflowState::Failed};
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

TEST_F(SoakHistoryCheck, completionThatIsShownTooEarlyIsFound)
{
    auto query = call(CallerAction::Query, 1'200, 1'210, 200);
    query.state = WorkflowState::Completed;
    query.hasUnfinishedTasks = true;
    history.calls.push_back(query);
    expectBroken("MIXED", false);
}

TEST_F(SoakHistoryCheck, keyThatIsServedPastItsTimeIsFound)
{
    history.keysRemoved.push_back({"key", at(1'000), std::nullopt});
    history.calls.push_back(call(CallerAction::Query, 6'100, 6'110, 200));
    expectBroken("CONFIG", false);
}

TEST_F(SoakHistoryCheck, keyThatHasComeBackIsServedRightly)
{
    history.keysRemoved.push_back({"key", at(1'000), at(6'000)});
    history.calls.push_back(call(CallerAction::Query, 6'100, 6'110, 200));
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

TEST_F(SoakHistoryCheck, callThatIsAnsweredOnceTheKeyIsBackIsServedRightly)
{
    // Seed 135: a paused host read a call of 6.4 s after the removal when the key had been back for 1.7 s.
    history.keysRemoved.push_back({"key", at(1'000), at(8'000)});
    history.calls.push_back(call(CallerAction::Query, 7'400, 9'800, 200));
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

TEST_F(SoakHistoryCheck, startInAZoneThatIsOutIsFound)
{
    history.zonesOut.push_back({"a", at(1'000), std::nullopt});
    history.starts.push_back({at(6'100), task(1), {"t1"}, {"a"}, false});
    expectBroken("EVAC", true);
}

TEST_F(SoakHistoryCheck, startOnALeavingTargetIsFoundUnlessItsOrderWasLate)
{
    history.targetsLeaving.push_back({"t1", at(1'000), std::nullopt});
    history.starts.push_back({at(3'100), task(1), {"t1"}, {"a"}, true});
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
    history.starts.back().isLate = false;
    expectBroken("DRAIN", true);
}

TEST_F(SoakHistoryCheck, startOfCancelledWorkIsFound)
{
    history.workflows.at(workflow) = {false, at(1'200), false, WorkflowState::Cancelled};
    history.calls.push_back(call(CallerAction::Cancel, 1'200, 1'210, 200));
    history.starts.push_back({at(4'300), task(1), {"t1"}, {"a"}, false});
    expectBroken("UNASKED", true);
}

TEST_F(SoakHistoryCheck, requestThatAPlannedStopCutsOffIsFound)
{
    history.plannedStops.push_back({{"h1"}, at(2'000), at(4'000), 0});
    history.calls.push_back(call(CallerAction::Query, 2'100, 2'400, 0));
    expectBroken("LOST", true);
}

TEST_F(SoakHistoryCheck, requestThatWasSentJustBeforeTheCutMayBeUnread)
{
    history.plannedStops.push_back({{"h1"}, at(2'000), at(4'000), 0});
    history.calls.push_back(call(CallerAction::Query, 2'100, 2'200, 0));
    EXPECT_THAT(checkHistory(history), testing::IsEmpty());
}

TEST_F(SoakHistoryCheck, plannedStopThatTakesTooLongOrFailsIsFound)
{
    history.plannedStops.push_back({{"h1"}, at(2'000), at(8'100), 0});
    history.plannedStops.push_back({{"h2"}, at(2'000), at(4'000), 1});
    EXPECT_THAT(checkHistory(history), testing::ElementsAre(testing::HasSubstr("h1: ended 6100 ms"), testing::HasSubstr("h2: ended with status 1")));
}

TEST_F(SoakHistoryCheck, guaranteedWorkThatBeginsTooLateIsFound)
{
    history.workflows.at(workflow).isUrgent = true;
    history.starts.front().at = at(3'800);
    expectBroken("RECLAIM", true);
}

TEST_F(SoakHistoryCheck, processThatEndsByItselfIsFound)
{
    history.unaskedEnds.push_back({{"h1"}, at(2'000), -11});
    expectBroken("END", false);
}

TEST_F(SoakHistoryCheck, hostThatStaysUnreadyIsFound)
{
    history.hostsNotReadyAtEnd.push_back({"h1"});
    expectBroken("READY", false);
}

TEST_F(SoakHistoryCheck, objectionsOfTheTargetsAreKept)
{
    history.targetViolations.emplace_back("TWICE: 00000000000000aa.0.0.1: started while another run of it is running");
    expectBroken("TWICE", false);
}

/// Plans of faults.
struct FaultPlan : testing::Test
{
};

TEST_F(FaultPlan, sameSeedGivesTheSamePlan)
{
    EXPECT_EQ(makeFaultPlan(7, Duration{20'000}), makeFaultPlan(7, Duration{20'000}));
    EXPECT_NE(makeFaultPlan(7, Duration{20'000}), makeFaultPlan(8, Duration{20'000}));
}

TEST_F(FaultPlan, faultsEndWithinThePlanAndOverlap)
{
    const Duration length{20'000};
    const auto plan = makeFaultPlan(3, length);
    ASSERT_GT(plan.size(), 5U);
    EXPECT_TRUE(std::ranges::all_of(plan, [&](const PlannedFault &fault) { return fault.at + fault.length <= length; }));
    EXPECT_TRUE(std::ranges::is_sorted(plan, {}, &PlannedFault::at));
    EXPECT_NE(std::ranges::adjacent_find(plan, [](const auto &left, const auto &right) { return right.at < left.at + left.length; }), plan.end());
}

TEST_F(FaultPlan, everyKindOfFaultIsDrawn)
{
    // Guards against a kind that is listed and never injected.
    std::set<FaultKind> drawn;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::ranges::transform(makeFaultPlan(seed, Duration{20'000}), std::inserter(drawn, drawn.end()), &PlannedFault::kind);
    }
    EXPECT_EQ(drawn.size(), static_cast<std::size_t>(FaultKind::CallerBurst) + 1);
}

}
