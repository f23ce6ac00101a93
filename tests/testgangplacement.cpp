#include "tests/placementfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// Wide gangs on fragmented racks, and gangs that need a single rack.
struct GangPlacement : PlacementTest
{
    GangPlacement()
    {
        addRacks(4);
        input.remoteFactor = 3;
    }
};

TEST_F(GangPlacement, gangStartsWholeOrNotAtAll)
{
    for (int number = 1; number <= 16; ++number) {
        occupy(number, 5);
    }
    addGang("wide", 1, 17, 3);
    EXPECT_EQ(startsOf(plan(), "wide"), 0);
    input.waiting.clear();
    addGang("fits", 1, 16, 3);
    EXPECT_EQ(startsOf(plan(), "fits"), 16);
}

TEST_F(GangPlacement, gangMayBeWiderThanAnyZone)
{
    addGang("wide", 1, 16, 8);
    EXPECT_EQ(startsOf(plan(), "wide"), 16);
}

TEST_F(GangPlacement, batchStartsAsManyTasksAsFit)
{
    for (int number = 3; number <= 16; ++number) {
        occupy(number, 8);
    }
    addBatch("batch", 2, 40, 1);
    EXPECT_EQ(startsOf(plan(), "batch"), 16);
}

TEST_F(GangPlacement, fillersAreSpreadOverTheTargets)
{
    // Guards against placing all fillers on one target. Fillers reserve no processors, so all would fit, but they would have to share its processors.
    auto &fillers = addBatch("fillers", 2, 16, 0);
    fillers.specification.isFiller = true;
    fillers.specification.perTask = {0, 1'000, 0};
    const auto result = plan();
    std::set<TargetId> targets;
    std::ranges::transform(result.starts, std::inserter(targets, targets.end()), &PlannedStart::target);
    EXPECT_EQ(targets.size(), 16U);
}

TEST_F(GangPlacement, tasksFillTheFullestRackAndLeaveWholeRacksFree)
{
    // Guards against spreading small work over all racks, after which no rack has room for a gang that needs a single rack.
    for (const int number : {1, 2, 3}) {
        occupy(number, 8);
    }
    addBatch("small", 2, 4, 2);
    EXPECT_EQ(racksOf(plan(), "small"), (std::set<RackId>{{"r1"}}));
}

TEST_F(GangPlacement, oneRackGangWithoutRoomTwiceOverWaitsForARackAsLongAsItThenEndsEarlier)
{
    for (const int number : {1, 2, 5, 6, 9, 10, 13, 14, 15}) {
        occupy(number, 8);
    }
    auto &gang = addGang("together", 1, 4, 8);
    gang.specification.needsOneRack = true;
    gang.remaining = Duration{2'000};
    gang.waited = Duration{3'900};
    EXPECT_EQ(startsOf(plan(), "together"), 0) << "spread although a rack may become free soon enough to end earlier";
    gang.waited = Duration{4'000};
    EXPECT_EQ(startsOf(plan(), "together"), 4);
}

TEST_F(GangPlacement, gangThatNoRackCouldEverHoldIsSpreadAtOnce)
{
    auto &gang = addGang("wide", 1, 6, 8);
    gang.specification.needsOneRack = true;
    EXPECT_EQ(startsOf(plan(), "wide"), 6);
}

TEST_F(GangPlacement, oneRackGangTakesTheTightestRack)
{
    occupy(1, 8);
    occupy(5, 8);
    occupy(6, 8);
    auto &gang = addGang("pair", 1, 2, 8);
    gang.specification.needsOneRack = true;
    EXPECT_EQ(racksOf(plan(), "pair"), (std::set<RackId>{{"r2"}}));
}

TEST_F(GangPlacement, urgentOneRackGangWaitsNoLongerThanItsLimit)
{
    for (const int number : {1, 5, 9, 13}) {
        occupy(number, 8);
    }
    input.maxLocalityWait = Duration{500};
    auto &gang = addGang("urgent", 0, 4, 8);
    gang.specification.needsOneRack = true;
    gang.remaining = Duration{10'000};
    gang.waited = Duration{500};
    EXPECT_EQ(startsOf(plan(), "urgent"), 4);
}

TEST_F(GangPlacement, workWithoutRoomTwiceOverStaysNearItsDataUntilWaitingCostsMore)
{
    for (int number = 1; number <= 15; ++number) {
        occupy(number, 8);
    }
    occupy(16, 4);
    auto &task = addBatch("near", 2, 1, 4);
    task.specification.dataRack = {"r1"};
    task.remaining = Duration{1'000};
    task.waited = Duration{1'900};
    EXPECT_EQ(startsOf(plan(), "near"), 0);
    task.waited = Duration{2'000};
    EXPECT_EQ(startsOf(plan(), "near"), 1);
}

TEST_F(GangPlacement, gangWithoutRoomTwiceOverStaysNearItsDataUntilWaitingCostsMore)
{
    for (int number = 1; number <= 14; ++number) {
        occupy(number, 8);
    }
    occupy(16, 4);
    auto &gang = addGang("near", 2, 2, 4);
    gang.specification.dataRack = {"r1"};
    gang.remaining = Duration{1'000};
    gang.waited = Duration{1'900};
    EXPECT_EQ(startsOf(plan(), "near"), 0);
    gang.waited = Duration{2'000};
    EXPECT_EQ(startsOf(plan(), "near"), 2);
}

// Guards against waiting for the rack of the data although nothing can start there: its zone is evacuated, or its targets drain or have left.
TEST_F(GangPlacement, workDoesNotWaitForARackOfItsDataThatIsOutOfService)
{
    for (int number = 1; number <= 4; ++number) {
        target(number).isInService = false;
        target(number).acceptsWork = false;
    }
    addBatch("tasks", 2, 2, 4).specification.dataRack = {"r1"};
    addGang("gang", 2, 3, 4).specification.dataRack = {"r1"};
    addBatch("gone", 2, 1, 4).specification.dataRack = {"rack that no target names"};
    EXPECT_EQ(startsOf(plan(), "tasks"), 2);
    EXPECT_EQ(startsOf(plan(), "gang"), 3);
    EXPECT_EQ(startsOf(plan(), "gone"), 1);
}

// Guards against giving up the rack of the data while its targets only fail to answer for a moment.
TEST_F(GangPlacement, workWaitsForARackOfItsDataThatIsOutOfContact)
{
    for (int number = 1; number <= 4; ++number) {
        target(number).acceptsWork = false;
    }
    addBatch("tasks", 2, 2, 4).specification.dataRack = {"r1"};
    addGang("gang", 2, 3, 4).specification.dataRack = {"r1"};
    EXPECT_EQ(startsOf(plan(), "tasks"), 0);
    EXPECT_EQ(startsOf(plan(), "gang"), 0);
}

// Guards against the wait of a gang for the rack of its data that is too small for it even if nothing else runs there.
TEST_F(GangPlacement, gangDoesNotWaitForARackOfItsDataThatIsTooSmall)
{
    addGang("large", 2, 10, 4).specification.dataRack = {"r1"};
    EXPECT_EQ(startsOf(plan(), "large"), 10);
}

// Guards against waiting for a single rack that is out of service.
TEST_F(GangPlacement, gangDoesNotWaitForASingleRackThatIsOutOfService)
{
    for (int number = 5; number <= static_cast<int>(input.targets.size()); ++number) {
        occupy(number, 4);
    }
    for (int number = 1; number <= 4; ++number) {
        target(number).isInService = false;
        target(number).acceptsWork = false;
    }
    addGang("near", 2, 5, 4).specification.needsOneRack = true;
    EXPECT_EQ(startsOf(plan(), "near"), 0) << "another rack could hold the whole gang";
    for (int number = 5; number <= static_cast<int>(input.targets.size()); ++number) {
        target(number).capacity.accelerators = 4;
    }
    EXPECT_EQ(startsOf(plan(), "near"), 5);
}

TEST_F(GangPlacement, workThatFailedAvoidsSuspectTargets)
{
    for (int number = 1; number <= 15; ++number) {
        target(number).isSuspect = true;
    }
    auto &batch = addBatch("failed", 1, 2, 8);
    batch.avoidsSuspects = true;
    EXPECT_EQ(startsOf(plan(), "failed"), 1);
    batch.avoidsSuspects = false;
    EXPECT_EQ(startsOf(plan(), "failed"), 2) << "first attempts may use any target";
}

TEST_F(GangPlacement, targetGetsNoMoreTasksThanTheStepAllows)
{
    auto &batch = addBatch("apart", 2, 20, 1);
    batch.specification.maxPerTarget = 1;
    batch.tasksOnTarget[target(1).id] = 1;
    const auto result = plan();
    EXPECT_EQ(startsOf(result, "apart"), 15);
    EXPECT_TRUE(std::ranges::none_of(result.starts, [&](const PlannedStart &start) { return start.target == target(1).id; }));
}

TEST_F(GangPlacement, stepsGoOnlyToTargetsOfTheirServiceWithTheirLabel)
{
    target(7).labels.emplace_back("special");
    addBatch("special", 2, 3, 8).specification.requiredLabel = "special";
    const auto result = plan();
    ASSERT_EQ(startsOf(result, "special"), 1);
    EXPECT_EQ(result.starts.front().target, target(7).id);
    input.waiting.front().service = {"other"};
    EXPECT_EQ(startsOf(plan(), "special"), 0);
}

TEST_F(GangPlacement, workThatIsBeingStoppedStillOccupiesItsRoom)
{
    // Targets do not check their free room, so starting a task before the stopped work has ended would exceed a target's capacity.
    for (int number = 1; number <= 16; ++number) {
        occupy(number, 8);
        target(number).freeAfterStops = target(number).capacity;
    }
    addBatch("waiting", 0, 4, 8);
    const auto result = plan();
    EXPECT_TRUE(result.starts.empty());
    EXPECT_TRUE(result.stops.empty()) << "more work was preempted although room is already being made";
}

TEST_F(GangPlacement, stepThatWaitsIsExplained)
{
    for (int number = 1; number <= 16; ++number) {
        occupy(number, number % 4 == 1 ? 8 : 0);
    }
    auto &gang = addGang("gang", 1, 4, 8);
    gang.needsExplanation = true;
    gang.specification.needsOneRack = true;
    EXPECT_EQ(plan().waits.at(step("gang")).reason, WaitReason::OneRack);
    gang.specification.needsOneRack = false;
    input.urgentReserves[{"press"}] = 80;
    EXPECT_EQ(plan().waits.at(step("gang")), (WaitExplanation{WaitReason::Reserve, 96, 80}));
    gang.specification.perTask.memoryMb *= 2;
    EXPECT_EQ(plan().waits.at(step("gang")).reason, WaitReason::NoRoom);
    gang.needsExplanation = false;
    EXPECT_TRUE(plan().waits.empty());
}

}
