#include "placementpass.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace sequoiastand
{

namespace
{

/// Limit on starts per second in a zone that has returned to service, as a percentage of the zone's usable accelerators. It protects the zone from
/// overload.
constexpr int rampUpPercentPerSecond = 10;

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

/// Sums up the processors and memory of work that cannot be preempted. Work in its organisation's own cell is left out, because it uses the cell's share.
void addFixedWork(PlacementPass &pass)
{
    pass.fixedMilliCpu.assign(pass.map.targets.size(), 0);
    pass.fixedMemoryMb.assign(pass.map.targets.size(), 0);
    for (const auto &work : pass.map.work) {
        if (!work.specification || isPreemptible(work)) {
            continue;
        }
        const auto &ownCells = cellsOf(pass, work.specification->id.organisation).own;
        for (const auto &place : work.places) {
            const bool isInOwnCell = place.accelerators != 0 && (place.accelerators & ~ownCells[place.target]) == 0;
            if (!isInOwnCell) {
                pass.fixedMilliCpu[place.target] += place.tasks * work.specification->milliCpuPerTask;
                pass.fixedMemoryMb[place.target] += place.tasks * work.specification->memoryMbPerTask;
            }
        }
    }
}

/// Counts usable and free accelerators, the accelerators that each team holds, and the starts within the last second.
void addHeldWork(PlacementPass &pass)
{
    for (const auto &target : pass.map.targets) {
        pass.usableAccelerators += target.isUsable ? std::popcount(target.all) : 0;
        pass.freeAccelerators += target.isUsable ? std::popcount(target.all & ~target.used) : 0;
    }
    pass.startBudget = pass.view.isRampingUp ? std::max(1, pass.usableAccelerators * rampUpPercentPerSecond / 100) : pass.usableAccelerators;
    for (const auto &work : pass.map.work) {
        if (!work.specification || work.accelerators == 0) {
            continue;
        }
        const int heldAccelerators = work.accelerators;
        pass.teamHeld[work.specification->team] += heldAccelerators;
        const bool isNew = work.attempt && !work.isStopping && work.elapsed < std::chrono::seconds{1};
        if (isNew && heldAccelerators > 0 && work.specification->jobClass != JobClass::Urgent) {
            pass.startBudget -= heldAccelerators;
            pass.hasStartedNow = true;
        }
    }
}

}

PlacementPass makePass(const ClusterView &view)
{
    PlacementPass pass{view, capacityOf(view)};
    pass.model = learnRunTimes(pass.map.finished);
    pass.cells = bindCells(view, pass.map);
    pass.free = freeRooms(pass.map);
    pass.bound.assign(pass.map.targets.size(), 0);
    std::ranges::for_each(pass.cells.cells, [&pass](const Cell &cell) { pass.bound[cell.target] |= cell.accelerators; });
    pass.claimed.assign(pass.map.targets.size(), 0);
    pass.isStopping.reserve(pass.map.work.size());
    std::ranges::transform(pass.map.work, std::back_inserter(pass.isStopping), &RunningWork::isStopping);
    for (int index = 0; index < static_cast<int>(pass.map.work.size()); ++index) {
        if (pass.isStopping[index]) {
            pass.stopping.push_back(index);
        }
    }
    addFixedWork(pass);
    addHeldWork(pass);
    pass.plan.shortfalls = pass.cells.shortfalls;
    return pass;
}

const OrganisationCells &cellsOf(PlacementPass &pass, const OrganisationId &organisation)
{
    const auto cachedCells = pass.organisations.find(organisation);
    if (cachedCells != pass.organisations.end()) {
        return cachedCells->second;
    }
    return pass.organisations.emplace(organisation, cellsOf(pass.cells, organisation, pass.map.targets.size())).first->second;
}

bool areInOwnCells(const OrganisationCells &cells, const ChosenPlaces &places)
{
    return std::ranges::all_of(places,
                               [&cells](const ChosenPlace &place) { return place.accelerators != 0 && (place.accelerators & ~cells.own[place.target]) == 0; });
}

void claim(PlacementPass &pass, const ChosenPlaces &places, const JobSpecification &specification)
{
    for (const auto &place : places) {
        pass.freeAccelerators -= std::popcount(place.accelerators & pass.free[place.target].free);
    }
    subtractPlaces(pass.free, places, specification);
    const bool isFixed = !isPreemptible(specification);
    const auto &ownCells = cellsOf(pass, specification.id.organisation).own;
    for (const auto &place : places) {
        pass.claimed[place.target] |= place.accelerators;
        if (isFixed && (place.accelerators == 0 || (place.accelerators & ~ownCells[place.target]) != 0)) {
            pass.fixedMilliCpu[place.target] += specification.milliCpuPerTask;
            pass.fixedMemoryMb[place.target] += specification.memoryMbPerTask;
        }
    }
}

unsigned excludedReservations(const PlacementPass &pass, const QueuedJob &queued)
{
    unsigned excluded = 0;
    for (std::size_t index = 0; index < pass.reservations.size(); ++index) {
        const auto &reservation = pass.reservations[index];
        const bool isOwn = reservation.job == queued.job->specification.id;
        if (!isOwn && queued.priority != Priority::Urgent && queued.expected > reservation.wait) {
            excluded |= 1U << index;
        }
    }
    return excluded;
}

RoomRequest requestOf(const PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    return {specification.id.organisation,
            isPreemptible(specification),
            queued.isWithinGuarantee,
            queued.priority,
            specification.taskCount,
            specification.acceleratorsPerTask,
            specification.adjacency,
            specification.milliCpuPerTask,
            specification.memoryMbPerTask,
            excludedReservations(pass, queued)};
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
