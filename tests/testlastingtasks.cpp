#include "tests/domainfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// Two hosts, four targets and workflows whose tasks last until they are cancelled, but end by themselves.
struct LastingTasks : DomainTest
{
    LastingTasks()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    void submitLasting(int tasks, const TaskBehaviour &behaviour, bool isGang = false)
    {
        auto specification = batch(tasks, {1'000, 1'000, 1});
        specification.steps.front().isLasting = true;
        specification.steps.front().isGang = isGang;
        workflow = id(number);
        answerTo(submit(workflow, specification, behaviour));
        runUntil([&] { return runningTasks() == tasks; }, Duration{1'000});
    }

    int runningTasks() const
    {
        std::ptrdiff_t running = 0;
        for (const auto &[id, target] : fleet.targets) {
            running += std::ranges::count(target.running, workflow, [](const auto &row) { return row.first.step.workflow; });
        }
        return static_cast<int>(running);
    }

    /// Runs for the duration, and returns the longest time for which not all tasks had a run.
    Duration longestGap(Duration duration, int tasks)
    {
        Duration longest{0};
        TimePoint completeAt = now;
        const TimePoint end = now + duration;
        while (now < end) {
            run(tick);
            completeAt = runningTasks() == tasks ? now : completeAt;
            longest = std::max(longest, now - completeAt);
        }
        return longest;
    }

    int number = 1;
    RequestId workflow;                         ///< The workflow that was submitted last.
    static constexpr Duration lostAfter{6'000}; // Time without a run from which the platform counts a lasting task as lost.
};

// Guards against losing a workflow: a run that ended as finished was taken for the end of its task, although a lasting task has none.
TEST_F(LastingTasks, taskIsStartedAgainAfterARunThatFinished)
{
    submitLasting(2, {.work = Duration{5'000}, .lastingEnd = RunEnd::Finished});
    EXPECT_LT(longestGap(Duration{20'000}, 2), Duration{1'000});
    EXPECT_EQ(storedState(workflow), WorkflowState::Running);
    EXPECT_GE(fleet.starts[workflow], 2 * 4);
}

TEST_F(LastingTasks, taskIsStartedAgainAfterAnyOtherEnd)
{
    for (const auto end : {RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Broken, RunEnd::Alone}) {
        SCOPED_TRACE(std::string(name(end)));
        ++number;
        submitLasting(2, {.work = Duration{5'000}, .lastingEnd = end});
        EXPECT_LT(longestGap(Duration{12'000}, 2), Duration{1'000});
    }
}

// Guards against losing a gang: the end of its first member finished the tasks of all members.
TEST_F(LastingTasks, gangIsStartedAgainAfterItFinished)
{
    submitLasting(3, {.work = Duration{5'000}, .lastingEnd = RunEnd::Finished}, true);
    EXPECT_LT(longestGap(Duration{20'000}, 3), Duration{1'500});
    EXPECT_EQ(storedState(workflow), WorkflowState::Running);
}

// Guards against losing a task: its run ended as finished on a target that was cut off, and the end is listed after the run was presumed lost.
TEST_F(LastingTasks, finishOfARunPresumedLostDoesNotEndTheTask)
{
    submitLasting(1, {.work = Duration{5'000}, .lastingEnd = RunEnd::Finished});
    const auto place = std::ranges::find_if(fleet.targets, [](const auto &row) { return !row.second.running.empty(); })->first.value;
    cutOff(place);
    run(Duration{12'000});
    reconnect(place);
    EXPECT_LT(longestGap(Duration{12'000}, 1), Duration{1'000});
    EXPECT_EQ(storedState(workflow), WorkflowState::Running);
}

// Guards against losing a task for good: a host of a former version has stored it as finished.
TEST_F(LastingTasks, taskThatWasStoredAsFinishedIsStartedByTheNextOwner)
{
    submitLasting(2, {.work = Duration{60'000}, .lastingEnd = RunEnd::Finished});
    kill("h1");
    kill("h2");
    for (auto &[target, model] : fleet.targets) {
        model.running.erase({{workflow, 0, 0}, 1});
    }
    auto progress = std::get<WorkflowProgress>(store.rows.at(workflowProgressKey(workflow)).record);
    progress.occurrences.at(0).steps.at(0).at(1).isFinished = true;
    progress.occurrences.at(0).steps.at(0).at(1).place.reset();
    putRow(store, workflowProgressKey(workflow), progress, now);
    start("h1");
    runUntil([&] { return fleet.starts[workflow] == 3; }, Duration{5'000});
}

// Guards against losing tasks: failed runs kept all tasks of the step away from the only target that they may use, for 8 s after each failure.
TEST_F(LastingTasks, taskThatMayUseOneTargetOnlyIsStartedAgainThereAfterFailures)
{
    addTargets(5);
    auto specification = batch(4, {1'000, 1'000, 1});
    specification.steps.front().isLasting = true;
    specification.steps.front().requiredLabel = "r2"; // Only the fifth target has this label.
    workflow = id(number);
    run(Duration{1'500});
    answerTo(submit(workflow, specification, {.work = Duration{5'000}, .lastingEnd = RunEnd::Failed}));
    runUntil([&] { return runningTasks() == 4; }, Duration{1'000});
    EXPECT_LT(longestGap(Duration{40'000}, 4), Duration{1'000});
}

// Guards against runs on a faulty target while another one has room.
TEST_F(LastingTasks, taskLeavesATargetThatFailsEverything)
{
    fleet.targets.at({"t1"}).faults.failsEverything = true;
    submitLasting(1, {.work = Duration{300}});
    run(Duration{10'000});
    EXPECT_EQ(runningTasks(), 1);
    EXPECT_LE(fleet.starts[workflow], 4);
}

// Guards against a loop of starts, which cost orders and writes, while the task is still started in time.
TEST_F(LastingTasks, taskThatEndsAtOnceIsStartedAgainAfterGrowingPauses)
{
    submitLasting(1, {.work = Duration{20}, .lastingEnd = RunEnd::Failed});
    run(Duration{10'000});
    const int before = fleet.starts[workflow];
    EXPECT_LT(longestGap(Duration{60'000}, 1), lostAfter);
    EXPECT_LE(fleet.starts[workflow] - before, 20);
    EXPECT_GE(fleet.starts[workflow] - before, 10);
    EXPECT_EQ(storedState(workflow), WorkflowState::Running) << "lasting tasks may fail any number of times";
}

TEST_F(LastingTasks, taskThatHasRunForAWhileIsStartedAgainAtOnce)
{
    submitLasting(1, {.work = Duration{20}, .lastingEnd = RunEnd::Failed});
    run(Duration{10'000});
    fleet.behaviours.at(workflow).work = Duration{4'000};
    run(Duration{10'000});
    EXPECT_LT(longestGap(Duration{20'000}, 1), Duration{500});
}

// Guards against members of a gang that count as several quick ends, which would delay the gang's next start.
TEST_F(LastingTasks, gangThatEndsOnceIsStartedAgainAtOnce)
{
    submitLasting(4, {.work = Duration{1'000}, .lastingEnd = RunEnd::Finished}, true);
    EXPECT_LT(longestGap(Duration{1'800}, 4), Duration{800});
}

}
