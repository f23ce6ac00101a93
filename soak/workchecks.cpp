#include "workchecks.h"

#include "callers.h"
#include "standstill.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace sequoiastand
{

namespace
{

constexpr Duration samplePeriod{100};

// Samples of the last second, which is longer than the owner needs to give free room to other work.
constexpr int recentSamples = 10;

bool isUrgent(const Workflow &workflow)
{
    return workflow.queue.priority == 0;
}

/// True if the hosts may count the workflow as one that has not ended.
bool mayBeOpen(const SoakWorkflow &row)
{
    return !row.cancelConfirmedAt && !(row.state && hasEnded(*row.state)) && (row.mayBeAccepted || !row.isAbandoned);
}

/// True if all urgent workflows of the organisation together need no more than it is guaranteed.
bool isGuaranteeKept(const SoakWorld &world, const OrganisationId &organisation)
{
    int accelerators = 0;
    for (const auto &[id, row] : world.workflows) {
        if (isUrgent(row.workflow) && row.workflow.organisation == organisation && mayBeOpen(row)) {
            accelerators += acceleratorsOf(row.workflow.specification);
        }
    }
    return accelerators <= world.configuration.organisations.at(organisation).guaranteedAccelerators;
}

int notBegun(const SoakWorld &world, const StepId &step, int taskCount)
{
    return static_cast<int>(std::ranges::count_if(std::views::iota(0, taskCount), [&](int index) {
        return !world.targets.fleet.lastStart.contains({step, index});
    }));
}

/// Notes which urgent workflows need more than their organisation's guarantee, or than the sound targets have beside other urgent work.
void noteUrgentWork(SoakWorld &world)
{
    const auto isOfUrgentWork = [&world](const TaskId &task) {
        const auto row = world.workflows.find(task.step.workflow);
        return row != world.workflows.end() && isUrgent(row->second.workflow);
    };
    const auto use = useOf(world, isOfUrgentWork);
    for (const auto &[id, row] : world.workflows) {
        auto &sent = world.history.workflows.at(id);
        if (!isUrgent(row.workflow) || !row.isAccepted || !mayBeOpen(row)) {
            continue;
        }
        const auto &first = row.workflow.specification.steps.front();
        sent.firstStepTasks = first.taskCount;
        const int wanted = notBegun(world, {id, 0, 0}, first.taskCount);
        if (wanted == 0) {
            continue;
        }
        const bool hasRoom = roomFor(use, {id, 0, 0}, first, wanted, 1) == wanted && hasCapRoom(world, use, row.workflow.organisation, first, wanted);
        sent.isBeyondGuarantee = sent.isBeyondGuarantee || !hasRoom || !isGuaranteeKept(world, row.workflow.organisation);
    }
}

/// Notes the runs of workflows whose cancellation was confirmed.
void noteCancelledRuns(SoakWorld &world)
{
    const auto now = EventLoop::now();
    for (const auto &[id, target] : world.targets.fleet.targets) {
        for (const auto &[task, run] : target.running) {
            const auto row = world.workflows.find(task.step.workflow);
            if (row != world.workflows.end() && row->second.cancelConfirmedAt) {
                const auto from = std::max(*row->second.cancelConfirmedAt, run.startedAt);
                auto &cancelled = world.history.cancelledRuns.try_emplace({task, run.run}, CancelledRun{id, from, now}).first->second;
                cancelled.until = now;
            }
        }
    }
}

}

void noteWork(SoakWorld &world)
{
    const auto now = EventLoop::now();
    if (now < world.nextWorkSampleAt) {
        return;
    }
    world.nextWorkSampleAt = now + samplePeriod;
    const auto use = useOf(world, [](const TaskId &) { return true; });
    noteStandstills(world, use.isHalfInUse ? withLastingRoom(use, world.recentUse) : use);
    world.recentUse.push_back(use);
    if (std::ssize(world.recentUse) > recentSamples) {
        world.recentUse.pop_front();
    }
    noteUrgentWork(world);
    noteCancelledRuns(world);
}

bool isCancelledWorkRunning(const SoakWorld &world)
{
    return std::ranges::any_of(world.workflows, [&](const auto &row) { return row.second.cancelConfirmedAt && isAtWork(world.targets.fleet, row.first); });
}

}
