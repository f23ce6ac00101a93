#pragma once

#include "blackboard.h"
#include "storecalls.h"

namespace sequoiastand
{

/// Sends the next transaction, the queued writes as one group, or the unresolved batch again. Only one call is in flight at a time.
void sendBatch(Blackboard &board);

/// Resolves the batch from the reply to its call, or schedules a retry or a read-back.
void resolveBatch(Blackboard &board, const StoreAnswer &answer);

}
