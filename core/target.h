#pragma once

#include "identifier.h"
#include "job.h"
#include "time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Bit i stands for accelerator i of a target; neighbouring bits are adjacent accelerators.
using AcceleratorMask = std::uint32_t;

using Epoch = long long;

enum class TaskState
{
    Reserved,
    Running,
    Finished,
    Failed,
    Stopped,
};

/// A task as its target reports it. The target keeps it until its end has been acknowledged.
struct ReportedTask
{
    AttemptId attempt;
    int member = 0;
    TaskState state = TaskState::Reserved;
    AcceleratorMask accelerators = 0;
    Duration checkpointedWork{0}; ///< Work covered by the last checkpoint.
    std::string result;
    std::optional<JobSpecification> specification; ///< Label from which a new owner learns the job.

    friend bool operator==(const ReportedTask &, const ReportedTask &) = default;
};

/// What a target says about itself in answer to a lease call.
struct TargetReport
{
    HostId holder;
    Epoch epoch = 0;
    Duration leaseRemaining{0};
    bool isLeaving = false;
    std::vector<ReportedTask> tasks;
    long long tasksVersion = 0; ///< Rises with every change of `tasks`.
    bool isUnchanged = false;   ///< `tasks` is left out, because the caller has this version.

    friend bool operator==(const TargetReport &, const TargetReport &) = default;
};

enum class TargetHealth
{
    Unknown,
    Healthy,
    Unresponsive,
    Quarantined,
};

/// A worker as the system sees it.
struct Target
{
    TargetId id;
    RackId rack;
    AvailabilityZoneId availabilityZone;
    std::string address; ///< IP number and port of the worker's agent.
    int acceleratorCount = 8;
    int milliCpu = 0;
    int memoryMb = 0;
    bool isLeaving = false;
    TargetHealth health = TargetHealth::Unknown;
    int consecutiveFailures = 0;        ///< Failures of different jobs in a row.
    std::optional<JobId> lastFailedJob; ///< Placed elsewhere first; forgotten after a while, or it would wait for ever once it failed everywhere.
    TimePoint lastFailedAt;
    std::optional<TimePoint> probeDue; ///< When a quarantined target gets its next probe.
    Duration probeDelay{0};
    std::optional<TimePoint> lastContact;
    std::optional<TimePoint> reportRequestedAt; ///< When the lease call was sent whose answer holds `tasks`.
    std::vector<JobId> failedJobs;              ///< The different jobs counted by consecutiveFailures.
    bool isListedLeaving = false;
    bool isReportedLeaving = false;
    std::vector<ReportedTask> tasks;
    long long tasksVersion = 0; ///< Of `tasks`, as the target counts.

    friend bool operator==(const Target &, const Target &) = default;
};

enum class LeaseState
{
    Acquiring,
    Held,
    Releasing,
    Refused,
};

/// This host's lease on one target.
struct TargetLease
{
    TargetId target;
    Epoch epoch = 0;
    LeaseState state = LeaseState::Acquiring;
    TimePoint expiry; ///< Counted from when the call was sent, so never later than the target's own expiry.
    std::optional<CallId> callInFlight;
    TimePoint callSentAt;
    TimePoint callDeadline;            ///< The call in flight is replaced after this time.
    TimePoint retryAt;                 ///< No call before this time.
    TimePoint lapsedAt;                ///< When this host noticed that it no longer holds the lease.
    bool needsImmediateReport = false; ///< The last call was silent, so the next one does not wait.
    HostId reportedHolder;             ///< Holder that the target named when it refused.

    friend bool operator==(const TargetLease &, const TargetLease &) = default;
};

/// True if calls may be made under the lease. A lease that lapsed by local time is never used.
bool isUsable(const TargetLease &lease, TimePoint now);

bool hasEnded(TaskState state);

}
