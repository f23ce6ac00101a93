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

/// Text with one or several statements, and how to run and answer it.
struct ScriptRequest
{
    OperatorAccount account;
    std::string text;
    ResultFormat format = ResultFormat::Table;
    CommandId command; ///< The n-th statement's command gets this with "-n" behind it; must be unique unless the text is sent again.
    Duration wait{0};
    bool continuesAfterFailure = false;

    friend bool operator==(const ScriptRequest &, const ScriptRequest &) = default;
};

/// One statement and the place of its first character within the script, counted from 1.
struct ScriptStatement
{
    std::string text;
    int line = 1;
    int column = 1;

    friend bool operator==(const ScriptStatement &, const ScriptStatement &) = default;
};

/// What became of one statement.
struct ScriptOutcome
{
    std::size_t statement = 0;
    std::variant<StatementResult, Refusal> answer;

    friend bool operator==(const ScriptOutcome &, const ScriptOutcome &) = default;
};

/// A script on its way. A plain value: the front end keeps it between the steps.
struct ScriptRun
{
    ScriptRequest request;
    std::vector<ScriptStatement> statements;
    std::vector<Statement> parsed;
    std::vector<ScriptOutcome> outcomes;
    std::size_t next = 0;
    std::vector<StoreReadResult> reads;
    bool hasReads = false; ///< `reads` belong to the next statement.
    bool isFinished = false;

    friend bool operator==(const ScriptRun &, const ScriptRun &) = default;
};

/// The whole answer. `failure` is the first refusal; a front end takes its status from there and the body from `text`.
struct ScriptAnswer
{
    std::string text;
    std::string contentType;
    std::optional<Refusal> failure;

    friend bool operator==(const ScriptAnswer &, const ScriptAnswer &) = default;
};

/// Post the event; its CallerReply goes into withReply().
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

/// Splits at semicolons outside of quotes and comments. Empty statements are left out.
std::vector<ScriptStatement> splitScript(std::string_view text);

/// Parses all statements before the first is run: after a fault in the language nothing has been done.
ScriptRun beginScript(const ScriptRequest &request);

/// Runs statements until one needs the core's reply or reads of the store, or all are done. Events carry the call id.
ScriptStep continueScript(ScriptRun run, const Blackboard &board, CallId call);

/// The core's reply to the event of the step before.
ScriptRun withReply(ScriptRun run, const CallerReply &reply);

/// The ranges asked for by the step before, read or not.
ScriptRun withReads(ScriptRun run, std::vector<StoreReadResult> reads);

}
