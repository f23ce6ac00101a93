#pragma once

#include "identifier.h"
#include "refusal.h"
#include "time.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

enum class JobClass
{
    Urgent,
    Ordinary,
    Patient,
};

/// Where the members of a gang must run relative to each other.
enum class Adjacency
{
    Any,
    Worker,
    Rack,
    AvailabilityZone,
};

/// Specification of a job as submitted by a caller.
struct JobSpecification
{
    JobId id;
    TeamId team;
    JobClass jobClass = JobClass::Ordinary;
    int taskCount = 1;
    int acceleratorsPerTask = 1;
    Adjacency adjacency = Adjacency::Any;
    int milliCpuPerTask = 0;
    int memoryMbPerTask = 0;
    bool isIdempotent = false;
    bool isCheckpointable = false;
    Duration declaredRunTime{0};
    std::optional<WallTime> deadline;
    std::string payload;

    friend bool operator==(const JobSpecification &, const JobSpecification &) = default;
};

enum class JobState
{
    Waiting,
    Reserving,
    Starting,
    Running,
    Stopping,
    Finished,
    Failed,
    Cancelled,
    Refused,
    Unknown,
};

/// How an attempt that held accelerators ended, as the reason for its lost work.
enum class HoldEnd
{
    Unrecorded,
    Finished,
    Failed,
    Cancelled,
    Preempted,
    Moved,
    MemberLost,
    ZoneOut,
};

/// Accelerators held by one attempt over a time span, for accounting.
struct HeldInterval
{
    int attempt = 0;
    int accelerators = 0;
    WallTime from;
    WallTime until;
    bool isBorrowed = false; ///< True if the accelerators were not part of the organisation's guarantee.
    Duration lostWork{0};    ///< Run time that no checkpoint covered and that was therefore lost.
    HoldEnd end = HoldEnd::Unrecorded;

    friend bool operator==(const HeldInterval &, const HeldInterval &) = default;
};

/// Durable record of a job. `revision` is the modification revision in the store; zero means that the store does not hold the record yet.
struct Job
{
    JobSpecification specification;
    AvailabilityZoneId availabilityZone;
    JobState state = JobState::Waiting;
    int attemptCount = 0;
    bool mayHaveStarted = false; ///< True if an attempt may have started; stored before the start call is sent.
    bool isCancelRequested = false;
    HostId attemptOwner;
    WallTime acceptedAt;
    std::optional<WallTime> startedAt; ///< Time at which the whole gang ran for the first time.
    std::optional<WallTime> finishedAt;
    Duration checkpointedWork{0};
    std::string result;
    std::string explanation;
    std::vector<HeldInterval> held;
    int failedAttempts = 0;            ///< Attempts that failed or lost a member; attempts that the system stopped do not count.
    std::optional<WallTime> notBefore; ///< Earliest time of the next attempt. It is not stored, so a new owner may start one at once.
    long long revision = 0;

    friend bool operator==(const Job &, const Job &) = default;
};

/// True for final states, which never change.
bool isTerminal(JobState state);

/// Accelerators that the whole gang needs.
int acceleratorCount(const JobSpecification &specification);

/// True if the job may be stopped early because it can be run again or resumed from a checkpoint.
bool isPreemptible(const JobSpecification &specification);

std::string_view name(JobState state);
std::string_view name(JobClass jobClass);
std::string_view name(Adjacency adjacency);
std::string_view name(HoldEnd end);
std::optional<JobState> jobStateFromName(std::string_view text);
std::optional<JobClass> jobClassFromName(std::string_view text);
std::optional<Adjacency> adjacencyFromName(std::string_view text);
std::optional<HoldEnd> holdEndFromName(std::string_view text);

/// The id as "organisation/request", for logs and explanations.
std::string toString(const JobId &id);

}
