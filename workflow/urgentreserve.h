#pragma once

#include "core/time.h"

namespace sequoiastand
{

/// First steps of the most urgent priority that one service has been given within the arrival window.
struct UrgentArrivals
{
    int accelerators = 0;
    int steps = 0;

    friend bool operator==(const UrgentArrivals &, const UrgentArrivals &) = default;
};

/// The urgent work of this time tells how much of it arrives.
constexpr Duration arrivalWindow{10'000};

/// Answers a burst of urgent gangs on a fleet that other work has filled: accelerators that other work leaves free, so that urgent gangs need not wait until
/// something has been stopped. Enough for what arrives during a stop, and for typical steps besides.
int urgentReserve(const UrgentArrivals &arrivals, int capacity, Duration stopGrace);

}
