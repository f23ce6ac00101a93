#include "tests/domainfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// Two hosts and eight targets: workflows from their submission to their end.
struct WorkflowPath : DomainTest
{
    WorkflowPath()
    {
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }
};

TEST_F(WorkflowPath, gangThatFitsRunsOnceAndCompletes)
{
    EXPECT_FALSE(answerTo(submit(id(1), gang(4, {4'000, 8'000, 4}))).refusal);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{3'000});
    EXPECT_EQ(fleet.starts[id(1)], 4);
    EXPECT_EQ(answerTo(query(id(1), "h2")).state, WorkflowState::Completed);
}

TEST_F(WorkflowPath, secondStepStartsOnlyAfterTheFirstHasFinished)
{
    auto specification = batch(3, {1'000, 1'000, 1});
    specification.steps.push_back(specification.steps.front());
    specification.steps.back().after = {0};
    answerTo(submit(id(1), specification));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{5'000});
    EXPECT_EQ(fleet.starts[id(1)], 6);
}

TEST_F(WorkflowPath, sameIdAtAnotherHostIsTheSameWorkflow)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    EXPECT_FALSE(answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {}, "h2")).refusal);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{5'000});
    EXPECT_FALSE(answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {}, "h2")).refusal);
    run(Duration{2'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

TEST_F(WorkflowPath, occurrencesStartAtTheirTimesAndNoneTwice)
{
    auto specification = batch(1, {1'000, 1'000, 1}, Duration{100});
    specification.schedule = {3, wallNow + Duration{2'000}, Duration{1'000}};
    answerTo(submit(id(1), specification, {Duration{100}, {}}));
    run(Duration{1'500});
    EXPECT_EQ(fleet.starts[id(1)], 0) << "started before the due time";
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{5'000});
    EXPECT_EQ(fleet.starts[id(1)], 3);
}

TEST_F(WorkflowPath, cancelledWorkflowIsStoppedEverywhere)
{
    answerTo(submit(id(1), gang(4, {4'000, 8'000, 4}), {Duration{60'000}, {}}));
    runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{1'000});
    EXPECT_FALSE(answerTo(cancel(id(1), "h2")).refusal);
    runUntil([&] { return !isAtWork(fleet, id(1)); }, Duration{1'000});
    runUntil([&] { return storedState(id(1)) == WorkflowState::Cancelled; }, Duration{1'000});
    run(Duration{2'000});
    EXPECT_EQ(fleet.starts[id(1)], 4) << "restarted after the cancellation";
}

TEST_F(WorkflowPath, stateOfARunningWorkflowIsAnsweredSoon)
{
    // Guards against a query that is answered late because no timer wakes the host for a second read of the store.
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}));
    run(Duration{500});
    for (int number = 0; number < 20; ++number) {
        const auto before = now;
        EXPECT_EQ(answerTo(query(id(1), "h2")).state, WorkflowState::Running);
        EXPECT_LE(now - before, Duration{50});
        run(Duration{37});
    }
}

TEST_F(WorkflowPath, unknownWorkflowIsReportedAsNotFound)
{
    const auto answer = answerTo(query(id(7)));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::NotFound);
}

TEST_F(WorkflowPath, taskLargerThanEveryTargetIsRefusedAtOnce)
{
    answerTo(countWaiting("/urgent/")); // Reads the summary, which contains the shapes of targets.
    const auto before = now;
    const auto answer = answerTo(submit(id(1), batch(1, {1'000, 1'000, 9})));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::NeverFits);
    EXPECT_EQ(answer.refusal->run, RequestEffect::NotRun);
    EXPECT_LT(now - before, Duration{50});
}

TEST_F(WorkflowPath, invalidSubmissionsAreRefusedAsBadRequests)
{
    auto cyclic = batch(1, {1'000, 1'000, 1});
    cyclic.steps.front().after = {0};
    EXPECT_EQ(answerTo(submit(id(1), cyclic)).refusal->reason, RefusalReason::BadRequest);
    EXPECT_EQ(answerTo(submit({"not-an-id"}, batch(1, {}))).refusal->reason, RefusalReason::BadRequest);
    auto large = batch(1, {});
    large.payload = std::string(4'001, 'x');
    EXPECT_EQ(answerTo(submit(id(2), large)).refusal->reason, RefusalReason::BadRequest);
}

TEST_F(WorkflowPath, waitingWorkflowsAreCountedPerQueue)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}, "h1", "/patient/"));
    auto later = batch(1, {1'000, 1'000, 1});
    later.schedule = {1, wallNow + Duration{60'000}, Duration{0}};
    answerTo(submit(id(2), later, {}, "h1", "/patient/"));
    run(Duration{2'500});
    EXPECT_EQ(answerTo(countWaiting("/patient/", "h2")).waiting, 1);
    EXPECT_EQ(answerTo(countWaiting("/urgent/", "h2")).waiting, 0);
}

TEST_F(WorkflowPath, failingTaskIsAttemptedAsOftenAsItsQueueAllows)
{
    answerTo(submit(id(1), batch(3, {1'000, 1'000, 1}), {Duration{200}, {1}}, "h1", "/ordinary/"));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Failed; }, Duration{5'000});
    run(Duration{2'000}); // Long enough for the target to learn that the failure is stored.
    EXPECT_EQ((fleet.failures[{{id(1), 0, 0}, 1}]), 3);
}

TEST_F(WorkflowPath, failingGangIsCountedOncePerRun)
{
    answerTo(submit(id(1), gang(3, {1'000, 1'000, 1}), {Duration{200}, {1}}, "h1", "/ordinary/"));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Failed; }, Duration{8'000});
    run(Duration{2'000}); // Long enough for the target to learn that the failure is stored.
    EXPECT_EQ((fleet.failures[{{id(1), 0, 0}, 0}]), 3);
}

TEST_F(WorkflowPath, taskThatFitsOnlyATargetOutOfServiceIsAcceptedAndWaits)
{
    // Guards against answering "never fits" for work whose targets are absent for a moment, even if the owner has never seen these targets.
    auto special = fleet.targets.at({"t8"}).registration;
    special.labels.emplace_back("special");
    fleet.targets.at({"t8"}).registration = special;
    registerAgain("t8");
    run(Duration{1'500});
    unregister("t8");
    run(Duration{500});
    const auto former = owner();
    kill(former);
    const std::string remaining = former == "h1" ? "h2" : "h1";
    run(Duration{4'000});
    answerTo(countWaiting("/urgent/", remaining));
    auto specification = batch(1, {1'000, 1'000, 1});
    specification.steps.front().requiredLabel = "special";
    EXPECT_FALSE(answerTo(submit(id(1), specification, {}, remaining)).refusal);
    registerAgain("t8");
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{5'000});
}

TEST_F(WorkflowPath, oversizedTaskIsRefusedWithoutAPrecedingQuery)
{
    run(Duration{31'000}); // Long enough for the hosts to read the summary again.
    const auto answer = answerTo(submit(id(1), batch(1, {1'000, 1'000, 9})));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::NeverFits);
}

TEST_F(WorkflowPath, anotherOrganisationNeitherSeesNorCancelsAWorkflow)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}));
    callerKey = "key-hotels";
    EXPECT_EQ(answerTo(query(id(1), "h2")).refusal->reason, RefusalReason::NotFound);
    EXPECT_EQ(answerTo(cancel(id(1), "h2")).refusal->reason, RefusalReason::NotFound);
    const auto reused = answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}));
    ASSERT_TRUE(reused.refusal);
    EXPECT_EQ(reused.refusal->reason, RefusalReason::RequestIdReused);
    EXPECT_EQ(reused.refusal->run, RequestEffect::NotRun);
    callerKey = "key-tailors";
    EXPECT_EQ(answerTo(query(id(1))).state, WorkflowState::Running);
}

TEST_F(WorkflowPath, occurrencesThatAreAllDueBeginAFewAtATime)
{
    // Guards against a single workflow that exhausts the memory of the owner and of each following owner.
    auto specification = batch(100, {1'000, 1'000, 1}, Duration{100});
    specification.schedule = {10'000, wallNow, Duration{0}};
    EXPECT_FALSE(answerTo(submit(id(1), specification, {Duration{100}, {}})).refusal);
    run(Duration{500});
    const auto *entry = board(owner()).workflows.find(id(1));
    ASSERT_NE(entry, nullptr);
    EXPECT_GE(entry->progress.occurrences.size(), 2U);
    EXPECT_LE(entry->progress.occurrences.size(), 20U);
    runUntil([&] { return board(owner()).workflows.find(id(1))->progress.finishedOccurrences > 20; }, Duration{20'000});
}

TEST_F(WorkflowPath, runOfAnEndedWorkflowThatAppearsLaterIsStopped)
{
    // Guards against a run that appears on the next instance of its target after its workflow has ended, and is never stopped.
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{3'000});
    run(Duration{1'000});
    TaskRun orphaned;
    orphaned.task = {{id(1), 0, 0}, 0};
    orphaned.number = 1;
    orphaned.place = fleet.targets.at({"t1"}).registration.instance;
    orphaned.step = RunStep::Running;
    orphaned.stepSince = now;
    const auto ownerHost = owner();
    board(ownerHost).runs.put(orphaned);
    sentOrders.clear();
    run(Duration{400});
    EXPECT_TRUE(std::ranges::any_of(sentOrders, [&](const TargetOrder &order) {
        const auto *stop = std::get_if<StopRun>(&order.request);
        return stop != nullptr && stop->task == orphaned.task;
    }));
}

}
