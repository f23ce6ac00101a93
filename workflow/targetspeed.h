#pragma once

#include "core/time.h"

namespace sequoiastand
{

/// What the owner has learned about the speed of a target.
struct TargetSpeed
{
    double factor = 1;   ///< Run time relative to the median of the service; larger on slower targets.
    double evidence = 0; ///< Decayed number of runs that the factor is based on.
    TimePoint updatedAt;

    friend bool operator==(const TargetSpeed &, const TargetSpeed &) = default;
};

}
