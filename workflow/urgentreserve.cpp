#include "urgentreserve.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Time from the decision to stop a run until its room is known to be free, in addition to the stop grace: for an order, its answer and the target's next lists.
constexpr Duration stopOverhead{300};

// Arrivals are clustered, so the reserve exceeds the mean arrivals during a stop by this factor, and adds room for two typical steps.
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
