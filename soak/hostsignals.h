#pragma once

#include "faulteffects.h"

namespace sequoiastand
{

/// Stops the host with SIGTERM, unless its process has just been started.
void stop(SoakWorld &world, SoakHost &host);

/// Stops one host after the other.
Effect stopInTurn(SoakWorld &world);

/// Changes the host's settings file and sends SIGHUP.
Effect reload(SoakWorld &world, SoakHost &host);

/// Sends SIGTERM and SIGHUP to hosts drawn at random until the fault ends, also to hosts that are stopping, and changes the configuration meanwhile. At least
/// half of the hosts stay up. No host counts as disturbed before it has ended.
Effect sendOverlappingSignals(SoakWorld &world, const PlannedFault &fault);

}
