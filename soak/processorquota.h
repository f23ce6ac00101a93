#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// True for every fifth host; the others have a small share of a core and a slow link if shares and links are unequal.
bool isStrongHost(int number);

/// The processor share of the host with the given number if the shares are unequal.
double unequalShare(int number);

/// Suspends the hosts that have used up their share of a core, and resumes them once it allows them to go on. To be called every few milliseconds. Does nothing
/// for a host with a whole core, or with a process that is not up.
void enforceQuotas(SoakWorld &world);

}
