#include "packing.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <numeric>

namespace sequoiastand
{

namespace
{

/// Bits at which `count` adjacent free accelerators start.
AcceleratorMask adjacentStarts(AcceleratorMask free, int count)
{
    for (int done = 1; done < count && free != 0; ++done) {
        free &= free >> 1;
    }
    return free;
}

bool holdsProcessorsAndMemory(const Room &room, const JobSpecification &specification)
{
    return room.milliCpu >= specification.milliCpuPerTask && room.memoryMb >= specification.memoryMbPerTask;
}

void subtractTask(Room &room, AcceleratorMask accelerators, const JobSpecification &specification)
{
    room.free &= ~accelerators;
    room.milliCpu -= specification.milliCpuPerTask;
    room.memoryMb -= specification.memoryMbPerTask;
}

/// Sort key for best fit; a lower one is a tighter fit. Free accelerators come first, then free processors.
std::pair<int, int> slack(const Room &room)
{
    return {std::popcount(room.free), room.milliCpu};
}

void placeTasks(Room room, int target, int tasks, const JobSpecification &specification, ChosenPlaces &places)
{
    for (int task = 0; task < tasks; ++task) {
        const auto accelerators = adjacentAccelerators(room.free, specification.acceleratorsPerTask);
        subtractTask(room, accelerators, specification);
        places.push_back({target, accelerators});
    }
}

/// Fills first the rooms that hold the most tasks, and places the remaining tasks in the tightest room that holds them all.
ChosenPlaces fillRooms(const std::vector<Room> &rooms, std::vector<int> candidates, const std::vector<int> &capacities, const JobSpecification &specification)
{
    std::ranges::stable_sort(candidates, [&](int left, int right) {
        return capacities[left] != capacities[right] ? capacities[left] > capacities[right] : slack(rooms[left]) < slack(rooms[right]);
    });
    ChosenPlaces places;
    int unplacedTasks = specification.taskCount;
    for (auto next = candidates.begin(); next != candidates.end() && unplacedTasks > 0; ++next) {
        auto chosen = *next;
        if (capacities[chosen] >= unplacedTasks) {
            const auto fits = [&](int index) { return capacities[index] >= unplacedTasks; };
            const auto fittingEnd = std::ranges::find_if_not(next, candidates.end(), fits);
            chosen = *std::ranges::min_element(next, fittingEnd, {}, [&](int index) { return slack(rooms[index]); });
        }
        const int taskCount = std::min(unplacedTasks, capacities[chosen]);
        placeTasks(rooms[chosen], chosen, taskCount, specification, places);
        unplacedTasks -= taskCount;
    }
    std::ranges::stable_sort(places, {}, &ChosenPlace::target);
    return places;
}

}

AcceleratorMask adjacentAccelerators(AcceleratorMask free, int count)
{
    if (count <= 0) {
        return 0;
    }
    auto starts = adjacentStarts(free, count);
    AcceleratorMask bestMask = 0;
    int bestLength = 33;
    while (starts != 0) {
        const int start = std::countr_zero(starts);
        const int length = std::countr_one(free >> start);
        if (length < bestLength) {
            bestLength = length;
            bestMask = lowMask(count) << start;
        }
        const int end = start + length;
        starts = end >= 32 ? 0 : starts & (~AcceleratorMask{0} << end);
    }
    return bestMask;
}

int taskCapacity(const Room &room, const JobSpecification &specification, int limit)
{
    int capacity = limit;
    if (specification.milliCpuPerTask > 0) {
        capacity = std::min(capacity, std::max(0, room.milliCpu) / specification.milliCpuPerTask);
    }
    if (specification.memoryMbPerTask > 0) {
        capacity = std::min(capacity, std::max(0, room.memoryMb) / specification.memoryMbPerTask);
    }
    const int perTask = specification.acceleratorsPerTask;
    if (perTask <= 0 || capacity == 0) {
        return capacity;
    }
    capacity = std::min(capacity, std::popcount(room.free) / perTask);
    if (perTask == 1 || capacity == 0) {
        return capacity;
    }
    auto free = room.free;
    int fittingTasks = 0;
    while (fittingTasks < capacity) {
        const auto block = adjacentAccelerators(free, perTask);
        if (block == 0) {
            break;
        }
        free &= ~block;
        ++fittingTasks;
    }
    return fittingTasks;
}

std::optional<ChosenPlaces> packGang(const std::vector<Room> &rooms, int rackCount, const JobSpecification &specification)
{
    const int taskCount = specification.taskCount;
    std::vector<int> capacities(rooms.size(), 0);
    std::vector<int> rackCapacities(rackCount, 0);
    int totalCapacity = 0;
    int bestRoom = -1;
    for (int index = 0; index < static_cast<int>(rooms.size()); ++index) {
        const auto &room = rooms[index];
        const bool lacksAccelerators = specification.acceleratorsPerTask > 0 && room.free == 0;
        if (lacksAccelerators || !holdsProcessorsAndMemory(room, specification)) {
            continue;
        }
        const int capacity = taskCapacity(room, specification, taskCount);
        capacities[index] = capacity;
        rackCapacities[room.rack] += capacity;
        totalCapacity += capacity;
        if (capacity >= taskCount && (bestRoom < 0 || slack(room) < slack(rooms[bestRoom]))) {
            bestRoom = index;
        }
    }
    if (taskCount <= 0 || totalCapacity < taskCount) {
        return std::nullopt;
    }
    ChosenPlaces places;
    if (bestRoom >= 0) {
        placeTasks(rooms[bestRoom], bestRoom, taskCount, specification, places);
        return places;
    }
    if (specification.adjacency == Adjacency::Worker) {
        return std::nullopt;
    }
    std::vector<int> racks(rackCount);
    std::iota(racks.begin(), racks.end(), 0);
    std::ranges::stable_sort(racks, std::greater{}, [&](int rack) { return rackCapacities[rack]; });
    // The racks are in descending order of capacity, so the last one that holds the whole gang fits best.
    const auto tooSmall = std::ranges::find_if(racks, [&](int rack) { return rackCapacities[rack] < taskCount; });
    std::vector<bool> isChosenRack(rackCount, false);
    if (tooSmall != racks.begin()) {
        isChosenRack[*std::prev(tooSmall)] = true;
    } else if (specification.adjacency == Adjacency::Rack) {
        return std::nullopt;
    } else {
        int chosenCapacity = 0;
        for (auto rack = racks.begin(); chosenCapacity < taskCount; ++rack) {
            isChosenRack[*rack] = true;
            chosenCapacity += rackCapacities[*rack];
        }
    }
    std::vector<int> candidates;
    for (int index = 0; index < static_cast<int>(rooms.size()); ++index) {
        if (capacities[index] > 0 && isChosenRack[rooms[index].rack]) {
            candidates.push_back(index);
        }
    }
    return fillRooms(rooms, std::move(candidates), capacities, specification);
}

void subtractPlaces(std::vector<Room> &rooms, const ChosenPlaces &places, const JobSpecification &specification)
{
    for (const auto &place : places) {
        subtractTask(rooms[place.target], place.accelerators, specification);
    }
}

}
