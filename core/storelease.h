#pragma once

#include "blackboard.h"
#include "storecalls.h"

namespace sequoiastand
{

/// Grants and renews the host's store lease, and gives it back at the end of a planned stop.
void maintainStoreLease(Blackboard &board);

/// Takes the answer to a grant or keep-alive.
void applyStoreLeaseReply(Blackboard &board, const StoreAnswer &answer);

/// Notes that the store no longer has this host's record.
void checkHostRecord(Blackboard &board);

/// Writes `hosts/<hostId>` under the present lease, again whenever the store lost it.
void maintainHostRecord(Blackboard &board);

}
