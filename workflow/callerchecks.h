#pragma once

#include "callermessage.h"
#include "workflowboard.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace sequoiastand
{

/// What a call is about, once its queue is known.
struct RoutedCall
{
    const Queue *queue = nullptr; ///< Of the configuration that the call was routed with.
    OrganisationId organisation;  ///< By the caller's key; empty on an anonymous queue without one.
    std::string rest;             ///< Path after the queue's prefix: a workflow's id, or nothing for the queue itself.

    friend bool operator==(const RoutedCall &, const RoutedCall &) = default;
};

/// True for 16 hexadecimal digits.
bool isRequestId(std::string_view text);

/// The call's queue and organisation, or the refusal that the configuration calls for.
std::variant<RoutedCall, Refusal> routeCall(const QueueConfiguration &configuration, const CallerRequest &request);

/// An organisation sees and cancels only its own workflows; those of anonymous queues belong to everybody.
bool mayAccess(const RoutedCall &routed, const OrganisationId &owner);

/// Why the submission can never be accepted, or nothing. Targets that this host knows nothing of count as large enough.
std::optional<Refusal> checkSubmission(const WorkflowBoard &board, const CallerRequest &request, const RoutedCall &routed);

}
