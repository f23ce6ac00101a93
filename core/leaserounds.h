#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Applies replies to lease calls; replies to calls that were replaced are ignored.
void applyLeaseReplies(Blackboard &board);

/// Marks expired leases, replaces calls that timed out, and sends as many calls as one round allows, the leases closest to expiry first.
void sendLeaseCalls(Blackboard &board);

/// True if the target may delete its record of the ended attempt because the store holds the outcome.
bool isOutcomeStored(const Blackboard &board, const AttemptId &attempt);

}
