#pragma once

#include "attemptedits.h"

#include <string>

namespace sequoiastand
{

/// Makes the attempt of a planned placement. Its members are in order of target id, and none has sent its reservation yet.
Attempt makeAttempt(const Placement &placement, int number, TimePoint now, Duration reservationExpiry);

/// Sends the reservations of a new attempt.
void reserveMembers(AttemptEdits &work, Attempt &attempt);

/// Moves the attempt to the step Stopping unless it is stopping or has ended already.
void beginStop(Attempt &attempt, StopCause cause);

/// Returns the reason why the tasks of the attempt may not start at this moment; empty if they may.
std::string startObstacle(const Blackboard &board, const Attempt &attempt);

/// Advances the attempt as many steps as its members, the store, the permit and the leases allow.
void advanceAttempt(AttemptEdits &work, Attempt &attempt);

}
