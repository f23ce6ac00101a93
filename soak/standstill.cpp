#include "standstill.h"

#include "standins/fleetchecks.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr Duration samplePeriod{100};

// Tasks that last count as standing still only from this time after their last run.
constexpr Duration lastingRestart{6'000};

/// What the targets of the soak run, and what they have room for.
struct FleetUse
{
    std::set<RequestId> atWork;
    std::map<TargetId, Resources> free; ///< Free room of each sound target.
    bool isHalfInUse = false;
};

bool isSound(const SoakWorld &world, const TargetId &id, const ModelTarget &target)
{
    const auto &state = world.targetStates.at(id);
    const bool isZoneOut = std::ranges::any_of(world.history.zonesOut, [&](const Withdrawal &withdrawal) {
        return withdrawal.subject == target.registration.availabilityZone.value && !withdrawal.until;
    });
    return state.isRegistered && !state.isDraining && !state.cutSince && !isZoneOut && target.faults == ModelTargetFaults{};
}

FleetUse useOf(const SoakWorld &world)
{
    FleetUse use;
    Resources capacity;
    Resources used;
    for (const auto &[id, target] : world.targets.fleet.targets) {
        const auto usedHere = usedOn(world.targets.fleet, target);
        capacity = capacity + target.registration.capacity;
        used = used + usedHere;
        std::ranges::transform(target.running, std::inserter(use.atWork, use.atWork.end()), [](const auto &row) { return row.first.step.workflow; });
        if (isSound(world, id, target)) {
            use.free.emplace(id, target.registration.capacity - usedHere);
        }
    }
    use.isHalfInUse = !fitsInto(used * 2, capacity);
    return use;
}

int roomFor(const FleetUse &use, const Resources &perTask, int wanted)
{
    int room = 0;
    for (const auto &[id, free] : use.free) {
        int here = 0;
        while (room + here < wanted && fitsInto(perTask * (here + 1), free)) {
            ++here;
        }
        room += here;
    }
    return room;
}

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

/// The first task of the workflow whose turn has come and that has not finished, if sound targets have room for it, or for its whole gang, twice over.
std::optional<TaskId> taskThatCouldRun(const SoakWorld &world, const FleetUse &use, const Workflow &workflow)
{
    const auto &steps = workflow.specification.steps;
    for (int number = 0; std::cmp_less(number, steps.size()); ++number) {
        const auto &step = steps[static_cast<std::size_t>(number)];
        const bool isDue = std::ranges::all_of(step.after, [&](int before) { return isStepFinished(world, workflow, before); });
        if (!isDue || (!step.isLasting && isStepFinished(world, workflow, number))) {
            continue;
        }
        const auto indexes = std::views::iota(0, step.taskCount);
        const auto index = std::ranges::find_if(indexes, [&](int each) { return !isFinished(world.targets.fleet, {{workflow.id, 0, number}, each}); });
        const int needed = 2 * (step.isGang ? step.taskCount : 1);
        if (roomFor(use, reservedResources(step), needed) >= needed) {
            return TaskId{{workflow.id, 0, number}, index == indexes.end() ? 0 : *index};
        }
    }
    return std::nullopt;
}

std::optional<TaskId> standingTask(const SoakWorld &world, const FleetUse &use, const SoakWorkflow &row)
{
    const bool hasEndedForCaller = row.state && hasEnded(*row.state);
    const bool isWanted = row.isAccepted && !row.isCancelWanted && !hasEndedForCaller && !world.history.workflows.at(row.workflow.id).cancelledAt;
    if (!isWanted || use.isHalfInUse || use.atWork.contains(row.workflow.id) || !hasAttemptsLeft(world, row.workflow)) {
        return std::nullopt;
    }
    return taskThatCouldRun(world, use, row.workflow);
}

void endStandstill(SoakWorld &world, const RequestId &workflow)
{
    if (const auto ended = world.standstills.extract(workflow)) {
        world.history.standstills.push_back(ended.mapped());
    }
}

}

void noteStandstills(SoakWorld &world)
{
    const auto now = EventLoop::now();
    if (now < world.nextStandstillSampleAt) {
        return;
    }
    world.nextStandstillSampleAt = now + samplePeriod;
    const auto use = useOf(world);
    const auto *owner = findOwner(world);
    for (const auto &[id, row] : world.workflows) {
        const auto task = standingTask(world, use, row);
        if (!task) {
            endStandstill(world, id);
            continue;
        }
        const auto [standstill, isNew] = world.standstills.try_emplace(id, Standstill{*task, row.workflow.organisation, now, now, {}, Duration{0}});
        standstill->second.until = now;
        standstill->second.owner = owner == nullptr ? HostId{} : owner->place.id;
        if (isNew && isLasting(world.targets.fleet, *task)) {
            standstill->second.allowed = lastingRestart;
        }
    }
}

void endStandstills(SoakWorld &world)
{
    while (!world.standstills.empty()) {
        endStandstill(world, world.standstills.begin()->first);
    }
}

}
