#pragma once

#include "blackboard.h"
#include "event.h"
#include "time.h"

#include <vector>

namespace sequoiastand
{

/// Prepares a board for its first step: the identity of the host, the seed hosts as peers, and the periodic timers of the controllers.
Blackboard makeBlackboard(const HostSettings &settings, TimePoint now, WallTime wallNow);

/// Handles the events and the due timers by running all controllers in the order given in docs/design.md. Outgoing messages remain in the outbox.
void step(Blackboard &board, std::vector<Event> events, TimePoint now, WallTime wallNow);

}
