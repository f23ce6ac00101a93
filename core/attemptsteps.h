#pragma once

#include "attemptedits.h"

#include <string>

namespace sequoiastand
{

/// New attempt of a planned job: members in order of target id, all about to reserve.
Attempt makeAttempt(const Placement &placement, int number, TimePoint now, Duration reservationExpiry);

/// Sends the reservations of a new attempt.
void reserveMembers(AttemptEdits &work, Attempt &attempt);

/// Stops the attempt unless it is stopping or has ended already.
void beginStop(Attempt &attempt, StopCause cause);

/// Why no task of the attempt may start at this moment; empty if all may.
std::string startObstacle(const Blackboard &board, const Attempt &attempt);

/// Takes the attempt as many steps further as its members, the store, the permit and the leases allow.
void advanceAttempt(AttemptEdits &work, Attempt &attempt);

}
