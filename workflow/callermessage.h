#pragma once

#include "core/refusal.h"
#include "core/workflowprogress.h"

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastand
{

enum class CallerAction
{
    Submit,
    Query,
    Cancel,
};

std::string_view name(CallerAction action);

/// A caller's request to a queue.
struct CallerRequest
{
    CallId id;
    CallerAction action = CallerAction::Query;
    std::string host;                                   ///< Host header without the port.
    std::string path;                                   ///< Path without the query part.
    std::string key;                                    ///< Empty if the request has none.
    std::optional<WorkflowSpecification> specification; ///< Of a submission that could be read.
    std::string bodyError;                              ///< Why the body could not be read.
    std::size_t bodyBytes = 0;
    Duration answerTimeout{0}; ///< How long the caller waits for the answer; zero: unknown.

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/// The answer: a refusal, the state of a workflow, a queue's count of waiting workflows, or plain success.
struct CallerAnswer
{
    CallId id;
    std::optional<Refusal> refusal;
    std::optional<WorkflowState> state;
    std::optional<int> waiting;

    friend bool operator==(const CallerAnswer &, const CallerAnswer &) = default;
};

}
