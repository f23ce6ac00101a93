#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// Injects the fault now and schedules its end after its length.
void inject(SoakWorld &world, const PlannedFault &fault);

/// Ends all faults and withdrawals in progress, and restarts or resumes processes that are down or paused.
void endAllFaults(SoakWorld &world);

}
