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

/// Who runs a statement, and the ids under which its event is answered.
struct StatementContext
{
    OperatorAccount account;
    CallId call;
    CommandId command; ///< Used unless the statement has a `command id` of its own.
    Duration wait{0};  ///< Used unless the statement has a `wait` of its own.
    std::string text;  ///< The statement as written, for the history.

    friend bool operator==(const StatementContext &, const StatementContext &) = default;
};

/// Ranges of the store that have to be read before the statement can be answered.
struct StoreReads
{
    std::vector<StoreRange> ranges;

    friend bool operator==(const StoreReads &, const StoreReads &) = default;
};

/// What a range held, or why it could not be read.
struct StoreReadResult
{
    StoreRange range;
    std::vector<StoreEntry> entries;
    std::string error; ///< Empty if the range was read.

    friend bool operator==(const StoreReadResult &, const StoreReadResult &) = default;
};

/// An answer, a refusal, a fault in a column's name, an event whose CallerReply answers the statement, or reads to do first.
using ExecutionOutcome = std::variant<StatementResult, Refusal, SyntaxError, Event, StoreReads>;

/// Runs one statement. A command becomes an event; nothing on the board changes.
ExecutionOutcome executeStatement(const Blackboard &board, const Statement &statement, const StatementContext &context);

/// Answers a statement whose reads are done. A range that could not be read is named in the answer.
ExecutionOutcome executeWithReads(const Blackboard &board, const Statement &statement, const std::vector<StoreReadResult> &reads);

/// What the core answered to the statement's event.
std::variant<StatementResult, Refusal> resultOf(const CallerReply &reply);

}
