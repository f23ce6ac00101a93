#pragma once

#include "identifier.h"
#include "target.h"
#include "time.h"

#include <optional>
#include <set>

namespace sequoiastand
{

/// Versions and states on which the last placement pass was based. An equal basis gives an equal plan.
struct PlanBasis
{
    unsigned long long jobs = 0;
    unsigned long long attempts = 0;
    long long configuration = 0;
    Epoch epoch = 0;
    bool isPermitValid = false;
    std::set<TargetId> startableTargets;

    friend bool operator==(const PlanBasis &, const PlanBasis &) = default;
};

/// State of updatePlan(): time and basis of the last plan, and pending deadlines.
struct PlanProgress
{
    PlanBasis basis;
    std::optional<TimePoint> plannedAt;
    bool wasZoneOut = false;
    std::optional<TimePoint> rampUpUntil; ///< End of the period after the zone's return to service in which starts are limited.
    std::optional<TimePoint> replanAt;    ///< Earliest end of a waiting job's retry delay.

    friend bool operator==(const PlanProgress &, const PlanProgress &) = default;
};

}
