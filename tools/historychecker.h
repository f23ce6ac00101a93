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

/// A caller submitted a job. Each submission of the same job is a separate call.
struct JobSent
{
    CallId call;
    JobSpecification specification;

    friend bool operator==(const JobSent &, const JobSent &) = default;
};

/// A call was answered.
struct CallAnswered
{
    CallId call;
    JobId job;
    std::optional<Refusal> refusal;

    friend bool operator==(const CallAnswered &, const CallAnswered &) = default;
};

/// A target started to run a member of a gang.
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

/// Operators took a zone out of service or returned it. The time of the event is the time at which the command was accepted.
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

/// A host started to use this configuration version.
struct ConfigurationApplied
{
    HostId host;
    long long version = 0;

    friend bool operator==(const ConfigurationApplied &, const ConfigurationApplied &) = default;
};

using HistoryChange = std::variant<JobSent, CallAnswered, TaskStarted, TaskEnded, ZoneChanged, TargetLeaving, ConfigurationApplied>;

/// An event seen by an observer outside the system. Histories are in order of time.
struct HistoryEvent
{
    TimePoint at;
    HistoryChange change;

    friend bool operator==(const HistoryEvent &, const HistoryEvent &) = default;
};

/// Time limits from docs/design.md: a permit lasts 3 s, a reservation 2 s, and a lost gang is detected when the leases of its targets expire.
struct HistoryBounds
{
    Duration startAfterZoneOut{3'000};
    Duration startAfterTargetLeaves{3'000};
    Duration gangIncomplete{10'000};

    friend bool operator==(const HistoryBounds &, const HistoryBounds &) = default;
};

/// Violation of an invariant, given by its number in docs/design.md, section 1.3, and a description.
struct HistoryViolation
{
    int invariant = 0;
    std::string text;

    friend bool operator==(const HistoryViolation &, const HistoryViolation &) = default;
};

/// Checks invariants 2 to 7 and 9 as far as an observer can see them. Returns an empty list if the history satisfies all of them.
std::vector<HistoryViolation> checkHistory(const std::vector<HistoryEvent> &history, const HistoryBounds &bounds = {});

}
