#include "workflow/controllers.h"
#include "workflow/workflowstep.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace sequoiastand
{

/// An owner's board with a burst of recorded runs whose starts have not been sent yet.
struct StartPacing : testing::Test
{
    StartPacing()
    {
        board = makeWorkflowBoard({}, now, WallTime{});
        board.ownership.step = OwnershipStep::Owner;
        board.ownership.authorityUntil = now + Duration{60'000};
        board.view.isLoaded = true;
        board.view.provenAt = now;
        DomainTarget target;
        target.registration.instance = instance;
        target.registration.address = "10.0.0.1:80";
        target.hasAnsweredOwner = true;
        target.answeredAt = now;
        board.targets.put(instance.target, target);
    }

    /// Adds recorded runs of one step; their records count as stored.
    void addStep(const std::string &id, int tasks, bool isGang, int priority = 1)
    {
        Workflow workflow;
        workflow.id = {id};
        workflow.queue.priority = priority;
        workflow.specification.steps.resize(1);
        workflow.specification.steps.front().taskCount = tasks;
        workflow.specification.steps.front().isGang = isGang;
        WorkflowEntry entry;
        entry.workflow = std::make_shared<const Workflow>(workflow);
        entry.progress.occurrences.emplace(0, newOccurrence(workflow.specification));
        board.workflows.put(workflow.id, entry);
        for (int index = 0; index < tasks; ++index) {
            TaskRun run;
            run.task = {{workflow.id, 0, 0}, index};
            run.number = 1;
            run.place = instance;
            run.stepSince = now;
            board.runs.put(run);
        }
    }

    int startsOf(const std::string &id) const
    {
        return static_cast<int>(std::ranges::count_if(board.outbox, [&](const WorkflowMessage &message) {
            const auto *order = std::get_if<TargetOrder>(&message);
            const auto *start = order == nullptr ? nullptr : std::get_if<StartRun>(&order->request);
            return start != nullptr && start->task.step.workflow.value == id;
        }));
    }

    /// Answers all starts under way, and lets the owner send further ones.
    void answerStarts()
    {
        board.inbox.clear();
        for (const auto &[call, task] : board.runCalls) {
            TargetOrderReply reply;
            reply.id = call;
            reply.target = instance.target;
            reply.outcome = OrderOutcome::Accepted;
            board.inbox.emplace_back(reply);
        }
        board.outbox.clear();
        followRuns(board);
        driveRuns(board);
    }

    const TimePoint now{Duration{1'000'000}};
    const TargetInstance instance{{"t1"}, 1'000};
    WorkflowBoard board;
};

TEST_F(StartPacing, startsBeyondTheLimitWaitForAnswers)
{
    // Guards against a thousand starts at once, the last of which time out before their answers are read.
    addStep("batch", 130, false);
    driveRuns(board);
    EXPECT_EQ(startsOf("batch"), board.self.limits.maxStartsUnderWay);
    answerStarts();
    EXPECT_EQ(startsOf("batch"), board.self.limits.maxStartsUnderWay);
    answerStarts();
    EXPECT_EQ(startsOf("batch"), 130 - 2 * board.self.limits.maxStartsUnderWay);
}

TEST_F(StartPacing, gangIsStartedWholeEvenBeyondTheLimit)
{
    addStep("gang", 80, true);
    driveRuns(board);
    EXPECT_EQ(startsOf("gang"), 80);
}

TEST_F(StartPacing, gangThatFindsTheLimitReachedWaitsAsAWhole)
{
    addStep("a", 80, true);
    addStep("b", 10, true);
    driveRuns(board);
    EXPECT_EQ(startsOf("a"), 80);
    EXPECT_EQ(startsOf("b"), 0);
    answerStarts();
    EXPECT_EQ(startsOf("b"), 10);
}

TEST_F(StartPacing, urgentStartsGoFirst)
{
    addStep("a", 60, false, 2);
    addStep("b", 20, true, 0);
    driveRuns(board);
    EXPECT_EQ(startsOf("b"), 20);
    EXPECT_EQ(startsOf("a"), board.self.limits.maxStartsUnderWay - 20);
}

TEST_F(StartPacing, hostWithTimerLagWaitsLongerForAnswers)
{
    board.lag.mean = Duration{150};
    addStep("gang", 1, true);
    driveRuns(board);
    EXPECT_EQ(std::get<TargetOrder>(board.outbox.front()).timeout, board.self.limits.startTimeout + Duration{300});
}

}
