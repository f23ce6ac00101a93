#include "candidates.h"

#include <algorithm>
#include <bit>

namespace sequoiastand
{

namespace
{

/// The part of a target's processors or memory that belongs to that many of its accelerators.
int shareOf(int total, int accelerators, int acceleratorCount)
{
    return acceleratorCount > 0 ? static_cast<int>(static_cast<long long>(total) * accelerators / acceleratorCount) : 0;
}

}

std::vector<AcceleratorMask> allowedAccelerators(PlacementPass &pass, const JobSpecification &specification, PlacementTier tier)
{
    const auto &cells = cellsOf(pass, specification.id.organisation);
    if (tier == PlacementTier::OwnCells) {
        return cells.own;
    }
    std::vector<AcceleratorMask> allowed(cells.foreign.size(), ~AcceleratorMask{0});
    if (tier == PlacementTier::Unbound) {
        std::ranges::transform(cells.foreign, allowed.begin(), [](AcceleratorMask foreign) { return ~foreign; });
    }
    return allowed;
}

std::vector<Room> roomsFor(PlacementPass &pass, const QueuedJob &queued, PlacementTier tier)
{
    auto rooms = pass.free;
    const auto &specification = queued.job->specification;
    const auto allowed = allowedAccelerators(pass, specification, tier);
    for (std::size_t target = 0; target < rooms.size(); ++target) {
        rooms[target].free &= allowed[target];
        // A target on which the job just failed is not tried again with it first.
        if (pass.map.targets[target].target->lastFailedJob == specification.id) {
            rooms[target] = {rooms[target].rack, 0, -1, -1};
        }
    }
    const unsigned excluded = tier == PlacementTier::OwnCells ? 0 : excludedReservations(pass, queued);
    for (std::size_t index = 0; index < pass.reservations.size(); ++index) {
        if ((excluded >> index & 1U) != 0) {
            const auto &reserved = pass.reservations[index].accelerators;
            for (std::size_t target = 0; target < rooms.size(); ++target) {
                rooms[target].free &= ~reserved[target];
            }
        }
    }
    if (!isPreemptible(specification) && tier != PlacementTier::OwnCells) {
        excludeForeignShares(pass, specification, rooms);
    }
    return rooms;
}

void excludeForeignShares(PlacementPass &pass, const JobSpecification &specification, std::vector<Room> &rooms)
{
    const auto &foreign = cellsOf(pass, specification.id.organisation).foreign;
    for (std::size_t index = 0; index < rooms.size(); ++index) {
        const auto &target = *pass.map.targets[index].target;
        const int bound = std::popcount(foreign[index]);
        if (bound == 0) {
            continue;
        }
        const int milliCpu = target.milliCpu - shareOf(target.milliCpu, bound, target.acceleratorCount) - pass.fixedMilliCpu[index];
        const int memoryMb = target.memoryMb - shareOf(target.memoryMb, bound, target.acceleratorCount) - pass.fixedMemoryMb[index];
        rooms[index].milliCpu = std::min(rooms[index].milliCpu, milliCpu);
        rooms[index].memoryMb = std::min(rooms[index].memoryMb, memoryMb);
    }
}

std::vector<PlacementTier> tiersFor(const PlacementPass &pass, const JobSpecification &specification)
{
    const bool isPreemptibleJob = isPreemptible(specification);
    if (specification.acceleratorsPerTask == 0 || pass.cells.cells.empty()) {
        const bool isHeldBack = pass.cells.isBlockedByWork && specification.acceleratorsPerTask > 0;
        return isPreemptibleJob ? std::vector{PlacementTier::Everywhere} : (isHeldBack ? std::vector<PlacementTier>{} : std::vector{PlacementTier::Unbound});
    }
    if (isPreemptibleJob) {
        return {PlacementTier::OwnCells, PlacementTier::Unbound, PlacementTier::Everywhere};
    }
    if (pass.cells.isBlockedByWork) {
        return {PlacementTier::OwnCells};
    }
    return {PlacementTier::OwnCells, PlacementTier::Unbound};
}

std::optional<ChosenPlaces> findFreePlaces(PlacementPass &pass, const QueuedJob &queued)
{
    const auto request = requestOf(pass, queued);
    if (pass.failedRequests.contains(request)) {
        return std::nullopt;
    }
    for (const auto tier : tiersFor(pass, queued.job->specification)) {
        if (auto places = packGang(roomsFor(pass, queued, tier), pass.map.rackCount, queued.job->specification)) {
            return places;
        }
    }
    pass.failedRequests.insert(request);
    return std::nullopt;
}

bool fitsEmptyZone(PlacementPass &pass, const JobSpecification &specification)
{
    std::vector<Room> rooms;
    rooms.reserve(pass.map.targets.size());
    const auto tier = isPreemptible(specification) ? PlacementTier::Everywhere : PlacementTier::Unbound;
    const auto allowed = allowedAccelerators(pass, specification, tier);
    for (std::size_t index = 0; index < pass.map.targets.size(); ++index) {
        const auto &target = pass.map.targets[index];
        rooms.push_back({target.rack, target.all & allowed[index], target.target->milliCpu, target.target->memoryMb});
    }
    return packGang(rooms, pass.map.rackCount, specification).has_value();
}

}
