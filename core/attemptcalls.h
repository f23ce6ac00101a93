#pragma once

#include "attemptedits.h"
#include "message.h"

namespace sequoiastand
{

/// Sends one call about a member under this host's lease on its target and records the call as in flight.
void sendMemberCall(AttemptEdits &work, const Attempt &attempt, AttemptMember &member, TargetRequest request);

/// Limits a running attempt to a share of its accelerators. The answers of the targets are ignored.
void sendThrottle(AttemptEdits &work, const Attempt &attempt, int percent);

/// Stops a task that belongs to no attempt on the board.
void sendStrayStop(AttemptEdits &work, const TargetId &target, const ReportedTask &task);

/// Returns the member as changed by the outcome of its call in flight.
AttemptMember withOutcome(AttemptMember member, TargetOutcome outcome, TimePoint now);

/// Applies the replies in the inbox. Replies to calls that are no longer in flight are dropped.
void applyMemberReplies(AttemptEdits &work);

/// Ends calls that have no answer long after their timeout, as if their answers were lost.
void expireMemberCalls(AttemptEdits &work, const AttemptId &id);

}
