#pragma once

#include "core/time.h"
#include "exitcode.h"

#include <string>

namespace sequoiastand
{

/// Where and how statements are sent.
struct StatementSendOptions
{
    std::string host;  ///< IP number and port of an entry host's HTTP listener.
    std::string token; ///< The operator's bearer token.
    std::string format = "table";
    std::string commandId; ///< Empty: a new one for each call.
    Duration wait{10'000}; ///< How long the host may wait until a change is in force.

    friend bool operator==(const StatementSendOptions &, const StatementSendOptions &) = default;
};

/// What came of sending statements, for the terminal.
struct StatementOutcome
{
    ExitCode code = ExitCode::Success;
    std::string output; ///< For standard output.
    std::string error;  ///< For standard error.

    friend bool operator==(const StatementOutcome &, const StatementOutcome &) = default;
};

/// Sends statements to `POST /v1/statements` and waits for the answer.
StatementOutcome sendStatements(const StatementSendOptions &target, const std::string &text);

/// Reads statements from the terminal, one per line, until its end or "quit". Returns the exit code of the last one.
ExitCode runInteractively(const StatementSendOptions &target);

/// A command id that no other client uses.
std::string makeCommandId();

}
