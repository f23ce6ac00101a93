#include "tests/domainfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// Two hosts and eight targets. Starts and holds may be executed seconds after they were sent, also by the next instance of their target, whose clock, fencing token and
/// runs have begun anew.
struct LateOrders : DomainTest
{
    LateOrders()
    {
        lateOrdersSurvive = true;
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{20'000}); // So that the deadline of a start is far ahead on the clock of a later instance.
    }

    /// Submits a workflow of one task whose first start is executed after the delay, and returns the target of this start.
    std::string startLate(Duration delay, Duration work)
    {
        startDelay = delay;
        answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {work, {}}));
        runUntil([&] { return std::ranges::any_of(sentOrders, isStart); }, Duration{500});
        startDelay = Duration{0};
        return std::ranges::find_if(sentOrders, isStart)->target.value;
    }

    /// Starts a task that is given up on its first target and runs elsewhere, and returns the first target, which may execute its start four seconds after it
    /// was sent.
    std::string startLateAndElsewhere()
    {
        auto place = startLate(Duration{4'000}, Duration{6'000});
        unhealthyTargets.insert({place});
        run(Duration{300});
        drain(place);
        unhealthyTargets.clear();
        runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{3'000});
        return place;
    }

    /// Restarts a target that reaches neither the store nor the hosts.
    void restartUnseen(const std::string &target)
    {
        restartTarget(fleet, {target}, now);
    }

    static bool contains(const std::vector<std::string> &lines, std::string_view text)
    {
        return std::ranges::any_of(lines, [&](const std::string &line) { return line.find(text) != std::string::npos; });
    }

    /// Sends holds that are executed after the delay to all targets.
    void holdLate(Duration delay)
    {
        const auto first = sentOrders.size();
        holdDelay = delay;
        const auto isHeld = [&](const auto &row) {
            return std::any_of(sentOrders.begin() + static_cast<std::ptrdiff_t>(first), sentOrders.end(), [&](const TargetOrder &order) {
                return order.target == row.first && std::holds_alternative<HoldRuns>(order.request);
            });
        };
        runUntil([&] { return std::ranges::all_of(fleet.targets, isHeld); }, Duration{3'000});
        holdDelay = Duration{0};
    }

    void crashAll()
    {
        for (int number = 1; number <= 8; ++number) {
            crash("t" + std::to_string(number));
        }
    }

    /// The target of the newest start.
    std::string newestPlace() const
    {
        return std::ranges::find_if(sentOrders.rbegin(), sentOrders.rend(), isStart)->target.value;
    }

    static bool isStart(const TargetOrder &order)
    {
        return std::holds_alternative<StartRun>(order.request);
    }
};

// Guards against running a task twice: an unanswered start may be executed by the next instance of its target, which nobody has seen yet, after the lease of the
// former one has lapsed.
TEST_F(LateOrders, taskDoesNotStartElsewhereWhileAnUnseenInstanceMayExecuteItsStart)
{
    const auto place = startLate(Duration{11'000}, Duration{15'000});
    cutOff(place);
    unregister(place);
    run(Duration{2'000});
    restartUnseen(place);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{60'000});
}

// Guards against storing unanswered starts without need: the next owner does not know of them, but the token of its first hold keeps a start of the former owner
// from being executed, also by an instance that knows nothing of before.
TEST_F(LateOrders, startOfAFormerOwnerIsRefusedByAnInstanceThatTheNextOwnerHasReached)
{
    const auto place = startLate(Duration{8'000}, Duration{10'000});
    kill(owner());
    crash(place);
    runUntil([&] { return !owner().empty() && fleet.targets.at({place}).fence > 0; }, Duration{4'000});
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{30'000});
    run(Duration{5'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
    EXPECT_TRUE(std::ranges::any_of(history, [](const std::string &line) { return line.ends_with("fenced") && line.find("late start") != std::string::npos; }));
}

// Guards against running a task twice: a new instance that refuses the stop of a late start as unhealthy still executes this start when it arrives.
TEST_F(LateOrders, stopThatANewInstanceRefusesIsRepeatedBeforeTheLateStartArrives)
{
    const auto place = startLateAndElsewhere();
    unhealthyTargets.insert({place});
    crash(place);
    run(Duration{1'500});
    unhealthyTargets.clear();
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{20'000});
    run(Duration{5'000});
}

// Guards against losing runs: the refusal of a hold that was meant for the former instance says nothing about the runs of the new one.
TEST_F(LateOrders, refusedHoldOfTheFormerInstanceLosesNoRunOfTheNewOne)
{
    const auto place = startLate(Duration{4'000}, Duration{6'000});
    crash(place);
    runUntil([&] { return contains(history, "run 1 may be on the target's new instance"); }, Duration{500});
    refuseHoldsOfFormerInstances();
    run(Duration{50});
    EXPECT_FALSE(contains(history, "run 1 has lapsed"));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{20'000});
    run(Duration{5'000});
}

// Guards against running a task twice: a target whose entry was removed and that has no runs is forgotten, but its next instance may still execute a start.
TEST_F(LateOrders, lateStartIsStoppedOnAnInstanceThatRegistersAfterTheTargetWasForgotten)
{
    const auto place = startLateAndElsewhere();
    unregister(place);
    run(Duration{100});
    crash(place);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{20'000});
    run(Duration{5'000});
}

// Guards against running a task twice: a hold of the former instance acknowledges ends in its numbering, in which the new instance counts from 1 again.
TEST_F(LateOrders, lateHoldDiscardsNoUnreadEndOfTheNextInstance)
{
    // Each target ends runs, so that its acknowledged ends are above the first ones of its next instance.
    answerTo(submit(id(1), batch(64, {1'000, 1'000, 1}), {Duration{500}, {}}));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{10'000});
    run(Duration{3'000});
    holdLate(Duration{5'000});
    crashAll();
    answerTo(submit(id(2), batch(1, {1'000, 1'000, 1}), {Duration{1'500}, {}}));
    runUntil([&] { return isAtWork(fleet, id(2)); }, Duration{2'000});
    run(Duration{500});
    const auto place = newestPlace();
    cutOff(place);
    run(Duration{5'000});
    reconnect(place);
    runUntil([&] { return storedState(id(2)) == WorkflowState::Completed; }, Duration{10'000});
    run(Duration{2'000});
    EXPECT_EQ(fleet.starts[id(2)], 1);
}

// Guards against running a task twice: a hold of the former instance extends the lease of the next one, whose clock has begun anew, from its late arrival.
TEST_F(LateOrders, taskDoesNotStartElsewhereWhileALateHoldOfTheFormerInstanceKeepsItsRun)
{
    holdLate(Duration{8'000});
    crashAll();
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{30'000}, {}}));
    runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{2'000});
    run(Duration{1'000});
    cutOff(newestPlace());
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{90'000});
}

}
