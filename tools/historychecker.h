#pragma once

#include "core/identifier.h"
#include "core/job.h"
#include "core/refusal.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// A caller sent a job; sent again, it counts as another call.
struct JobSent
{
    CallId call;
    JobSpecification specification;

    friend bool operator==(const JobSent &, const JobSent &) = default;
};

/// The caller got an answer to its call.
struct CallAnswered
{
    CallId call;
    JobId job;
    std::optional<Refusal> refusal;

    friend bool operator==(const CallAnswered &, const CallAnswered &) = default;
};

/// A target began to run a member of a gang.
struct TaskStarted
{
    AttemptId attempt;
    int member = 0;
    TargetId target;
    AvailabilityZoneId availabilityZone;

    friend bool operator==(const TaskStarted &, const TaskStarted &) = default;
};

struct TaskEnded
{
    AttemptId attempt;
    int member = 0;

    friend bool operator==(const TaskEnded &, const TaskEnded &) = default;
};

/// Operators took the zone out, or returned it; the time is that of the acceptance.
struct ZoneChanged
{
    AvailabilityZoneId availabilityZone;
    bool isOut = false;

    friend bool operator==(const ZoneChanged &, const ZoneChanged &) = default;
};

struct TargetLeaving
{
    TargetId target;

    friend bool operator==(const TargetLeaving &, const TargetLeaving &) = default;
};

/// A host follows this configuration version from now on.
struct ConfigurationApplied
{
    HostId host;
    long long version = 0;

    friend bool operator==(const ConfigurationApplied &, const ConfigurationApplied &) = default;
};

using HistoryChange = std::variant<JobSent, CallAnswered, TaskStarted, TaskEnded, ZoneChanged, TargetLeaving, ConfigurationApplied>;

/// What an observer outside the system saw, in order of time.
struct HistoryEvent
{
    TimePoint at;
    HistoryChange change;

    friend bool operator==(const HistoryEvent &, const HistoryEvent &) = default;
};

/// Bounds from docs/design.md: a permit lasts 3 s, a reservation 2 s, a lost gang is noticed with its targets' leases.
struct HistoryBounds
{
    Duration startAfterZoneOut{3'000};
    Duration startAfterTargetLeaves{3'000};
    Duration gangIncomplete{10'000};

    friend bool operator==(const HistoryBounds &, const HistoryBounds &) = default;
};

/// Number of the invariant of docs/design.md, section 1.3, that the history breaks, and how.
struct HistoryViolation
{
    int invariant = 0;
    std::string text;

    friend bool operator==(const HistoryViolation &, const HistoryViolation &) = default;
};

/// Checks invariants 2 to 9 but 8 as far as an observer can see them. Empty means that the history breaks none.
std::vector<HistoryViolation> checkHistory(const std::vector<HistoryEvent> &history, const HistoryBounds &bounds = {});

}
