#include "reclaim.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace sequoiastand
{

namespace
{

/// One way to make room: units to stop, with the places that follow.
struct Option
{
    std::vector<std::size_t> victims; ///< Indexes into the running units.
    TaskCounts places;
    double cost = std::numeric_limits<double>::infinity();
};

/// A rack's targets, and the running units that stand on some of them.
struct RackContent
{
    TargetNumbers targets;
    std::vector<std::size_t> units;
};

/// Where everything stands, looked up once for a waiting step: on a large fleet there are many racks, and each may have its work stopped.
struct FleetIndex
{
    std::map<RackId, RackContent> racks;
    std::vector<TargetNumbers> unitTargets; ///< Of each running unit, the target of each task.
};

FleetIndex indexFleet(const PlacementInput &input)
{
    FleetIndex index;
    std::map<TargetId, std::size_t> numbers;
    for (std::size_t number = 0; number < input.targets.size(); ++number) {
        numbers.emplace(input.targets[number].id, number);
        index.racks[input.targets[number].rack].targets.push_back(number);
    }
    for (std::size_t unit = 0; unit < input.running.size(); ++unit) {
        auto &targets = index.unitTargets.emplace_back();
        for (const auto &[task, target] : input.running[unit].tasks) {
            const auto found = numbers.find(target);
            if (found == numbers.end()) {
                continue;
            }
            targets.push_back(found->second);
            auto &units = index.racks[input.targets[found->second].rack].units;
            if (units.empty() || units.back() != unit) {
                units.push_back(unit);
            }
        }
    }
    return index;
}

/// Room of each target; `soon` of the input, and what stopping victims frees.
using FleetRoom = std::vector<Resources>;

void addUnit(FleetRoom &room, const PlacementInput &input, const FleetIndex &index, std::size_t unit)
{
    for (const std::size_t target : index.unitTargets[unit]) {
        room[target] = room[target] + input.running[unit].perTask;
    }
}

void removeUnit(FleetRoom &room, const PlacementInput &input, const FleetIndex &index, std::size_t unit)
{
    for (const std::size_t target : index.unitTargets[unit]) {
        room[target] = room[target] - input.running[unit].perTask;
    }
}

FleetRoom roomWithout(const PlacementInput &input, const FleetIndex &index, const std::vector<std::size_t> &victims)
{
    FleetRoom room;
    room.reserve(input.targets.size());
    std::ranges::transform(input.targets, std::back_inserter(room), &PlacementTarget::freeAfterStops);
    std::ranges::for_each(victims, [&](std::size_t victim) { addUnit(room, input, index, victim); });
    return room;
}

/// Places for the step in that room; in one rack, if one is named.
std::optional<TaskCounts> packInto(const PlacementInput &input, const WaitingStep &waiting, const FleetRoom &room, const RackContent *rack)
{
    const auto *first = input.targets.data();
    const auto roomOf = [&](const PlacementTarget &target) { return room[static_cast<std::size_t>(&target - first)]; };
    const auto anyTarget = [](const PlacementTarget &) { return true; };
    return packTasks(
        input.targets, waiting, static_cast<int>(waiting.tasks.size()), {roomOf, anyTarget, std::nullopt, rack == nullptr ? nullptr : &rack->targets});
}

double costOf(const PlacementInput &input, const std::vector<std::size_t> &victims)
{
    double cost = 0;
    for (const std::size_t victim : victims) {
        cost += input.running[victim].lostWork;
    }
    return cost;
}

/// Drops victims, the dearest first, as long as the step still fits without stopping them.
Option prune(const PlacementInput &input, const WaitingStep &waiting, const FleetIndex &index, std::vector<std::size_t> victims, const RackContent *rack)
{
    Option option;
    auto room = roomWithout(input, index, victims);
    auto places = packInto(input, waiting, room, rack);
    if (!places) {
        return option;
    }
    std::ranges::sort(victims, std::greater{}, [&](std::size_t victim) { return input.running[victim].lostWork; });
    std::vector<std::size_t> needed = victims;
    for (const std::size_t victim : victims) {
        removeUnit(room, input, index, victim);
        if (auto fewerPlaces = packInto(input, waiting, room, rack)) {
            std::erase(needed, victim);
            places = std::move(fewerPlaces);
        } else {
            addUnit(room, input, index, victim);
        }
    }
    option.cost = costOf(input, needed);
    option.victims = std::move(needed);
    option.places = *std::move(places);
    return option;
}

/// Which running work may be stopped for a waiting step.
enum class VictimScope
{
    LessUrgent,
    AndBorrowed, ///< Also equally urgent work beyond its organisation's guarantee.
};

bool isInScope(const RunningUnit &unit, const WaitingStep &waiting, VictimScope scope)
{
    const bool isLessUrgent = unit.priority > waiting.priority;
    const bool isBorrowed = unit.priority == waiting.priority && !unit.isGuaranteed;
    return isLessUrgent || (scope == VictimScope::AndBorrowed && isBorrowed);
}

std::vector<std::size_t> possibleVictims(const PlacementInput &input, const WaitingStep &waiting, VictimScope scope, const std::vector<std::size_t> &units)
{
    std::vector<std::size_t> victims;
    std::ranges::copy_if(units, std::back_inserter(victims), [&](std::size_t unit) { return isInScope(input.running[unit], waiting, scope); });
    return victims;
}

std::vector<std::size_t> allUnits(const FleetIndex &index)
{
    std::set<std::size_t> units;
    for (const auto &[rack, content] : index.racks) {
        units.insert(content.units.begin(), content.units.end());
    }
    return {units.begin(), units.end()};
}

void carryOut(PlacementInput &input, const WaitingStep &waiting, const FleetIndex &index, const Option &option, Reclaim &reclaim)
{
    const auto room = roomWithout(input, index, option.victims);
    for (std::size_t number = 0; number < input.targets.size(); ++number) {
        input.targets[number].freeAfterStops = room[number];
    }
    for (const std::size_t victim : option.victims) {
        const auto &unit = input.running[victim];
        for (const auto &[task, target] : unit.tasks) {
            reclaim.stops.push_back({{unit.step, task}, waiting.step});
        }
    }
    auto victims = option.victims;
    std::ranges::sort(victims, std::greater{});
    for (const std::size_t victim : victims) {
        input.running.erase(input.running.begin() + static_cast<std::ptrdiff_t>(victim));
    }
    reclaim.places = option.places;
}

Option findOption(const PlacementInput &input, const WaitingStep &waiting, VictimScope scope, const FleetIndex &index, bool maySpread)
{
    Option best;
    if (waiting.specification.needsOneRack) {
        for (const auto &[rack, content] : index.racks) {
            auto option = prune(input, waiting, index, possibleVictims(input, waiting, scope, content.units), &content);
            if (option.cost < best.cost) {
                best = std::move(option);
            }
        }
    }
    if (best.places.empty() && maySpread) {
        best = prune(input, waiting, index, possibleVictims(input, waiting, scope, allUnits(index)), nullptr);
    }
    return best;
}

}

std::optional<Reclaim> findReclaim(PlacementInput &input, const WaitingStep &waiting, bool maySpread)
{
    const auto index = indexFleet(input);
    auto best = findOption(input, waiting, VictimScope::LessUrgent, index, maySpread);
    if (best.places.empty() && waiting.isGuaranteed) {
        best = findOption(input, waiting, VictimScope::AndBorrowed, index, maySpread);
    }
    if (best.places.empty()) {
        return std::nullopt;
    }
    Reclaim reclaim;
    carryOut(input, waiting, index, best, reclaim);
    return reclaim;
}

}
