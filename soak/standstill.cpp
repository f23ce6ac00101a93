#include "standstill.h"

#include "standins/fleetchecks.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Tasks that last count as standing still only from this time after their last run.
constexpr Duration lastingRestart{6'000};

bool isFinished(const FleetModel &fleet, const TaskId &task)
{
    return fleet.finished.contains(task);
}

bool isStepFinished(const SoakWorld &world, const Workflow &workflow, int step)
{
    const int count = workflow.specification.steps.at(static_cast<std::size_t>(step)).taskCount;
    return std::ranges::all_of(std::views::iota(0, count), [&](int index) { return isFinished(world.targets.fleet, {{workflow.id, 0, step}, index}); });
}

bool hasAttemptsLeft(const SoakWorld &world, const Workflow &workflow)
{
    return std::ranges::none_of(world.targets.fleet.failedEnds, [&](const auto &row) {
        const bool isLimited = row.first.step.workflow == workflow.id && !isLasting(world.targets.fleet, row.first);
        return isLimited && std::cmp_greater_equal(row.second.size(), workflow.queue.maxAttempts);
    });
}

/// True if all tasks of the earlier steps that the step depends on have finished.
bool isDue(const SoakWorld &world, const Workflow &workflow, const StepSpecification &step)
{
    return std::ranges::all_of(step.after, [&](int before) { return isStepFinished(world, workflow, before); });
}

/// True if sound targets and the cap of its organisation have room for a task of the step, or for its whole gang, twice over.
bool hasRoomTwiceOver(const SoakWorld &world, const FleetUse &use, const Workflow &workflow, const StepId &id, const StepSpecification &step)
{
    constexpr int copies = 2;
    const int needed = copies * (step.isGang ? step.taskCount : 1);
    return roomFor(use, id, step, needed, copies) >= needed && hasCapRoom(world, use, workflow.organisation, step, needed);
}

/// The tasks of the workflow that stand still: each lasting task that is not at work, and the first other task that could run if nothing of the workflow runs.
std::vector<TaskId> standingTasks(const SoakWorld &world, const FleetUse &use, const Workflow &workflow)
{
    std::vector<TaskId> standing;
    bool isAtWork = use.workflowsAtWork.contains(workflow.id);
    const auto &steps = workflow.specification.steps;
    for (int number = 0; std::cmp_less(number, steps.size()); ++number) {
        const auto &step = steps[static_cast<std::size_t>(number)];
        const StepId id{workflow.id, 0, number};
        const bool isOver = !step.isLasting && (isAtWork || isStepFinished(world, workflow, number));
        if (isOver || !isDue(world, workflow, step) || !hasRoomTwiceOver(world, use, workflow, id, step)) {
            continue;
        }
        const auto couldRun = [&](int index) {
            return step.isLasting ? !use.tasksAtWork.contains({id, index}) : !isFinished(world.targets.fleet, {id, index});
        };
        for (const int index : std::views::iota(0, step.taskCount) | std::views::filter(couldRun) | std::views::take(step.isLasting ? step.taskCount : 1)) {
            standing.push_back({id, index});
        }
        isAtWork = isAtWork || !step.isLasting;
    }
    return standing;
}

bool isExempt(const SoakWorld &world, const SoakWorkflow &row)
{
    const bool hasEndedForCaller = row.state && hasEnded(*row.state);
    const bool isWanted = row.isAccepted && !row.isCancelWanted && !hasEndedForCaller && !world.history.workflows.at(row.workflow.id).cancelledAt;
    return !isWanted || !hasAttemptsLeft(world, row.workflow);
}

/// The key of a standstill: the task if it lasts, otherwise the first task of its workflow.
TaskId keyOf(const SoakWorld &world, const TaskId &task)
{
    return isLasting(world.targets.fleet, task) ? task : TaskId{{task.step.workflow, 0, 0}, 0};
}

}

void noteStandstills(SoakWorld &world, const FleetUse &use)
{
    const auto now = EventLoop::now();
    const auto *owner = findOwner(world);
    std::set<TaskId> present;
    for (const auto &[id, row] : world.workflows) {
        if (isExempt(world, row)) {
            continue;
        }
        for (const auto &task : standingTasks(world, use, row.workflow)) {
            const auto key = keyOf(world, task);
            present.insert(key);
            const auto [standstill, isNew] = world.standstills.try_emplace(key, Standstill{task, row.workflow.organisation, now, now, {}, Duration{0}});
            standstill->second.until = now;
            standstill->second.owner = owner == nullptr ? HostId{} : owner->place.id;
            if (isNew && isLasting(world.targets.fleet, task)) {
                standstill->second.allowed = lastingRestart;
            }
        }
    }
    std::erase_if(world.standstills, [&](const auto &row) {
        if (present.contains(row.first)) {
            return false;
        }
        world.history.standstills.push_back(row.second);
        return true;
    });
}

void endStandstills(SoakWorld &world)
{
    std::ranges::copy(world.standstills | std::views::values, std::back_inserter(world.history.standstills));
    world.standstills.clear();
}

}
