#include "placement.h"

#include "packing.h"
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

// Work waits for its rack or its data as long as it then still ends earlier than elsewhere, where it takes the remote factor times as long: the factor less one,
// in run times.
double localityPatience(const PlacementInput &input)
{
    return input.remoteFactor - 1;
}

bool isAnyTarget(const PlacementTarget &)
{
    return true;
}

Resources freeRoom(const PlacementTarget &target)
{
    return target.free;
}

Resources soonRoom(const PlacementTarget &target)
{
    return target.freeAfterStops;
}

bool mayLeaveLocality(const PlacementInput &input, const WaitingStep &waiting)
{
    const auto patience = std::chrono::duration_cast<Duration>(waiting.remaining * localityPatience(input));
    // Urgent work has to begin in time, wherever.
    return waiting.waited >= (waiting.priority == 0 ? std::min(patience, input.maxLocalityWait) : patience);
}

int freeAccelerators(const PlacementInput &input, const WaitingStep &waiting)
{
    int free = 0;
    for (const auto &target : input.targets) {
        free += isEligible(waiting, target) ? std::max(0, target.free.accelerators) : 0;
    }
    return free;
}

int reserveOf(const PlacementInput &input, const ServiceId &service)
{
    const auto kept = input.urgentReserves.find(service);
    return kept == input.urgentReserves.end() ? 0 : kept->second;
}

/// What the step may take without touching the reserve of urgent work, which would otherwise wait until something has been stopped. A step that is too large for
/// that even when nothing else runs has no limit.
std::optional<int> acceleratorBudget(const PlacementInput &input, const WaitingStep &waiting)
{
    if (waiting.priority == 0) {
        return std::nullopt;
    }
    int capacity = 0;
    for (const auto &target : input.targets) {
        capacity += isEligible(waiting, target) ? target.capacity.accelerators : 0;
    }
    const int free = freeAccelerators(input, waiting);
    const int reserve = reserveOf(input, waiting.service);
    const int atOnce = waiting.specification.isGang ? static_cast<int>(waiting.tasks.size()) : 1;
    const bool isTooLarge = atOnce * waiting.specification.perTask.accelerators > capacity - reserve;
    return isTooLarge ? std::nullopt : std::optional(free - reserve);
}

PackingLimits limitsFor(const PlacementInput &input, const WaitingStep &waiting, const RoomOf &roomOf)
{
    // A task that has failed has few tries left, so it keeps away from targets on which work fails.
    const auto isGood = [&waiting](const PlacementTarget &target) { return !waiting.hasFailed || !target.isSuspect; };
    return {roomOf, isGood, acceleratorBudget(input, waiting)};
}

PackingLimits within(const RackId &rack, PackingLimits limits)
{
    limits.mayUse = [rack, mayUse = limits.mayUse](const PlacementTarget &target) { return target.rack == rack && mayUse(target); };
    return limits;
}

/// True if one rack could hold the whole gang when nothing else ran there.
bool couldFitOneRack(const PlacementInput &input, const WaitingStep &waiting, int count)
{
    const auto whole = [](const PlacementTarget &target) { return target.capacity; };
    return packRack(input.targets, waiting, count, {whole, isAnyTarget, std::nullopt}).has_value();
}

/// True if the gang may stand on several racks.
bool maySpread(const PlacementInput &input, const WaitingStep &waiting)
{
    const int count = static_cast<int>(waiting.tasks.size());
    return !waiting.specification.needsOneRack || mayLeaveLocality(input, waiting) || !couldFitOneRack(input, waiting, count);
}

std::optional<TaskCounts> placeGang(const PlacementInput &input, const WaitingStep &waiting, const RoomOf &roomOf)
{
    const int count = static_cast<int>(waiting.tasks.size());
    const auto limits = limitsFor(input, waiting, roomOf);
    const auto &step = waiting.specification;
    if (step.needsOneRack) {
        auto counts = packRack(input.targets, waiting, count, limits);
        return counts || !maySpread(input, waiting) ? counts : packTasks(input.targets, waiting, count, limits);
    }
    if (!step.dataRack.value.empty()) {
        auto counts = packTasks(input.targets, waiting, count, within(step.dataRack, limits));
        return counts || !mayLeaveLocality(input, waiting) ? counts : packTasks(input.targets, waiting, count, limits);
    }
    return packTasks(input.targets, waiting, count, limits);
}

/// Places for as many of the tasks as there is room for; each task starts by itself.
TaskCounts placeSingles(const PlacementInput &input, const WaitingStep &waiting)
{
    const auto &step = waiting.specification;
    const bool mustBeNear = !step.dataRack.value.empty() && !mayLeaveLocality(input, waiting);
    const auto limits = limitsFor(input, waiting, freeRoom);
    const auto chosen = mustBeNear ? within(step.dataRack, limits) : limits;
    // The largest number that fits, found by halving; a failed packing of a large number is cheap.
    int low = 0;
    int high = static_cast<int>(waiting.tasks.size());
    TaskCounts best(input.targets.size(), 0);
    while (low < high) {
        const int middle = (low + high + 1) / 2;
        if (auto counts = packTasks(input.targets, waiting, middle, chosen)) {
            best = *std::move(counts);
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    return best;
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

/// The counts of places on targets of the input; nothing if a target is missing or may not be given the step any more.
std::optional<TaskCounts> countsOf(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskPlaces &places)
{
    TaskCounts counts(targets.size(), 0);
    int found = 0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto place = places.find(targets[index].id);
        if (place != places.end() && isAllowed(waiting, targets[index])) {
            counts[index] = place->second;
            ++found;
        }
    }
    return std::cmp_equal(found, places.size()) ? std::optional(std::move(counts)) : std::nullopt;
}

void giveRoomBack(std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &counts)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto used = waiting.specification.perTask * counts[index];
        targets[index].free = targets[index].free + used;
        targets[index].freeAfterStops = targets[index].freeAfterStops + used;
    }
}

bool fitsAll(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskCounts &counts, const RoomOf &roomOf)
{
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (counts[index] > 0 && !fitsInto(waiting.specification.perTask * counts[index], roomOf(targets[index]))) {
            return false;
        }
    }
    return true;
}

void start(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting, const TaskCounts &counts)
{
    takeRoom(input.targets, waiting, counts);
    addStarts(plan, input.targets, waiting, counts);
}

void hold(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting, const TaskCounts &counts)
{
    takeRoom(input.targets, waiting, counts);
    plan.held.insert_or_assign(waiting.step, placesOf(input.targets, counts));
}

/// An urgent step that does not fit now: waits for what is being stopped, or has more stopped. Its room is held, or later work would take what becomes free and
/// the step would have ever more work stopped.
void makeRoom(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    if (auto counts = placeGang(input, waiting, soonRoom)) {
        hold(input, plan, waiting, *counts);
        return;
    }
    if (!input.mayPreempt) {
        return;
    }
    if (auto reclaim = findReclaim(input, waiting, maySpread(input, waiting))) {
        plan.stops.insert(plan.stops.end(), reclaim->stops.begin(), reclaim->stops.end());
        hold(input, plan, waiting, reclaim->places);
    }
}

/// Room that an earlier pass held for the step, given back for the step itself.
std::optional<TaskCounts> takeHeld(PlacementInput &input, const WaitingStep &waiting)
{
    const auto held = input.held.extract(waiting.step);
    auto counts = held ? countsOf(input.targets, waiting, held.mapped()) : std::nullopt;
    if (counts) {
        giveRoomBack(input.targets, waiting, *counts);
    }
    return counts;
}

void placeGangStep(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    const auto held = takeHeld(input, waiting);
    if (held && fitsAll(input.targets, waiting, *held, freeRoom)) {
        start(input, plan, waiting, *held);
    } else if (auto counts = placeGang(input, waiting, freeRoom)) {
        start(input, plan, waiting, *counts);
    } else if (held && fitsAll(input.targets, waiting, *held, soonRoom)) {
        hold(input, plan, waiting, *held);
    } else if (waiting.priority == 0) {
        makeRoom(input, plan, waiting);
    }
}

void placeTasks(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    takeHeld(input, waiting);
    const auto counts = placeSingles(input, waiting);
    start(input, plan, waiting, counts);
    const auto placed = std::accumulate(counts.begin(), counts.end(), 0);
    if (waiting.priority != 0 || std::cmp_equal(placed, waiting.tasks.size())) {
        return;
    }
    // The urgent tasks that found no room have it made for them like a gang.
    WaitingStep rest = waiting;
    rest.tasks.erase(rest.tasks.begin(), rest.tasks.begin() + placed);
    makeRoom(input, plan, rest);
}

WaitReason reasonOf(const PlacementInput &input, const PlacementPlan &plan, const WaitingStep &waiting)
{
    if (plan.held.contains(waiting.step)) {
        return WaitReason::Preempting;
    }
    const int count = waiting.specification.isGang ? static_cast<int>(waiting.tasks.size()) : 1;
    const PackingLimits anywhere{freeRoom, isAnyTarget, std::nullopt};
    if (!packTasks(input.targets, waiting, count, anywhere)) {
        WaitingStep unadvised = waiting;
        unadvised.advice.reset();
        return waiting.advice && packTasks(input.targets, unadvised, count, anywhere) ? WaitReason::NotAdvised : WaitReason::NoRoom;
    }
    const bool isKept = !packTasks(input.targets, waiting, count, limitsFor(input, waiting, freeRoom));
    if (isKept) {
        return WaitReason::Reserve;
    }
    return waiting.specification.needsOneRack ? WaitReason::OneRack : WaitReason::DataRackFull;
}

void placeStep(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    const auto startsBefore = plan.starts.size();
    if (waiting.specification.isGang) {
        placeGangStep(input, plan, waiting);
    } else {
        placeTasks(input, plan, waiting);
    }
    if (waiting.needsExplanation && plan.starts.size() == startsBefore) {
        const WaitExplanation why{reasonOf(input, plan, waiting), freeAccelerators(input, waiting), reserveOf(input, waiting.service)};
        plan.waits.emplace(waiting.step, why);
    }
}

/// Takes what is held for the steps out of the room of the others, as far as it is still there.
void reserveHeld(PlacementInput &input, std::span<const WaitingStep> waiting)
{
    for (const auto &step : waiting) {
        const auto places = input.held.find(step.step);
        const auto counts = places == input.held.end() ? std::nullopt : countsOf(input.targets, step, places->second);
        if (counts && fitsAll(input.targets, step, *counts, soonRoom)) {
            takeRoom(input.targets, step, *counts);
        } else {
            input.held.erase(step.step);
        }
    }
}

void placeSteps(PlacementInput &input, PlacementPlan &plan, std::span<const WaitingStep> waiting)
{
    reserveHeld(input, waiting);
    std::ranges::for_each(waiting, [&](const WaitingStep &step) { placeStep(input, plan, step); });
}

}

std::string_view name(WaitReason reason)
{
    static constexpr std::array<std::string_view, 6> names{"no target has room",
                                                           "what is free is kept for urgent work",
                                                           "no single rack has room",
                                                           "the rack of its data has no room",
                                                           "the targets that its adviser has allowed have no room",
                                                           "other work is being stopped for it"};
    return names.at(static_cast<std::size_t>(reason));
}

void sortWaiting(std::vector<WaitingStep> &waiting)
{
    std::ranges::stable_sort(
        waiting, {}, [](const WaitingStep &step) { return std::tuple(step.priority, !step.isGuaranteed, step.slack < Duration{0}, step.slack); });
}

PlacementPlan planPlacements(PlacementInput input)
{
    PlacementPlan plan;
    sortWaiting(input.waiting);
    const auto waiting = std::move(input.waiting);
    const auto firstBorrowed = std::ranges::find(waiting, false, &WaitingStep::isGuaranteed);
    // Room that is held for work beyond a guarantee must not keep guaranteed work waiting.
    placeSteps(input, plan, {waiting.begin(), firstBorrowed});
    placeSteps(input, plan, {firstBorrowed, waiting.end()});
    return plan;
}

}
