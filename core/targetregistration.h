#pragma once

#include "resources.h"
#include "workflowprogress.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// What a target says of itself in the store.
struct TargetRegistration
{
    TargetInstance instance;
    ServiceId service;
    std::string address; ///< IP number and port for orders.
    AvailabilityZoneId availabilityZone;
    RackId rack;
    std::vector<std::string> labels; ///< All of its labels, the rack among them.
    Resources capacity;
    bool isDraining = false;
    Duration remaining{0}; ///< Least time until a draining target leaves.

    friend bool operator==(const TargetRegistration &, const TargetRegistration &) = default;
};

}
