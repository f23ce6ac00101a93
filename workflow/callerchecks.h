#pragma once

#include "callermessage.h"
#include "workflowboard.h"

#include <optional>
#include <string>
#include <string_view>
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

/// True for 16 hexadecimal digits.
bool isRequestId(std::string_view text);

/// The call's queue and organisation, or the refusal if the configuration does not allow the call.
std::variant<RoutedCall, Refusal> routeCall(const QueueConfiguration &configuration, const CallerRequest &request);

/// True if the call may query or cancel a workflow of the organisation `owner`. Organisations may access only their own workflows; everybody may access the
/// workflows of anonymous queues.
bool mayAccess(const RoutedCall &routed, const OrganisationId &owner);

/// The refusal of a submission that can never be accepted, or nothing. If this host does not know any target's shape, every task counts as small enough.
std::optional<Refusal> checkSubmission(const WorkflowBoard &board, const CallerRequest &request, const RoutedCall &routed);

}
