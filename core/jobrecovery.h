#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Creates jobs from the labels of reported tasks whose job is not on the board.
void adoptReportedJobs(Blackboard &board);

/// Ends or retries active jobs of this zone that no target reports, and takes over jobs of unresponsive zones.
void recoverJobs(Blackboard &board);

/// True if every host of the zone is gone and has been unresponsive long enough for its jobs to be taken over.
bool isZoneUnresponsive(const Blackboard &board, const AvailabilityZoneId &zone);

}
