#include "urgentreserve.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// From the decision to stop something until its room is known to be free, beyond the stop grace: an order, its answer and a list of the target.
constexpr Duration stopOverhead{300};

// Arrivals come in clusters, so more than the mean of a stop's time is kept free, and room for two typical steps besides.
constexpr double arrivalSpread = 1.5;
constexpr double keptSteps = 2;

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
    return static_cast<int>(std::min(arriving * arrivalSpread + typical * keptSteps, capacity * maxReserveShare));
}

}
