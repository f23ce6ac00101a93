#pragma once

#include "policyworld.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// A deployment whose size is measured: both users of today and the target in two years.
enum class Deployment
{
    Kask,
    Colombo,
    Target,
};

enum class Disturbance
{
    Steady,
    Heavy, ///< As steady, but as much work as the fleet can do.
    SmallBursts,
    LargeBursts,
    WrongDeclarations,
    CancellationWaves,
    ZoneChange,
    FailingTargets,
};

const char *name(Deployment deployment);
const char *name(Disturbance disturbance);

/// The whole case, made from the seed alone.
PolicyCase makePolicyCase(Deployment deployment, Disturbance disturbance, unsigned seed);

}
