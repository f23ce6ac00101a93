#include "core/civilclock.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

/// A clock that is read once a second while the system's time of day jumps.
struct CivilClockReadings : testing::Test
{
    /// Advances both clocks for a while.
    void run(Duration duration)
    {
        constexpr Duration period{1'000};
        for (const auto end = now + duration; now < end;) {
            now += period;
            systemTime += period;
            clock = withReading(clock, now, systemTime);
        }
    }

    Duration elapsed() const
    {
        return timeOfDay(clock, now) - start;
    }

    const WallTime start{Duration{1'700'000'000'000}};
    TimePoint now{Duration{1'000}};
    WallTime systemTime = start;
    CivilClock clock = makeCivilClock(now, start);
};

// Guards against occurrences that start early, and states that are forgotten early, because the time of day has jumped ahead for some seconds.
TEST_F(CivilClockReadings, jumpThatIsTakenBackHasNoEffect)
{
    for (const Duration jump : {Duration{2'000}, Duration{-2'000}, Duration{7'200'000}, Duration{-7'200'000}}) {
        const auto before = elapsed();
        systemTime += jump;
        run(Duration{30'000});
        EXPECT_EQ(elapsed(), before + Duration{30'000}) << jump.count();
        systemTime -= jump;
        run(Duration{90'000});
        EXPECT_EQ(elapsed(), before + Duration{120'000}) << jump.count();
    }
}

TEST_F(CivilClockReadings, jumpThatLastsIsAdopted)
{
    systemTime += Duration{7'200'000};
    run(Duration{90'000});
    EXPECT_EQ(elapsed(), Duration{7'290'000});
}

// Guards against a clock that never settles on one reading and is then adopted although each reading is new.
TEST_F(CivilClockReadings, clockThatKeepsJumpingIsNotAdopted)
{
    for (int jump = 1; jump <= 20; ++jump) {
        systemTime += Duration{5'000};
        run(Duration{10'000});
    }
    EXPECT_EQ(elapsed(), Duration{200'000});
}

TEST_F(CivilClockReadings, slewingIsFollowed)
{
    for (int second = 0; second < 100; ++second) {
        systemTime += Duration{10};
        run(Duration{1'000});
    }
    EXPECT_EQ(elapsed(), Duration{101'000});
}

}
