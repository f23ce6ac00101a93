#pragma once

#include "callermessage.h"
#include "workflowboard.h"

#include <optional>
#include <string>
#include <variant>

namespace sequoiastand
{

/// A caller's request with its queue and organisation.
struct RoutedCall
{
    const Queue *queue = nullptr; ///< Points into the configuration with which the call was routed.
    OrganisationId organisation;  ///< Organisation of the caller's key; empty on an anonymous queue without a known key.
    std::string rest;             ///< Path after the queue's prefix: a workflow's id, or empty for the queue itself.

    friend bool operator==(const RoutedCall &, const RoutedCall &) = default;
};

/// The call's queue and organisation, or the refusal if the configuration does not allow the call.
std::variant<RoutedCall, Refusal> routeCall(const QueueConfiguration &configuration, const CallerRequest &request);

/// The organisation and the queue of a workflow.
struct WorkflowOwner
{
    OrganisationId organisation; ///< Empty if the workflow was submitted without a key.
    QueueId queue;               ///< Empty if it is not known.

    friend bool operator==(const WorkflowOwner &, const WorkflowOwner &) = default;
};

/// True if the call is to the workflow's queue. A queue that has been removed may have been added again under another name, so any queue counts as its successor.
bool isSameQueue(const QueueConfiguration &configuration, const RoutedCall &routed, const QueueId &queue);

/// True if the call may query or cancel the workflow. A call reaches only workflows of its queue: on an anonymous queue all of them, because its callers carry no
/// keys, on other queues those of the caller's organisation.
bool mayAccess(const QueueConfiguration &configuration, const RoutedCall &routed, const WorkflowOwner &owner);

/// The refusal of a submission that can never be accepted, or nothing. If this host does not know any target's shape, every task counts as small enough.
std::optional<Refusal> checkSubmission(const WorkflowBoard &board, const CallerRequest &request, const RoutedCall &routed);

}
