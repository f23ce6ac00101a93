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
    std::optional<JobSpecification> largestGang;
    const auto consider = [&largestGang](const JobSpecification &candidate) {
        if (candidate.acceleratorsPerTask > 0 && (!largestGang || acceleratorCount(candidate) > acceleratorCount(*largestGang))) {
            largestGang = candidate;
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
    return largestGang;
}

}

double fragmentation(const ClusterView &view)
{
    auto largestGang = largestRequest(view);
    if (!largestGang) {
        return 0;
    }
    largestGang->milliCpuPerTask = 0;
    largestGang->memoryMbPerTask = 0;
    const auto map = capacityOf(view);
    std::vector<Room> rooms;
    int free = 0;
    for (const auto &target : map.targets) {
        rooms.push_back({target.rack, target.isUsable ? target.all & ~target.used : 0, 0, 0});
        free += std::popcount(rooms.back().free);
    }
    int servedAccelerators = 0;
    while (const auto places = packGang(rooms, map.rackCount, *largestGang)) {
        subtractPlaces(rooms, *places, *largestGang);
        servedAccelerators += acceleratorCount(*largestGang);
    }
    return free == 0 ? 0 : 1 - static_cast<double>(servedAccelerators) / free;
}

}
