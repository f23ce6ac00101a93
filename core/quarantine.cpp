#include "quarantine.h"

#include "explain.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

bool isProbeDue(const ClusterView &view, const TargetCapacity &target)
{
    const auto &candidate = *target.target;
    return candidate.health == TargetHealth::Quarantined && candidate.probeDue && *candidate.probeDue <= view.now && target.work.empty() && !candidate.isLeaving
           && !isDrained(view.configuration, candidate.rack, candidate.id) && view.startableTargets.contains(candidate.id);
}

/// True if the job may serve as a probe. A probe may fail, so the job must be idempotent, have a single task and not be urgent.
bool canProbe(const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    return specification.isIdempotent && specification.taskCount == 1 && queued.priority != Priority::Urgent;
}

}

void planProbes(PlacementPass &pass, std::vector<QueuedJob> &queue)
{
    for (int index = 0; index < static_cast<int>(pass.map.targets.size()); ++index) {
        const auto &target = pass.map.targets[index];
        if (!isProbeDue(pass.view, target)) {
            continue;
        }
        const Room room{target.rack, target.all, target.target->milliCpu, target.target->memoryMb};
        const auto probe =
            std::ranges::find_if(queue, [&](const QueuedJob &queued) { return canProbe(queued) && taskCapacity(room, queued.job->specification, 1) == 1; });
        if (probe == queue.end()) {
            continue;
        }
        const auto &specification = probe->job->specification;
        const ChosenPlaces places{{index, adjacentAccelerators(target.all, specification.acceleratorsPerTask)}};
        pass.plan.placements.push_back({specification.id, plannedMembers(pass.map, places), true, probeText(target.target->id)});
        queue.erase(probe);
    }
}

}
