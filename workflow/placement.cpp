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

// Longest useful wait for a single rack or for the rack of the data, as a multiple of the run time. In any other place the work takes `remoteFactor` times as
// long, so waiting pays off for up to `remoteFactor` - 1 run times.
double localityWaitFactor(const PlacementInput &input)
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

Resources roomAfterStops(const PlacementTarget &target)
{
    return target.freeAfterStops;
}

bool mayLeaveLocality(const PlacementInput &input, const WaitingStep &waiting)
{
    const auto longestWait = std::chrono::duration_cast<Duration>(waiting.remaining * localityWaitFactor(input));
    // Urgent work must start in time, so after `maxLocalityWait` it is placed even away from its data or on several racks.
    return waiting.waited >= (waiting.priority == 0 ? std::min(longestWait, input.maxLocalityWait) : longestWait);
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
    const auto found = input.urgentReserves.find(service);
    return found == input.urgentReserves.end() ? 0 : found->second;
}

/// The number of accelerators that the step may take without using the reserve for urgent work. Without the reserve, urgent work would have to wait until other
/// work has been stopped. A step that would not fit beside the reserve even on an empty fleet may use the reserve without limit, because otherwise it could
/// never start.
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
    // A step with a failed run has few attempts left, so it is not placed on suspect targets.
    const auto isAcceptable = [&waiting](const PlacementTarget &target) { return !waiting.hasFailed || !target.isSuspect; };
    return {roomOf, isAcceptable, acceleratorBudget(input, waiting)};
}

PackingLimits limitedToRack(const RackId &rack, PackingLimits limits)
{
    limits.mayUse = [rack, mayUse = limits.mayUse](const PlacementTarget &target) { return target.rack == rack && mayUse(target); };
    return limits;
}

/// True if the whole gang would fit into a single empty rack.
bool couldFitOneRack(const PlacementInput &input, const WaitingStep &waiting, int count)
{
    const auto whole = [](const PlacementTarget &target) { return target.capacity; };
    return packRack(input.targets, waiting, count, {whole, isAnyTarget, std::nullopt}).has_value();
}

/// True if the gang may be placed on several racks.
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
        auto counts = packTasks(input.targets, waiting, count, limitedToRack(step.dataRack, limits));
        return counts || !mayLeaveLocality(input, waiting) ? counts : packTasks(input.targets, waiting, count, limits);
    }
    return packTasks(input.targets, waiting, count, limits);
}

/// Places as many of the tasks as there is room for; the tasks start independently of each other.
TaskCounts placeIndependentTasks(const PlacementInput &input, const WaitingStep &waiting)
{
    const auto &step = waiting.specification;
    const bool mustUseDataRack = !step.dataRack.value.empty() && !mayLeaveLocality(input, waiting);
    const auto limits = limitsFor(input, waiting, freeRoom);
    const auto packingLimits = mustUseDataRack ? limitedToRack(step.dataRack, limits) : limits;
    // Binary search for the largest number of tasks that fits; a packing attempt that fails is cheap.
    int low = 0;
    int high = static_cast<int>(waiting.tasks.size());
    TaskCounts best(input.targets.size(), 0);
    while (low < high) {
        const int middle = (low + high + 1) / 2;
        if (auto counts = packTasks(input.targets, waiting, middle, packingLimits)) {
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

/// Converts places to task counts parallel to `targets`. Returns nothing if a target is missing or no longer allowed for the step.
std::optional<TaskCounts> taskCountsOf(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting, const TaskPlaces &places)
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

void startTasks(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting, const TaskCounts &counts)
{
    takeRoom(input.targets, waiting, counts);
    addStarts(plan, input.targets, waiting, counts);
}

void holdRoom(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting, const TaskCounts &counts)
{
    takeRoom(input.targets, waiting, counts);
    plan.held.insert_or_assign(waiting.step, placesOf(input.targets, counts));
}

/// Makes room for an urgent step that does not fit now: the step waits for runs that are already being stopped, or preempts more work. The room is held for the
/// step, because otherwise later work would take it as it becomes free, and the step would preempt more and more work.
void makeRoom(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    if (auto counts = placeGang(input, waiting, roomAfterStops)) {
        holdRoom(input, plan, waiting, *counts);
        return;
    }
    if (!input.mayPreempt) {
        return;
    }
    if (auto reclaim = findReclaim(input, waiting, maySpread(input, waiting))) {
        plan.stops.insert(plan.stops.end(), reclaim->stops.begin(), reclaim->stops.end());
        holdRoom(input, plan, waiting, reclaim->places);
    }
}

/// Ends the hold of an earlier pass for the step and returns the held room to the targets, so that the step itself can use it.
std::optional<TaskCounts> releaseHeldRoom(PlacementInput &input, const WaitingStep &waiting)
{
    const auto held = input.held.extract(waiting.step);
    auto counts = held ? taskCountsOf(input.targets, waiting, held.mapped()) : std::nullopt;
    if (counts) {
        returnRoom(input.targets, waiting, *counts);
    }
    return counts;
}

void placeGangStep(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    const auto held = releaseHeldRoom(input, waiting);
    if (held && doAllFit(input.targets, waiting, *held, freeRoom)) {
        startTasks(input, plan, waiting, *held);
    } else if (auto counts = placeGang(input, waiting, freeRoom)) {
        startTasks(input, plan, waiting, *counts);
    } else if (held && doAllFit(input.targets, waiting, *held, roomAfterStops)) {
        holdRoom(input, plan, waiting, *held);
    } else if (waiting.priority == 0) {
        makeRoom(input, plan, waiting);
    }
}

void placeTasks(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    releaseHeldRoom(input, waiting);
    const auto counts = placeIndependentTasks(input, waiting);
    startTasks(input, plan, waiting, counts);
    const auto placed = std::accumulate(counts.begin(), counts.end(), 0);
    if (waiting.priority != 0 || std::cmp_equal(placed, waiting.tasks.size())) {
        return;
    }
    // Preempts work for the urgent tasks that found no room, in the same way as for a gang.
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
        WaitingStep withoutAdvice = waiting;
        withoutAdvice.advice.reset();
        return waiting.advice && packTasks(input.targets, withoutAdvice, count, anywhere) ? WaitReason::NotAdvised : WaitReason::NoRoom;
    }
    const bool isReserved = !packTasks(input.targets, waiting, count, limitsFor(input, waiting, freeRoom));
    if (isReserved) {
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
        const WaitExplanation explanation{reasonOf(input, plan, waiting), freeAccelerators(input, waiting), reserveOf(input, waiting.service)};
        plan.waits.emplace(waiting.step, explanation);
    }
}

/// Subtracts the room held for the steps from the targets, so that no other step takes it. Ends holds whose targets no longer have the room.
void subtractHeldRoom(PlacementInput &input, std::span<const WaitingStep> waiting)
{
    for (const auto &step : waiting) {
        const auto places = input.held.find(step.step);
        const auto counts = places == input.held.end() ? std::nullopt : taskCountsOf(input.targets, step, places->second);
        if (counts && doAllFit(input.targets, step, *counts, roomAfterStops)) {
            takeRoom(input.targets, step, *counts);
        } else {
            input.held.erase(step.step);
        }
    }
}

void placeSteps(PlacementInput &input, PlacementPlan &plan, std::span<const WaitingStep> waiting)
{
    subtractHeldRoom(input, waiting);
    std::ranges::for_each(waiting, [&](const WaitingStep &step) { placeStep(input, plan, step); });
}

}

std::string_view name(WaitReason reason)
{
    static constexpr std::array<std::string_view, 6> names{"no target has room",
                                                           "the free accelerators are reserved for urgent work",
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
    // Room held for work beyond a guarantee must not delay guaranteed work, so guaranteed steps are placed before the room held for such work is subtracted.
    placeSteps(input, plan, {waiting.begin(), firstBorrowed});
    placeSteps(input, plan, {firstBorrowed, waiting.end()});
    return plan;
}

}
