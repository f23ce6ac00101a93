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
    Writing,
    Confirming,
    Answered,
};

/// An operator's change on its way to being in force everywhere.
struct CommandProgress
{
    CommandRequest request;
    CommandStep step = CommandStep::Writing;
    long long version = 0; ///< Configuration version that carries the change, once accepted.
    TimePoint acceptedAt;
    TimePoint answerBy;
    std::vector<HostId> unconfirmed;

    friend bool operator==(const CommandProgress &, const CommandProgress &) = default;
};

}
