#pragma once

#include "placementpass.h"

#include <map>
#include <optional>

namespace sequoiastand
{

/// Other zones that are in service, with what this pass has already promised to them taken off.
struct ZoneChoices
{
    std::map<AvailabilityZoneId, ZoneCapacity> zones;
    std::map<AvailabilityZoneId, int> budgets; ///< Accelerators that may be moved there in this pass.
    int remainingMoves = 0;

    friend bool operator==(const ZoneChoices &, const ZoneChoices &) = default;
};

ZoneChoices zoneChoicesOf(const ClusterView &view);

/// True if another zone is out of service, so that its work needs room here.
bool isAnotherZoneOut(const ClusterView &view);

/// The better of two zones drawn by the job's id, by free accelerators. The zones must be large enough for the job.
std::optional<AvailabilityZoneId> chooseZone(const ZoneChoices &choices, const JobSpecification &specification);

/// Another zone with free accelerators for a job that this zone cannot serve at present.
std::optional<AvailabilityZoneId> chooseZoneWithRoom(const ZoneChoices &choices, const JobSpecification &specification, int ownFree);

/// Takes the job's accelerators off the zone's capacity.
void recordMove(ZoneChoices &choices, const AvailabilityZoneId &zone, const JobSpecification &specification);

/// The plan of a zone that is out: no starts; work that ends within the notice continues, other work is checkpointed and moved, waiting jobs go to other zones.
Plan planZoneEvacuation(const ClusterView &view);

}
