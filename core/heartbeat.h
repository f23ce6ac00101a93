#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Heartbeat with the present state of this host.
Heartbeat ownHeartbeat(const Blackboard &board, CallId id, bool isReply);

/// Free and usable accelerators of the targets that this host holds.
ZoneCapacity ownCapacity(const Blackboard &board);

/// Updates the peer from its heartbeat and replies if the heartbeat is a request.
void applyHeartbeat(Blackboard &board, const Heartbeat &heartbeat);

/// Sends a heartbeat to every host of this zone, and to the hosts of other zones to which this host has not sent one for the longest time.
void sendHeartbeats(Blackboard &board);

/// Time without contact after which a peer is suspect. It grows with the number of rounds needed to send one heartbeat to every peer.
Duration suspicionTimeout(const Blackboard &board);

}
