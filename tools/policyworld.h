#pragma once

#include "core/clusterview.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

using PlanFunction = std::function<Plan(const ClusterView &)>;

/// A job of the workload, with properties that the policy does not know in advance.
struct WorkloadJob
{
    JobSpecification specification;
    Duration submitAt{0};
    Duration trueRunTime{0};
    Duration cancelAt{0};        ///< Time of the cancellation; zero if there is none.
    bool isReclaimProbe = false; ///< True if the job requests the whole guaranteed shape of its organisation.

    friend bool operator==(const WorkloadJob &, const WorkloadJob &) = default;
};

/// One simulated case: fleet, workload and disturbances.
struct PolicyCase
{
    std::string name;
    Configuration configuration;
    Table<TargetId, Target> targets; ///< Targets of all zones.
    std::vector<AvailabilityZoneId> zones;
    std::vector<WorkloadJob> jobs;
    std::set<TargetId> failingTargets; ///< Targets on which every task fails after a few seconds.
    std::optional<AvailabilityZoneId> leavingZone;
    Duration leaveAt{0};
    Duration returnAt{0};
    Duration horizon{0}; ///< Time at which the workload ends. The simulation continues until all jobs have ended, up to three times as long.
    unsigned seed = 1;
};

enum class WorldEventKind
{
    Submit,
    Start,
    Checkpoint,
    Finish,
    Fail,
    Stopped,
    Cancel,
    ZoneOut,
    LeaveNoticeEnded,
    ZoneReturned,
    Tick,
    Sample,
};

struct WorldEvent
{
    TimePoint at;
    unsigned long long sequence = 0;
    WorldEventKind kind = WorldEventKind::Tick;
    int zone = 0;
    AttemptId attempt; ///< Attempt that the event is about; its id contains the id of the job.
    int index = 0;

    friend bool operator>(const WorldEvent &left, const WorldEvent &right)
    {
        return std::pair(left.at, left.sequence) > std::pair(right.at, right.sequence);
    }
};

struct ZoneState
{
    AvailabilityZoneId id;
    Table<TargetId, Target> targets;
    std::set<TargetId> startable;
    Table<JobId, Job> jobs;
    Table<AttemptId, Attempt> attempts;
    std::map<AvailabilityZoneId, ZoneCapacity> otherZones;
    bool needsPass = false;
    bool isTickScheduled = false;
};

/// Times and outcome of one job, for the report.
struct JobOutcome
{
    JobClass jobClass = JobClass::Ordinary;
    Duration submitted{0};
    Duration firstStart{-1};
    Duration finished{-1};
    Duration trueRunTime{0};
    bool isCancelled = false;
    bool isRefused = false;
    bool hasFailed = false;
    bool isReclaimProbe = false;
};

struct WorldTotals
{
    double usefulHours = 0;             ///< Accelerator-hours that contributed to a finished job.
    double lostHours = 0;               ///< Accelerator-hours repeated or discarded, or held while starting, stopping and restoring.
    double zoneChangeUsefulHours = 0;   ///< Progress in the remaining zones while a zone was out of service, minus the work lost in them.
    double zoneChangeCapacityHours = 0; ///< Accelerator-hours of all accelerators of the remaining zones while a zone was out of service.
    double zoneChangeDemandHours = 0;   ///< As zoneChangeCapacityHours, but without idle accelerators of zones in which no job waited.
    double fragmentationSum = 0;
    int fragmentationSamples = 0;
    long long passes = 0;
    int preemptions = 0;
    int moves = 0;
    int guaranteeViolations = 0; ///< Steps after which the placed work made it impossible to satisfy all guarantees at the same time.
    int guaranteeChecks = 0;
    int shortfallSteps = 0; ///< Steps with a shortfall caused by failed or leaving targets.
};

/// State of a simulation that runs the placement policy in virtual time, without network, store or real targets.
struct PolicyWorld
{
    const PolicyCase &policyCase;
    PlanFunction plan;
    bool isProductionPolicy = false; ///< Enables guarantee checks, quarantine and graceful stops, which baselines lack.
    Configuration configuration;
    std::vector<ZoneState> zones;
    std::map<JobId, int> jobIndex;
    std::vector<JobOutcome> outcomes;
    std::priority_queue<WorldEvent, std::vector<WorldEvent>, std::greater<>> events;
    unsigned long long nextSequence = 0;
    TimePoint now;
    std::mt19937 random;
    int openJobs = 0;
    WorldTotals totals;
};

PolicyWorld makeWorld(const PolicyCase &policyCase, PlanFunction plan, bool isProductionPolicy);

/// Runs the simulation until all jobs have ended or the time limit is reached.
void run(PolicyWorld &world);

ClusterView viewOf(const PolicyWorld &world, const ZoneState &zone);

/// Handles all events of the earliest time and runs a placement pass in each affected zone. Returns false if no event was left. Public for tests that check
/// every step.
bool stepWorld(PolicyWorld &world);

}
