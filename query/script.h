#pragma once

#include "execution.h"
#include "rendering.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Text with one or more statements, and options for running them and rendering the answer.
struct ScriptRequest
{
    OperatorAccount account;
    std::string text;
    ResultFormat format = ResultFormat::Table;
    CommandId command; ///< Prefix of the command ids: the n-th statement's id is the prefix and "-n". Unique for each script; a retry uses the same prefix.
    Duration wait{0};
    bool continuesAfterFailure = false;

    friend bool operator==(const ScriptRequest &, const ScriptRequest &) = default;
};

/// One statement with the line and column of its first character in the script, counted from 1.
struct ScriptStatement
{
    std::string text;
    int line = 1;
    int column = 1;

    friend bool operator==(const ScriptStatement &, const ScriptStatement &) = default;
};

/// Answer to one statement. The statement is given by its index in the script.
struct ScriptOutcome
{
    std::size_t statement = 0;
    std::variant<StatementResult, Refusal> answer;

    friend bool operator==(const ScriptOutcome &, const ScriptOutcome &) = default;
};

/// State of a running script. The front end keeps this value between the steps.
struct ScriptRun
{
    ScriptRequest request;
    std::vector<ScriptStatement> statements;
    std::vector<Statement> parsed;
    std::vector<ScriptOutcome> outcomes;
    std::size_t next = 0;
    std::vector<StoreReadResult> reads;
    bool hasReads = false; ///< True if `reads` contains the store reads of the next statement.
    bool isFinished = false;

    friend bool operator==(const ScriptRun &, const ScriptRun &) = default;
};

/// The complete answer of a script. A front end derives the status from `failure`, the first refusal, and uses `text` as the body.
struct ScriptAnswer
{
    std::string text;
    std::string contentType;
    std::optional<Refusal> failure;

    friend bool operator==(const ScriptAnswer &, const ScriptAnswer &) = default;
};

/// Asks the front end to post the event and to pass its CallerReply to withReply().
struct PostEvent
{
    Event event;
    CallId call;
};

using ScriptAction = std::variant<ScriptAnswer, PostEvent, StoreReads>;

struct ScriptStep
{
    ScriptRun run;
    ScriptAction action;
};

/// Splits a script at semicolons outside of quotes and comments. Omits empty statements.
std::vector<ScriptStatement> splitScript(std::string_view text);

/// Parses all statements before the first one runs, so that a syntax error prevents the whole script from running.
ScriptRun beginScript(const ScriptRequest &request);

/// Runs statements until a statement needs a reply of the core or store reads, or until all have finished. An event that a statement posts carries `call`.
ScriptStep continueScript(ScriptRun run, const Blackboard &board, CallId call);

/// Records the core's reply to the event of the previous step.
ScriptRun withReply(ScriptRun run, const CallerReply &reply);

/// Records the results of the store reads requested by the previous step, including failed ones.
ScriptRun withReads(ScriptRun run, std::vector<StoreReadResult> reads);

}
