#pragma once

#include "preemption.h"

namespace sequoiastand
{

/// Running work to move elsewhere in the zone so that a large waiting job can start now. Empty unless every moved gang has another free place
/// and the waiting time saved is worth more accelerator time than the moves cost.
std::optional<PreemptionChoice> chooseMoves(PlacementPass &pass, const QueuedJob &queued);

}
