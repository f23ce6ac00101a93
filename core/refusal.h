#pragma once

#include "time.h"

#include <string>
#include <string_view>

namespace sequoiastand
{

/// All reasons for refusing a request.
enum class RefusalReason
{
    BadRequest,
    BodyTooLarge,
    Unauthorised,
    NotFound,
    RequestIdReused,
    QuotaExceeded,
    QueueFull,
    NeverFits,
    DeadlineUnreachable,
    ZoneOut,
    StoreUnavailable,
    ShuttingDown,
    TooManyConnections,
    VersionConflict,
    Timeout,
    UnknownQueue, ///< No queue serves that host and path.
    Cancelled,    ///< The caller has cancelled the workflow before its submission was accepted.
    Internal,
};

/// States whether the refused request may have had an effect.
enum class RequestEffect
{
    NotRun,
    Unknown,
};

/// Answer to a request that was not accepted.
struct Refusal
{
    RefusalReason reason = RefusalReason::Internal;
    RequestEffect run = RequestEffect::Unknown;
    Duration retryAfter{0}; ///< Zero when a retry cannot succeed.
    std::string message;

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

/// Name of the reason in answers and counters, for example "queueFull".
std::string_view name(RefusalReason reason);

}
