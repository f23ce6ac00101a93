#include "packing.h"

#include <algorithm>
#include <compare>
#include <functional>
#include <limits>
#include <map>
#include <numeric>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

int tasksInDimension(int perTask, int room)
{
    if (room < 0) {
        return 0;
    }
    return perTask <= 0 ? std::numeric_limits<int>::max() : room / perTask;
}

int roomForTasks(const WaitingStep &waiting, const PlacementTarget &target, const Resources &room)
{
    int tasks = tasksThatFit(waiting.specification.perTask, room);
    if (waiting.specification.maxPerTarget > 0) {
        const auto found = waiting.tasksOnTarget.find(target.id);
        tasks = std::min(tasks, std::max(0, waiting.specification.maxPerTarget - (found == waiting.tasksOnTarget.end() ? 0 : found->second)));
    }
    return tasks;
}

/// The targets that the step may use, by rack. Each target is checked only once, because on a large fleet most of the time of a pass goes into these checks.
std::map<RackId, TargetNumbers> usableByRack(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const PackingLimits &limits)
{
    std::map<RackId, TargetNumbers> racks;
    auto rack = racks.end();
    const auto add = [&](std::size_t index) {
        if (!isAllowed(waiting, targets[index]) || !limits.mayUse(targets[index])) {
            return;
        }
        if (rack == racks.end() || rack->first != targets[index].rack) {
            rack = racks.try_emplace(targets[index].rack).first;
        }
        rack->second.push_back(index);
    };
    if (limits.onlyTargets != nullptr) {
        std::ranges::for_each(*limits.onlyTargets, add);
    } else {
        std::ranges::for_each(std::views::iota(std::size_t{0}, targets.size()), add);
    }
    return racks;
}

int freeAccelerators(const std::vector<PlacementTarget> &targets, const TargetNumbers &numbers, const RoomOf &roomOf)
{
    return std::transform_reduce(
        numbers.begin(), numbers.end(), 0, std::plus{}, [&](std::size_t index) { return std::max(0, roomOf(targets[index]).accelerators); });
}

/// A target with room for tasks of the step. The member order defines the order in which targets are filled: targets that are not suspect first; then those
/// in the fullest racks, which keeps other racks free for gangs that need a single rack; then those with the fewest free accelerators after the placement.
struct Candidate
{
    bool isSuspect = false;
    int rackRoom = 0;
    int leftover = 0;
    int accelerators = 0;
    int memoryMb = 0;
    std::size_t target = 0;
    int room = 0;

    friend auto operator<=>(const Candidate &, const Candidate &) = default;
};

void addCandidates(std::vector<Candidate> &candidates,
                   const std::vector<PlacementTarget> &targets,
                   const WaitingStep &waiting,
                   const TargetNumbers &rack,
                   int count,
                   const PackingLimits &limits)
{
    const int rackRoom = freeAccelerators(targets, rack, limits.roomOf);
    const int perTask = waiting.specification.perTask.accelerators;
    for (const std::size_t index : rack) {
        const auto free = limits.roomOf(targets[index]);
        const int room = std::min(count, roomForTasks(waiting, targets[index], free));
        if (room > 0) {
            const int leftover = perTask > 0 ? free.accelerators - perTask * std::min(room, free.accelerators / perTask) : free.accelerators;
            candidates.push_back({targets[index].isSuspect, rackRoom, leftover, free.accelerators, free.memoryMb, index, room});
        }
    }
}

TaskCounts fill(std::size_t targets, const std::vector<Candidate> &candidates, int count)
{
    TaskCounts counts(targets, 0);
    for (const auto &candidate : candidates) {
        counts[candidate.target] = std::min(candidate.room, count);
        count -= counts[candidate.target];
    }
    return counts;
}

/// Places the tasks of a filler step one by one on each target in turn. Fillers share what other work leaves unused, so they would slow each other down if they
/// were placed on only a few targets.
TaskCounts spread(std::size_t targets, const std::vector<Candidate> &candidates, int count)
{
    TaskCounts counts(targets, 0);
    while (count > 0) {
        for (const auto &candidate : candidates) {
            if (count > 0 && counts[candidate.target] < candidate.room) {
                ++counts[candidate.target];
                --count;
            }
        }
    }
    return counts;
}

bool isOverBudget(const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    return limits.acceleratorBudget && waiting.specification.perTask.accelerators * count > *limits.acceleratorBudget;
}

std::optional<TaskCounts> pack(std::size_t targets, const WaitingStep &waiting, std::vector<Candidate> candidates, int count)
{
    const auto room = std::transform_reduce(
        candidates.begin(), candidates.end(), 0LL, std::plus{}, [](const Candidate &candidate) { return static_cast<long long>(candidate.room); });
    if (room < count) {
        return std::nullopt;
    }
    std::ranges::sort(candidates);
    return waiting.specification.isFiller ? spread(targets, candidates, count) : fill(targets, candidates, count);
}

}

int tasksThatFit(const Resources &perTask, const Resources &room)
{
    return std::min({tasksInDimension(perTask.milliCpu, room.milliCpu),
                     tasksInDimension(perTask.memoryMb, room.memoryMb),
                     tasksInDimension(perTask.accelerators, room.accelerators)});
}

bool isEligible(const WaitingStep &waiting, const PlacementTarget &target)
{
    const auto &label = waiting.specification.requiredLabel;
    const bool hasLabel = label.empty() || std::ranges::find(target.labels, label) != target.labels.end();
    return target.acceptsWork && target.service == waiting.service && hasLabel;
}

bool isAllowed(const WaitingStep &waiting, const PlacementTarget &target)
{
    return isEligible(waiting, target) && (!waiting.advice || waiting.advice->allowed.contains(target.id));
}

std::optional<TaskCounts> packTasks(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    if (isOverBudget(waiting, count, limits)) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates;
    for (const auto &[rack, numbers] : usableByRack(targets, waiting, limits)) {
        addCandidates(candidates, targets, waiting, numbers, count, limits);
    }
    return pack(targets.size(), waiting, std::move(candidates), count);
}

std::optional<TaskCounts> packRack(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    if (isOverBudget(waiting, count, limits)) {
        return std::nullopt;
    }
    std::optional<TaskCounts> best;
    int bestFree = std::numeric_limits<int>::max();
    for (const auto &[rack, numbers] : usableByRack(targets, waiting, limits)) {
        // The rack of the step's data is preferred to any other rack, however well the step fits there.
        const int rank = rack == waiting.specification.dataRack ? -1 : freeAccelerators(targets, numbers, limits.roomOf);
        if (rank >= bestFree) {
            continue;
        }
        std::vector<Candidate> candidates;
        addCandidates(candidates, targets, waiting, numbers, count, limits);
        if (auto counts = pack(targets.size(), waiting, std::move(candidates), count)) {
            best = std::move(counts);
            bestFree = rank;
        }
    }
    return best;
}

}
