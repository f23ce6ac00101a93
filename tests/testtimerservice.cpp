#include "core/timerservice.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct TimerService : testing::Test
{
    static TimePoint at(int milliseconds)
    {
        return TimePoint{Duration{milliseconds}};
    }

    TimerTable timers;
};

// Guards against a timer that fires many times in a row after a pause of the process.
TEST_F(TimerService, missedPeriodsFireOnce)
{
    subscribe(timers, "heartbeat", at(0), Duration{100});
    fireTimers(timers, at(1'000));
    EXPECT_TRUE(isDue(timers, "heartbeat"));
    EXPECT_EQ(nextDue(timers), at(1'100));
}

TEST_F(TimerService, singleTimerIsRemovedAfterFiring)
{
    subscribe(timers, "retry", at(50));
    fireTimers(timers, at(49));
    EXPECT_FALSE(isDue(timers, "retry"));
    fireTimers(timers, at(50));
    EXPECT_TRUE(isDue(timers, "retry"));
    EXPECT_EQ(nextDue(timers), std::nullopt);
}

}
