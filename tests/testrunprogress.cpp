#include "workflow/runprogress.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

/// A run that was started at 10 s and has been listed.
struct RunProgress : testing::Test
{
    RunProgress()
    {
        run.starts = 1;
        run.startSentAt = at(10'000);
        run.isListed = true;
        run.firstListedAt = at(10'500);
        run.listedAt = at(12'000);
        run.percent = 50;
    }

    static TimePoint at(int milliseconds)
    {
        return TimePoint{Duration{milliseconds}};
    }

    TaskRun run;
};

TEST_F(RunProgress, remainingTimeFollowsFromTheProgressSinceTheStart)
{
    EXPECT_EQ(remainingTime(run, at(12'000)), Duration{2'000});
    EXPECT_EQ(remainingTime(run, at(12'700)), Duration{1'300});
    EXPECT_EQ(remainingTime(run, at(20'000)), Duration{0});
}

// Guards against taking a run that resumed at 90 percent for one that is almost finished a moment after its start.
TEST_F(RunProgress, remainingTimeOfAResumedRunFollowsFromItsProgressSinceItWasListed)
{
    run.resumedFrom = "checkpoint";
    run.firstPercent = 35;
    EXPECT_EQ(remainingTime(run, at(12'000)), Duration{5'000});
    run.firstPercent = 45;
    EXPECT_EQ(remainingTime(run, at(12'000)), Duration::max()) << "too little progress for an estimate";
}

TEST_F(RunProgress, remainingTimeIsUnknownWithoutProgressOrLists)
{
    run.percent = 9;
    EXPECT_EQ(remainingTime(run, at(12'000)), Duration::max());
    run.percent = 50;
    run.isListed = false;
    EXPECT_EQ(remainingTime(run, at(12'000)), Duration::max());
}

// A new owner does not know when the run was started.
TEST_F(RunProgress, remainingTimeOfAnAdoptedRunFollowsFromItsProgressSinceItWasListed)
{
    run.startSentAt = {};
    run.firstPercent = 20;
    EXPECT_EQ(remainingTime(run, at(12'000)), Duration{2'500});
}

}
