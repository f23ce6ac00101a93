#pragma once

#include "execution.h"

namespace sequoiastand
{

// Each overload converts a command into its event, or refuses the command if this host's configuration already shows that the command cannot be carried out.

ExecutionOutcome executeCommand(const Blackboard &board, const ConfigureStatement &statement, const StatementContext &context);
ExecutionOutcome executeCommand(const Blackboard &board, const RemoveStatement &statement, const StatementContext &context);
ExecutionOutcome executeCommand(const Blackboard &board, const DrainStatement &statement, const StatementContext &context);
ExecutionOutcome executeCommand(const Blackboard &board, const HoldStatement &statement, const StatementContext &context);
ExecutionOutcome executeCommand(const Blackboard &board, const DeclareDeadStatement &statement, const StatementContext &context);
ExecutionOutcome executeCommand(const Blackboard &board, const SubmitStatement &statement, const StatementContext &context);
ExecutionOutcome executeCommand(const Blackboard &board, const CancelStatement &statement, const StatementContext &context);

}
