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
struct Block
{
    const Guarantee *guarantee = nullptr;
    ChosenPlaces home;
    ChosenPlaces places;
};

struct StandingMask
{
    const OrganisationId *organisation = nullptr; ///< Null if the owner is not known.
    AcceleratorMask accelerators = 0;
};

/// Accelerators still available for binding and work that cannot be preempted, per target.
struct Ground
{
    std::vector<int> racks;
    std::vector<AcceleratorMask> free;
    std::vector<std::vector<StandingMask>> standing;
    int rackCount = 0;
};

struct RackChoice
{
    int looseness = 0;
    int eligible = 0;
    std::vector<int> targets;
};

/// A target that does not hold work for now keeps no guarantee; whether this host holds its lease does not matter.
bool canHoldCells(const ClusterView &view, const Target &target)
{
    return !target.isLeaving && target.health != TargetHealth::Unresponsive && target.health != TargetHealth::Quarantined
           && (view.configuration.drains.empty() || !isDrained(view.configuration, target.rack, target.id));
}

AcceleratorMask blockedFor(const Ground &ground, int target, const OrganisationId &organisation)
{
    AcceleratorMask blocked = 0;
    for (const auto &standing : ground.standing[target]) {
        if (!standing.organisation || *standing.organisation != organisation) {
            blocked |= standing.accelerators;
        }
    }
    return blocked;
}

/// The tightest workers of each rack that holds its part of the shape.
std::vector<RackChoice> rackChoices(const Ground &ground, const Guarantee &guarantee)
{
    const auto &shape = guarantee.shape;
    std::vector<std::vector<std::pair<int, int>>> eligible(ground.rackCount);
    for (int target = 0; target < static_cast<int>(ground.free.size()); ++target) {
        const auto free = ground.free[target] & ~blockedFor(ground, target, guarantee.organisation);
        if (std::popcount(free) >= shape.acceleratorsPerWorker && adjacentAccelerators(free, shape.acceleratorsPerWorker) != 0) {
            eligible[ground.racks[target]].emplace_back(std::popcount(ground.free[target]), target);
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
            choice.looseness += workers[worker].first;
            choice.targets.push_back(workers[worker].second);
        }
        choices.push_back(std::move(choice));
    }
    return choices;
}

/// Whole shape or nothing; empty if it does not fit.
ChosenPlaces findShape(const Ground &ground, const Guarantee &guarantee)
{
    const auto &shape = guarantee.shape;
    auto choices = rackChoices(ground, guarantee);
    if (static_cast<int>(choices.size()) < shape.racks) {
        return {};
    }
    std::ranges::stable_sort(choices, {}, [](const RackChoice &choice) { return std::pair(choice.looseness, choice.eligible); });
    ChosenPlaces places;
    for (int rack = 0; rack < shape.racks; ++rack) {
        for (const auto target : choices[rack].targets) {
            const auto free = ground.free[target] & ~blockedFor(ground, target, guarantee.organisation);
            places.push_back({target, adjacentAccelerators(free, shape.acceleratorsPerWorker)});
        }
    }
    return places;
}

void take(Ground &ground, const ChosenPlaces &places)
{
    for (const auto &place : places) {
        ground.free[place.target] &= ~place.accelerators;
    }
}

bool isAvailable(const Ground &ground, const Block &block)
{
    return !block.home.empty() && std::ranges::all_of(block.home, [&](const ChosenPlace &place) {
        const auto free = ground.free[place.target] & ~blockedFor(ground, place.target, block.guarantee->organisation);
        return (place.accelerators & ~free) == 0;
    });
}

/// Instances of all shapes of the zone, large ones first: small shapes fit into what large ones leave.
std::vector<Block> blocksOf(const ClusterView &view)
{
    std::vector<Block> blocks;
    for (const auto &[id, guarantee] : view.configuration.guarantees) {
        const auto &shape = guarantee.shape;
        const bool isEmpty = shape.acceleratorsPerWorker <= 0 || shape.workersPerRack <= 0 || shape.racks <= 0;
        if (guarantee.availabilityZone != view.availabilityZone || isEmpty) {
            continue;
        }
        for (int number = 0; number < shape.count; ++number) {
            blocks.push_back({&guarantee, {}, {}});
        }
    }
    std::ranges::stable_sort(blocks, std::greater{}, [](const Block &block) {
        const auto &shape = block.guarantee->shape;
        return std::tuple(shape.racks * shape.workersPerRack * shape.acceleratorsPerWorker, shape.acceleratorsPerWorker);
    });
    return blocks;
}

Ground groundOf(const ClusterView &view, const CapacityMap &map, bool onlyUsable)
{
    Ground ground;
    ground.rackCount = map.rackCount;
    ground.standing.resize(map.targets.size());
    for (const auto &target : map.targets) {
        ground.racks.push_back(target.rack);
        ground.free.push_back(onlyUsable && !canHoldCells(view, *target.target) ? 0 : target.all);
    }
    return ground;
}

void addStandingWork(Ground &ground, const CapacityMap &map)
{
    for (const auto &work : map.work) {
        if (isPreemptible(work)) {
            continue;
        }
        for (const auto &place : work.places) {
            ground.standing[place.target].push_back({work.specification ? &work.specification->id.organisation : nullptr, place.accelerators});
        }
    }
}

/// Binds the blocks that keep their home, then the others; returns the accelerators of shapes that do not fit.
int bind(Ground ground, std::vector<Block> &blocks, bool keepHomes)
{
    for (auto &block : blocks) {
        block.places = keepHomes && isAvailable(ground, block) ? block.home : ChosenPlaces{};
        if (!block.places.empty()) {
            take(ground, block.places);
        }
    }
    int missing = 0;
    for (auto &block : blocks) {
        if (!block.places.empty()) {
            continue;
        }
        block.places = findShape(ground, *block.guarantee);
        take(ground, block.places);
        if (block.places.empty()) {
            const auto &shape = block.guarantee->shape;
            missing += shape.racks * shape.workersPerRack * shape.acceleratorsPerWorker;
        }
    }
    return missing;
}

/// Binds with kept homes; if a shape is left over, a binding from scratch may still hold all.
int bindBest(const Ground &ground, std::vector<Block> &blocks)
{
    const int missing = bind(ground, blocks, true);
    if (missing == 0) {
        return 0;
    }
    auto fromScratch = blocks;
    const int missingFromScratch = bind(ground, fromScratch, false);
    if (missingFromScratch < missing) {
        blocks = std::move(fromScratch);
        return missingFromScratch;
    }
    return missing;
}

void addCells(std::vector<Cell> &cells, const Block &block, const ChosenPlaces &places)
{
    for (const auto &place : places) {
        cells.push_back({block.guarantee->id, block.guarantee->organisation, place.target, place.accelerators});
    }
}

CellMap cellMapOf(const Ground &ground, const std::vector<Block> &blocks)
{
    CellMap cells;
    std::map<std::string, int> missing;
    std::vector<AcceleratorMask> bound(ground.free.size(), 0);
    for (const auto &block : blocks) {
        addCells(cells.cells, block, block.places);
        std::ranges::for_each(block.places, [&bound](const ChosenPlace &place) { bound[place.target] |= place.accelerators; });
    }
    for (const auto &block : blocks) {
        if (!block.places.empty()) {
            continue;
        }
        const auto &shape = block.guarantee->shape;
        missing[block.guarantee->id] += shape.racks * shape.workersPerRack * shape.acceleratorsPerWorker;
        auto remains = block.home;
        std::ranges::for_each(remains, [&](ChosenPlace &place) { place.accelerators &= ground.free[place.target] & ~bound[place.target]; });
        addCells(cells.partialCells, block, remains);
    }
    for (const auto &[guarantee, accelerators] : missing) {
        cells.shortfalls.push_back({guarantee, accelerators});
    }
    return cells;
}

}

CellMap bindCells(const ClusterView &view, const CapacityMap &map)
{
    auto blocks = blocksOf(view);
    if (blocks.empty()) {
        return {};
    }
    auto inventory = groundOf(view, map, false);
    for (auto &block : blocks) {
        block.home = findShape(inventory, *block.guarantee);
        take(inventory, block.home);
    }
    const auto usable = groundOf(view, map, true);
    auto occupied = usable;
    addStandingWork(occupied, map);
    const int missing = bindBest(occupied, blocks);
    auto cells = cellMapOf(usable, blocks);
    if (missing > 0) {
        cells.isBlockedByWork = bindBest(usable, blocks) < missing;
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
