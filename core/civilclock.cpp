#include "civilclock.h"

namespace sequoiastand
{

namespace
{

// Differences up to this are adopted at once: slewing, and the time between the readings of the two clocks.
constexpr Duration maxSlew{100};

// Time for which a jump has to last before it is adopted. The clocks of hosts jump by seconds and back after some seconds.
constexpr Duration adoptionDelay{60'000};

Duration offsetOf(TimePoint now, WallTime systemTime)
{
    return systemTime.time_since_epoch() - now.time_since_epoch();
}

bool isNear(Duration left, Duration right)
{
    return std::chrono::abs(left - right) <= maxSlew;
}

}

CivilClock makeCivilClock(TimePoint now, WallTime systemTime)
{
    const auto offset = offsetOf(now, systemTime);
    return {offset, offset, now};
}

CivilClock withReading(CivilClock clock, TimePoint now, WallTime systemTime)
{
    const auto offset = offsetOf(now, systemTime);
    if (!isNear(offset, clock.latestOffset)) {
        clock.jumpedAt = now;
    }
    clock.latestOffset = offset;
    if (isNear(offset, clock.offset) || now - clock.jumpedAt >= adoptionDelay) {
        clock.offset = offset;
    }
    return clock;
}

WallTime timeOfDay(const CivilClock &clock, TimePoint now)
{
    return WallTime{now.time_since_epoch() + clock.offset};
}

}
