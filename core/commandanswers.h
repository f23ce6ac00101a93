#pragma once

#include "blackboard.h"

#include <string>

namespace sequoiastand
{

/// Answers all operators who wait for the command with a refusal and forgets the command.
void refuseCommand(Blackboard &board, const CommandId &id, const Refusal &refusal);

/// Answers one operator with a refusal.
void refuseCaller(Blackboard &board, CallId id, const Refusal &refusal);

/// Says who changed what after the version that the operator expected.
Refusal versionConflict(const Blackboard &board, long long expected);

/// When every start permit under a version older than the command's has certainly expired.
TimePoint latestInForceTime(const Blackboard &board, const CommandProgress &progress);

/// Follows accepted commands until they are in force and answers the operators who wait.
void confirmCommands(Blackboard &board);

}
