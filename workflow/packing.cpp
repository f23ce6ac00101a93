#include "packing.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>

namespace sequoiastand
{

namespace
{

int dimensionCount(int wanted, int room)
{
    if (room < 0) {
        return 0;
    }
    return wanted <= 0 ? std::numeric_limits<int>::max() : room / wanted;
}

int roomForTasks(const WaitingStep &waiting, const PlacementTarget &target, const Resources &room)
{
    int tasks = tasksThatFit(waiting.specification.perTask, room);
    if (waiting.specification.maxPerTarget > 0) {
        const auto taken = waiting.taken.find(target.id);
        tasks = std::min(tasks, std::max(0, waiting.specification.maxPerTarget - (taken == waiting.taken.end() ? 0 : taken->second)));
    }
    return tasks;
}

/// Targets in the order in which they are filled: in good standing first, then those that are left with the fewest free accelerators.
std::vector<std::size_t> fillOrder(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &room, const RoomOf &roomOf)
{
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (room[index] > 0) {
            order.push_back(index);
        }
    }
    const auto rank = [&](std::size_t index) {
        const auto &target = targets[index];
        const auto free = roomOf(target);
        const int perTask = waiting.specification.perTask.accelerators;
        const int leftover = perTask > 0 ? free.accelerators - perTask * std::min(room[index], free.accelerators / perTask) : free.accelerators;
        return std::tuple(target.isSuspect, leftover, free.accelerators, free.memoryMb, index);
    };
    std::ranges::sort(order, {}, rank);
    return order;
}

/// Tasks that the rack's budget still allows.
int budgetedTasks(const std::map<RackId, int> &budgets, const RackId &rack, int acceleratorsPerTask)
{
    const auto budget = budgets.find(rack);
    return budget == budgets.end() ? std::numeric_limits<int>::max() : dimensionCount(acceleratorsPerTask, budget->second);
}

std::optional<TaskCounts>
fill(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const std::vector<std::size_t> &order, const TaskCounts &room, int count, std::map<RackId, int> budgets)
{
    TaskCounts counts(room.size(), 0);
    const int perTask = waiting.specification.perTask.accelerators;
    for (const std::size_t index : order) {
        const auto &rack = targets[index].rack;
        counts[index] = std::min({room[index], count, budgetedTasks(budgets, rack, perTask)});
        count -= counts[index];
        if (count == 0) {
            return counts;
        }
        if (const auto budget = budgets.find(rack); budget != budgets.end()) {
            budget->second -= counts[index] * perTask;
        }
    }
    return std::nullopt;
}

}

int tasksThatFit(const Resources &perTask, const Resources &room)
{
    return std::min({dimensionCount(perTask.milliCpu, room.milliCpu),
                     dimensionCount(perTask.memoryMb, room.memoryMb),
                     dimensionCount(perTask.accelerators, room.accelerators)});
}

bool isAllowed(const WaitingStep &waiting, const PlacementTarget &target)
{
    const auto &label = waiting.specification.requiredLabel;
    const bool hasLabel = label.empty() || std::ranges::find(target.labels, label) != target.labels.end();
    return target.takesWork && target.service == waiting.service && hasLabel;
}

std::optional<TaskCounts> packTasks(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    TaskCounts room(targets.size(), 0);
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (isAllowed(waiting, targets[index]) && limits.mayUse(targets[index])) {
            room[index] = std::min(count, roomForTasks(waiting, targets[index], limits.roomOf(targets[index])));
        }
    }
    if (std::accumulate(room.begin(), room.end(), 0LL) < count) {
        return std::nullopt;
    }
    return fill(targets, waiting, fillOrder(targets, waiting, room, limits.roomOf), room, count, limits.rackBudgets);
}

std::optional<TaskCounts> packRack(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    std::map<RackId, int> freeAccelerators;
    for (const auto &target : targets) {
        freeAccelerators[target.rack] += std::max(0, limits.roomOf(target).accelerators);
    }
    std::optional<TaskCounts> best;
    int bestFree = std::numeric_limits<int>::max();
    for (const auto &[rack, free] : freeAccelerators) {
        // The data's own rack is always better than the tightest fit elsewhere.
        const int rank = rack == waiting.specification.dataRack ? -1 : free;
        if (rank >= bestFree) {
            continue;
        }
        PackingLimits inRack = limits;
        inRack.mayUse = [&, rack = rack](const PlacementTarget &target) { return target.rack == rack && limits.mayUse(target); };
        if (auto counts = packTasks(targets, waiting, count, inRack)) {
            best = std::move(counts);
            bestFree = rank;
        }
    }
    return best;
}

}
