#pragma once

#include "event.h"
#include "identifier.h"
#include "time.h"

#include <optional>
#include <set>
#include <string>
#include <utility>
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

/// Index of open calls by job and by deadline.
struct CallIndex
{
    std::set<std::pair<JobId, CallId>> byJob;
    std::set<std::pair<TimePoint, CallId>> byDeadline;
    std::optional<TimePoint> stoppingSince; ///< Time at which this host began to stop.

    friend bool operator==(const CallIndex &, const CallIndex &) = default;
};

enum class CommandStep
{
    Queued, ///< The command waits for the store or for another command of this host.
    Writing,
    Confirming,
    Answered,
};

/// An operator's call that waits for the outcome of a command.
struct CommandWaiter
{
    CallId id;
    TimePoint answerBy;      ///< Time at which an accepted command is answered with "pending".
    TimePoint storeDeadline; ///< Time at which a command that the store has not confirmed is refused, or answered as unresolved.

    friend bool operator==(const CommandWaiter &, const CommandWaiter &) = default;
};

/// Progress of an operator's change until it is in force on every host.
struct CommandProgress
{
    CommandRequest request;
    CommandStep step = CommandStep::Queued;
    long long version = 0; ///< Configuration version with the change, once the change is accepted.
    TimePoint acceptedAt;
    TimePoint receivedAt;
    TimePoint inForceAt; ///< Time at which every permit under an older version has expired.
    std::vector<CommandWaiter> waiters;
    std::vector<HostId> unconfirmed;

    friend bool operator==(const CommandProgress &, const CommandProgress &) = default;
};

}
