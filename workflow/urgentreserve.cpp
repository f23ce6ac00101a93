#include "urgentreserve.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Urgent work arrives in bursts, so the reserve is the mean demand that arrives during a stop, multiplied by this factor, plus room for two typical steps.
constexpr double arrivalSpread = 1.5;
constexpr double reservedSteps = 2;

// The reserve leaves most of the fleet to other work, however large the urgent steps are.
constexpr double maxReserveShare = 0.4;

}

std::vector<UrgentArrival> withArrival(std::vector<UrgentArrival> arrivals, const UrgentArrival &arrival, WallTime now)
{
    std::erase_if(arrivals, [&](const UrgentArrival &earlier) { return now - earlier.acceptedAt > arrivalWindow; });
    arrivals.push_back(arrival);
    return arrivals;
}

std::map<ServiceId, UrgentArrivals> arrivalsByService(const std::vector<UrgentArrival> &arrivals, WallTime now)
{
    std::map<ServiceId, UrgentArrivals> byService;
    for (const auto &arrival : arrivals) {
        if (now - arrival.acceptedAt <= arrivalWindow) {
            auto &sum = byService[arrival.service];
            sum.accelerators += arrival.accelerators;
            ++sum.steps;
        }
    }
    return byService;
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
