#pragma once

#include "event.h"
#include "identifier.h"
#include "time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// A caller's request that has not been answered yet.
struct OpenCall
{
    CallId id;
    std::variant<SubmitRequest, StatusRequest, CancelRequest> request;
    TimePoint answerBy;

    friend bool operator==(const OpenCall &, const OpenCall &) = default;
};

enum class CommandStep
{
    Queued, ///< Waits for the store or for another command of this host.
    Writing,
    Confirming,
    Answered,
};

/// An operator's connection that waits for the outcome of a command.
struct CommandWaiter
{
    CallId id;
    TimePoint answerBy;

    friend bool operator==(const CommandWaiter &, const CommandWaiter &) = default;
};

/// An operator's change on its way to being in force everywhere.
struct CommandProgress
{
    CommandRequest request;
    CommandStep step = CommandStep::Queued;
    long long version = 0; ///< Configuration version that carries the change, once accepted.
    TimePoint acceptedAt;
    TimePoint receivedAt;
    TimePoint inForceAt; ///< When every permit under an older version has certainly expired.
    std::vector<CommandWaiter> waiters;
    std::vector<HostId> unconfirmed;

    friend bool operator==(const CommandProgress &, const CommandProgress &) = default;
};

}
