#pragma once

#include "resources.h"
#include "workflowprogress.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Registration that a target writes about itself to the store.
struct TargetRegistration
{
    TargetInstance instance;
    ServiceId service;
    std::string address; ///< IP address and port that accept orders.
    AvailabilityZoneId availabilityZone;
    RackId rack;
    std::vector<std::string> labels; ///< All labels of the target, including the rack.
    Resources capacity;
    bool isDraining = false;
    Duration remaining{0}; ///< Minimum time until a draining target leaves.

    friend bool operator==(const TargetRegistration &, const TargetRegistration &) = default;
};

}
