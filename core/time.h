#pragma once

#include <chrono>

namespace sequoiastand
{

using Duration = std::chrono::milliseconds;

/// Monotonic clock of one process. It has no now() because each step receives its time as an argument.
struct StepClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<StepClock>;
};
using TimePoint = StepClock::time_point;

/// UTC time for records and reports; never used for leases.
using WallTime = std::chrono::sys_time<Duration>;

}
