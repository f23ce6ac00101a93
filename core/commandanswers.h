#pragma once

#include "blackboard.h"

#include <string>

namespace sequoiastand
{

/// Answers all operators who wait for the command with a refusal and removes the command from the board.
void refuseCommand(Blackboard &board, const CommandId &id, const Refusal &refusal);

/// Answers one operator with a refusal.
void refuseCaller(Blackboard &board, CallId id, const Refusal &refusal);

/// Makes a refusal that lists the changes after the version that the operator expected.
Refusal versionConflict(const Blackboard &board, long long expected);

/// Time at which every start permit that was granted under a version older than the command's has certainly expired.
TimePoint latestInForceTime(const Blackboard &board, const CommandProgress &progress);

/// Tracks accepted commands until they are in force, and answers the operators who wait for them.
void confirmCommands(Blackboard &board);

}
