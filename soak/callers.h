#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// Sends new work, asks for states, and repeats what was refused or not answered. To be called every few milliseconds.
void runCallers(SoakWorld &world);

/// Sends that many workflows at once.
void sendBurst(SoakWorld &world, int count);

/// Cancels about that share of what has not ended, in percent.
void cancelSome(SoakWorld &world, int percent);

/// Sends one urgent gang of each organisation within its guarantee.
void sendUrgentGangs(SoakWorld &world);

/// True if every workflow has ended as far as its caller knows, or was never accepted.
bool haveAllEnded(const SoakWorld &world);

}
