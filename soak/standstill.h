#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// Notes the accepted workflows that have nothing running although the turn of one of their tasks has come, sound targets have room for it twice over, and
/// less than half of the capacity is in use. To be called every few milliseconds.
void noteStandstills(SoakWorld &world);

/// Ends the periods that are still open, so that the history holds them.
void endStandstills(SoakWorld &world);

}
