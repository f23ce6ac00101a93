#pragma once

#include "attemptedits.h"
#include "message.h"

namespace sequoiastand
{

/// Sends one call about a member under this host's lease on its target and notes it as in flight.
void sendMemberCall(AttemptEdits &work, const Attempt &attempt, AttemptMember &member, TargetRequest request);

/// Limits the share of accelerators that a running attempt may use. The answer does not matter.
void sendThrottle(AttemptEdits &work, const Attempt &attempt, int percent);

/// Stops a task that no attempt on the board has.
void sendStrayStop(AttemptEdits &work, const TargetId &target, const ReportedTask &task);

/// The member after the outcome of its call in flight.
AttemptMember withOutcome(AttemptMember member, TargetOutcome outcome, TimePoint now);

/// Applies the replies of the present inbox; late ones are dropped.
void applyMemberReplies(AttemptEdits &work);

/// Treats a call without any answer long after its timeout as one whose answer was lost.
void expireMemberCalls(AttemptEdits &work, const AttemptId &id);

}
