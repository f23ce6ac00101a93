#include "cells.h"

#include "packing.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>
#include <map>
#include <tuple>

namespace sequoiastand
{

namespace
{

/// One instance of a guaranteed shape.
struct ShapeInstance
{
    const Guarantee *guarantee = nullptr;
    ChosenPlaces home; ///< Places that depend only on the configuration and the list of targets.
    ChosenPlaces places;
};

struct OccupiedMask
{
    const OrganisationId *organisation = nullptr; ///< Null if the owner is not known.
    AcceleratorMask accelerators = 0;
};

/// For each target, the accelerators that can still be bound and those occupied by work that cannot be preempted.
struct BindableCapacity
{
    std::vector<int> racks;
    std::vector<AcceleratorMask> free;
    std::vector<std::vector<OccupiedMask>> occupied;
    int rackCount = 0;
};

struct RackChoice
{
    int freeAccelerators = 0;
    int eligible = 0;
    std::vector<int> targets;
};

/// A target that cannot take work at present holds no cells. Unlike isUsable(), this check ignores whether this host holds the lease on the target.
bool canHoldCells(const ClusterView &view, const Target &target)
{
    return !target.isLeaving && target.health != TargetHealth::Unresponsive && target.health != TargetHealth::Quarantined
           && (view.configuration.drains.empty() || !isDrained(view.configuration, target.rack, target.id));
}

AcceleratorMask blockedFor(const BindableCapacity &capacity, int target, const OrganisationId &organisation)
{
    AcceleratorMask blocked = 0;
    for (const auto &occupied : capacity.occupied[target]) {
        if (!occupied.organisation || *occupied.organisation != organisation) {
            blocked |= occupied.accelerators;
        }
    }
    return blocked;
}

/// For each rack that can hold one rack of the shape, the eligible workers with the fewest free accelerators.
std::vector<RackChoice> rackChoices(const BindableCapacity &capacity, const Guarantee &guarantee)
{
    const auto &shape = guarantee.shape;
    std::vector<std::vector<std::pair<int, int>>> eligible(capacity.rackCount);
    for (int target = 0; target < static_cast<int>(capacity.free.size()); ++target) {
        const auto free = capacity.free[target] & ~blockedFor(capacity, target, guarantee.organisation);
        if (std::popcount(free) >= shape.acceleratorsPerWorker && adjacentAccelerators(free, shape.acceleratorsPerWorker) != 0) {
            eligible[capacity.racks[target]].emplace_back(std::popcount(capacity.free[target]), target);
        }
    }
    std::vector<RackChoice> choices;
    for (auto &workers : eligible) {
        if (static_cast<int>(workers.size()) < shape.workersPerRack) {
            continue;
        }
        RackChoice choice{0, static_cast<int>(workers.size()), {}};
        std::ranges::partial_sort(workers, workers.begin() + shape.workersPerRack);
        for (int worker = 0; worker < shape.workersPerRack; ++worker) {
            choice.freeAccelerators += workers[worker].first;
            choice.targets.push_back(workers[worker].second);
        }
        choices.push_back(std::move(choice));
    }
    return choices;
}

/// Places for the whole shape; empty if it does not fit.
ChosenPlaces findShape(const BindableCapacity &capacity, const Guarantee &guarantee)
{
    const auto &shape = guarantee.shape;
    auto choices = rackChoices(capacity, guarantee);
    if (static_cast<int>(choices.size()) < shape.racks) {
        return {};
    }
    std::ranges::stable_sort(choices, {}, [](const RackChoice &choice) { return std::pair(choice.freeAccelerators, choice.eligible); });
    ChosenPlaces places;
    for (int rack = 0; rack < shape.racks; ++rack) {
        for (const auto target : choices[rack].targets) {
            const auto free = capacity.free[target] & ~blockedFor(capacity, target, guarantee.organisation);
            places.push_back({target, adjacentAccelerators(free, shape.acceleratorsPerWorker)});
        }
    }
    return places;
}

void subtract(BindableCapacity &capacity, const ChosenPlaces &places)
{
    for (const auto &place : places) {
        capacity.free[place.target] &= ~place.accelerators;
    }
}

bool isHomeAvailable(const BindableCapacity &capacity, const ShapeInstance &instance)
{
    return !instance.home.empty() && std::ranges::all_of(instance.home, [&](const ChosenPlace &place) {
        const auto free = capacity.free[place.target] & ~blockedFor(capacity, place.target, instance.guarantee->organisation);
        return (place.accelerators & ~free) == 0;
    });
}

/// Instances of all shapes of the zone. Large ones come first, because small ones fit into what large ones leave free.
std::vector<ShapeInstance> shapeInstancesOf(const ClusterView &view)
{
    std::vector<ShapeInstance> instances;
    for (const auto &[id, guarantee] : view.configuration.guarantees) {
        const auto &shape = guarantee.shape;
        const bool isEmpty = shape.acceleratorsPerWorker <= 0 || shape.workersPerRack <= 0 || shape.racks <= 0;
        if (guarantee.availabilityZone != view.availabilityZone || isEmpty) {
            continue;
        }
        for (int number = 0; number < shape.count; ++number) {
            instances.push_back({&guarantee, {}, {}});
        }
    }
    std::ranges::stable_sort(instances, std::greater{}, [](const ShapeInstance &instance) {
        const auto &shape = instance.guarantee->shape;
        return std::tuple(shape.racks * shape.workersPerRack * shape.acceleratorsPerWorker, shape.acceleratorsPerWorker);
    });
    return instances;
}

BindableCapacity bindableCapacityOf(const ClusterView &view, const CapacityMap &map, bool onlyUsable)
{
    BindableCapacity capacity;
    capacity.rackCount = map.rackCount;
    capacity.occupied.resize(map.targets.size());
    for (const auto &target : map.targets) {
        capacity.racks.push_back(target.rack);
        capacity.free.push_back(onlyUsable && !canHoldCells(view, *target.target) ? 0 : target.all);
    }
    return capacity;
}

void addOccupyingWork(BindableCapacity &capacity, const CapacityMap &map)
{
    for (const auto &work : map.work) {
        if (isPreemptible(work)) {
            continue;
        }
        for (const auto &place : work.places) {
            capacity.occupied[place.target].push_back({work.specification ? &work.specification->id.organisation : nullptr, place.accelerators});
        }
    }
}

/// Binds first the instances that keep their home, then the others. Returns the total number of accelerators in the instances that do not fit.
int bind(BindableCapacity capacity, std::vector<ShapeInstance> &instances, bool keepHomes)
{
    for (auto &instance : instances) {
        instance.places = keepHomes && isHomeAvailable(capacity, instance) ? instance.home : ChosenPlaces{};
        if (!instance.places.empty()) {
            subtract(capacity, instance.places);
        }
    }
    int missingAccelerators = 0;
    for (auto &instance : instances) {
        if (!instance.places.empty()) {
            continue;
        }
        instance.places = findShape(capacity, *instance.guarantee);
        subtract(capacity, instance.places);
        if (instance.places.empty()) {
            const auto &shape = instance.guarantee->shape;
            missingAccelerators += shape.racks * shape.workersPerRack * shape.acceleratorsPerWorker;
        }
    }
    return missingAccelerators;
}

/// Binds the instances and keeps homes where possible. If an instance does not fit, binds all instances anew, and uses the second binding if fewer
/// accelerators are missing in it.
int bindBest(const BindableCapacity &capacity, std::vector<ShapeInstance> &instances)
{
    const int missingAccelerators = bind(capacity, instances, true);
    if (missingAccelerators == 0) {
        return 0;
    }
    auto fromScratch = instances;
    const int missingFromScratch = bind(capacity, fromScratch, false);
    if (missingFromScratch < missingAccelerators) {
        instances = std::move(fromScratch);
        return missingFromScratch;
    }
    return missingAccelerators;
}

void addCells(std::vector<Cell> &cells, const ShapeInstance &instance, const ChosenPlaces &places)
{
    for (const auto &place : places) {
        cells.push_back({instance.guarantee->id, instance.guarantee->organisation, place.target, place.accelerators});
    }
}

CellMap cellMapOf(const BindableCapacity &capacity, const std::vector<ShapeInstance> &instances)
{
    CellMap cells;
    std::map<std::string, int> missingAccelerators;
    std::vector<AcceleratorMask> bound(capacity.free.size(), 0);
    for (const auto &instance : instances) {
        addCells(cells.cells, instance, instance.places);
        std::ranges::for_each(instance.places, [&bound](const ChosenPlace &place) { bound[place.target] |= place.accelerators; });
    }
    for (const auto &instance : instances) {
        if (!instance.places.empty()) {
            continue;
        }
        const auto &shape = instance.guarantee->shape;
        missingAccelerators[instance.guarantee->id] += shape.racks * shape.workersPerRack * shape.acceleratorsPerWorker;
        auto remains = instance.home;
        std::ranges::for_each(remains, [&](ChosenPlace &place) { place.accelerators &= capacity.free[place.target] & ~bound[place.target]; });
        addCells(cells.partialCells, instance, remains);
    }
    for (const auto &[guarantee, accelerators] : missingAccelerators) {
        cells.shortfalls.push_back({guarantee, accelerators});
    }
    return cells;
}

}

CellMap bindCells(const ClusterView &view, const CapacityMap &map)
{
    auto instances = shapeInstancesOf(view);
    if (instances.empty()) {
        return {};
    }
    auto inventory = bindableCapacityOf(view, map, false);
    for (auto &instance : instances) {
        instance.home = findShape(inventory, *instance.guarantee);
        subtract(inventory, instance.home);
    }
    const auto usable = bindableCapacityOf(view, map, true);
    auto occupied = usable;
    addOccupyingWork(occupied, map);
    const int missingAccelerators = bindBest(occupied, instances);
    auto cells = cellMapOf(usable, instances);
    if (missingAccelerators > 0) {
        cells.isBlockedByWork = bindBest(usable, instances) < missingAccelerators;
    }
    return cells;
}

OrganisationCells cellsOf(const CellMap &cells, const OrganisationId &organisation, std::size_t targetCount)
{
    OrganisationCells found{std::vector<AcceleratorMask>(targetCount, 0), std::vector<AcceleratorMask>(targetCount, 0)};
    for (const auto &cell : cells.cells) {
        (cell.organisation == organisation ? found.own : found.foreign)[cell.target] |= cell.accelerators;
    }
    for (const auto &cell : cells.partialCells) {
        if (cell.organisation != organisation) {
            found.foreign[cell.target] |= cell.accelerators;
        }
    }
    return found;
}

bool isPreemptible(const RunningWork &work)
{
    return work.canBePreempted;
}

std::string toString(const Shape &shape)
{
    const auto plural = [](int count, const char *word) { return absl::StrCat(count, " ", word, count == 1 ? "" : "s"); };
    return absl::StrCat(shape.count,
                        " x ",
                        plural(shape.racks, "rack"),
                        " of ",
                        plural(shape.workersPerRack, "worker"),
                        " with ",
                        plural(shape.acceleratorsPerWorker, "accelerator"));
}

int acceleratorCount(const Shape &shape)
{
    return shape.count * shape.racks * shape.workersPerRack * shape.acceleratorsPerWorker;
}

}
