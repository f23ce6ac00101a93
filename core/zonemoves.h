#pragma once

#include "placementpass.h"

#include <map>
#include <optional>

namespace sequoiastand
{

/// Other zones that are in service. Their capacity is reduced by the moves that this pass has already planned.
struct ZoneChoices
{
    std::map<AvailabilityZoneId, ZoneCapacity> zones;
    std::map<AvailabilityZoneId, int> budgets; ///< Accelerators of each zone to which jobs may still be moved in this pass.
    int remainingMoves = 0;

    friend bool operator==(const ZoneChoices &, const ZoneChoices &) = default;
};

ZoneChoices zoneChoicesOf(const ClusterView &view);

/// True if another zone is out of service, so that its work needs room in this zone.
bool isAnotherZoneOut(const ClusterView &view);

/// Among the zones that are large enough for the job, selects two by a hash of the job's id, and returns the one with more free accelerators.
std::optional<AvailabilityZoneId> chooseZone(const ZoneChoices &choices, const JobSpecification &specification);

/// Returns another zone with free accelerators for a job that this zone cannot serve at present.
std::optional<AvailabilityZoneId> chooseZoneWithRoom(const ZoneChoices &choices, const JobSpecification &specification, int ownFree);

/// Subtracts the job's accelerators from the capacity and budget of the zone, and counts the move.
void recordMove(ZoneChoices &choices, const AvailabilityZoneId &zone, const JobSpecification &specification);

/// Plan of a zone that is out of service. Nothing starts in the zone. Work that is expected to end within the notice continues, other work that can be
/// preempted is stopped with a checkpoint, and waiting jobs move to other zones.
Plan planZoneEvacuation(const ClusterView &view);

}
