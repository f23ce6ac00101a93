#include "policybaseline.h"

#include "core/packing.h"
#include "core/placementpass.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sequoiastand
{

namespace
{

/// Places all tasks on the first targets with enough room. If the job's adjacency requires it, all tasks are placed on one target or in one rack.
std::optional<ChosenPlaces> firstFit(const std::vector<Room> &rooms, int rackCount, const JobSpecification &specification)
{
    const auto fill = [&](auto isInGroup) -> std::optional<ChosenPlaces> {
        ChosenPlaces places;
        for (int index = 0; index < static_cast<int>(rooms.size()); ++index) {
            auto room = rooms[index];
            if (!isInGroup(index) || room.milliCpu < 0) {
                continue;
            }
            const int remainingTasks = specification.taskCount - static_cast<int>(places.size());
            for (int tasks = taskCapacity(room, specification, remainingTasks); tasks > 0; --tasks) {
                const auto mask = adjacentAccelerators(room.free, specification.acceleratorsPerTask);
                room.free &= ~mask;
                places.push_back({index, mask});
            }
            if (static_cast<int>(places.size()) == specification.taskCount) {
                return places;
            }
        }
        return std::nullopt;
    };
    const int groups =
        specification.adjacency == Adjacency::Worker ? static_cast<int>(rooms.size()) : (specification.adjacency == Adjacency::Rack ? rackCount : 1);
    for (int group = 0; group < groups; ++group) {
        auto places =
            fill([&](int index) { return groups == 1 || (specification.adjacency == Adjacency::Worker ? index == group : rooms[index].rack == group); });
        if (places) {
            return places;
        }
    }
    return std::nullopt;
}

std::vector<Room> freeRooms(const CapacityMap &map)
{
    std::vector<Room> rooms;
    rooms.reserve(map.targets.size());
    for (const auto &target : map.targets) {
        rooms.push_back(target.isUsable ? Room{target.rack, target.all & ~target.used, target.freeMilliCpu, target.freeMemoryMb}
                                        : Room{target.rack, 0, -1, -1});
    }
    return rooms;
}

void place(Plan &plan, const CapacityMap &map, std::vector<Room> &rooms, const ChosenPlaces &places, const Job &job)
{
    subtractPlaces(rooms, places, job.specification);
    plan.placements.push_back({job.specification.id, plannedMembers(map, places), false, {}});
}

std::vector<const Job *> jobsByArrival(const ClusterView &view)
{
    auto waiting = waitingJobs(view);
    std::ranges::stable_sort(waiting, {}, &Job::acceptedAt);
    return waiting;
}

struct HeadReservation
{
    ChosenPlaces places;
    Duration wait{0};
};

/// Finds the earliest time at which the job fits, and the places for it, on the assumption that running work ends at its declared time.
std::optional<HeadReservation> reserveByDeclaredTimes(const CapacityMap &map, std::vector<Room> rooms, const JobSpecification &specification)
{
    std::multimap<Duration, const RunningWork *> ends;
    for (const auto &work : map.work) {
        if (work.specification) {
            ends.emplace(expectedRemaining(RunTimeModel{}, work), &work);
        }
    }
    for (const auto &[wait, work] : ends) {
        for (const auto &held : work->places) {
            if (map.targets[held.target].isUsable) {
                rooms[held.target].free |= held.accelerators;
                rooms[held.target].milliCpu += held.tasks * work->specification->milliCpuPerTask;
                rooms[held.target].memoryMb += held.tasks * work->specification->memoryMbPerTask;
            }
        }
        if (const auto places = firstFit(rooms, map.rackCount, specification)) {
            return HeadReservation{*places, wait};
        }
    }
    return std::nullopt;
}

}

Plan planFifoFirstFit(const ClusterView &view)
{
    Plan plan;
    if (isZoneOut(view.configuration, view.availabilityZone)) {
        return plan;
    }
    const auto map = capacityOf(view);
    auto rooms = freeRooms(map);
    for (const auto *job : jobsByArrival(view)) {
        const auto places = firstFit(rooms, map.rackCount, job->specification);
        if (!places) {
            break;
        }
        place(plan, map, rooms, *places, *job);
    }
    return plan;
}

Plan planFifoBackfill(const ClusterView &view)
{
    Plan plan;
    if (isZoneOut(view.configuration, view.availabilityZone)) {
        return plan;
    }
    const auto map = capacityOf(view);
    auto rooms = freeRooms(map);
    std::optional<HeadReservation> head;
    bool isBlocked = false;
    for (const auto *job : jobsByArrival(view)) {
        const auto &specification = job->specification;
        auto usable = rooms;
        if (head && specification.declaredRunTime > head->wait) {
            std::ranges::for_each(head->places, [&usable](const ChosenPlace &reserved) { usable[reserved.target].free &= ~reserved.accelerators; });
        }
        if (const auto places = firstFit(usable, map.rackCount, specification)) {
            place(plan, map, rooms, *places, *job);
        } else if (!isBlocked) {
            isBlocked = true;
            head = reserveByDeclaredTimes(map, rooms, specification);
        }
    }
    return plan;
}

}
