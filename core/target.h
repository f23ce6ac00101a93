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

/// Bit i represents accelerator i of a target; neighbouring bits are adjacent accelerators.
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

/// A task as reported by its target. The target keeps reporting it until its end has been acknowledged.
struct ReportedTask
{
    AttemptId attempt;
    int member = 0;
    TaskState state = TaskState::Reserved;
    AcceleratorMask accelerators = 0;
    Duration checkpointedWork{0}; ///< Work covered by the last checkpoint.
    std::string result;
    std::optional<JobSpecification> specification; ///< Copy of the job specification from which a new owner can restore the job.

    friend bool operator==(const ReportedTask &, const ReportedTask &) = default;
};

/// A target's report about itself in answer to a lease call.
struct TargetReport
{
    HostId holder;
    Epoch epoch = 0;
    Duration leaseRemaining{0};
    bool isLeaving = false;
    std::vector<ReportedTask> tasks;
    long long tasksVersion = 0; ///< Version of `tasks`; increases with every change.
    bool isUnchanged = false;   ///< True if `tasks` is left out because the caller already has this version.

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
    std::string address; ///< IP address and port of the worker's agent.
    int acceleratorCount = 8;
    int milliCpu = 0;
    int memoryMb = 0;
    bool isLeaving = false;
    TargetHealth health = TargetHealth::Unknown;
    int consecutiveFailures = 0; ///< Number of failures of different jobs in a row.
    /// Last job that failed on the target; the job tries other targets first. Cleared after a while, in case the job failed on all targets.
    std::optional<JobId> lastFailedJob;
    TimePoint lastFailedAt;
    std::optional<TimePoint> probeDue; ///< Time of the next probe of a quarantined target.
    Duration probeDelay{0};
    std::optional<TimePoint> lastContact;
    std::optional<TimePoint> reportRequestedAt; ///< Send time of the lease call whose answer contained `tasks`.
    std::vector<JobId> failedJobs;              ///< The different jobs that `consecutiveFailures` counts.
    bool isListedLeaving = false;
    bool isReportedLeaving = false;
    std::vector<ReportedTask> tasks;
    long long tasksVersion = 0; ///< The target's version of `tasks`.

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
    TimePoint expiry; ///< Counted from the send time of the call, so it is never later than the expiry on the target.
    std::optional<CallId> callInFlight;
    TimePoint callSentAt;
    TimePoint callDeadline;            ///< Time after which the call in flight is replaced by a new one.
    TimePoint retryAt;                 ///< Earliest time of the next call.
    TimePoint lapsedAt;                ///< Time at which this host noticed that it no longer holds the lease.
    bool needsImmediateReport = false; ///< True if the last call had no answer, so the next one asks for an immediate report instead of a long poll.
    HostId reportedHolder;             ///< Holder that the target named in its last refusal.

    friend bool operator==(const TargetLease &, const TargetLease &) = default;
};

/// True if calls may be made under the lease. A lease that has expired by the local clock is never used.
bool isUsable(const TargetLease &lease, TimePoint now);

bool hasEnded(TaskState state);

}
