#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <compare>
#include <string>

namespace sequoiastand
{

/// Work whose run-time estimates are expected to be wrong in the same way.
struct EstimateKey
{
    QueueId queue;
    OrganisationId organisation;
    std::string image; ///< Empty for steps without an image.

    friend auto operator<=>(const EstimateKey &, const EstimateKey &) = default;
};

/// By how much the run times of such work differ from their estimates.
struct EstimateError
{
    double factor = 1;   ///< Median of run time to estimate, on a target of median speed.
    double spread = 1;   ///< Factor by which most run times lie within the median, in both directions.
    double evidence = 0; ///< Decayed number of runs that the error is based on.
    TimePoint usedAt;

    friend bool operator==(const EstimateError &, const EstimateError &) = default;
};

}
