#pragma once

#include "attempt.h"
#include "configuration.h"
#include "job.h"
#include "plan.h"
#include "table.h"
#include "target.h"
#include "time.h"

#include <map>
#include <set>

namespace sequoiastand
{

/// Free accelerators of another availability zone as its owner last told, for moves of waiting jobs.
struct ZoneCapacity
{
    int freeAccelerators = 0;
    int usableAccelerators = 0;

    friend bool operator==(const ZoneCapacity &, const ZoneCapacity &) = default;
};

/// What a placement pass reads: one availability zone as its owner sees it. Holds references; nothing is copied.
struct ClusterView
{
    AvailabilityZoneId availabilityZone;
    const Configuration &configuration;
    const Table<TargetId, Target> &targets;
    const std::set<TargetId> &startableTargets; ///< Targets whose lease this host holds.
    const Table<JobId, Job> &jobs;
    const Table<AttemptId, Attempt> &attempts;
    const std::map<AvailabilityZoneId, ZoneCapacity> &otherZones;
    TimePoint now;
    WallTime wallNow;
    bool isRampingUp = false; ///< The zone returned to service less than `rampUpPeriod` ago.
};

/// How long after its return to service a zone's starts are limited.
constexpr Duration rampUpPeriod{60'000};

/// Decides what to place, preempt, move, refuse and explain. Reads the view only; equal views give equal plans.
Plan planPlacements(const ClusterView &view);

}
