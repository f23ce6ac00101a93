#pragma once

#include "fleetuse.h"

namespace sequoiastand
{

/// Notes the accepted workflows that have nothing running although the turn of one of their tasks has come and sound targets that it may use have room for it,
/// or for its whole gang, twice over; and in the same way each task that lasts and is not at work.
void noteStandstills(SoakWorld &world, const FleetUse &use);

/// Ends the periods that are still open, so that the history holds them.
void endStandstills(SoakWorld &world);

}
