#pragma once

#include "core/time.h"
#include "exitcode.h"

#include <string>

namespace sequoiastand
{

/// Destination and options for sending statements.
struct StatementSendOptions
{
    std::string host;  ///< IPv4 address and port of an entry host's HTTP listener.
    std::string token; ///< The operator's bearer token.
    std::string format = "table";
    std::string commandId; ///< Empty to generate a new id for each call.
    Duration wait{10'000}; ///< Maximum time that the host waits for a change to be in force.

    friend bool operator==(const StatementSendOptions &, const StatementSendOptions &) = default;
};

/// Result of sending statements, with the text for the terminal.
struct StatementOutcome
{
    ExitCode code = ExitCode::Success;
    std::string output; ///< Text for standard output.
    std::string error;  ///< Text for standard error.

    friend bool operator==(const StatementOutcome &, const StatementOutcome &) = default;
};

/// Sends statements to `POST /v1/statements` and waits for the answer.
StatementOutcome sendStatements(const StatementSendOptions &options, const std::string &text);

/// Reads statements from the terminal, one per line, until the end of input or "quit". Returns the exit code of the last statement.
ExitCode runInteractively(const StatementSendOptions &options);

/// Generates a random command id, so that no other client uses the same one.
std::string makeCommandId();

}
