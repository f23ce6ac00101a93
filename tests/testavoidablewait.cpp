#include "tests/placementfixture.h"

namespace sequoiastand
{

/// Steps that wait although there is room for them.
struct AvoidableWait : PlacementTest
{
    AvoidableWait()
    {
        addRacks(4);
        input.remoteFactor = 3;
    }

    void occupyAll(int first, int last, int accelerators)
    {
        for (int number = first; number <= last; ++number) {
            occupy(number, accelerators);
        }
    }
};

// Guards against a reserve of the whole service that is taken from the few targets with the step's label.
TEST_F(AvoidableWait, reserveIsTakenFromTargetsThatTheStepCannotUseFirst)
{
    input.urgentReserves[{"press"}] = 40;
    auto &task = addBatch("task", 1, 2, 8);
    task.specification.requiredLabel = "r1";
    EXPECT_EQ(startsOf(plan(), "task"), 2) << "96 accelerators are free elsewhere";
    occupyAll(5, 16, 6);
    EXPECT_EQ(startsOf(plan(), "task"), 2) << "24 accelerators elsewhere and 16 of the step's own remain for urgent work";
    occupyAll(5, 16, 1);
    EXPECT_EQ(startsOf(plan(), "task"), 0) << "28 of the 32 accelerators of the step's targets are needed for the reserve";
}

// Guards against tasks without accelerators that wait for the reserve, of which they take nothing.
TEST_F(AvoidableWait, tasksWithoutAcceleratorsDoNotWaitForTheReserve)
{
    input.urgentReserves[{"press"}] = 51;
    occupyAll(1, 12, 8);
    auto &tasks = addBatch("tasks", 2, 3, 0);
    tasks.specification.perTask = {1'000, 1'000, 0};
    addGang("gang", 2, 3, 0).specification.perTask = {1'000, 1'000, 0};
    EXPECT_EQ(startsOf(plan(), "tasks"), 3);
    EXPECT_EQ(startsOf(plan(), "gang"), 3);
}

}
