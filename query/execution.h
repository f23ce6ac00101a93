#pragma once

#include "core/blackboard.h"
#include "grammar.h"
#include "resulttable.h"
#include "statement.h"

#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Account that runs a statement, and the ids under which its event is answered.
struct StatementContext
{
    OperatorAccount account;
    CallId call;
    CommandId command; ///< Command id if the statement has no `command id` clause.
    Duration wait{0};  ///< Time to wait if the statement has no `wait` clause.
    std::string text;  ///< The statement as written, for the history.

    friend bool operator==(const StatementContext &, const StatementContext &) = default;
};

/// Store ranges that must be read before the statement can be answered.
struct StoreReads
{
    std::vector<StoreRange> ranges;

    friend bool operator==(const StoreReads &, const StoreReads &) = default;
};

/// Entries of a store range, or the reason why it could not be read.
struct StoreReadResult
{
    StoreRange range;
    std::vector<StoreEntry> entries;
    std::string error; ///< Empty if the range was read.

    friend bool operator==(const StoreReadResult &, const StoreReadResult &) = default;
};

/// Result of executing a statement: an answer, a refusal, an error about a column, an event whose CallerReply is the answer, or store reads that must finish
/// before the statement can be answered.
using ExecutionOutcome = std::variant<StatementResult, Refusal, SyntaxError, Event, StoreReads>;

/// Executes one statement. A command yields an event; the blackboard does not change.
ExecutionOutcome executeStatement(const Blackboard &board, const Statement &statement, const StatementContext &context);

/// Executes a statement whose store reads have finished. The answer names each range that could not be read.
ExecutionOutcome executeWithReads(const Blackboard &board, const Statement &statement, const std::vector<StoreReadResult> &reads);

/// Converts the core's reply to the statement's event.
std::variant<StatementResult, Refusal> resultOf(const CallerReply &reply);

}
