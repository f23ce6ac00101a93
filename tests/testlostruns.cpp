#include "tests/domainfixture.h"
#include "wire/workflowjson.h"

#include <algorithm>

namespace sequoiastand
{

/// Runs that are presumed lost because their targets are cut off, and whose ends the targets list once they are reachable again.
struct LostRuns : DomainTest
{
    LostRuns()
    {
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    /// Submits tasks that fail, cuts their targets off, and returns when the tasks run again elsewhere.
    void loseFailingRuns(const WorkflowSpecification &specification, int tasks)
    {
        TaskBehaviour failing{.work = Duration{6'000}};
        for (int index = 0; index < tasks; ++index) {
            failing.failingTasks.insert(index);
        }
        answerTo(submit(id(1), specification, failing));
        runUntil([&] { return fleet.starts[id(1)] == tasks; }, Duration{1'000});
        run(Duration{300});
        for (const auto &[target, row] : fleet.targets) {
            if (!row.running.empty()) {
                cutTargets.push_back(target.value);
            }
        }
        std::ranges::for_each(cutTargets, [&](const std::string &target) { cutOff(target); });
        runUntil([&] { return fleet.starts[id(1)] == 2 * tasks; }, Duration{14'000});
        run(Duration{500});
    }

    void reconnectAll()
    {
        std::ranges::for_each(cutTargets, [&](const std::string &target) { reconnect(target); });
    }

    int failedRuns()
    {
        const auto *entry = board(owner()).workflows.find(id(1));
        return entry->progress.occurrences.at(0).steps.at(0).at(0).failedRuns;
    }

    std::vector<std::string> cutTargets;
};

// Guards against a start beyond the attempts of the queue: the next owner does not know which ends the former one has counted.
TEST_F(LostRuns, failureCountsAsAnAttemptAfterAChangeOfOwner)
{
    loseFailingRuns(batch(1, {1'000, 1'000, 1}), 1);
    const auto former = owner();
    kill(former);
    runUntil([&] { return !owner().empty() && owner() != former; }, Duration{5'000});
    reconnectAll();
    runUntil([&] { return storedState(id(1)) == WorkflowState::Failed; }, Duration{20'000});
    EXPECT_EQ(fleet.starts[id(1)], configuration.queues.at({"urgent"}).maxAttempts);
}

// Guards against a gang that uses up two attempts with one failure because two of its members list an end.
TEST_F(LostRuns, failureOfAGangCountsOnce)
{
    loseFailingRuns(gang(3, {1'000, 1'000, 8}), 3);
    reconnectAll();
    run(Duration{1'500});
    EXPECT_EQ(failedRuns(), 1);
}

// Guards against records that hosts of the former version cannot read, or that lose the runs.
TEST_F(LostRuns, recordKeepsTheRuns)
{
    WorkflowProgress progress;
    EXPECT_FALSE(toJson(progress).contains("lostRuns"));
    progress.lostRuns = {{0, 1, 7, 2}, {3, 0, 0, 1}};
    EXPECT_EQ(workflowProgressFromJson(toJson(progress)), progress);
}

}
