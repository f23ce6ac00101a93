#include "reclaim.h"

#include "organisationcap.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <span>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Running work that may be preempted for a waiting step.
enum class VictimScope
{
    LessUrgent,
    AndBorrowed, ///< Includes equally urgent work beyond its organisation's guarantee.
};

/// One way to make room: the units to preempt, and the racks on which the step is placed then.
struct PreemptionOption
{
    std::vector<std::size_t> victims;
    std::span<const RackTargets> racks;
    double cost = std::numeric_limits<double>::infinity();
};

/// The room that a step would have on some targets if units were preempted, and the number of its tasks that would fit. Only the targets of a unit are counted
/// again when the unit is added or removed, because a search tries all units of a large fleet.
class StepRoom
{
public:
    StepRoom(PlacementState &state, const WaitingStep &waiting, std::span<const RackTargets> racks)
        : m_fleet(state.fleet)
        , m_victims(victimsOf(state))
        , m_waiting(waiting)
        , m_count(static_cast<int>(waiting.tasks.size()))
        , m_isUsable(state.fleet.targets.size(), false)
    {
        m_room.reserve(m_fleet.targets.size());
        std::ranges::transform(m_fleet.targets, std::back_inserter(m_room), &PlacementTarget::freeAfterStops);
        for (const auto &rack : racks) {
            for (const std::size_t number : rack.targets) {
                m_isUsable[number] = !waiting.advice || waiting.advice->allowed.contains(m_fleet.targets[number].id);
                m_tasks += tasksOn(number);
            }
        }
    }

    bool fits() const
    {
        return m_tasks >= m_count;
    }

    void add(std::size_t unit)
    {
        change(unit, [](const Resources &room, const Resources &used) { return room + used; });
    }

    void remove(std::size_t unit)
    {
        change(unit, [](const Resources &room, const Resources &used) { return room - used; });
    }

private:
    int tasksOn(std::size_t number) const
    {
        return m_isUsable[number] ? std::min(m_count, roomForTasks(m_waiting, m_fleet.targets[number], m_room[number])) : 0;
    }

    template<typename Change>
    void change(std::size_t unit, Change changed)
    {
        for (const std::size_t number : m_victims.unitTargets[unit]) {
            m_tasks -= tasksOn(number);
            m_room[number] = changed(m_room[number], m_victims.units[unit].perTask);
            m_tasks += tasksOn(number);
        }
    }

    const PackingFleet &m_fleet;
    const VictimIndex &m_victims;
    const WaitingStep &m_waiting;
    int m_count = 0;
    std::vector<bool> m_isUsable;
    std::vector<Resources> m_room;
    long long m_tasks = 0; ///< Tasks that fit on all usable targets together.
};

bool isInScope(const RunningUnit &unit, const WaitingStep &waiting, VictimScope scope)
{
    const bool isLessUrgent = unit.priority > waiting.priority;
    const bool isBorrowed = unit.priority == waiting.priority && !unit.isGuaranteed;
    return isLessUrgent || (scope == VictimScope::AndBorrowed && isBorrowed);
}

std::vector<std::size_t> possibleVictims(const VictimIndex &index, const WaitingStep &waiting, VictimScope scope, const std::vector<std::size_t> &units)
{
    std::vector<std::size_t> victims;
    std::ranges::copy_if(
        units, std::back_inserter(victims), [&](std::size_t unit) { return !index.isLeaving[unit] && isInScope(index.units[unit], waiting, scope); });
    return victims;
}

std::vector<std::size_t> allUnits(const VictimIndex &index)
{
    std::set<std::size_t> units;
    for (const auto &[rack, inRack] : index.byRack) {
        units.insert(inRack.begin(), inRack.end());
    }
    return {units.begin(), units.end()};
}

double costOf(const VictimIndex &index, const std::vector<std::size_t> &victims)
{
    double cost = 0;
    for (const std::size_t victim : victims) {
        cost += index.units[victim].lostWork;
    }
    return cost;
}

/// Removes victims that need not be preempted, the one with the most lost work first, as long as the step still fits into the racks.
PreemptionOption withoutNeedlessVictims(PlacementState &state, const WaitingStep &waiting, std::vector<std::size_t> victims, std::span<const RackTargets> racks)
{
    const auto &index = victimsOf(state);
    StepRoom room(state, waiting, racks);
    std::ranges::for_each(victims, [&](std::size_t victim) { room.add(victim); });
    PreemptionOption option;
    option.racks = racks;
    if (!room.fits()) {
        return option;
    }
    std::ranges::stable_sort(victims, std::greater{}, [&](std::size_t victim) { return index.units[victim].lostWork; });
    for (const std::size_t victim : victims) {
        room.remove(victim);
        if (!room.fits()) {
            room.add(victim);
            option.victims.push_back(victim);
        }
    }
    option.cost = costOf(index, option.victims);
    return option;
}

PreemptionOption findOption(PlacementState &state, const WaitingStep &waiting, VictimScope scope, bool maySpread)
{
    const auto &index = victimsOf(state);
    const auto &racks = eligibleTargets(state.fleet, waiting);
    PreemptionOption best;
    if (waiting.specification.needsOneRack) {
        for (const auto &rack : racks) {
            const auto units = index.byRack.find(rack.rack);
            const auto victims = units == index.byRack.end() ? std::vector<std::size_t>{} : possibleVictims(index, waiting, scope, units->second);
            auto option = withoutNeedlessVictims(state, waiting, victims, {&rack, 1});
            if (option.cost < best.cost) {
                best = std::move(option);
            }
        }
    }
    if (best.cost == std::numeric_limits<double>::infinity() && maySpread) {
        best = withoutNeedlessVictims(state, waiting, possibleVictims(index, waiting, scope, allUnits(index)), racks);
    }
    return best;
}

/// Places the step into the room that the option has made.
std::optional<TaskCounts> placesIn(PlacementState &state, const WaitingStep &waiting, const PreemptionOption &option)
{
    PackingLimits limits{[](const PlacementTarget &target) { return target.freeAfterStops; }, [](const PlacementTarget &) { return true; }, std::nullopt};
    limits.onlyRack = option.racks.size() == 1 ? &option.racks.front().rack : nullptr;
    return packTasks(state.fleet, waiting, static_cast<int>(waiting.tasks.size()), limits);
}

void addRoomAfterStop(PackingFleet &fleet, VictimIndex &index, std::size_t unit)
{
    index.isLeaving[unit] = true;
    for (const std::size_t number : index.unitTargets[unit]) {
        auto &target = fleet.targets[number];
        target.freeAfterStops = target.freeAfterStops + index.units[unit].perTask;
    }
}

/// The units of the step's own organisation that may be stopped for it.
std::vector<std::size_t> ownVictims(const VictimIndex &index, const WaitingStep &waiting, VictimScope scope)
{
    std::vector<std::size_t> victims;
    for (std::size_t unit = 0; unit < index.units.size(); ++unit) {
        const bool isOwn = index.units[unit].organisation == waiting.organisation;
        if (isOwn && !index.isLeaving[unit] && isInScope(index.units[unit], waiting, scope)) {
            victims.push_back(unit);
        }
    }
    return victims;
}

ResourceCap withUnit(const VictimIndex &index, const ResourceCap &room, std::size_t unit)
{
    return plusTasks(room, countedResources(index.units[unit]), static_cast<int>(index.units[unit].tasks.size()));
}

/// The organisation's room within its cap once the stops under way and the units that end soon have left; no value without a cap.
std::optional<ResourceCap> ownRoomAfterStops(PlacementState &state, const WaitingStep &waiting)
{
    const auto &index = victimsOf(state);
    const auto found = state.input.organisationRoomAfterStops.find(waiting.organisation);
    if (found == state.input.organisationRoomAfterStops.end()) {
        return std::nullopt;
    }
    auto room = found->second;
    for (std::size_t unit = 0; unit < index.units.size(); ++unit) {
        if (index.isLeaving[unit] && index.units[unit].organisation == waiting.organisation) {
            room = withUnit(index, room, unit);
        }
    }
    return room;
}

VictimIndex makeIndex(const PackingFleet &fleet, std::vector<RunningUnit> units)
{
    VictimIndex index;
    index.units = std::move(units);
    index.isLeaving.resize(index.units.size(), false);
    index.unitTargets.resize(index.units.size());
    for (std::size_t unit = 0; unit < index.units.size(); ++unit) {
        for (const auto &[task, target] : index.units[unit].tasks) {
            const auto number = numberOf(fleet, target);
            if (!number) {
                continue;
            }
            index.unitTargets[unit].push_back(*number);
            auto &inRack = index.byRack[fleet.targets[*number].rack];
            if (inRack.empty() || inRack.back() != unit) {
                inRack.push_back(unit);
            }
        }
    }
    return index;
}

}

VictimIndex &victimsOf(PlacementState &state)
{
    if (state.victims) {
        return *state.victims;
    }
    state.victims = makeIndex(state.fleet, state.findRunning ? state.findRunning() : std::vector<RunningUnit>{});
    for (std::size_t unit = 0; unit < state.victims->units.size(); ++unit) {
        if (state.victims->units[unit].remaining <= state.input.stopTime) {
            addRoomAfterStop(state.fleet, *state.victims, unit);
        }
    }
    return *state.victims;
}

std::optional<Reclaim> findReclaim(PlacementState &state, const WaitingStep &waiting, bool maySpread)
{
    auto best = findOption(state, waiting, VictimScope::LessUrgent, maySpread);
    if (best.cost == std::numeric_limits<double>::infinity() && waiting.isGuaranteed) {
        best = findOption(state, waiting, VictimScope::AndBorrowed, maySpread);
    }
    if (best.cost == std::numeric_limits<double>::infinity()) {
        return std::nullopt;
    }
    Reclaim reclaim;
    reclaim.stops = stopUnits(state, waiting, best.victims);
    reclaim.places = *placesIn(state, waiting, best);
    return reclaim;
}

int tasksBesideOwnWork(PlacementState &state, const WaitingStep &waiting)
{
    const auto &index = victimsOf(state);
    const int count = static_cast<int>(waiting.tasks.size());
    auto room = ownRoomAfterStops(state, waiting);
    if (!room) {
        return count;
    }
    const auto victims = state.input.mayPreempt ? ownVictims(index, waiting, VictimScope::AndBorrowed) : std::vector<std::size_t>{};
    std::ranges::for_each(victims, [&](std::size_t unit) { room = withUnit(index, *room, unit); });
    return tasksWithin(*room, countedResources(waiting), count);
}

std::optional<std::vector<std::size_t>> findCapStops(PlacementState &state, const WaitingStep &waiting)
{
    const auto &index = victimsOf(state);
    const int count = static_cast<int>(waiting.tasks.size());
    const auto initial = ownRoomAfterStops(state, waiting);
    const auto fits = [&](const ResourceCap &room) { return tasksWithin(room, countedResources(waiting), count) == count; };
    if (!initial || fits(*initial)) {
        return std::vector<std::size_t>{};
    }
    if (!state.input.mayPreempt) {
        return std::nullopt;
    }
    for (const auto scope : {VictimScope::LessUrgent, VictimScope::AndBorrowed}) {
        auto victims = ownVictims(index, waiting, scope);
        auto room = *initial;
        std::ranges::for_each(victims, [&](std::size_t unit) { room = withUnit(index, room, unit); });
        if (!fits(room)) {
            continue;
        }
        std::ranges::stable_sort(victims, std::greater{}, [&](std::size_t unit) { return index.units[unit].lostWork; });
        std::vector<std::size_t> needed;
        for (const std::size_t unit : victims) {
            const auto without = lessTasks(room, countedResources(index.units[unit]), static_cast<int>(index.units[unit].tasks.size()));
            if (fits(without)) {
                room = without;
            } else {
                needed.push_back(unit);
            }
        }
        return needed;
    }
    return std::nullopt;
}

std::vector<PreemptedTask> stopUnits(PlacementState &state, const WaitingStep &waiting, const std::vector<std::size_t> &units)
{
    auto &index = victimsOf(state);
    std::vector<PreemptedTask> stops;
    for (const std::size_t unit : units) {
        addRoomAfterStop(state.fleet, index, unit);
        for (const auto &[task, target] : index.units[unit].tasks) {
            stops.push_back({{index.units[unit].step, task}, waiting.step});
        }
    }
    return stops;
}

TaskId firstTask(const PlacementState &state, std::size_t unit)
{
    const auto &first = state.victims->units[unit];
    return {first.step, first.tasks.begin()->first};
}

}
