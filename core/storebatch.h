#pragma once

#include "blackboard.h"
#include "storecalls.h"

namespace sequoiastand
{

/// Sends the next transaction, the queued writes as one group, or again what is unsettled. One call is in flight at a time.
void sendBatch(Blackboard &board);

/// Settles the batch from the answer to its call, or prepares to send it again or read it back.
void resolveBatch(Blackboard &board, const StoreAnswer &answer);

}
