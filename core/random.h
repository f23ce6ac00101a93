#pragma once

#include "time.h"

namespace sequoiastand
{

/// Advances the state and returns the next number of its sequence: SplitMix64 by Steele, Lea and Flood, OOPSLA 2014.
unsigned long long nextRandom(unsigned long long &state);

/// A uniformly distributed duration between zero and the bound (full jitter).
Duration nextJitter(unsigned long long &state, Duration bound);

}
