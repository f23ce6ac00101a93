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

/// A job of the load with what only the future knows about it.
struct WorkloadJob
{
    JobSpecification specification;
    Duration submitAt{0};
    Duration trueRunTime{0};
    Duration cancelAt{0};        ///< Zero: never.
    bool isReclaimProbe = false; ///< Asks for an organisation's whole guaranteed shape.

    friend bool operator==(const WorkloadJob &, const WorkloadJob &) = default;
};

/// One measured case: fleet, load and disturbances.
struct PolicyCase
{
    std::string name;
    Configuration configuration;
    Table<TargetId, Target> targets; ///< Of all zones.
    std::vector<AvailabilityZoneId> zones;
    std::vector<WorkloadJob> jobs;
    std::set<TargetId> failingTargets; ///< Every task fails there after a few seconds.
    std::optional<AvailabilityZoneId> leavingZone;
    Duration leaveAt{0};
    Duration returnAt{0};
    Duration horizon{0}; ///< Load ends here; the run goes on until the jobs have ended, at most three times as long.
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
    AttemptId attempt; ///< Also names a job.
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

/// Life of one job, for the report.
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
    double usefulHours = 0;             ///< Accelerator-hours that ended in a finished job.
    double lostHours = 0;               ///< Accelerator-hours done again or thrown away, and held while starting, stopping and restoring.
    double zoneChangeUsefulHours = 0;   ///< Progress in the remaining zones while a zone was out, less what was lost there.
    double zoneChangeCapacityHours = 0; ///< All accelerators of the remaining zones for that time.
    double zoneChangeDemandHours = 0;   ///< As zoneChangeCapacityHours, but without what was idle in a zone where no job waited.
    double fragmentationSum = 0;
    int fragmentationSamples = 0;
    long long passes = 0;
    int preemptions = 0;
    int moves = 0;
    int guaranteeViolations = 0; ///< Steps after which the guarantees could not all be formed because of work placed there.
    int guaranteeChecks = 0;
    int shortfallSteps = 0; ///< Steps with a shortfall that failed or leaving targets caused.
};

/// Decision core on virtual time with fakes at its interfaces: no network, no store, no real targets.
struct PolicyWorld
{
    const PolicyCase &policyCase;
    PlanFunction plan;
    bool isProductionPolicy = false; ///< Checks the guarantee rule, quarantines, and stops work gracefully; baselines do not.
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

/// Runs until all jobs have ended or the time limit is reached.
void run(PolicyWorld &world);

ClusterView viewOf(const PolicyWorld &world, const ZoneState &zone);

/// Handles all events of the earliest time and plans in the zones they touched; false if nothing is left. For tests that check each step.
bool stepWorld(PolicyWorld &world);

}
