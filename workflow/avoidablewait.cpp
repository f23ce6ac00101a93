#include "avoidablewait.h"

#include "packing.h"

#include <algorithm>

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

/// The number of tasks that have to start together.
int tasksAtOnce(const WaitingStep &waiting)
{
    return waiting.specification.isGang ? static_cast<int>(waiting.tasks.size()) : 1;
}

bool hasRoomTwiceOver(PlacementState &state, const WaitingStep &waiting)
{
    const int needed = 2 * tasksAtOnce(waiting);
    int room = 0;
    for (const auto &rack : eligibleTargets(state.fleet, waiting)) {
        for (const std::size_t number : rack.targets) {
            const auto &target = state.fleet.targets[number];
            const int tasks = std::min(needed, tasksThatFit(waiting.specification.perTask, target.free));
            room += tasks > 0 && isAllowed(waiting, target) && roomForTasks(waiting, target, target.free) > 0 ? tasks : 0;
        }
        if (room >= needed) {
            return true;
        }
    }
    return false;
}

bool mayLeaveLocality(PlacementState &state, const WaitingStep &waiting)
{
    const auto worthwhile = std::chrono::duration_cast<Duration>(waiting.remaining * localityWaitFactor(state.input));
    // Urgent work must start in time, so after `maxLocalityWait` it is placed even away from its data or on several racks.
    const auto longest = waiting.priority == 0 ? std::min(worthwhile, state.input.maxLocalityWait) : worthwhile;
    return waiting.waited >= longest || isPastAvoidableWait(state, waiting);
}

using AcceleratorsOf = int (*)(const PlacementTarget &);

/// Sum over the targets that the step may use, leaving the adviser's decision aside.
int sumOverTargets(PlacementState &state, const WaitingStep &waiting, AcceleratorsOf acceleratorsOf)
{
    int sum = 0;
    for (const auto &rack : eligibleTargets(state.fleet, waiting)) {
        for (const std::size_t number : rack.targets) {
            sum += acceleratorsOf(state.fleet.targets[number]);
        }
    }
    return sum;
}

/// Accelerators on the targets that the step may use that remain beside the reserve, which takes those on the service's other targets first.
int besideReserve(PlacementState &state, const WaitingStep &waiting, AcceleratorsOf acceleratorsOf)
{
    const int ofStep = sumOverTargets(state, waiting, acceleratorsOf);
    int ofService = ofStep;
    if (!waiting.specification.requiredLabel.empty()) {
        WaitingStep withoutLabel;
        withoutLabel.service = waiting.service;
        ofService = sumOverTargets(state, withoutLabel, acceleratorsOf);
    }
    return std::min(ofStep, ofService - reserveOf(state.input, waiting.service));
}

int freeOn(const PlacementTarget &target)
{
    return std::max(0, target.free.accelerators);
}

int capacityOf(const PlacementTarget &target)
{
    return target.capacity.accelerators;
}

/// True if the rack of the step's data could take the whole gang, or one of the independent tasks, once its targets are empty and answer. Targets that are
/// out of service do not count.
bool canDataRackComeFree(const PlacementState &state, const WaitingStep &waiting)
{
    const int needed = tasksAtOnce(waiting);
    int room = 0;
    for (const auto &target : state.fleet.targets) {
        if (target.rack == waiting.specification.dataRack && target.isInService && meetsRequirements(waiting, target)) {
            room += std::min(needed, roomForTasks(waiting, target, target.capacity));
        }
    }
    return room >= needed;
}

/// True if the whole gang would fit into a single empty rack.
bool couldFitOneRack(PlacementState &state, const WaitingStep &waiting)
{
    const auto isAnyTarget = [](const PlacementTarget &) { return true; };
    const auto whole = [](const PlacementTarget &target) { return target.capacity; };
    return packRack(state.fleet, waiting, static_cast<int>(waiting.tasks.size()), {whole, isAnyTarget, std::nullopt}).has_value();
}

}

bool isPastAvoidableWait(PlacementState &state, const WaitingStep &waiting)
{
    return waiting.waited >= state.input.maxAvoidableWait && hasRoomTwiceOver(state, waiting);
}

int freeAccelerators(PlacementState &state, const WaitingStep &waiting)
{
    return sumOverTargets(state, waiting, freeOn);
}

int reserveOf(const PlacementInput &input, const ServiceId &service)
{
    const auto found = input.urgentReserves.find(service);
    return found == input.urgentReserves.end() ? 0 : found->second;
}

std::optional<int> acceleratorBudget(PlacementState &state, const WaitingStep &waiting)
{
    const bool takesReserve = waiting.specification.perTask.accelerators > 0 && reserveOf(state.input, waiting.service) > 0;
    if (waiting.priority == 0 || !takesReserve) {
        return std::nullopt;
    }
    const bool isTooLarge = tasksAtOnce(waiting) * waiting.specification.perTask.accelerators > besideReserve(state, waiting, capacityOf);
    if (isTooLarge) {
        return std::nullopt;
    }
    const int unreserved = std::max(0, besideReserve(state, waiting, freeOn));
    const int half = freeAccelerators(state, waiting) / 2;
    return waiting.waited < state.input.maxAvoidableWait ? unreserved : std::max(unreserved, half);
}

bool mayLeaveDataRack(PlacementState &state, const WaitingStep &waiting)
{
    return mayLeaveLocality(state, waiting) || !canDataRackComeFree(state, waiting);
}

bool maySpread(PlacementState &state, const WaitingStep &waiting)
{
    return !waiting.specification.needsOneRack || mayLeaveLocality(state, waiting) || !couldFitOneRack(state, waiting);
}

}
