#pragma once

#include "job.h"
#include "peer.h"
#include "refusal.h"
#include "storerecord.h"
#include "target.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Acquires or renews the lease. The target delays its reply until a task changes state, but no longer than `wait`.
struct LeaseTarget
{
    Duration duration{0};
    Duration wait{0};
    std::vector<AttemptId> acknowledged; ///< Ended attempts whose tasks the target may forget.
    long long knownTasksVersion = 0;     ///< Version of the task list that the caller has; zero requests the list.

    friend bool operator==(const LeaseTarget &, const LeaseTarget &) = default;
};

/// Releases the lease.
struct ReleaseTarget
{
    friend bool operator==(const ReleaseTarget &, const ReleaseTarget &) = default;
};

/// Reserves accelerators for a gang member until the reservation expires or the task starts.
struct ReserveTask
{
    AttemptId attempt;
    int member = 0;
    AcceleratorMask accelerators = 0;
    int milliCpu = 0;
    int memoryMb = 0;
    Duration expiry{0};

    friend bool operator==(const ReserveTask &, const ReserveTask &) = default;
};

struct StartTask
{
    AttemptId attempt;
    int member = 0;
    JobSpecification specification;
    Duration checkpointedWork{0}; ///< Work already done, from which the task resumes.

    friend bool operator==(const StartTask &, const StartTask &) = default;
};

/// Stops a task or cancels its reservation.
struct StopTask
{
    AttemptId attempt;
    int member = 0;
    bool takesCheckpoint = false;

    friend bool operator==(const StopTask &, const StopTask &) = default;
};

struct ThrottleTask
{
    AttemptId attempt;
    int member = 0;
    int percent = 100;

    friend bool operator==(const ThrottleTask &, const ThrottleTask &) = default;
};

using TargetRequest = std::variant<LeaseTarget, ReleaseTarget, ReserveTask, StartTask, StopTask, ThrottleTask>;

struct TargetCall
{
    CallId id;
    TargetId target;
    std::string address;
    HostId host;
    Epoch epoch = 0;
    TargetRequest request;
    Duration timeout{0};

    friend bool operator==(const TargetCall &, const TargetCall &) = default;
};

enum class TargetOutcome
{
    Accepted,
    Refused, ///< The call had no effect.
    NotSent, ///< The call cannot have reached the target.
    Unknown, ///< The reply was lost, so the call may have had an effect.
};

struct TargetReply
{
    CallId id;
    TargetId target;
    TargetOutcome outcome = TargetOutcome::Unknown;
    std::string reason;                 ///< Reason of the target's refusal, or the transport error.
    std::optional<TargetReport> report; ///< Present in every reply to a lease call.

    friend bool operator==(const TargetReply &, const TargetReply &) = default;
};

struct PeerSend
{
    HostId peer;
    std::string address;
    PeerMessage message;

    friend bool operator==(const PeerSend &, const PeerSend &) = default;
};

/// Reply to a caller or an operator: a refusal, a job, or the outcome of a command.
struct CallerReply
{
    CallId id;
    std::optional<Refusal> refusal;
    std::optional<Job> job;
    std::optional<std::string> text; ///< Outcome of an operator's command.
    bool isInForce = false;          ///< The command is in force on every host of the zones concerned.

    friend bool operator==(const CallerReply &, const CallerReply &) = default;
};

using OutgoingMessage = std::variant<StoreCall, TargetCall, PeerSend, CallerReply>;

}
