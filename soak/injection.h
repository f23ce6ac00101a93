#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// Injects the fault now and ends it after its length.
void inject(SoakWorld &world, const PlannedFault &fault);

/// Ends everything that is still disturbed: faults, withdrawals, processes that are down or paused.
void healEverything(SoakWorld &world);

}
