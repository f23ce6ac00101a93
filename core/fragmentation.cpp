#include "fragmentation.h"

#include "packing.h"

#include <bit>
#include <optional>

namespace sequoiastand
{

namespace
{

/// Gang with the size of one rack of the shape. Each rack of a shape counts as a separate gang.
JobSpecification gangOf(const Shape &shape)
{
    JobSpecification gang;
    gang.taskCount = shape.workersPerRack;
    gang.acceleratorsPerTask = shape.acceleratorsPerWorker;
    gang.adjacency = Adjacency::Rack;
    return gang;
}

std::optional<JobSpecification> largestRequest(const ClusterView &view)
{
    std::optional<JobSpecification> largest;
    const auto consider = [&largest](const JobSpecification &candidate) {
        if (candidate.acceleratorsPerTask > 0 && (!largest || acceleratorCount(candidate) > acceleratorCount(*largest))) {
            largest = candidate;
        }
    };
    for (const auto *job : waitingJobs(view)) {
        consider(job->specification);
    }
    for (const auto &[id, guarantee] : view.configuration.guarantees) {
        if (guarantee.availabilityZone == view.availabilityZone) {
            consider(gangOf(guarantee.shape));
        }
    }
    return largest;
}

}

double fragmentation(const ClusterView &view)
{
    auto largest = largestRequest(view);
    if (!largest) {
        return 0;
    }
    largest->milliCpuPerTask = 0;
    largest->memoryMbPerTask = 0;
    const auto map = capacityOf(view);
    std::vector<Room> rooms;
    int free = 0;
    for (const auto &target : map.targets) {
        rooms.push_back({target.rack, target.isUsable ? target.all & ~target.used : 0, 0, 0});
        free += std::popcount(rooms.back().free);
    }
    int served = 0;
    while (const auto places = packGang(rooms, map.rackCount, *largest)) {
        subtractPlaces(rooms, *places, *largest);
        served += acceleratorCount(*largest);
    }
    return free == 0 ? 0 : 1 - static_cast<double>(served) / free;
}

}
