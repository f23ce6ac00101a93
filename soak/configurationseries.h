#pragma once

#include "faulteffects.h"

namespace sequoiastand
{

/// Writes seven versions of a configuration with 1,400 further queues in quick succession, and single changes before and after them. If `figure` is even, the
/// queues are withdrawn when the fault ends; otherwise the later changes are of a large configuration as well. No host counts as disturbed.
Effect changeConfigurationInSeries(SoakWorld &world, const PlannedFault &fault);

}
