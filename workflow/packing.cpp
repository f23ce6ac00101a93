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

/// Accelerators that are free in each rack.
std::map<RackId, int> freeByRack(const std::vector<PlacementTarget> &targets, const RoomOf &roomOf)
{
    std::map<RackId, int> free;
    for (const auto &target : targets) {
        free[target.rack] += std::max(0, roomOf(target).accelerators);
    }
    return free;
}

/// Targets in the order in which they are filled: in good standing first, then in the fullest racks, so that others stay free for gangs that want one rack, then
/// those that are left with the fewest free accelerators.
std::vector<std::size_t> fillOrder(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &room, const RoomOf &roomOf)
{
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (room[index] > 0) {
            order.push_back(index);
        }
    }
    const auto rackRoom = freeByRack(targets, roomOf);
    const auto rank = [&](std::size_t index) {
        const auto &target = targets[index];
        const auto free = roomOf(target);
        const int perTask = waiting.specification.perTask.accelerators;
        const int leftover = perTask > 0 ? free.accelerators - perTask * std::min(room[index], free.accelerators / perTask) : free.accelerators;
        return std::tuple(target.isSuspect, rackRoom.at(target.rack), leftover, free.accelerators, free.memoryMb, index);
    };
    std::ranges::sort(order, {}, rank);
    return order;
}

std::optional<TaskCounts> fill(const std::vector<std::size_t> &order, const TaskCounts &room, int count)
{
    TaskCounts counts(room.size(), 0);
    for (const std::size_t index : order) {
        counts[index] = std::min(room[index], count);
        count -= counts[index];
        if (count == 0) {
            return counts;
        }
    }
    return std::nullopt;
}

/// One task for each target in turn. Fillers share what others leave, so on few targets they would only slow each other down.
std::optional<TaskCounts> spread(const std::vector<std::size_t> &order, const TaskCounts &room, int count)
{
    TaskCounts counts(room.size(), 0);
    while (count > 0) {
        const int before = count;
        for (const std::size_t index : order) {
            if (count > 0 && counts[index] < room[index]) {
                ++counts[index];
                --count;
            }
        }
        if (count == before) {
            return std::nullopt;
        }
    }
    return counts;
}

}

int tasksThatFit(const Resources &perTask, const Resources &room)
{
    return std::min({dimensionCount(perTask.milliCpu, room.milliCpu),
                     dimensionCount(perTask.memoryMb, room.memoryMb),
                     dimensionCount(perTask.accelerators, room.accelerators)});
}

bool isEligible(const WaitingStep &waiting, const PlacementTarget &target)
{
    const auto &label = waiting.specification.requiredLabel;
    const bool hasLabel = label.empty() || std::ranges::find(target.labels, label) != target.labels.end();
    return target.takesWork && target.service == waiting.service && hasLabel;
}

bool isAllowed(const WaitingStep &waiting, const PlacementTarget &target)
{
    return isEligible(waiting, target) && (!waiting.advice || waiting.advice->allowed.contains(target.id));
}

std::optional<TaskCounts> packTasks(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    const int perTask = waiting.specification.perTask.accelerators;
    if (limits.acceleratorBudget && perTask * count > *limits.acceleratorBudget) {
        return std::nullopt;
    }
    TaskCounts room(targets.size(), 0);
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (isAllowed(waiting, targets[index]) && limits.mayUse(targets[index])) {
            room[index] = std::min(count, roomForTasks(waiting, targets[index], limits.roomOf(targets[index])));
        }
    }
    if (std::accumulate(room.begin(), room.end(), 0LL) < count) {
        return std::nullopt;
    }
    const auto order = fillOrder(targets, waiting, room, limits.roomOf);
    return waiting.specification.isFiller ? spread(order, room, count) : fill(order, room, count);
}

std::optional<TaskCounts> packRack(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    std::optional<TaskCounts> best;
    int bestFree = std::numeric_limits<int>::max();
    for (const auto &[rack, free] : freeByRack(targets, limits.roomOf)) {
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
