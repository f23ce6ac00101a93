#include "placement.h"

#include "avoidablewait.h"
#include "organisationcap.h"
#include "packing.h"
#include "placementstate.h"
#include "reclaim.h"

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <optional>
#include <span>
#include <tuple>
#include <utility>

namespace sequoiastand
{

namespace
{

bool isAnyTarget(const PlacementTarget &)
{
    return true;
}

Resources freeRoom(const PlacementTarget &target)
{
    return target.free;
}

Resources roomAfterStops(const PlacementTarget &target)
{
    return target.freeAfterStops;
}

PackingLimits limitsFor(PlacementState &state, const WaitingStep &waiting, const RoomOf &roomOf)
{
    const auto isAcceptable = [&waiting](const PlacementTarget &target) { return !waiting.avoidsSuspects || !target.isSuspect; };
    return {roomOf, isAcceptable, acceleratorBudget(state, waiting)};
}

/// The limits with the rack of the step's data as the only rack.
PackingLimits limitedToDataRack(const WaitingStep &waiting, PackingLimits limits)
{
    limits.onlyRack = &waiting.specification.dataRack;
    return limits;
}

std::optional<TaskCounts> packGang(PlacementState &state, const WaitingStep &waiting, const RoomOf &roomOf)
{
    const int count = static_cast<int>(waiting.tasks.size());
    const auto limits = limitsFor(state, waiting, roomOf);
    const auto &step = waiting.specification;
    if (step.needsOneRack) {
        auto counts = packRack(state.fleet, waiting, count, limits);
        return counts || !maySpread(state, waiting) ? counts : packTasks(state.fleet, waiting, count, limits);
    }
    if (!step.dataRack.value.empty()) {
        auto counts = packTasks(state.fleet, waiting, count, limitedToDataRack(waiting, limits));
        return counts || !mayLeaveDataRack(state, waiting) ? counts : packTasks(state.fleet, waiting, count, limits);
    }
    return packTasks(state.fleet, waiting, count, limits);
}

/// The step as one that may use suspect targets.
WaitingStep withSuspects(WaitingStep waiting)
{
    waiting.avoidsSuspects = false;
    return waiting;
}

bool mayTurnToSuspects(PlacementState &state, const WaitingStep &waiting)
{
    return waiting.avoidsSuspects && isPastAvoidableWait(state, waiting);
}

std::optional<TaskCounts> placeGang(PlacementState &state, const WaitingStep &waiting, const RoomOf &roomOf)
{
    auto counts = packGang(state, waiting, roomOf);
    return counts || !mayTurnToSuspects(state, waiting) ? counts : packGang(state, withSuspects(waiting), roomOf);
}

int sumOf(const TaskCounts &counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0);
}

/// Packs as many of the tasks as there is room for in the rack of their data, or if it has none and may be left, on any targets.
TaskCounts packIndependentTasks(PlacementState &state, const WaitingStep &waiting)
{
    const int count = static_cast<int>(waiting.tasks.size());
    const auto limits = limitsFor(state, waiting, freeRoom);
    if (waiting.specification.dataRack.value.empty()) {
        return packAsManyAsFit(state.fleet, waiting, count, limits);
    }
    auto counts = packAsManyAsFit(state.fleet, waiting, count, limitedToDataRack(waiting, limits));
    return sumOf(counts) > 0 || !mayLeaveDataRack(state, waiting) ? counts : packAsManyAsFit(state.fleet, waiting, count, limits);
}

/// Places as many of the tasks as there is room for; the tasks start independently of each other.
TaskCounts placeIndependentTasks(PlacementState &state, const WaitingStep &waiting)
{
    auto counts = packIndependentTasks(state, waiting);
    return sumOf(counts) > 0 || !mayTurnToSuspects(state, waiting) ? counts : packIndependentTasks(state, withSuspects(waiting));
}

void takeRoom(std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &counts)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto used = waiting.specification.perTask * counts[index];
        targets[index].free = targets[index].free - used;
        targets[index].freeAfterStops = targets[index].freeAfterStops - used;
    }
}

void addStarts(PlacementPlan &plan, const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &counts)
{
    auto task = waiting.tasks.begin();
    for (std::size_t index = 0; index < targets.size(); ++index) {
        for (int placed = 0; placed < counts[index]; ++placed) {
            plan.starts.push_back({{waiting.step, *task}, targets[index].id});
            ++task;
        }
    }
}

TaskPlaces placesOf(const std::vector<PlacementTarget> &targets, const TaskCounts &counts)
{
    TaskPlaces places;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (counts[index] > 0) {
            places.emplace(targets[index].id, counts[index]);
        }
    }
    return places;
}

/// Converts places to task counts parallel to the fleet's targets. Returns nothing if a target is missing or no longer allowed for the step.
std::optional<TaskCounts> taskCountsOf(const PackingFleet &fleet, const WaitingStep &waiting, const TaskPlaces &places)
{
    TaskCounts counts(fleet.targets.size(), 0);
    for (const auto &[target, count] : places) {
        const auto number = numberOf(fleet, target);
        if (!number || !isAllowed(waiting, fleet.targets[*number])) {
            return std::nullopt;
        }
        counts[*number] = count;
    }
    return counts;
}

void returnRoom(std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &counts)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto used = waiting.specification.perTask * counts[index];
        targets[index].free = targets[index].free + used;
        targets[index].freeAfterStops = targets[index].freeAfterStops + used;
    }
}

bool doAllFit(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &counts, const RoomOf &roomOf)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (counts[index] > 0 && !fitsInto(waiting.specification.perTask * counts[index], roomOf(targets[index]))) {
            return false;
        }
    }
    return true;
}

void startTasks(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting, const TaskCounts &counts)
{
    takeRoom(state.fleet.targets, waiting, counts);
    takeCapRoom(state.input, waiting, sumOf(counts));
    addStarts(plan, state.fleet.targets, waiting, counts);
}

void holdRoom(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting, const TaskCounts &counts)
{
    takeRoom(state.fleet.targets, waiting, counts);
    takeCapRoom(state.input, waiting, sumOf(counts));
    plan.held.insert_or_assign(waiting.step, placesOf(state.fleet.targets, counts));
}

/// Makes room for an urgent step that does not fit now: the step waits for runs that are being stopped or end soon, or preempts more work. The room is held for the
/// step, because otherwise later work would take it as it becomes free, and the step would preempt more and more work.
void makeRoom(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting)
{
    victimsOf(state);
    if (auto counts = placeGang(state, waiting, roomAfterStops)) {
        holdRoom(state, plan, waiting, *counts);
        return;
    }
    if (!state.input.mayPreempt) {
        return;
    }
    if (auto reclaim = findReclaim(state, waiting, maySpread(state, waiting))) {
        plan.stops.insert(plan.stops.end(), reclaim->stops.begin(), reclaim->stops.end());
        holdRoom(state, plan, waiting, reclaim->places);
    }
}

std::optional<TaskCounts> findHeldPlaces(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting, const std::optional<TaskCounts> &held)
{
    if (held && doAllFit(state.fleet.targets, waiting, *held, roomAfterStops)) {
        return held;
    }
    if (auto counts = placeGang(state, waiting, roomAfterStops)) {
        return counts;
    }
    auto reclaim = state.input.mayPreempt ? findReclaim(state, waiting, maySpread(state, waiting)) : std::nullopt;
    if (!reclaim) {
        return std::nullopt;
    }
    plan.stops.insert(plan.stops.end(), reclaim->stops.begin(), reclaim->stops.end());
    return std::move(reclaim->places);
}

/// Makes room within the cap for a guaranteed step: less urgent work of its own organisation is stopped, and the step holds room on the targets meanwhile. Other
/// steps wait for their cap without holding anything.
void makeCapRoom(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting, const std::optional<TaskCounts> &held)
{
    const auto units = waiting.isGuaranteed ? findCapStops(state, waiting) : std::nullopt;
    if (!units) {
        return;
    }
    const auto targets = state.fleet.targets;
    const auto leaving = victimsOf(state).isLeaving;
    const auto stops = stopUnits(state, waiting, *units);
    if (auto places = findHeldPlaces(state, plan, waiting, held)) {
        plan.stops.insert(plan.stops.end(), stops.begin(), stops.end());
        std::ranges::transform(*units, std::inserter(plan.capStops, plan.capStops.end()), [&](std::size_t unit) { return firstTask(state, unit); });
        holdRoom(state, plan, waiting, *places);
    } else {
        // The work is stopped only if the step can start afterwards.
        state.fleet.targets = targets;
        state.victims->isLeaving = leaving;
    }
}

/// Ends the hold of an earlier pass for the step and returns the held room to the targets, so that the step itself can use it.
std::optional<TaskCounts> releaseHeldRoom(PlacementState &state, const WaitingStep &waiting)
{
    const auto held = state.input.held.extract(waiting.step);
    auto counts = held ? taskCountsOf(state.fleet, waiting, held.mapped()) : std::nullopt;
    if (counts) {
        returnRoom(state.fleet.targets, waiting, *counts);
        returnCapRoom(state.input, waiting, sumOf(*counts));
    }
    return counts;
}

void placeGangStep(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting)
{
    const auto held = releaseHeldRoom(state, waiting);
    if (std::cmp_less(tasksWithinCap(state.input, waiting), waiting.tasks.size())) {
        plan.capWaits.insert(waiting.step);
        makeCapRoom(state, plan, waiting, held);
    } else if (held && doAllFit(state.fleet.targets, waiting, *held, freeRoom)) {
        startTasks(state, plan, waiting, *held);
    } else if (auto counts = placeGang(state, waiting, freeRoom)) {
        startTasks(state, plan, waiting, *counts);
    } else if (held && doAllFit(state.fleet.targets, waiting, *held, roomAfterStops)) {
        holdRoom(state, plan, waiting, *held);
    } else if (waiting.priority == 0) {
        makeRoom(state, plan, waiting);
    }
}

/// Starts as many of the tasks as there is room for, and returns their number.
int startIndependentTasks(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting)
{
    const auto counts = placeIndependentTasks(state, waiting);
    startTasks(state, plan, waiting, counts);
    return sumOf(counts);
}

WaitingStep withoutTasks(WaitingStep waiting, int first)
{
    waiting.tasks.erase(waiting.tasks.begin(), waiting.tasks.begin() + first);
    return waiting;
}

WaitingStep withTasks(WaitingStep waiting, int count)
{
    waiting.tasks.resize(static_cast<std::size_t>(count));
    return waiting;
}

/// Places the tasks of a step that may start only in part within its organisation's cap. Guaranteed tasks beyond the cap may stop other work of the organisation.
void placeTasksWithinCap(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting, int allowed)
{
    const int placed = allowed > 0 ? startIndependentTasks(state, plan, withTasks(waiting, allowed)) : 0;
    if (waiting.priority != 0) {
        return;
    }
    const auto rest = withoutTasks(waiting, placed);
    const int possible = waiting.isGuaranteed ? tasksBesideOwnWork(state, rest) : 0;
    if (possible > allowed - placed) {
        makeCapRoom(state, plan, withTasks(rest, possible), std::nullopt);
    } else if (placed < allowed) {
        makeRoom(state, plan, withTasks(rest, allowed - placed));
    }
}

void placeTasks(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting)
{
    releaseHeldRoom(state, waiting);
    const int allowed = tasksWithinCap(state.input, waiting);
    if (std::cmp_less(allowed, waiting.tasks.size())) {
        plan.capWaits.insert(waiting.step);
        placeTasksWithinCap(state, plan, waiting, allowed);
        return;
    }
    const int placed = startIndependentTasks(state, plan, waiting);
    if (waiting.priority != 0 || std::cmp_equal(placed, waiting.tasks.size())) {
        return;
    }
    // Preempts work for the urgent tasks that found no room, in the same way as for a gang.
    makeRoom(state, plan, withoutTasks(waiting, placed));
}

WaitReason reasonOf(PlacementState &state, const PlacementPlan &plan, const WaitingStep &waiting)
{
    if (plan.held.contains(waiting.step)) {
        return WaitReason::Preempting;
    }
    if (plan.capWaits.contains(waiting.step)) {
        return WaitReason::OrganisationCap;
    }
    const int count = waiting.specification.isGang ? static_cast<int>(waiting.tasks.size()) : 1;
    const PackingLimits anywhere{freeRoom, isAnyTarget, std::nullopt};
    if (!packTasks(state.fleet, waiting, count, anywhere)) {
        WaitingStep withoutAdvice = waiting;
        withoutAdvice.advice.reset();
        return waiting.advice && packTasks(state.fleet, withoutAdvice, count, anywhere) ? WaitReason::NotAdvised : WaitReason::NoRoom;
    }
    if (!packTasks(state.fleet, waiting, count, limitsFor(state, withSuspects(waiting), freeRoom))) {
        return WaitReason::Reserve;
    }
    if (!packTasks(state.fleet, waiting, count, limitsFor(state, waiting, freeRoom))) {
        return WaitReason::Suspects;
    }
    return waiting.specification.needsOneRack ? WaitReason::OneRack : WaitReason::DataRackFull;
}

std::string capDetail(const PlacementState &state, const PlacementPlan &plan, const WaitingStep &waiting)
{
    return plan.capWaits.contains(waiting.step) ? describe(state.input.organisationRoom.at(waiting.organisation)) : std::string();
}

void placeStep(PlacementState &state, PlacementPlan &plan, const WaitingStep &waiting)
{
    const auto startsBefore = plan.starts.size();
    if (waiting.specification.isGang) {
        placeGangStep(state, plan, waiting);
    } else {
        placeTasks(state, plan, waiting);
    }
    if (waiting.needsExplanation && plan.starts.size() == startsBefore) {
        const WaitExplanation explanation{
            reasonOf(state, plan, waiting), freeAccelerators(state, waiting), reserveOf(state.input, waiting.service), capDetail(state, plan, waiting)};
        plan.waits.emplace(waiting.step, explanation);
    }
}

/// Subtracts the room held for the steps from the targets, so that no other step takes it. Ends holds whose targets no longer have the room.
void subtractHeldRoom(PlacementState &state, std::span<const WaitingStep> waiting)
{
    for (const auto &step : waiting) {
        const auto places = state.input.held.find(step.step);
        const auto counts = places == state.input.held.end() ? std::nullopt : taskCountsOf(state.fleet, step, places->second);
        if (counts && doAllFit(state.fleet.targets, step, *counts, roomAfterStops)) {
            takeRoom(state.fleet.targets, step, *counts);
            takeCapRoom(state.input, step, sumOf(*counts));
        } else {
            state.input.held.erase(step.step);
        }
    }
}

void placeSteps(PlacementState &state, PlacementPlan &plan, std::span<const WaitingStep> waiting)
{
    subtractHeldRoom(state, waiting);
    std::ranges::for_each(waiting, [&](const WaitingStep &step) { placeStep(state, plan, step); });
}

}

std::string_view name(WaitReason reason)
{
    static constexpr std::array<std::string_view, 8> names{"no target has room",
                                                           "the free accelerators are reserved for urgent work",
                                                           "no single rack has room",
                                                           "the rack of its data has no room",
                                                           "only suspect targets have room",
                                                           "the targets that its adviser has allowed have no room",
                                                           "other work is being stopped for it",
                                                           "its organisation has no room within its cap"};
    return names.at(static_cast<std::size_t>(reason));
}

void sortWaiting(std::vector<WaitingStep> &waiting)
{
    std::ranges::stable_sort(waiting, {}, [](const WaitingStep &step) {
        return std::tuple(step.priority, !step.isGuaranteed, step.isBeyondShare, step.slack < Duration{0}, step.slack);
    });
}

PlacementPlan planPlacements(PlacementInput input, const RunningUnitsSource &findRunning)
{
    PlacementPlan plan;
    sortWaiting(input.waiting);
    const auto waiting = std::move(input.waiting);
    PlacementState state;
    state.fleet = makePackingFleet(std::move(input.targets));
    state.input = std::move(input);
    state.findRunning = findRunning;
    if (!state.input.held.empty()) {
        victimsOf(state); // Places are held on targets whose work ends soon, too.
    }
    const auto firstBorrowed = std::ranges::find(waiting, false, &WaitingStep::isGuaranteed);
    // Room held for work beyond a guarantee must not delay guaranteed work, so guaranteed steps are placed before the room held for such work is subtracted.
    placeSteps(state, plan, {waiting.begin(), firstBorrowed});
    placeSteps(state, plan, {firstBorrowed, waiting.end()});
    return plan;
}

}
