#pragma once

#include "clusterview.h"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiastand
{

/// Accelerators of one target that an attempt holds; `target` is an index into CapacityMap::targets.
struct HeldPlace
{
    int target = 0;
    AcceleratorMask accelerators = 0;
    int tasks = 1;

    friend bool operator==(const HeldPlace &, const HeldPlace &) = default;
};

/// An attempt that holds capacity. It is either managed by this host or known only from reports of targets.
struct RunningWork
{
    AttemptId id;
    const Attempt *attempt = nullptr; ///< Null if the attempt is known only from reports; such work cannot be stopped yet.
    const Job *job = nullptr;
    const JobSpecification *specification = nullptr;
    std::vector<HeldPlace> places;
    bool isStopping = false;
    bool canBePreempted = false; ///< True if the work can be stopped in time when another organisation reclaims its cell.
    int accelerators = 0;
    Duration elapsed{0};
    Duration sinceCheckpoint{0}; ///< Run time that no checkpoint covers.

    friend bool operator==(const RunningWork &, const RunningWork &) = default;
};

/// One target and its free capacity.
struct TargetCapacity
{
    const Target *target = nullptr;
    int rack = 0; ///< Index of the rack; racks are ordered by name.
    bool isUsable = false;
    AcceleratorMask all = 0;
    AcceleratorMask used = 0;
    int freeMilliCpu = 0;
    int freeMemoryMb = 0;
    std::vector<int> work; ///< Indexes into CapacityMap::work.

    friend bool operator==(const TargetCapacity &, const TargetCapacity &) = default;
};

/// Targets of one availability zone in order of id, and the work on them. Holds pointers into the ClusterView from which it was made.
struct CapacityMap
{
    std::vector<TargetCapacity> targets;
    std::vector<RunningWork> work;
    std::vector<const Job *> waiting;  ///< Waiting jobs of the zone that have no attempt, in order of id.
    std::vector<const Job *> finished; ///< Finished jobs whose records this host still holds.
    int rackCount = 0;

    friend bool operator==(const CapacityMap &, const CapacityMap &) = default;
};

CapacityMap capacityOf(const ClusterView &view);

/// True if new work may be placed on the target: it is startable and healthy, and neither leaving nor drained.
bool isUsable(const ClusterView &view, const Target &target);

/// Waiting jobs of the view's zone that have no attempt and whose retry delay has passed, in order of id.
std::vector<const Job *> waitingJobs(const ClusterView &view);

/// Mask with the lowest `count` bits set.
AcceleratorMask lowMask(int count);

}
