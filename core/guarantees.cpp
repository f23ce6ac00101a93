#include "guarantees.h"

#include "errors.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace sequoiastand
{

namespace
{

/// The zone's targets without their tasks and with default health.
Table<TargetId, Target> inventoryOf(const Table<TargetId, Target> &targets, const AvailabilityZoneId &zone)
{
    Table<TargetId, Target> inventory;
    for (const auto &[id, target] : targets.rows()) {
        if (target.availabilityZone == zone) {
            inventory.put(id, {id, target.rack, zone, target.address, target.acceleratorCount, target.milliCpu, target.memoryMb});
        }
    }
    return inventory;
}

absl::Status validateZone(const Configuration &configuration, const Table<TargetId, Target> &targets, const AvailabilityZoneId &zone)
{
    auto withoutDrains = configuration;
    withoutDrains.drains.clear();
    const auto inventory = inventoryOf(targets, zone);
    const ClusterView view{zone, withoutDrains, inventory, {}, {}, {}, {}, {}, {}};
    const auto shortfalls = checkGuarantees(view);
    if (shortfalls.empty()) {
        return absl::OkStatus();
    }
    const auto &firstShortfall = shortfalls.front();
    const auto &guarantee = configuration.guarantees.at(firstShortfall.guarantee);
    return errorAt(absl::StatusCode::kInvalidArgument,
                   "validateGuarantees",
                   zone.value,
                   absl::StrCat("guarantee ",
                                firstShortfall.guarantee,
                                " of ",
                                guarantee.organisation.value,
                                " (",
                                toString(guarantee.shape),
                                ") does not fit: ",
                                firstShortfall.missingAccelerators,
                                " of ",
                                acceleratorCount(guarantee.shape),
                                " accelerators missing"));
}

}

std::vector<GuaranteeShortfall> checkGuarantees(const ClusterView &view)
{
    return bindCells(view, capacityOf(view)).shortfalls;
}

std::vector<JobId> placementsBreakingGuarantees(const ClusterView &view, const Plan &plan)
{
    const auto map = capacityOf(view);
    const auto cells = bindCells(view, map);
    std::vector<JobId> breaking;
    for (const auto &placement : plan.placements) {
        const auto *job = view.jobs.find(placement.job);
        if (!job || isPreemptible(job->specification)) {
            continue;
        }
        const auto masks = cellsOf(cells, placement.job.organisation, map.targets.size());
        const auto isInForeignCell = [&](const PlannedMember &member) {
            const auto target = std::ranges::find(map.targets, member.target, [](const TargetCapacity &candidate) { return candidate.target->id; });
            return target != map.targets.end() && (masks.foreign[target - map.targets.begin()] & member.accelerators) != 0;
        };
        if (std::ranges::any_of(placement.members, isInForeignCell)) {
            breaking.push_back(placement.job);
        }
    }
    return breaking;
}

absl::Status validateGuarantees(const Configuration &configuration, const Table<TargetId, Target> &targets)
{
    std::set<AvailabilityZoneId> zones;
    for (const auto &[id, guarantee] : configuration.guarantees) {
        zones.insert(guarantee.availabilityZone);
    }
    for (const auto &zone : zones) {
        if (auto status = validateZone(configuration, targets, zone); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

}
