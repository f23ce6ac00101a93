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

std::map<TargetId, std::size_t> indexTargets(const std::vector<PlacementTarget> &targets)
{
    std::map<TargetId, std::size_t> index;
    for (std::size_t number = 0; number < targets.size(); ++number) {
        index.emplace(targets[number].id, number);
    }
    return index;
}

/// Room of each target once the units with those indexes have been stopped.
std::vector<Resources> roomWithout(const PlacementInput &input, const std::map<TargetId, std::size_t> &index, const std::vector<std::size_t> &victims)
{
    std::vector<Resources> room;
    std::ranges::transform(input.targets, std::back_inserter(room), &PlacementTarget::soon);
    for (const std::size_t victim : victims) {
        for (const auto &[task, target] : input.running[victim].tasks) {
            if (const auto found = index.find(target); found != index.end()) {
                room[found->second] = room[found->second] + input.running[victim].perTask;
            }
        }
    }
    return room;
}

std::optional<TaskCounts> packInto(const PlacementInput &input, const WaitingStep &waiting, const std::vector<Resources> &room, const RackId *rack)
{
    const auto *first = input.targets.data();
    const auto roomOf = [&](const PlacementTarget &target) { return room[static_cast<std::size_t>(&target - first)]; };
    const auto mayUse = [&](const PlacementTarget &target) { return rack == nullptr || target.rack == *rack; };
    return packTasks(input.targets, waiting, static_cast<int>(waiting.tasks.size()), {roomOf, mayUse, std::nullopt});
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
Option prune(const PlacementInput &input,
             const WaitingStep &waiting,
             const std::map<TargetId, std::size_t> &index,
             std::vector<std::size_t> victims,
             const RackId *rack)
{
    Option option;
    auto places = packInto(input, waiting, roomWithout(input, index, victims), rack);
    if (!places) {
        return option;
    }
    std::ranges::sort(victims, std::greater{}, [&](std::size_t victim) { return input.running[victim].lostWork; });
    std::vector<std::size_t> needed = victims;
    for (const std::size_t victim : victims) {
        auto fewer = needed;
        std::erase(fewer, victim);
        if (auto fewerPlaces = packInto(input, waiting, roomWithout(input, index, fewer), rack)) {
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

std::vector<std::size_t>
possibleVictims(const PlacementInput &input, const WaitingStep &waiting, VictimScope scope, const std::map<TargetId, std::size_t> &index, const RackId *rack)
{
    std::vector<std::size_t> units;
    for (std::size_t number = 0; number < input.running.size(); ++number) {
        const auto &unit = input.running[number];
        const bool stands = std::ranges::any_of(unit.tasks, [&](const auto &task) {
            const auto found = index.find(task.second);
            return found != index.end() && (rack == nullptr || input.targets[found->second].rack == *rack);
        });
        if (stands && isInScope(unit, waiting, scope)) {
            units.push_back(number);
        }
    }
    return units;
}

void carryOut(PlacementInput &input, const WaitingStep &waiting, const std::map<TargetId, std::size_t> &index, const Option &option, Reclaim &reclaim)
{
    const auto room = roomWithout(input, index, option.victims);
    for (std::size_t number = 0; number < input.targets.size(); ++number) {
        input.targets[number].soon = room[number];
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

Option findOption(const PlacementInput &input, const WaitingStep &waiting, VictimScope scope, const std::map<TargetId, std::size_t> &index, bool maySpread)
{
    Option best;
    if (waiting.specification.needsOneRack) {
        std::set<RackId> racks;
        std::ranges::transform(input.targets, std::inserter(racks, racks.end()), &PlacementTarget::rack);
        for (const auto &rack : racks) {
            auto option = prune(input, waiting, index, possibleVictims(input, waiting, scope, index, &rack), &rack);
            if (option.cost < best.cost) {
                best = std::move(option);
            }
        }
    }
    if (best.places.empty() && maySpread) {
        best = prune(input, waiting, index, possibleVictims(input, waiting, scope, index, nullptr), nullptr);
    }
    return best;
}

}

std::optional<Reclaim> findReclaim(PlacementInput &input, const WaitingStep &waiting, bool maySpread)
{
    const auto index = indexTargets(input.targets);
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
