#include "placement.h"

#include "packing.h"
#include "reclaim.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace sequoiastand
{

namespace
{

// Work waits for its rack or its data no longer than this share of its run time: elsewhere it takes three times as long at the sites seen so far, so a short
// wait costs less than the slower run.
constexpr double localityPatience = 1.0;

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
    return target.soon;
}

/// Urgent steps first; within a priority those that can still end in time, by the time that is left until they must start. Work that is late already has lost most
/// of its value to its caller, and would make others late too.
void sortWaiting(std::vector<WaitingStep> &waiting)
{
    std::ranges::stable_sort(waiting, {}, [](const WaitingStep &step) { return std::tuple(step.priority, step.slack < Duration{0}, step.slack); });
}

bool mayLeaveLocality(const WaitingStep &waiting)
{
    const auto patience = std::chrono::duration_cast<Duration>(waiting.remaining * localityPatience);
    return waiting.waited >= patience;
}

/// What work other than the most urgent may take of each rack in all.
std::map<RackId, int> rackShares(const PlacementInput &input)
{
    std::map<RackId, int> shares;
    for (const auto &target : input.targets) {
        shares[target.rack] += target.capacity.accelerators;
    }
    for (auto &[rack, share] : shares) {
        share = static_cast<int>(share * (1 - input.urgentReserve));
    }
    return shares;
}

/// What the step may take of each rack without touching the reserve of urgent work, which would otherwise wait until something has been stopped. A step that is too
/// large for that has no limit.
std::map<RackId, int> rackBudgets(const PlacementInput &input, const WaitingStep &waiting)
{
    if (waiting.priority == 0) {
        return {};
    }
    auto budgets = rackShares(input);
    const auto whole = [](const PlacementTarget &target) { return target.capacity; };
    const int atOnce = waiting.specification.isGang ? static_cast<int>(waiting.tasks.size()) : 1;
    if (!packTasks(input.targets, waiting, atOnce, {whole, isAnyTarget, budgets})) {
        return {};
    }
    for (const auto &target : input.targets) {
        budgets[target.rack] -= target.patientUse;
    }
    return budgets;
}

PackingLimits limitsFor(const PlacementInput &input, const WaitingStep &waiting, const RoomOf &roomOf)
{
    // A task that has failed has few tries left, so it keeps away from targets on which work fails.
    const auto isGood = [&waiting](const PlacementTarget &target) { return !waiting.hasFailed || !target.isSuspect; };
    return {roomOf, isGood, rackBudgets(input, waiting)};
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
    return packRack(input.targets, waiting, count, {whole, isAnyTarget, {}}).has_value();
}

std::optional<TaskCounts> placeGang(const PlacementInput &input, const WaitingStep &waiting, const RoomOf &roomOf)
{
    const int count = static_cast<int>(waiting.tasks.size());
    const auto limits = limitsFor(input, waiting, roomOf);
    const auto &step = waiting.specification;
    if (step.needsOneRack) {
        auto counts = packRack(input.targets, waiting, count, limits);
        const bool maySpread = !counts && (mayLeaveLocality(waiting) || !couldFitOneRack(input, waiting, count));
        return maySpread ? packTasks(input.targets, waiting, count, limits) : counts;
    }
    if (!step.dataRack.value.empty()) {
        auto counts = packTasks(input.targets, waiting, count, within(step.dataRack, limits));
        return counts || !mayLeaveLocality(waiting) ? counts : packTasks(input.targets, waiting, count, limits);
    }
    return packTasks(input.targets, waiting, count, limits);
}

/// Places for as many of the tasks as there is room for; each task starts by itself.
TaskCounts placeSingles(const PlacementInput &input, const WaitingStep &waiting)
{
    const auto &step = waiting.specification;
    const bool mustBeNear = !step.dataRack.value.empty() && !mayLeaveLocality(waiting);
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
        targets[index].soon = targets[index].soon - used;
        targets[index].patientUse += waiting.priority == 0 ? 0 : used.accelerators;
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

/// An urgent step that does not fit now: waits for what is being stopped, or has more stopped.
void makeRoom(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    if (auto counts = placeGang(input, waiting, soonRoom)) {
        takeRoom(input.targets, waiting, *counts);
        return;
    }
    if (auto reclaim = findReclaim(input, waiting)) {
        plan.stops.insert(plan.stops.end(), reclaim->stops.begin(), reclaim->stops.end());
        takeRoom(input.targets, waiting, reclaim->places);
    }
}

void placeStep(PlacementInput &input, PlacementPlan &plan, const WaitingStep &waiting)
{
    if (!waiting.specification.isGang) {
        const auto counts = placeSingles(input, waiting);
        takeRoom(input.targets, waiting, counts);
        addStarts(plan, input.targets, waiting, counts);
        return;
    }
    if (auto counts = placeGang(input, waiting, freeRoom)) {
        takeRoom(input.targets, waiting, *counts);
        addStarts(plan, input.targets, waiting, *counts);
    } else if (waiting.priority == 0) {
        makeRoom(input, plan, waiting);
    }
}

}

PlacementPlan planPlacements(PlacementInput input)
{
    PlacementPlan plan;
    sortWaiting(input.waiting);
    const auto waiting = std::move(input.waiting);
    std::ranges::for_each(waiting, [&](const WaitingStep &step) { placeStep(input, plan, step); });
    return plan;
}

}
