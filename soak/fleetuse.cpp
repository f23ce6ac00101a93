#include "fleetuse.h"

#include "standins/fleetchecks.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

bool isSound(const SoakWorld &world, const TargetId &id, const ModelTarget &target)
{
    const auto &state = world.targetStates.at(id);
    const bool isZoneOut = std::ranges::any_of(world.history.zonesOut, [&](const Withdrawal &withdrawal) {
        return withdrawal.subject == target.registration.availabilityZone.value && !withdrawal.until;
    });
    return state.isRegistered && !state.isDraining && !state.cutSince && !isZoneOut && target.faults == ModelTargetFaults{};
}

Resources leastOf(const Resources &left, const Resources &right)
{
    return {std::min(left.milliCpu, right.milliCpu), std::min(left.memoryMb, right.memoryMb), std::min(left.accelerators, right.accelerators)};
}

int roomOn(const SoundTarget &target, const StepId &id, const StepSpecification &step, int wanted, int copies)
{
    const bool hasLabel = step.requiredLabel.empty() || std::ranges::find(target.labels, step.requiredLabel) != target.labels.end();
    if (!hasLabel) {
        return 0;
    }
    int most = wanted;
    if (step.maxPerTarget > 0) {
        const auto present = target.tasks.find(id);
        most = std::min(most, copies * std::max(0, step.maxPerTarget - (present == target.tasks.end() ? 0 : present->second)));
    }
    int room = 0;
    while (room < most && fitsInto(reservedResources(step) * (room + 1), target.free)) {
        ++room;
    }
    return room;
}

}

FleetUse useOf(const SoakWorld &world, const std::function<bool(const TaskId &)> &isCounted)
{
    FleetUse use;
    Resources capacity;
    Resources used;
    for (const auto &[id, target] : world.targets.fleet.targets) {
        SoundTarget sound{target.registration.capacity, target.registration.labels, {}};
        const bool isSoundTarget = isSound(world, id, target);
        for (const auto &[task, run] : target.running) {
            use.workflowsAtWork.insert(task.step.workflow);
            use.tasksAtWork.insert(task);
            const auto *step = stepOf(world.targets.fleet, task.step);
            const bool isCountedHere = isCounted(task);
            if (step != nullptr && (isCountedHere || !isSoundTarget)) {
                use.accelerators[world.targets.fleet.workflows.at(task.step.workflow).organisation] += step->perTask.accelerators;
            }
            if (step != nullptr && isCountedHere) {
                sound.free = sound.free - reservedResources(*step);
                ++sound.tasks[task.step];
            }
        }
        capacity = capacity + target.registration.capacity;
        used = used + target.registration.capacity - sound.free;
        if (isSoundTarget) {
            use.sound.emplace(id, std::move(sound));
        }
    }
    use.isHalfInUse = !fitsInto(used * 2, capacity);
    return use;
}

FleetUse withLastingRoom(FleetUse use, const std::deque<FleetUse> &recent)
{
    for (auto &[id, target] : use.sound) {
        for (const auto &sample : recent) {
            const auto former = sample.sound.find(id);
            target.free = former == sample.sound.end() ? Resources{} : leastOf(target.free, former->second.free);
        }
    }
    for (const auto &sample : recent) {
        for (const auto &[organisation, accelerators] : sample.accelerators) {
            use.accelerators[organisation] = std::max(use.accelerators[organisation], accelerators);
        }
    }
    return use;
}

int roomFor(const FleetUse &use, const StepId &id, const StepSpecification &step, int wanted, int copies)
{
    int room = 0;
    for (const auto &[target, sound] : use.sound) {
        room += roomOn(sound, id, step, wanted - room, copies);
    }
    return room;
}

bool hasCapRoom(const SoakWorld &world, const FleetUse &use, const OrganisationId &organisation, const StepSpecification &step, int tasks)
{
    const auto &cap = world.configuration.organisations.at(organisation).cap.accelerators;
    const auto used = use.accelerators.find(organisation);
    return !cap || (used == use.accelerators.end() ? 0 : used->second) + step.perTask.accelerators * tasks <= *cap;
}

}
