#include "tests/placementfixture.h"

#include "workflow/packing.h"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace sequoiastand
{

/// Steps that have waited for the longest avoidable wait, on targets that have room for them twice over.
struct AvoidableWait : PlacementTest
{
    AvoidableWait()
    {
        addRacks(4);
        input.remoteFactor = 3;
    }

    WaitingStep &waitedLong(WaitingStep &waiting) const
    {
        waiting.waited = input.maxAvoidableWait;
        waiting.remaining = Duration{60'000};
        return waiting;
    }

    void occupyAll(int first, int last, int accelerators)
    {
        for (int number = first; number <= last; ++number) {
            occupy(number, accelerators);
        }
    }
};

// Guards against a reserve for urgent work without a bound in time: a task of one accelerator waited for 39 s beside 320 free ones.
TEST_F(AvoidableWait, taskBesideTheReserveStartsAtTheBound)
{
    input.urgentReserves[{"press"}] = 51;
    occupyAll(1, 10, 8); // 48 of 128 accelerators are free.
    auto &task = waitedLong(addBatch("task", 1, 1, 1));
    EXPECT_EQ(startsOf(plan(), "task"), 1);
    task.waited -= Duration{1};
    EXPECT_EQ(startsOf(plan(), "task"), 0) << "the reserve is kept until then";
}

TEST_F(AvoidableWait, gangBesideTheReserveStartsAtTheBound)
{
    input.urgentReserves[{"press"}] = 51;
    occupyAll(1, 10, 8);
    waitedLong(addGang("gang", 2, 3, 8));
    EXPECT_EQ(startsOf(plan(), "gang"), 3);
}

TEST_F(AvoidableWait, wideBatchBesideTheReserveLeavesHalfOfTheRoom)
{
    input.urgentReserves[{"press"}] = 51;
    occupyAll(1, 10, 8);
    waitedLong(addBatch("batch", 2, 100, 1));
    EXPECT_EQ(startsOf(plan(), "batch"), 24);
}

TEST_F(AvoidableWait, stepWithoutRoomTwiceOverOnItsOwnTargetsLeavesTheReserve)
{
    input.urgentReserves[{"press"}] = 40;
    occupyAll(5, 16, 8);
    occupyAll(1, 3, 8);
    target(5).free = target(5).capacity;
    target(6).free = target(6).capacity;
    waitedLong(addBatch("task", 2, 1, 8)).specification.requiredLabel = "r1";
    EXPECT_EQ(startsOf(plan(), "task"), 0);
}

TEST_F(AvoidableWait, gangWithoutRoomTwiceOverLeavesTheReserve)
{
    input.urgentReserves[{"press"}] = 51;
    occupyAll(1, 10, 8);
    waitedLong(addGang("gang", 2, 4, 8));
    EXPECT_EQ(startsOf(plan(), "gang"), 0);
}

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

// Guards against a wait for a single rack of twice the estimated run time, here two minutes.
TEST_F(AvoidableWait, oneRackGangIsSpreadAtTheBound)
{
    for (const int number : {1, 5, 9, 13}) {
        occupy(number, 8);
    }
    auto &gang = waitedLong(addGang("gang", 1, 4, 8));
    gang.specification.needsOneRack = true;
    EXPECT_EQ(startsOf(plan(), "gang"), 4);
    gang.waited -= Duration{1};
    EXPECT_EQ(startsOf(plan(), "gang"), 0);
}

// Guards against a wait for the rack of the data of twice the estimated run time.
TEST_F(AvoidableWait, workLeavesTheFullRackOfItsDataAtTheBound)
{
    occupyAll(1, 4, 8);
    waitedLong(addBatch("tasks", 2, 2, 4)).specification.dataRack = {"r1"};
    waitedLong(addGang("gang", 2, 3, 4)).specification.dataRack = {"r1"};
    const auto started = plan();
    EXPECT_EQ(startsOf(started, "tasks"), 2);
    EXPECT_EQ(startsOf(started, "gang"), 3);
    std::ranges::for_each(input.waiting, [](WaitingStep &waiting) { waiting.waited -= Duration{1}; });
    EXPECT_TRUE(plan().starts.empty());
}

// Guards against tasks that leave the rack of their data although it has room for some of them.
TEST_F(AvoidableWait, tasksThatMayLeaveTheRackOfTheirDataUseItFirst)
{
    occupyAll(2, 8, 8);
    target(5).free = {16'000, 64'000, 4}; // The second rack is the fullest.
    waitedLong(addBatch("tasks", 2, 2, 4)).specification.dataRack = {"r1"};
    EXPECT_EQ(racksOf(plan(), "tasks"), (std::set<RackId>{{"r1"}}));
}

// Guards against steps with a failed run that wait until targets are no longer suspect, which takes 8 s.
TEST_F(AvoidableWait, stepWithAFailedRunUsesSuspectTargetsAtTheBound)
{
    std::ranges::for_each(input.targets, [](PlacementTarget &target) { target.isSuspect = true; });
    waitedLong(addBatch("task", 1, 1, 8)).avoidsSuspects = true;
    waitedLong(addGang("gang", 1, 4, 8)).avoidsSuspects = true;
    const auto started = plan();
    EXPECT_EQ(startsOf(started, "task"), 1);
    EXPECT_EQ(startsOf(started, "gang"), 4);
    std::ranges::for_each(input.waiting, [](WaitingStep &waiting) {
        waiting.waited -= Duration{1};
        waiting.needsExplanation = true;
    });
    EXPECT_TRUE(plan().starts.empty());
    EXPECT_EQ(plan().waits.at(step("gang")).reason, WaitReason::Suspects);
}

// Guards against a tight rack of suspect targets for a gang that another rack can hold.
TEST_F(AvoidableWait, stepWithAFailedRunPrefersSoundTargetsAtTheBound)
{
    occupyAll(1, 2, 8);
    target(3).isSuspect = true;
    target(4).isSuspect = true;
    auto &gang = waitedLong(addGang("gang", 1, 2, 8));
    gang.specification.needsOneRack = true;
    gang.avoidsSuspects = true;
    const auto racks = racksOf(plan(), "gang");
    EXPECT_EQ(racks.size(), 1U);
    EXPECT_FALSE(racks.contains({"r1"}));
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

namespace
{

/// A number from `low` up to, but not including, `high`. It is spread over the whole range from the first case on; by default rapidcheck begins with small ones.
int numberIn(int low, int high)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

bool isOneOf(int cases)
{
    return numberIn(0, cases) == 0;
}

}

/// Random fleets of 64 targets in 16 racks, of any fullness and with full racks, with urgent and other work that waits.
struct RandomFleet : PlacementTest
{
    RandomFleet()
    {
        addRacks(16);
        const int fullest = numberIn(0, 9);
        const int emptiest = numberIn(0, fullest + 1);
        for (int rack = 0; rack < 16; ++rack) {
            const bool isFull = isOneOf(4);
            for (int number = rack * targetsPerRack + 1; number <= (rack + 1) * targetsPerRack; ++number) {
                fillTarget(number, isFull ? acceleratorsPerTarget : numberIn(emptiest, fullest + 1));
            }
        }
        input.urgentReserves[{"press"}] = numberIn(0, 205);
        const int steps = numberIn(1, 9);
        for (int number = 0; number < steps; ++number) {
            addStep("step" + std::to_string(number));
        }
    }

    void TestBody() override
    {
    }

    void fillTarget(int number, int used)
    {
        if (used > 0 && isOneOf(3)) {
            addRunning("running" + std::to_string(number), numberIn(1, 3), {number}, used);
        } else {
            occupy(number, used);
        }
        auto &filled = target(number);
        filled.isSuspect = isOneOf(4);
        filled.acceptsWork = !isOneOf(10);
        if (isOneOf(4)) {
            filled.labels.emplace_back("special");
        }
    }

    void addStep(const std::string &id)
    {
        auto &waiting = addBatch(id, numberIn(0, 3), numberIn(1, 25), numberIn(0, 9));
        auto &specification = waiting.specification;
        specification.isGang = isOneOf(2);
        specification.perTask.milliCpu += numberIn(0, 3) * 1'000;
        specification.requiredLabel = *rc::gen::element<std::string>("", "", "special", "r3");
        specification.needsOneRack = specification.isGang && isOneOf(2);
        specification.dataRack = {*rc::gen::element<std::string>("", "r1", "r3", "none")};
        specification.maxPerTarget = isOneOf(3) ? numberIn(1, 3) : 0;
        waiting.tasksOnTarget[target(numberIn(1, 65)).id] = specification.isGang ? 0 : 1;
        waiting.avoidsSuspects = isOneOf(3);
        waiting.remaining = Duration{numberIn(1'000, 20'000)};
        waiting.waited = isOneOf(3) ? Duration{0} : input.maxAvoidableWait;
        waiting.slack = Duration{numberIn(-5'000, 5'000)};
    }
};

namespace
{

/// The number of the step's tasks that fit on the targets that it may use, with no regard for its limit on one target.
long long tasksWithRoom(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting)
{
    return std::transform_reduce(targets.begin(), targets.end(), 0LL, std::plus{}, [&](const PlacementTarget &target) {
        const bool mayUse = isAllowed(waiting, target) && roomForTasks(waiting, target, target.free) > 0;
        return mayUse ? static_cast<long long>(tasksThatFit(waiting.specification.perTask, target.free)) : 0LL;
    });
}

long long tasksThatMayStart(const std::vector<PlacementTarget> &targets, const WaitingStep &waiting)
{
    return std::transform_reduce(targets.begin(), targets.end(), 0LL, std::plus{}, [&](const PlacementTarget &target) {
        return isAllowed(waiting, target) ? static_cast<long long>(roomForTasks(waiting, target, target.free)) : 0LL;
    });
}

void takeRoom(std::vector<PlacementTarget> &targets, const TargetId &id, const Resources &used)
{
    auto &target = *std::ranges::find(targets, id, &PlacementTarget::id);
    target.free = target.free - used;
}

/// Takes the room of the step's starts and of its hold.
void takeRoomOf(std::vector<PlacementTarget> &targets, const PlacementPlan &plan, const WaitingStep &waiting)
{
    const auto &perTask = waiting.specification.perTask;
    for (const auto &start : plan.starts) {
        if (start.task.step == waiting.step) {
            takeRoom(targets, start.target, perTask);
        }
    }
    if (const auto held = plan.held.find(waiting.step); held != plan.held.end()) {
        std::ranges::for_each(held->second, [&](const auto &place) { takeRoom(targets, place.first, perTask * place.second); });
    }
}

}

// Guards against any choice of the placement that makes a step wait for 3 s, which counts as LOST, although there is room for it twice over.
TEST(AvoidableWaitProperty, stepThatHasWaitedForTheBoundBesideRoomTwiceOverStarts)
{
    EXPECT_TRUE(rc::check("a step past the bound starts beside room twice over", [] {
        const RandomFleet fleet;
        const auto plan = fleet.plan();
        auto targets = fleet.input.targets;
        auto waiting = fleet.input.waiting;
        sortWaiting(waiting);
        for (const auto &step : waiting) {
            const long long needed = step.specification.isGang ? static_cast<long long>(step.tasks.size()) : 1;
            const bool hasRoom = tasksWithRoom(targets, step) >= 2 * needed && tasksThatMayStart(targets, step) >= needed;
            if (step.waited >= fleet.input.maxAvoidableWait && hasRoom) {
                RC_ASSERT(PlacementTest::startsOf(plan, step.step.workflow.value) >= needed);
            }
            takeRoomOf(targets, plan, step);
        }
    }));
}

}
