#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Creates rows for jobs that this host knows only from the labels of reported tasks.
void adoptReportedJobs(Blackboard &board);

/// Decides what became of active jobs of this zone that no target reports, and takes over the work of silent zones.
void recoverJobs(Blackboard &board);

/// True if every host of the zone has been silent for so long that its work may be taken over.
bool isZoneUnresponsive(const Blackboard &board, const AvailabilityZoneId &zone);

}
