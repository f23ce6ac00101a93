#pragma once

#include "blackboard.h"
#include "storecalls.h"

namespace sequoiastand
{

/// Sends the unresolved batch again, or if there is none, the next transaction or group of queued writes. Only one call is in flight at a time.
void sendBatch(Blackboard &board);

/// Resolves the batch from the reply to its call, or schedules a retry or a read-back.
void resolveBatch(Blackboard &board, const StoreAnswer &answer);

}
