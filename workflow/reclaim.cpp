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
    std::map<TargetId, std::size_t> targets;
    std::map<RackId, RackContent> racks;
};

FleetIndex indexFleet(const PlacementInput &input)
{
    FleetIndex index;
    for (std::size_t number = 0; number < input.targets.size(); ++number) {
        index.targets.emplace(input.targets[number].id, number);
        index.racks[input.targets[number].rack].targets.push_back(number);
    }
    for (std::size_t number = 0; number < input.running.size(); ++number) {
        for (const auto &[task, target] : input.running[number].tasks) {
            const auto found = index.targets.find(target);
            if (found == index.targets.end()) {
                continue;
            }
            auto &units = index.racks[input.targets[found->second].rack].units;
            if (units.empty() || units.back() != number) {
                units.push_back(number);
            }
        }
    }
    return index;
}

/// What stopping the units with those indexes frees on each target.
std::map<std::size_t, Resources> freedBy(const PlacementInput &input, const FleetIndex &index, const std::vector<std::size_t> &victims)
{
    std::map<std::size_t, Resources> freed;
    for (const std::size_t victim : victims) {
        for (const auto &[task, target] : input.running[victim].tasks) {
            if (const auto found = index.targets.find(target); found != index.targets.end()) {
                freed[found->second] = freed[found->second] + input.running[victim].perTask;
            }
        }
    }
    return freed;
}

/// Places for the step once the units with those indexes have been stopped; in one rack, if one is named.
std::optional<TaskCounts>
packWithout(const PlacementInput &input, const WaitingStep &waiting, const FleetIndex &index, const std::vector<std::size_t> &victims, const RackContent *rack)
{
    const auto freed = freedBy(input, index, victims);
    const auto *first = input.targets.data();
    const auto roomOf = [&](const PlacementTarget &target) {
        const auto more = freed.find(static_cast<std::size_t>(&target - first));
        return more == freed.end() ? target.soon : target.soon + more->second;
    };
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
    auto places = packWithout(input, waiting, index, victims, rack);
    if (!places) {
        return option;
    }
    std::ranges::sort(victims, std::greater{}, [&](std::size_t victim) { return input.running[victim].lostWork; });
    std::vector<std::size_t> needed = victims;
    for (const std::size_t victim : victims) {
        auto fewer = needed;
        std::erase(fewer, victim);
        if (auto fewerPlaces = packWithout(input, waiting, index, fewer, rack)) {
            needed = std::move(fewer);
            places = std::move(fewerPlaces);
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
    for (const auto &[target, freed] : freedBy(input, index, option.victims)) {
        input.targets[target].soon = input.targets[target].soon + freed;
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
