#include "tests/domainfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// A host and eight targets. The first start of a task is not answered and is executed two seconds later; in the meantime its target refuses orders as
/// unhealthy, which has no effect on its runs.
struct RefusedOrders : DomainTest
{
    RefusedOrders()
    {
        addTargets(8);
        addHost("h1");
        run(Duration{1'000});
    }

    /// Submits a workflow of one task whose first start is delayed, and returns the target of this start.
    TargetId startLate(const WorkflowSpecification &specification = batch(1, {1'000, 1'000, 1}), Duration work = Duration{6'000})
    {
        startDelay = lateBy;
        answerTo(submit(id(1), specification, {work, {}}));
        runUntil([&] { return latestPlace(1).has_value(); }, Duration{500});
        startDelay = Duration{0};
        auto target = *latestPlace(1);
        unhealthyTargets.insert(target);
        return target;
    }

    /// Target of the latest start order of the workflow's first task.
    std::optional<TargetId> latestPlace(int number) const
    {
        const TaskId task{{id(number), 0, 0}, 0};
        const auto starts = std::ranges::find_if(sentOrders.rbegin(), sentOrders.rend(), [&](const TargetOrder &order) {
            const auto *start = std::get_if<StartRun>(&order.request);
            return start != nullptr && start->task == task;
        });
        if (starts == sentOrders.rend()) {
            return std::nullopt;
        }
        return starts->target;
    }

    const Duration lateBy{2'000};
};

// Guards against running a task twice: a stop that was refused did not stop the run, so the run's unanswered start may still be executed.
TEST_F(RefusedOrders, taskDoesNotStartElsewhereWhileTheStopOfItsUnansweredStartIsRefused)
{
    const auto place = startLate();
    run(lateBy + Duration{500});
    unhealthyTargets.clear();
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{20'000});
    EXPECT_LE(fleet.starts[id(1)], 2) << "on " << place.value;
}

// Guards against running members of a gang twice in the same way.
TEST_F(RefusedOrders, gangDoesNotStartElsewhereWhileTheStopOfAMemberIsRefused)
{
    startLate(gang(3, {4'000, 8'000, 4}));
    run(lateBy + Duration{500});
    unhealthyTargets.clear();
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{20'000});
}

// Guards against waiting for a target that refuses every stop: once the deadline of a start has passed on the target's clock, the start has no effect any more.
TEST_F(RefusedOrders, taskStartsElsewhereOnceItsUnansweredStartCanNoLongerBeExecuted)
{
    startDelay = Duration{60'000};
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{1'000}, {}}));
    runUntil([&] { return latestPlace(1).has_value(); }, Duration{500});
    startDelay = Duration{0};
    unhealthyTargets.insert(*latestPlace(1));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, settings.limits.startValidity + settings.limits.holdWait + Duration{1'500});
}

// Guards against showing a workflow as running because its start was planned, although every target has refused it.
TEST_F(RefusedOrders, workflowIsShownAsWaitingUntilATargetTakesAStart)
{
    for (int number = 1; number <= 8; ++number) {
        unhealthyTargets.insert({"t" + std::to_string(number)});
    }
    answerTo(submit(id(1), batch(2, {1'000, 1'000, 1}), {Duration{60'000}, {}}, "h1", "/patient/"));
    run(Duration{5'000});
    EXPECT_TRUE(latestPlace(1).has_value()) << "no start was sent";
    EXPECT_EQ(answerTo(query(id(1), "h1", "/patient/")).state, WorkflowState::Queued);
    EXPECT_EQ(answerTo(countWaiting("/patient/")).waiting, 1);
    unhealthyTargets.clear();
    run(Duration{4'000});
    EXPECT_EQ(answerTo(query(id(1), "h1", "/patient/")).state, WorkflowState::Running);
    EXPECT_EQ(answerTo(countWaiting("/patient/")).waiting, 0);
}

// Guards against leaving a task of a cancelled job at work: a stop that was refused is sent again, also for a run that its target lists.
TEST_F(RefusedOrders, cancelledTaskIsStoppedOnceItsTargetTakesOrdersAgain)
{
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{60'000}, {}}));
    runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{1'000});
    run(Duration{1'500});
    unhealthyTargets.insert(*latestPlace(1));
    answerTo(cancel(id(1)));
    run(Duration{2'000});
    EXPECT_TRUE(isAtWork(fleet, id(1)));
    unhealthyTargets.clear();
    runUntil([&] { return !isAtWork(fleet, id(1)); }, Duration{2'000});
}

}
