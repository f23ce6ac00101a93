#include "preemption.h"

#include "candidates.h"

#include <algorithm>
#include <bit>
#include <span>
#include <tuple>

namespace sequoiastand
{

namespace
{

/// Time that every accelerator loses when work is stopped and restarted, in addition to what the checkpoint does not cover.
constexpr Duration restartCost = std::chrono::seconds{30};
constexpr std::size_t initialVictimCount = 16;

/// Adds the work's places to the rooms, except accelerators that are not allowed or that are already claimed in this pass.
void addPlaces(const PlacementPass &pass, const RunningWork &work, const std::vector<AcceleratorMask> &allowed, std::vector<Room> &rooms)
{
    for (const auto &place : work.places) {
        if (!pass.map.targets[place.target].isUsable) {
            continue;
        }
        auto &room = rooms[place.target];
        room.free |= place.accelerators & allowed[place.target] & ~pass.claimed[place.target];
        if (work.specification) {
            room.milliCpu += place.tasks * work.specification->milliCpuPerTask;
            room.memoryMb += place.tasks * work.specification->memoryMbPerTask;
        }
    }
}

bool holds(const Room &room, AcceleratorMask accelerators, int tasks, const JobSpecification &specification)
{
    return (accelerators & ~room.free) == 0 && room.milliCpu >= tasks * specification.milliCpuPerTask && room.memoryMb >= tasks * specification.memoryMbPerTask;
}

/// True if all the places are free in the rooms.
bool holdPlaces(const std::vector<Room> &rooms, const ChosenPlaces &places, const JobSpecification &specification)
{
    for (auto place = places.begin(); place != places.end();) {
        const int target = place->target;
        AcceleratorMask mask = 0;
        int tasks = 0;
        for (; place != places.end() && place->target == target; ++place) {
            mask |= place->accelerators;
            ++tasks;
        }
        if (!holds(rooms[target], mask, tasks, specification)) {
            return false;
        }
    }
    return true;
}

bool sharesTargetWith(const RunningWork &work, const ChosenPlaces &places)
{
    return std::ranges::any_of(work.places,
                               [&places](const HeldPlace &held) { return std::ranges::binary_search(places, held.target, {}, &ChosenPlace::target); });
}

struct PreemptionBase
{
    PlacementPass &pass;
    const JobSpecification &specification;
    const std::vector<AcceleratorMask> &allowed;
    std::vector<Room> rooms; ///< Free capacity, including the capacity that stopping work will free.
};

PreemptionBase baseRooms(PlacementPass &pass, const JobSpecification &specification, const std::vector<AcceleratorMask> &allowed)
{
    PreemptionBase base{pass, specification, allowed, pass.free};
    for (std::size_t target = 0; target < base.rooms.size(); ++target) {
        base.rooms[target].free &= allowed[target];
    }
    for (const int index : pass.stopping) {
        addPlaces(pass, pass.map.work[index], allowed, base.rooms);
    }
    return base;
}

std::vector<Room> withVictims(const PreemptionBase &base, std::span<const int> victims)
{
    auto rooms = base.rooms;
    for (const int victim : victims) {
        addPlaces(base.pass, base.pass.map.work[victim], base.allowed, rooms);
    }
    if (!isPreemptible(base.specification)) {
        excludeForeignShares(base.pass, base.specification, rooms);
    }
    return rooms;
}

/// Removes victims that the chosen places do not need, the most expensive ones first.
std::vector<int> neededVictims(const PreemptionBase &base, std::span<const int> victims, const ChosenPlaces &places)
{
    std::vector<int> needed;
    std::ranges::copy_if(victims, std::back_inserter(needed), [&](int victim) { return sharesTargetWith(base.pass.map.work[victim], places); });
    for (auto index = static_cast<int>(needed.size()) - 1; index >= 0; --index) {
        auto fewer = needed;
        fewer.erase(fewer.begin() + index);
        if (holdPlaces(withVictims(base, fewer), places, base.specification)) {
            needed = std::move(fewer);
        }
    }
    return needed;
}

}

Duration acceleratorTimeLost(const RunningWork &work)
{
    return (work.sinceCheckpoint + restartCost) * std::max(1, work.accelerators);
}

const std::vector<int> &victimOrder(PlacementPass &pass)
{
    if (!pass.victimOrder) {
        std::vector<std::tuple<bool, Duration, int>> costs;
        for (int index = 0; index < static_cast<int>(pass.map.work.size()); ++index) {
            const auto &work = pass.map.work[index];
            if (isPreemptible(work)) {
                costs.emplace_back(!work.specification->isCheckpointable, acceleratorTimeLost(work), index);
            }
        }
        std::ranges::sort(costs);
        pass.victimOrder.emplace(costs.size());
        std::ranges::transform(costs, pass.victimOrder->begin(), [](const auto &cost) { return std::get<int>(cost); });
        pass.victimRank.assign(pass.map.work.size(), -1);
        for (int rank = 0; const int index : *pass.victimOrder) {
            pass.victimRank[index] = rank++;
        }
    }
    return *pass.victimOrder;
}

std::vector<int> victimsByCost(PlacementPass &pass, const std::function<bool(const RunningWork &)> &isCandidate)
{
    std::vector<int> victims;
    std::ranges::copy_if(
        victimOrder(pass), std::back_inserter(victims), [&](int index) { return !pass.isStopping[index] && isCandidate(pass.map.work[index]); });
    return victims;
}

std::optional<PreemptionChoice>
choosePreemption(PlacementPass &pass, const JobSpecification &specification, const std::vector<AcceleratorMask> &allowed, const std::vector<int> &victims)
{
    const auto base = baseRooms(pass, specification, allowed);
    const auto packWith = [&](std::size_t count) { return packGang(withVictims(base, std::span(victims).first(count)), pass.map.rackCount, specification); };
    auto places = packWith(0);
    std::size_t tooFew = 0;
    std::size_t enough = 0;
    // Usually few victims are enough, so the search starts with a small upper bound and raises it step by step.
    for (std::size_t next = initialVictimCount; !places && tooFew < victims.size(); next *= 4) {
        enough = std::min(next, victims.size());
        places = packWith(enough);
        tooFew = places ? tooFew : enough;
    }
    if (!places) {
        return std::nullopt;
    }
    while (enough > tooFew + 1) {
        const auto middle = tooFew + (enough - tooFew) / 2;
        if (auto found = packWith(middle)) {
            places = std::move(found);
            enough = middle;
        } else {
            tooFew = middle;
        }
    }
    return PreemptionChoice{*places, neededVictims(base, std::span(victims).first(enough), *places)};
}

std::optional<PreemptionChoice> reclaimCells(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    const auto ownCells = allowedAccelerators(pass, specification, PlacementTier::OwnCells);
    victimOrder(pass);
    std::vector<int> victims;
    for (std::size_t target = 0; target < ownCells.size(); ++target) {
        if (ownCells[target] != 0) {
            std::ranges::copy_if(pass.map.targets[target].work, std::back_inserter(victims), [&](int index) {
                return pass.victimRank[index] >= 0 && !pass.isStopping[index] && pass.map.work[index].id.job.organisation != specification.id.organisation;
            });
        }
    }
    const auto rankOf = [&pass](int index) { return pass.victimRank[index]; };
    std::ranges::sort(victims, {}, rankOf);
    victims.erase(std::ranges::unique(victims).begin(), victims.end());
    return choosePreemption(pass, specification, ownCells, victims);
}

std::optional<PreemptionChoice> preemptForUrgent(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    const auto tiers = tiersFor(pass, specification);
    if (tiers.empty()) {
        return std::nullopt;
    }
    const auto victims = victimsByCost(pass, [&](const RunningWork &work) {
        const bool isOwn = work.id.job.organisation == specification.id.organisation;
        return work.specification->jobClass != JobClass::Urgent && (isOwn || isBorrowing(pass, work));
    });
    return choosePreemption(pass, specification, allowedAccelerators(pass, specification, tiers.back()), victims);
}

std::optional<PreemptionChoice> preemptForOrdinary(PlacementPass &pass, const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    const auto tiers = tiersFor(pass, specification);
    if (tiers.empty()) {
        return std::nullopt;
    }
    const auto victims = victimsByCost(pass, [&](const RunningWork &work) {
        return work.specification->jobClass == JobClass::Patient && work.specification->isCheckpointable && isBorrowing(pass, work);
    });
    return choosePreemption(pass, specification, allowedAccelerators(pass, specification, tiers.back()), victims);
}

bool isBorrowing(PlacementPass &pass, const RunningWork &work)
{
    const auto isOutsideAllCells = [&pass](const HeldPlace &place) { return place.accelerators == 0 || (place.accelerators & ~pass.bound[place.target]) != 0; };
    if (std::ranges::any_of(work.places, isOutsideAllCells)) {
        return true;
    }
    const auto &ownCells = cellsOf(pass, work.id.job.organisation).own;
    return std::ranges::any_of(work.places, [&ownCells](const HeldPlace &place) { return (place.accelerators & ~ownCells[place.target]) != 0; });
}

}
