#pragma once

#include "policyworld.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// A simulated deployment: the two current users and the size planned for two years from now.
enum class Deployment
{
    Kask,
    Colombo,
    Target,
};

enum class Disturbance
{
    Steady,
    Heavy, ///< The same as Steady, but with as much work as the fleet can do.
    SmallBursts,
    LargeBursts,
    WrongDeclarations,
    CancellationWaves,
    ZoneChange,
    FailingTargets,
};

const char *name(Deployment deployment);
const char *name(Disturbance disturbance);

/// Generates fleet, workload and disturbances. The same seed gives the same case.
PolicyCase makePolicyCase(Deployment deployment, Disturbance disturbance, unsigned seed);

}
