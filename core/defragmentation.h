#pragma once

#include "preemption.h"

namespace sequoiastand
{

/// Chooses running work to move elsewhere in the zone so that a large waiting job can start now. Returns nothing unless every moved gang has another
/// free place and the saved waiting time is worth more accelerator time than the moves cost.
std::optional<PreemptionChoice> chooseMoves(PlacementPass &pass, const QueuedJob &queued);

}
