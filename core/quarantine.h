#pragma once

#include "placementpass.h"

namespace sequoiastand
{

/// Gives each quarantined target whose probe is due one idempotent task that may fail without harm.
void planProbes(PlacementPass &pass, std::vector<QueuedJob> &queue);

}
