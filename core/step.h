#pragma once

#include "blackboard.h"
#include "event.h"
#include "time.h"

#include <vector>

namespace sequoiastand
{

/// Prepares a board for its first step: identity, seeds as peers, and the timers that every part needs.
Blackboard makeBlackboard(const HostSettings &settings, TimePoint now, WallTime wallNow);

/// Handles the events and the timers that are due by running every controller in the fixed order of docs/design.md. Outgoing messages are left in the outbox.
void step(Blackboard &board, std::vector<Event> events, TimePoint now, WallTime wallNow);

}
