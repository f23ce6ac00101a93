#pragma once

#include "blackboard.h"
#include "storecalls.h"

namespace sequoiastand
{

/// Requests and renews the host's store lease, and revokes it at the end of a planned stop.
void maintainStoreLease(Blackboard &board);

/// Applies the reply to a lease grant or keep-alive.
void applyStoreLeaseReply(Blackboard &board, const StoreAnswer &answer);

/// Causes a new write of this host's record if the store has lost the record.
void checkHostRecord(Blackboard &board);

/// Writes `hosts/<hostId>` under the present lease, and again whenever the store has lost it.
void maintainHostRecord(Blackboard &board);

}
