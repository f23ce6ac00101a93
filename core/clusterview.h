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

/// Accelerators of another availability zone as last reported by its owner; used for moving waiting jobs.
struct ZoneCapacity
{
    int freeAccelerators = 0;
    int usableAccelerators = 0;

    friend bool operator==(const ZoneCapacity &, const ZoneCapacity &) = default;
};

/// Input of a placement pass: one availability zone as its owner sees it. Holds references to the owner's tables, so nothing is copied.
struct ClusterView
{
    AvailabilityZoneId availabilityZone;
    const Configuration &configuration;
    const Table<TargetId, Target> &targets;
    const std::set<TargetId> &startableTargets; ///< Targets on which this host may start work; it holds their leases.
    const Table<JobId, Job> &jobs;
    const Table<AttemptId, Attempt> &attempts;
    const std::map<AvailabilityZoneId, ZoneCapacity> &otherZones;
    TimePoint now;
    WallTime wallNow;
    bool isRampingUp = false; ///< True if the zone returned to service less than `rampUpPeriod` ago.
};

/// Time for which the starts of a zone are limited after it returns to service.
constexpr Duration rampUpPeriod{60'000};

/// Decides which jobs to place, preempt, move and refuse, and explains why the others wait. Depends on the view only, so equal views give equal plans.
Plan planPlacements(const ClusterView &view);

}
