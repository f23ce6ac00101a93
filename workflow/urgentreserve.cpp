#include "urgentreserve.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Time from the decision to stop a run until its room is known to be free, not counting the stop grace. It covers the stop order, the answer to it and the
// target's next lists.
constexpr Duration stopOverhead{300};

// Urgent work arrives in bursts, so the reserve is the mean demand that arrives during a stop, multiplied by this factor, plus room for two typical steps.
constexpr double arrivalSpread = 1.5;
constexpr double reservedSteps = 2;

// The reserve leaves most of the fleet to other work, however large the urgent steps are.
constexpr double maxReserveShare = 0.4;

}

int urgentReserve(const UrgentArrivals &arrivals, int capacity, Duration stopGrace)
{
    if (arrivals.steps == 0) {
        return 0;
    }
    const auto stopTime = std::chrono::duration<double>(stopGrace + stopOverhead);
    const double arriving = arrivals.accelerators * (stopTime / std::chrono::duration<double>(arrivalWindow));
    const double typical = static_cast<double>(arrivals.accelerators) / arrivals.steps;
    return static_cast<int>(std::min(arriving * arrivalSpread + typical * reservedSteps, capacity * maxReserveShare));
}

}
