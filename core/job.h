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

/// Where the members of a gang must stand relative to each other.
enum class Adjacency
{
    Any,
    Worker,
    Rack,
    AvailabilityZone,
};

/// What a caller asks for.
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

/// How an attempt ended that held accelerators, as far as it explains what was lost.
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
    bool isBorrowed = false; ///< Stood outside the organisation's guarantee.
    Duration lostWork{0};    ///< Run time thrown away because no checkpoint covered it.
    HoldEnd end = HoldEnd::Unrecorded;

    friend bool operator==(const HeldInterval &, const HeldInterval &) = default;
};

/// Durable record of a job. `revision` is the store's mod revision; zero means that the store does not hold the record yet.
struct Job
{
    JobSpecification specification;
    AvailabilityZoneId availabilityZone;
    JobState state = JobState::Waiting;
    int attemptCount = 0;
    bool mayHaveStarted = false; ///< The record of an attempt was written before its start.
    bool isCancelRequested = false;
    HostId attemptOwner;
    WallTime acceptedAt;
    std::optional<WallTime> startedAt; ///< First time that the whole gang ran.
    std::optional<WallTime> finishedAt;
    Duration checkpointedWork{0};
    std::string result;
    std::string explanation;
    std::vector<HeldInterval> held;
    int failedAttempts = 0;            ///< Attempts that failed or lost a member; stops on purpose do not count.
    std::optional<WallTime> notBefore; ///< Earliest next attempt. Not stored: a new owner may try at once.
    long long revision = 0;

    friend bool operator==(const Job &, const Job &) = default;
};

/// True for states that never change again.
bool isTerminal(JobState state);

/// Accelerators that the whole gang needs.
int acceleratorCount(const JobSpecification &specification);

/// True if the job can be stopped early without breaking a promise to its caller.
bool isPreemptible(const JobSpecification &specification);

std::string_view name(JobState state);
std::string_view name(JobClass jobClass);
std::string_view name(Adjacency adjacency);
std::string_view name(HoldEnd end);
std::optional<JobState> jobStateFromName(std::string_view text);
std::optional<JobClass> jobClassFromName(std::string_view text);
std::optional<Adjacency> adjacencyFromName(std::string_view text);
std::optional<HoldEnd> holdEndFromName(std::string_view text);

/// "organisation/request", for logs and explanations.
std::string toString(const JobId &id);

}
