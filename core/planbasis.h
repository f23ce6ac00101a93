#pragma once

#include "identifier.h"
#include "target.h"
#include "time.h"

#include <optional>
#include <set>

namespace sequoiastand
{

/// What the last placement pass was based on; an equal basis gives an equal plan.
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

/// When and on what updatePlan planned last.
struct PlanProgress
{
    PlanBasis basis;
    std::optional<TimePoint> plannedAt;
    bool wasZoneOut = false;
    std::optional<TimePoint> rampUpUntil; ///< Starts are limited until then, because the zone has returned to service.
    std::optional<TimePoint> replanAt;    ///< A waiting job's delay before its next attempt ends then.

    friend bool operator==(const PlanProgress &, const PlanProgress &) = default;
};

}
