#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Attempts edited in one run of driveAttempts(). Each is copied and put back on the board once, however many of its members change.
struct AttemptEdits
{
    Blackboard &board;
    std::map<AttemptId, Attempt> edited;
    int remainingStops = 0; ///< Number of stop calls that this run may still send.
};

/// Returns an editable copy of the attempt, or null if neither the board nor this run has it.
Attempt *editAttempt(AttemptEdits &work, const AttemptId &id);

/// Returns the edited copy of the attempt, else the attempt on the board, or null.
const Attempt *readAttempt(const AttemptEdits &work, const AttemptId &id);

/// Adds an attempt and its index entries.
void addAttempt(AttemptEdits &work, Attempt attempt);

/// Adds a member that a target reports to an adopted attempt, in order of target id.
void addMember(AttemptEdits &work, Attempt &attempt, AttemptMember member);

/// Puts the edited attempts on the board, and removes those that have ended and whose end is in the job's record.
void commit(AttemptEdits &work);

/// Removes all attempts from the board when this host no longer schedules its zone.
void discardAttempts(Blackboard &board);

/// Returns the member with the given index, or null.
AttemptMember *findMember(Attempt &attempt, int index);

}
