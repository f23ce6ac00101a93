#include "tests/domainfixture.h"

#include <algorithm>
#include <vector>

namespace sequoiastand
{

/// Two hosts and targets on which more runs end than one answer to a hold lists.
struct FullEndLists : DomainTest
{
    FullEndLists()
    {
        fleet.maxListedEnds = 5;
        addTargets(1);
        addHost("h1");
        addHost("h2");
        runUntil([&] { return !owner().empty(); }, Duration{5'000});
        run(Duration{1'000});
    }

    /// Runs the workflow's tasks on the target, which is cut off for as long as it takes them to end.
    void endAllBehindACut(const WorkflowSpecification &specification)
    {
        const int tasks = specification.steps.front().taskCount;
        answerTo(submit(id(1), specification, {Duration{2'000}, {}}));
        runUntil([&] { return fleet.starts[id(1)] == tasks; }, Duration{1'500});
        run(Duration{100}); // So that the target's lists have confirmed the runs.
        cutOff("t1");
        runUntil([&] { return fleet.targets.at({"t1"}).ended.size() == static_cast<std::size_t>(tasks); }, Duration{3'000});
        reconnect("t1");
    }

    void expectNothingStartsAgain(int tasks)
    {
        runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{10'000});
        run(Duration{1'000});
        EXPECT_EQ(fleet.starts[id(1)], tasks);
        EXPECT_TRUE(fleet.targets.at({"t1"}).ended.empty()) << "ends that were not acknowledged";
    }

    static constexpr Resources smallTask{1'000, 1'000, 0};
};

// Guards against running a task twice: its run has ended, but the list of ends is full, so that neither list names the run.
TEST_F(FullEndLists, runThatNeitherListNamesIsNotStartedAgain)
{
    endAllBehindACut(batch(22, smallTask));
    expectNothingStartsAgain(22);
}

// Guards against running a task twice: a new owner compares the stored runs with lists that do not name all ends yet.
TEST_F(FullEndLists, newOwnerDoesNotStartRunsAgainWhoseEndsFollow)
{
    answerTo(submit(id(1), batch(22, smallTask), {Duration{2'000}, {}}));
    runUntil([&] { return fleet.starts[id(1)] == 22; }, Duration{1'500});
    kill(owner());
    runUntil([&] { return fleet.targets.at({"t1"}).ended.size() == 22; }, Duration{3'000});
    runUntil([&] { return !owner().empty(); }, Duration{5'000});
    expectNothingStartsAgain(22);
}

// Guards against running a gang twice: the ends of some members are listed before the ends of the others.
TEST_F(FullEndLists, gangWhoseEndsAreListedInPartsIsNotStartedAgain)
{
    endAllBehindACut(gang(22, smallTask));
    expectNothingStartsAgain(22);
}

// Guards against a wait of up to 1.2 s for each part of the list: a target that is asked to wait for an end may answer only once another run has ended.
TEST_F(FullEndLists, holdAfterAFullListDoesNotWait)
{
    endAllBehindACut(batch(28, smallTask));
    const auto first = static_cast<std::ptrdiff_t>(sentOrders.size());
    runUntil([&] { return fleet.targets.at({"t1"}).ended.size() <= fleet.maxListedEnds; }, Duration{1'000});
    EXPECT_TRUE(std::all_of(sentOrders.begin() + first, sentOrders.end(), [](const TargetOrder &order) {
        const auto *hold = std::get_if<HoldRuns>(&order.request);
        return hold == nullptr || hold->wait == Duration{0};
    }));
}

// Guards against keeping a run for good: a list that is not full shows that a run that neither list names is gone.
TEST_F(FullEndLists, lostRunIsStartedAgainOnceTheListIsNoLongerFull)
{
    answerTo(submit(id(1), batch(22, smallTask), {Duration{2'000}, {}}));
    answerTo(submit(id(2), batch(1, smallTask), {Duration{30'000}, {}}));
    runUntil([&] { return isAtWork(fleet, id(2)); }, Duration{1'500});
    run(Duration{100});
    cutOff("t1");
    runUntil([&] { return fleet.targets.at({"t1"}).ended.size() == 22; }, Duration{3'000});
    // Removes the run without an end, as a target that has lost it.
    fleet.targets.at({"t1"}).running.clear();
    reconnect("t1");
    runUntil([&] { return fleet.starts[id(2)] == 2; }, Duration{3'000});
}

}
