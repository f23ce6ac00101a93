#include "packing.h"

#include <algorithm>
#include <compare>
#include <functional>
#include <limits>
#include <numeric>
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

/// The targets that the step may use, by rack.
std::vector<RackTargets> usableByRack(PackingFleet &fleet, const WaitingStep &waiting, const PackingLimits &limits)
{
    std::vector<RackTargets> usable;
    for (const auto &[rack, numbers] : eligibleTargets(fleet, waiting)) {
        if (limits.onlyRack != nullptr && rack != *limits.onlyRack) {
            continue;
        }
        TargetNumbers inRack;
        std::ranges::copy_if(numbers, std::back_inserter(inRack), [&](std::size_t number) {
            const auto &target = fleet.targets[number];
            return (!waiting.advice || waiting.advice->allowed.contains(target.id)) && limits.mayUse(target);
        });
        if (!inRack.empty()) {
            usable.push_back({rack, std::move(inRack)});
        }
    }
    return usable;
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

/// The largest number of tasks, up to `count`, that is not over the budget.
int withinBudget(const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    const int perTask = waiting.specification.perTask.accelerators;
    if (!isOverBudget(waiting, count, limits)) {
        return count;
    }
    return perTask > 0 ? std::max(0, *limits.acceleratorBudget / perTask) : 0;
}

long long totalRoom(const std::vector<Candidate> &candidates)
{
    return std::transform_reduce(
        candidates.begin(), candidates.end(), 0LL, std::plus{}, [](const Candidate &candidate) { return static_cast<long long>(candidate.room); });
}

TaskCounts placeOn(std::size_t targets, const WaitingStep &waiting, std::vector<Candidate> candidates, int count)
{
    std::ranges::sort(candidates);
    return waiting.specification.isFiller ? spread(targets, candidates, count) : fill(targets, candidates, count);
}

std::vector<Candidate> findCandidates(PackingFleet &fleet, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    std::vector<Candidate> candidates;
    for (const auto &[rack, numbers] : usableByRack(fleet, waiting, limits)) {
        addCandidates(candidates, fleet.targets, waiting, numbers, count, limits);
    }
    return candidates;
}

}

int tasksThatFit(const Resources &perTask, const Resources &room)
{
    return std::min({tasksInDimension(perTask.milliCpu, room.milliCpu),
                     tasksInDimension(perTask.memoryMb, room.memoryMb),
                     tasksInDimension(perTask.accelerators, room.accelerators)});
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

bool meetsRequirements(const WaitingStep &waiting, const PlacementTarget &target)
{
    const auto &label = waiting.specification.requiredLabel;
    const bool hasLabel = label.empty() || std::ranges::find(target.labels, label) != target.labels.end();
    return target.service == waiting.service && hasLabel;
}

bool isEligible(const WaitingStep &waiting, const PlacementTarget &target)
{
    return target.acceptsWork && meetsRequirements(waiting, target);
}

bool isAllowed(const WaitingStep &waiting, const PlacementTarget &target)
{
    return isEligible(waiting, target) && (!waiting.advice || waiting.advice->allowed.contains(target.id));
}

std::optional<TaskCounts> packTasks(PackingFleet &fleet, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    if (isOverBudget(waiting, count, limits)) {
        return std::nullopt;
    }
    auto candidates = findCandidates(fleet, waiting, count, limits);
    if (totalRoom(candidates) < count) {
        return std::nullopt;
    }
    return placeOn(fleet.targets.size(), waiting, std::move(candidates), count);
}

TaskCounts packAsManyAsFit(PackingFleet &fleet, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    const int allowed = withinBudget(waiting, count, limits);
    auto candidates = findCandidates(fleet, waiting, allowed, limits);
    const auto placed = static_cast<int>(std::min<long long>(allowed, totalRoom(candidates)));
    return placeOn(fleet.targets.size(), waiting, std::move(candidates), placed);
}

std::optional<TaskCounts> packRack(PackingFleet &fleet, const WaitingStep &waiting, int count, const PackingLimits &limits)
{
    if (isOverBudget(waiting, count, limits)) {
        return std::nullopt;
    }
    std::vector<Candidate> best;
    int bestFree = std::numeric_limits<int>::max();
    for (const auto &[rack, numbers] : usableByRack(fleet, waiting, limits)) {
        // The rack of the step's data is preferred to any other rack, however well the step fits there.
        const int rank = rack == waiting.specification.dataRack ? -1 : freeAccelerators(fleet.targets, numbers, limits.roomOf);
        if (rank >= bestFree) {
            continue;
        }
        std::vector<Candidate> candidates;
        addCandidates(candidates, fleet.targets, waiting, numbers, count, limits);
        if (totalRoom(candidates) >= count) {
            best = std::move(candidates);
            bestFree = rank;
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return placeOn(fleet.targets.size(), waiting, std::move(best), count);
}

}
