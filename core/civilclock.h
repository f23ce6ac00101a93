#pragma once

#include "time.h"

namespace sequoiastand
{

/// Offset between the time of day and the monotonic clock. A jump of the system's clock takes effect only once it has lasted, so a clock that jumps and jumps
/// back changes no due time, age or order of work.
struct CivilClock
{
    Duration offset{0};       ///< Time of day less monotonic time, as in use.
    Duration latestOffset{0}; ///< The system's offset after its latest jump.
    TimePoint jumpedAt;       ///< When the system's offset last jumped.

    friend bool operator==(const CivilClock &, const CivilClock &) = default;
};

/// A clock that takes the system's present time of day as correct.
CivilClock makeCivilClock(TimePoint now, WallTime systemTime);

/// The clock after a reading of the system's time of day. Small differences, such as slewing, are adopted at once, and a jump after a minute.
CivilClock withReading(CivilClock clock, TimePoint now, WallTime systemTime);

WallTime timeOfDay(const CivilClock &clock, TimePoint now);

}
