#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// Sends new workflows, queries their states, and retries calls that were refused or not answered. To be called every few milliseconds.
void runCallers(SoakWorld &world);

/// Sends the given number of workflows at once.
void sendBurst(SoakWorld &world, int count);

/// Cancels about the given percentage of the workflows that have not ended.
void cancelSome(SoakWorld &world, int percent);

/// Sends one urgent gang for each organisation, within the organisation's guarantee.
void sendUrgentGangs(SoakWorld &world);

/// True if, as far as the callers know, every workflow has ended or was never accepted.
bool haveAllEnded(const SoakWorld &world);

}
