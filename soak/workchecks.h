#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// Notes ten times a second what the checks of the history need to know about the work on the targets: standstills, urgent work that is not within its
/// organisation's guarantee, and runs of cancelled workflows. To be called every few milliseconds.
void noteWork(SoakWorld &world);

/// True if a task of a workflow whose cancellation was confirmed is at work.
bool isCancelledWorkRunning(const SoakWorld &world);

}
