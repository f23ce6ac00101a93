#include "tests/placementfixture.h"
#include "workflow/urgentreserve.h"

#include <algorithm>

namespace sequoiastand
{

/// Bursts of urgent gangs on a fleet that is full of other work.
struct UrgentLoad : PlacementTest
{
    UrgentLoad()
    {
        addRacks(4);
        input.maxLocalityWait = Duration{1'000};
    }

    /// Occupies every accelerator with batches of priority 2, one task of 8 accelerators on each target.
    void fillWithBatches()
    {
        for (int number = 1; number <= 16; ++number) {
            addRunning("batch" + std::to_string(number), 2, {number}, 8).lostWork = number;
        }
    }
};

TEST_F(UrgentLoad, gangOnAFullFleetPreemptsTheCheapestWorkAndHoldsItsRoom)
{
    fillWithBatches();
    addGang("urgent", 0, 2, 8);
    const auto result = plan();
    EXPECT_EQ(startsOf(result, "urgent"), 0) << "started before the room was free";
    EXPECT_EQ(stopped(result), (std::set<StepId>{step("batch1"), step("batch2")}));
    EXPECT_TRUE(result.held.contains(step("urgent")));
}

TEST_F(UrgentLoad, burstPreemptsDisjointWorkForEachGang)
{
    // Guards against two gangs that rely on the room of the same preempted work.
    fillWithBatches();
    for (int number = 0; number < 6; ++number) {
        addGang("urgent" + std::to_string(number), 0, 2, 8);
    }
    const auto result = plan();
    EXPECT_EQ(result.stops.size(), 12U);
    EXPECT_EQ(stopped(result).size(), 12U);
    EXPECT_EQ(result.held.size(), 6U);
}

TEST_F(UrgentLoad, roomThatIsBeingMadeIsNotGivenToLaterWork)
{
    fillWithBatches();
    addGang("urgent", 0, 2, 8);
    input.held = plan().held;
    // The preempted work has stopped; meanwhile a patient batch and a second urgent gang have arrived.
    for (const auto &[id, count] : input.held.at(step("urgent"))) {
        auto &freed = *std::ranges::find(input.targets, id, &PlacementTarget::id);
        freed.free = freed.capacity;
        freed.freeAfterStops = freed.capacity;
    }
    running.erase(running.begin(), running.begin() + 2);
    addGang("second", 0, 2, 8).slack = Duration{-5'000};
    addBatch("patient", 2, 2, 8);
    const auto result = plan();
    EXPECT_EQ(startsOf(result, "urgent"), 2);
    EXPECT_EQ(startsOf(result, "second"), 0);
    EXPECT_EQ(startsOf(result, "patient"), 0);
}

TEST_F(UrgentLoad, nothingIsPreemptedWhileMuchOfTheFleetIsUnknown)
{
    // Guards against a new owner that preempts work for urgent gangs although most targets have room but have not answered yet.
    fillWithBatches();
    addGang("urgent", 0, 2, 8);
    input.mayPreempt = false;
    EXPECT_TRUE(plan().stops.empty());
    input.mayPreempt = true;
    EXPECT_FALSE(plan().stops.empty());
}

TEST_F(UrgentLoad, runningWorkIsReadOnlyIfUrgentWorkFindsNoRoom)
{
    // Guards against a pass that looks at every run of a large fleet although everything fits.
    int reads = 0;
    const auto findRunning = [&] {
        ++reads;
        return running;
    };
    addGang("urgent", 0, 2, 8);
    addBatch("patient", 2, 64, 8);
    planPlacements(input, findRunning);
    EXPECT_EQ(reads, 0);
    fillWithBatches();
    addGang("second", 0, 2, 8);
    EXPECT_EQ(planPlacements(input, findRunning).stops.size(), 4U);
    EXPECT_EQ(reads, 1) << "read once for both urgent gangs";
}

TEST_F(UrgentLoad, everyPreemptedTaskIsNeeded)
{
    // Guards against a search that preempts work whose room the urgent gang does not need.
    for (int number = 1; number <= 16; ++number) {
        addRunning("small" + std::to_string(number), 2, {number}, 3).lostWork = number % 5 + 1;
        addRunning("large" + std::to_string(number), 2, {number}, 5).lostWork = number % 3 + 2;
    }
    addGang("urgent", 0, 6, 6);
    const auto victims = stopped(plan());
    for (const auto &spared : victims) {
        auto room = input.targets;
        for (const auto &unit : running) {
            if (victims.contains(unit.step) && unit.step != spared) {
                auto &freed = *std::ranges::find(room, unit.tasks.at(0), &PlacementTarget::id);
                freed.freeAfterStops = freed.freeAfterStops + unit.perTask;
            }
        }
        const auto fitting = std::ranges::count_if(room, [](const PlacementTarget &free) { return free.freeAfterStops.accelerators >= 6; });
        EXPECT_LT(fitting, 6) << spared.workflow.value << " need not have been preempted";
    }
}

TEST_F(UrgentLoad, gangWaitsForWorkThatEndsAsSoonAsAStopWould)
{
    // Guards against discarding work although other work on the fleet is about to end.
    fillWithBatches();
    input.stopTime = Duration{500};
    running.at(6).remaining = Duration{300};
    running.at(9).remaining = Duration{500};
    running.at(12).remaining = Duration{501};
    addGang("urgent", 0, 2, 8);
    const auto result = plan();
    EXPECT_TRUE(result.stops.empty());
    EXPECT_EQ(startsOf(result, "urgent"), 0);
    EXPECT_EQ(result.held.at(step("urgent")), (TaskPlaces{{target(7).id, 1}, {target(10).id, 1}}));

    // The places are kept for the gang in the next pass, and go to no other one.
    input.held = result.held;
    addGang("second", 0, 2, 8);
    const auto next = plan();
    EXPECT_EQ(next.held.at(step("urgent")), result.held.at(step("urgent")));
    EXPECT_EQ(next.stops.size(), 2U) << "for the second gang";
    EXPECT_FALSE(stopped(next).contains(step("batch7")));
}

TEST_F(UrgentLoad, gangThatWaitsForWorkPreemptsOtherWorkIfItDoesNotEnd)
{
    // Guards against an urgent gang that waits without end for tasks that have come to a standstill.
    fillWithBatches();
    addGang("urgent", 0, 2, 8);
    running.at(6).remaining = Duration{300};
    running.at(9).remaining = Duration{300};
    input.held = plan().held;
    running.at(6).remaining = Duration{9'000};
    running.at(9).remaining = Duration{9'000};
    EXPECT_EQ(stopped(plan()), (std::set<StepId>{step("batch1"), step("batch2")}));
}

TEST_F(UrgentLoad, urgentWorkIsNotPreemptedForUrgentWork)
{
    for (int number = 1; number <= 16; ++number) {
        addRunning("running" + std::to_string(number), 0, {number}, 8).isGuaranteed = true;
    }
    addGang("urgent", 0, 2, 8);
    const auto result = plan();
    EXPECT_TRUE(result.stops.empty());
    EXPECT_TRUE(result.starts.empty());
}

TEST_F(UrgentLoad, guaranteedGangReclaimsBorrowedRoomFromUrgentWork)
{
    // Guards against an organisation whose urgent work fills the fleet far beyond its guarantee and blocks the guaranteed work of another one.
    for (int number = 1; number <= 16; ++number) {
        addRunning("running" + std::to_string(number), 0, {number}, 8).isGuaranteed = number <= 14;
    }
    addGang("urgent", 0, 2, 8).isGuaranteed = true;
    EXPECT_EQ(stopped(plan()), (std::set<StepId>{step("running15"), step("running16")}));
}

TEST_F(UrgentLoad, lessUrgentWorkIsPreemptedBeforeBorrowedUrgentWork)
{
    for (int number = 1; number <= 16; ++number) {
        addRunning("running" + std::to_string(number), number <= 2 ? 1 : 0, {number}, 8).lostWork = number <= 2 ? 1'000 : 1;
    }
    addGang("urgent", 0, 2, 8).isGuaranteed = true;
    EXPECT_EQ(stopped(plan()), (std::set<StepId>{step("running1"), step("running2")}));
}

TEST_F(UrgentLoad, roomHeldForBorrowedWorkDoesNotKeepGuaranteedWorkWaiting)
{
    for (int number = 3; number <= 16; ++number) {
        occupy(number, 8);
    }
    addGang("borrowed", 0, 2, 8);
    input.held[step("borrowed")] = {{target(1).id, 1}, {target(2).id, 1}};
    addGang("guaranteed", 0, 2, 8).isGuaranteed = true;
    const auto result = plan();
    EXPECT_EQ(startsOf(result, "guaranteed"), 2);
    EXPECT_EQ(startsOf(result, "borrowed"), 0);
}

TEST_F(UrgentLoad, urgentWorkThatCanStillEndInTimeGoesFirst)
{
    for (int number = 3; number <= 16; ++number) {
        occupy(number, 8);
    }
    addGang("late", 0, 2, 8).slack = Duration{-4'000};
    addGang("inTime", 0, 2, 8).slack = Duration{300};
    const auto result = plan();
    EXPECT_EQ(startsOf(result, "inTime"), 2);
    EXPECT_EQ(startsOf(result, "late"), 0);
}

TEST_F(UrgentLoad, ordinaryWorkDoesNotUseTheReserve)
{
    for (int number = 1; number <= 12; ++number) {
        occupy(number, 8);
    }
    input.urgentReserves[{"press"}] = 24;
    addBatch("patient", 2, 4, 8);
    addGang("urgent", 0, 3, 8);
    const auto result = plan();
    EXPECT_EQ(startsOf(result, "urgent"), 3);
    EXPECT_EQ(startsOf(result, "patient"), 0);
}

TEST_F(UrgentLoad, reserveOfOneServiceLeavesTheOthersAlone)
{
    input.urgentReserves[{"other"}] = 128;
    addBatch("patient", 2, 16, 8);
    EXPECT_EQ(startsOf(plan(), "patient"), 16);
}

TEST_F(UrgentLoad, reserveFollowsTheArrivalsAndIsBounded)
{
    EXPECT_EQ(urgentReserve({0, 0}, 384, Duration{900}), 0);
    // For 10 gangs of 14 accelerators in 10 s, the reserve is 1.5 times the arrivals of 1.2 s, plus two gangs.
    EXPECT_EQ(urgentReserve({140, 10}, 384, Duration{900}), 53);
    EXPECT_LT(urgentReserve({140, 10}, 384, Duration{200}), 53);
    EXPECT_EQ(urgentReserve({140, 10}, 16, Duration{900}), 6) << "leaves other work most of a small fleet";
}

}
