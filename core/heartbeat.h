#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// This host's state as it tells it to peers.
Heartbeat ownHeartbeat(const Blackboard &board, CallId id, bool isReply);

/// Free and usable accelerators of the targets that this host holds.
ZoneCapacity ownCapacity(const Blackboard &board);

/// Takes over what a peer says about itself and answers its question.
void applyHeartbeat(Blackboard &board, const Heartbeat &heartbeat);

/// Asks the hosts of this zone, and of the other zones those that were asked longest ago.
void sendHeartbeats(Blackboard &board);

/// Silence after which a peer is suspect; grows with the number of rounds in which all peers are asked once.
Duration suspicionTimeout(const Blackboard &board);

}
