#pragma once

#include "placementpass.h"

namespace sequoiastand
{

/// Places one idempotent task, which may fail without harm, on each quarantined target whose probe is due, and removes its job from the queue.
void planProbes(PlacementPass &pass, std::vector<QueuedJob> &queue);

}
