#pragma once

#include "core/time.h"

namespace sequoiastand
{

/// First steps of workflows of the most urgent priority that have arrived at one service within the arrival window.
struct UrgentArrivals
{
    int accelerators = 0;
    int steps = 0;

    friend bool operator==(const UrgentArrivals &, const UrgentArrivals &) = default;
};

/// Urgent workflows accepted within this time are the measure of how much urgent work arrives.
constexpr Duration arrivalWindow{10'000};

/// Number of accelerators that other work has to leave free, so that a burst of urgent gangs on a full fleet need not wait until other work has been stopped.
/// Covers the urgent work that arrives while work is being stopped, plus some typical steps.
int urgentReserve(const UrgentArrivals &arrivals, int capacity, Duration stopGrace);

}
