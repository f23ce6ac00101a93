#pragma once

#include "blackboard.h"

namespace sequoiastand
{

/// Attempts changed in one run of driveAttempts. Each is copied and put back once, however many of its members change.
struct AttemptEdits
{
    Blackboard &board;
    std::map<AttemptId, Attempt> edited;
    int remainingStops = 0; ///< Stop calls that this run may still send.
};

/// The attempt for changing, or null if it is not on the board.
Attempt *editAttempt(AttemptEdits &work, const AttemptId &id);

/// The attempt as changed so far, or as on the board.
const Attempt *readAttempt(const AttemptEdits &work, const AttemptId &id);

/// Adds an attempt and its ways in the index.
void addAttempt(AttemptEdits &work, Attempt attempt);

/// Adds a member found on a target to an adopted attempt, in order of target id.
void addMember(AttemptEdits &work, Attempt &attempt, AttemptMember member);

/// Puts the changed attempts on the board and removes those whose end the job's record contains.
void commit(AttemptEdits &work);

/// Forgets all attempts: this host decides no longer about its zone.
void discardAttempts(Blackboard &board);

/// The member with that index, or null.
AttemptMember *findMember(Attempt &attempt, int index);

}
