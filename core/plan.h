#pragma once

#include "attempt.h"
#include "identifier.h"
#include "refusal.h"
#include "target.h"
#include "time.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Place of one member of a planned gang.
struct PlannedMember
{
    TargetId target;
    AcceleratorMask accelerators = 0;

    friend bool operator==(const PlannedMember &, const PlannedMember &) = default;
};

/// Starts a new attempt of a waiting job on these targets.
struct Placement
{
    JobId job;
    std::vector<PlannedMember> members;
    bool isBorrowed = false;
    std::string explanation;

    friend bool operator==(const Placement &, const Placement &) = default;
};

/// Stops a running attempt, with a checkpoint if it can take one. The job then waits again.
struct Preemption
{
    AttemptId attempt;
    StopCause cause = StopCause::Preempted;
    std::string explanation;
    bool skipsCheckpoint = false; ///< True if an urgent job cannot wait for a new checkpoint, so that the last one is used.

    friend bool operator==(const Preemption &, const Preemption &) = default;
};

/// Limits the share of its accelerators that an attempt may use; 100 removes the limit.
struct Throttle
{
    AttemptId attempt;
    int percent = 100;
    std::string explanation;

    friend bool operator==(const Throttle &, const Throttle &) = default;
};

/// Ends a waiting job that can never run.
struct PlannedRefusal
{
    JobId job;
    RefusalReason reason = RefusalReason::NeverFits;
    std::string explanation;

    friend bool operator==(const PlannedRefusal &, const PlannedRefusal &) = default;
};

/// Moves a waiting job to another availability zone.
struct ZoneMove
{
    JobId job;
    AvailabilityZoneId availabilityZone;
    std::string explanation;

    friend bool operator==(const ZoneMove &, const ZoneMove &) = default;
};

/// Reason why a job waits; it is stored with the job.
struct Explanation
{
    JobId job;
    std::string text;

    friend bool operator==(const Explanation &, const Explanation &) = default;
};

/// A guarantee that cannot be formed on the targets at present.
struct GuaranteeShortfall
{
    std::string guarantee;
    int missingAccelerators = 0;

    friend bool operator==(const GuaranteeShortfall &, const GuaranteeShortfall &) = default;
};

/// Decisions of one placement pass.
struct Plan
{
    std::vector<Placement> placements;
    std::vector<Preemption> preemptions;
    std::vector<Throttle> throttles;
    std::vector<PlannedRefusal> refusals;
    std::vector<ZoneMove> moves;
    std::vector<Explanation> explanations;
    std::vector<GuaranteeShortfall> shortfalls;

    friend bool operator==(const Plan &, const Plan &) = default;
};

}
