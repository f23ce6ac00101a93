#include "clusterview.h"
#include "packing.h"

#include <algorithm>
#include <tuple>

namespace sequoiastand
{

namespace
{

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

std::vector<PlannedMember> plannedMembers(const CapacityMap &map, const ChosenPlaces &places)
{
    std::vector<PlannedMember> members;
    members.reserve(places.size());
    std::ranges::transform(places, std::back_inserter(members), [&map](const ChosenPlace &place) {
        return PlannedMember{map.targets[place.target].target->id, place.accelerators};
    });
    return members;
}

}

Plan planPlacements(const ClusterView &view)
{
    Plan plan;
    auto waiting = waitingJobs(view);
    if (isZoneOut(view.configuration, view.availabilityZone)) {
        for (const auto *job : waiting) {
            plan.explanations.push_back({job->specification.id, "waits: zone " + view.availabilityZone.value + " is out of service"});
        }
        return plan;
    }
    std::ranges::stable_sort(waiting, {}, [](const Job *job) { return std::tuple(job->specification.jobClass, job->acceptedAt); });
    const auto map = capacityOf(view);
    auto rooms = freeRooms(map);
    for (const auto *job : waiting) {
        const auto &specification = job->specification;
        if (const auto places = packGang(rooms, map.rackCount, specification)) {
            takePlaces(rooms, *places, specification);
            plan.placements.push_back(
                {specification.id, plannedMembers(map, *places), false, "placed on free capacity of zone " + view.availabilityZone.value});
        } else {
            plan.explanations.push_back({specification.id, "waits: no free place for the whole gang in zone " + view.availabilityZone.value});
        }
    }
    return plan;
}

}
