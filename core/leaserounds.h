#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Applies answers to lease calls; answers to replaced calls are dropped.
void applyLeaseReplies(Blackboard &board);

/// Marks leases that lapsed, replaces silent calls, and sends the calls that one round allows, the leases closest to expiry first.
void sendLeaseCalls(Blackboard &board);

/// True if the target may forget the ended attempt: the stored record of its job contains the outcome.
bool isOutcomeStored(const Blackboard &board, const AttemptId &attempt);

}
