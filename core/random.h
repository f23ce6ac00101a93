#pragma once

#include "time.h"

namespace sequoiastand
{

/// Next number of the sequence that begins with the state: SplitMix64, Steele, Lea and Flood, OOPSLA 2014.
unsigned long long nextRandom(unsigned long long &state);

/// A uniformly distributed duration between zero and the bound (full jitter).
Duration nextJitter(unsigned long long &state, Duration bound);

}
