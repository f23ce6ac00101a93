#include "workflow/runtable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

namespace sequoiastand
{

namespace
{

TaskRun drawRun()
{
    TaskRun run;
    run.task = {{{"workflow"}, 0, 0}, *rc::gen::inRange(0, 6)};
    run.place.target = {"t" + std::to_string(*rc::gen::inRange(0, 3))};
    run.occupiedResources = {*rc::gen::inRange(1, 4), 1, 1};
    run.step = *rc::gen::element(RunStep::Recording, RunStep::Starting, RunStep::Running, RunStep::Unconfirmed, RunStep::Ending);
    run.isStopWanted = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) {
        run.call = CallId{1};
    }
    if (*rc::gen::arbitrary<bool>()) {
        run.stoppedAt = TimePoint{};
    }
    return run;
}

std::map<TargetId, TargetUse> usedTargets(const RunTable &runs)
{
    std::map<TargetId, TargetUse> used;
    for (const auto &[task, run] : runs.rows()) {
        auto &use = used[run.place.target];
        use.tasks.insert(task);
        use.occupied = use.occupied + run.occupiedResources;
        use.stopping = use.stopping + (isStopping(run) ? run.occupiedResources : Resources{});
    }
    return used;
}

std::set<TaskId> needingOrders(const RunTable &runs)
{
    std::set<TaskId> tasks;
    for (const auto &[task, run] : runs.rows()) {
        if (needsOrder(run)) {
            tasks.insert(task);
        }
    }
    return tasks;
}

}

// Guards against room that is counted twice or never given back, and against runs whose orders are never sent, after a run was replaced, moved or removed.
RC_GTEST_PROP(RunTable, indexesMatchTheRowsAfterAnyChanges, ())
{
    RunTable runs;
    const int changes = *rc::gen::inRange(1, 40);
    for (int change = 0; change < changes; ++change) {
        const auto run = drawRun();
        if (*rc::gen::inRange(0, 3) == 0) {
            runs.erase(run.task);
        } else {
            runs.put(run);
        }
        RC_ASSERT(runs.usedTargets() == usedTargets(runs));
        RC_ASSERT(runs.needingOrders() == needingOrders(runs));
    }
}

TEST(RunTable, targetWithoutRunsHasNoUse)
{
    EXPECT_EQ(RunTable{}.useOf({"t1"}), TargetUse{});
}

}
