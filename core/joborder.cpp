#include "joborder.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace sequoiastand
{

namespace
{

Priority basePriority(const Job &job, WallTime now)
{
    switch (job.specification.jobClass) {
    case JobClass::Urgent:
        return Priority::Urgent;
    case JobClass::Ordinary:
        return now - job.acceptedAt >= ageingBound ? Priority::Aged : Priority::Ordinary;
    case JobClass::Patient:
        return now - job.acceptedAt >= ageingBound ? Priority::Aged : Priority::Patient;
    }
    return Priority::Patient;
}

/// Jobs with less accelerator time come first, because this shortens the mean wait. Urgent and aged jobs stay in order of arrival.
auto orderKey(const QueuedJob &queued)
{
    const auto &specification = queued.job->specification;
    const bool isByArrival = queued.priority == Priority::Urgent || queued.priority == Priority::Aged;
    const auto cost = isByArrival ? Duration::rep{0} : queued.expected.count() * std::max(1, acceleratorCount(specification));
    return std::tuple(queued.priority, cost, queued.job->acceptedAt);
}

}

std::map<OrganisationId, int> unusedGuarantees(const CapacityMap &map, const CellMap &cells)
{
    std::map<OrganisationId, int> unusedAccelerators;
    std::vector<std::vector<const Cell *>> cellsOfTarget(map.targets.size());
    for (const auto &cell : cells.cells) {
        unusedAccelerators[cell.organisation] += std::popcount(cell.accelerators);
        cellsOfTarget[cell.target].push_back(&cell);
    }
    for (const auto &work : map.work) {
        for (const auto &place : work.places) {
            for (const auto *cell : cellsOfTarget[place.target]) {
                if (work.specification && work.specification->id.organisation == cell->organisation) {
                    unusedAccelerators[cell->organisation] -= std::popcount(place.accelerators & cell->accelerators);
                }
            }
        }
    }
    return unusedAccelerators;
}

std::vector<QueuedJob> orderedJobs(const ClusterView &view, const CapacityMap &map, const CellMap &cells, const RunTimeModel &model)
{
    std::vector<QueuedJob> queue;
    queue.reserve(map.waiting.size());
    for (const auto *job : map.waiting) {
        queue.push_back({job, basePriority(*job, view.wallNow), false, expectedRemaining(model, *job)});
    }
    std::ranges::stable_sort(queue, {}, orderKey);
    auto unusedAccelerators = unusedGuarantees(map, cells);
    for (auto &queued : queue) {
        const auto &specification = queued.job->specification;
        const int wanted = acceleratorCount(specification);
        const auto unusedEntry = unusedAccelerators.find(specification.id.organisation);
        if (wanted > 0 && unusedEntry != unusedAccelerators.end() && unusedEntry->second >= wanted) {
            unusedEntry->second -= wanted;
            queued.isWithinGuarantee = true;
            queued.priority = std::min(queued.priority, Priority::Guaranteed);
        }
    }
    std::ranges::stable_sort(queue, {}, &QueuedJob::priority);
    return queue;
}

}
