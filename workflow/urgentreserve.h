#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <map>
#include <vector>

namespace sequoiastand
{

/// The first step of an accepted workflow of the most urgent priority.
struct UrgentArrival
{
    ServiceId service;
    WallTime acceptedAt;
    int accelerators = 0;

    friend bool operator==(const UrgentArrival &, const UrgentArrival &) = default;
};

/// First steps of workflows of the most urgent priority that have arrived at one service within the arrival window.
struct UrgentArrivals
{
    int accelerators = 0;
    int steps = 0;

    friend bool operator==(const UrgentArrivals &, const UrgentArrivals &) = default;
};

/// Time from the decision to stop a run until its room is known to be free, not counting the stop grace. It covers the stop order, the answer to it and the
/// target's next lists.
constexpr Duration stopOverhead{300};

/// Urgent workflows accepted within this time are the measure of how much urgent work arrives.
constexpr Duration arrivalWindow{10'000};

/// The arrivals with the new one, and without those that the arrival window no longer covers.
std::vector<UrgentArrival> withArrival(std::vector<UrgentArrival> arrivals, const UrgentArrival &arrival, WallTime now);

/// Sums the arrivals within the arrival window by service.
std::map<ServiceId, UrgentArrivals> arrivalsByService(const std::vector<UrgentArrival> &arrivals, WallTime now);

/// Number of accelerators that other work has to leave free, so that a burst of urgent gangs on a full fleet need not wait until other work has been stopped.
/// Covers the urgent work that arrives while work is being stopped, plus some typical steps.
int urgentReserve(const UrgentArrivals &arrivals, int capacity, Duration stopGrace);

}
