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
    std::string host;                                   ///< Host header without port.
    std::string path;                                   ///< Path without the query string.
    std::string key;                                    ///< API key; empty if the request has none.
    std::optional<WorkflowSpecification> specification; ///< Specification of a submission whose body could be parsed.
    std::string bodyError;                              ///< Reason why the body could not be parsed.
    std::size_t bodyBytes = 0;
    Duration answerTimeout{0}; ///< Time for which the caller waits for the answer; zero if unknown.

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/// The answer to a caller: a refusal, the state of a workflow, the number of waiting workflows of a queue, or success if all are empty.
struct CallerAnswer
{
    CallId id;
    std::optional<Refusal> refusal;
    std::optional<WorkflowState> state;
    std::optional<int> waiting;

    friend bool operator==(const CallerAnswer &, const CallerAnswer &) = default;
};

}
