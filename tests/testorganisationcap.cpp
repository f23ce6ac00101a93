#include "tests/domainfixture.h"
#include "tests/placementfixture.h"
#include "workflow/organisationcap.h"

#include <rapidcheck.h>

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

const OrganisationId tailors{"tailors"};
const OrganisationId hotels{"hotels"};

ResourceCap accelerators(int count)
{
    return {std::nullopt, std::nullopt, count};
}

}

/// A placement pass in which the tailors may still start work for some accelerators within their cap.
struct CapPlacement : PlacementTest
{
    void leaveRoom(int now, int afterStops)
    {
        input.organisationRoom.insert_or_assign(tailors, accelerators(now));
        input.organisationRoomAfterStops.insert_or_assign(tailors, accelerators(afterStops));
    }
};

TEST_F(CapPlacement, urgentGangBeyondItsCapHoldsAndPreemptsNothing)
{
    // Guards against work that cannot start within its cap and takes room or running work from others.
    addRacks(1);
    addRunning("running", 2, {1, 2, 3}, 8);
    leaveRoom(7, 7);
    addGang("capped", 0, 1, 8).needsExplanation = true;
    addGang("other", 1, 1, 8).organisation = hotels;
    const auto result = plan();
    EXPECT_EQ(startsOf(result, "capped"), 0);
    EXPECT_EQ(startsOf(result, "other"), 1);
    EXPECT_TRUE(result.stops.empty() && result.held.empty());
    EXPECT_EQ(result.waits.at(step("capped")).reason, WaitReason::OrganisationCap);
}

TEST_F(CapPlacement, independentTasksStartAsFarAsTheCapAllows)
{
    addRacks(1);
    leaveRoom(5, 5);
    addBatch("batch", 2, 9, 1);
    EXPECT_EQ(startsOf(plan(), "batch"), 5);
}

TEST_F(CapPlacement, fillerCountsWithItsProcessors)
{
    addRacks(1);
    input.organisationRoom[tailors] = input.organisationRoomAfterStops[tailors] = {5'000, std::nullopt, std::nullopt};
    auto &filler = addBatch("filler", 2, 9, 0);
    filler.specification.isFiller = true;
    filler.unreservedMilliCpu = 2'000;
    EXPECT_EQ(startsOf(plan(), "filler"), 2);
}

TEST_F(CapPlacement, guaranteedGangStopsOnlyLessUrgentWorkOfItsOrganisation)
{
    // Guards against guaranteed work that waits for its cap behind ordinary work of its own organisation, and against the stop of work that does not help.
    addRacks(2);
    addRunning("own", 2, {1, 2}, 4).organisation = tailors;
    addRunning("small", 2, {3}, 2).organisation = tailors;
    addRunning("foreign", 2, {4}, 4);
    leaveRoom(0, 0);
    auto &gang = addGang("urgent", 0, 2, 4);
    gang.isGuaranteed = true;
    const auto result = plan();
    EXPECT_EQ(stopped(result), (std::set<StepId>{step("own")}));
    EXPECT_TRUE(result.starts.empty());
    // In the next pass the stop is under way. The gang keeps its places, and nothing else of its organisation takes the room within the cap.
    input.held = result.held;
    running.clear();
    leaveRoom(0, 8);
    addBatch("later", 1, 8, 1);
    EXPECT_TRUE(plan().stops.empty() && plan().starts.empty());
    EXPECT_TRUE(plan().held.contains(step("urgent")));
    leaveRoom(8, 8);
    EXPECT_EQ(startsOf(plan(), "urgent"), 2);
    EXPECT_EQ(startsOf(plan(), "later"), 0);
}

/// A random fleet on which two organisations with caps have work running and waiting.
struct RandomCaps : CapPlacement
{
    RandomCaps()
    {
        addRacks(*rc::gen::inRange(1, 5));
        const int targets = static_cast<int>(input.targets.size());
        for (int number = 1; number <= targets; ++number) {
            const int used = *rc::gen::inRange(0, acceleratorsPerTarget + 1);
            if (used > 0) {
                addRunning("running" + std::to_string(number), *rc::gen::inRange(0, 3), {number}, used).organisation = anyOrganisation();
            }
        }
        for (const auto &organisation : {tailors, hotels}) {
            const int now = *rc::gen::inRange(-4, 40);
            input.organisationRoom[organisation] = accelerators(now);
            input.organisationRoomAfterStops[organisation] = accelerators(now + *rc::gen::inRange(0, 8));
        }
        for (int number = *rc::gen::inRange(1, 9); number > 0; --number) {
            auto &waiting = addBatch("step" + std::to_string(number), *rc::gen::inRange(0, 3), *rc::gen::inRange(1, 12), *rc::gen::inRange(0, 5));
            waiting.organisation = anyOrganisation();
            waiting.specification.isGang = *rc::gen::arbitrary<bool>();
            waiting.isGuaranteed = waiting.priority == 0 && *rc::gen::arbitrary<bool>();
        }
    }

    static OrganisationId anyOrganisation()
    {
        return *rc::gen::element(tailors, hotels);
    }

    void TestBody() override
    {
    }
};

TEST(OrganisationCapProperty, startsStayWithinTheCapAndNoStepWaitsForACapWithRoom)
{
    EXPECT_TRUE(rc::check("starts stay within the cap, and what waits for its cap has no room there", [] {
        const RandomCaps fleet;
        const auto plan = fleet.plan();
        auto left = fleet.input;
        sortWaiting(left.waiting);
        for (const auto &step : left.waiting) {
            const int started = PlacementTest::startsOf(plan, step.step.workflow.value);
            const int fitting = tasksWithinCap(left, step);
            RC_ASSERT(started <= fitting);
            RC_ASSERT(plan.capWaits.contains(step.step) == std::cmp_less(fitting, step.tasks.size()));
            takeCapRoom(left, step, started);
            const auto held = plan.held.find(step.step);
            RC_ASSERT(held == plan.held.end() || step.priority == 0);
            if (held != plan.held.end()) {
                const bool isOfGuarantee = step.isGuaranteed;
                int tasks = 0;
                std::ranges::for_each(held->second, [&](const auto &place) { tasks += place.second; });
                RC_ASSERT(isOfGuarantee || tasks <= tasksWithinCap(left, step));
                takeCapRoom(left, step, tasks);
            }
        }
    }));
}

TEST(OrganisationCapProperty, capsThatLimitNothingChangeNoPlan)
{
    EXPECT_TRUE(rc::check("a plan under caps that limit nothing is the plan without caps", [] {
        RandomCaps fleet;
        fleet.input.organisationRoom = {{tailors, accelerators(1'000'000)}, {hotels, accelerators(1'000'000)}};
        fleet.input.organisationRoomAfterStops = fleet.input.organisationRoom;
        const auto capped = fleet.plan();
        fleet.input.organisationRoom.clear();
        fleet.input.organisationRoomAfterStops.clear();
        RC_ASSERT(capped == fleet.plan());
    }));
}

/// Two hosts and 8 targets with 64 accelerators. The fleet model objects to every start beyond a cap.
struct OrganisationCap : DomainTest
{
    OrganisationCap()
    {
        setCap("tailors", accelerators(16));
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    int acceleratorsInUse()
    {
        int used = 0;
        std::ranges::for_each(fleet.targets, [&](const auto &row) { used += usedOn(fleet, row.second).accelerators; });
        return used;
    }
};

TEST_F(OrganisationCap, capHoldsThroughLostAnswersAChangeOfOwnerAndAFallOfTheCap)
{
    // Guards against starts beyond the cap by repeated starts, by a new owner, and by starts that were planned before the cap fell.
    for (int number = 1; number <= 6; ++number) {
        ASSERT_FALSE(answerTo(submit(id(number), batch(40, {1'000, 1'000, 1}), {Duration{900}, {}}, "h1", "/ordinary/")).refusal);
    }
    runUntil([&] { return acceleratorsInUse() == 16; }, Duration{2'000});
    losesStartAnswers = true;
    run(Duration{600});
    losesStartAnswers = false;
    const auto former = owner();
    kill(former);
    run(Duration{2'500});
    start(former);
    runUntil([&] { return acceleratorsInUse() == 16; }, Duration{5'000});
    setCap("tailors", accelerators(6));
    run(settings.limits.maxProofAge);
    runUntil([&] { return acceleratorsInUse() == 6; }, Duration{1'000});
    setCap("tailors", accelerators(30));
    runUntil(
        [&] {
            return std::ranges::all_of(std::vector{1, 2, 3, 4, 5, 6}, [&](int number) { return storedState(id(number)) == WorkflowState::Completed; });
        },
        Duration{20'000});
}

TEST_F(OrganisationCap, newOwnerCountsRunsOnTargetsThatDoNotAnswerIt)
{
    // Guards against a new owner that counts only the runs that targets have listed.
    answerTo(submit(id(1), batch(40, {1'000, 1'000, 1}), {Duration{6'000}, {}}, "h1", "/ordinary/"));
    runUntil([&] { return acceleratorsInUse() == 16; }, Duration{2'000});
    cutOff("t1");
    kill(owner());
    run(Duration{4'000});
    EXPECT_FALSE(owner().empty());
    EXPECT_EQ(acceleratorsInUse(), 16);
}

TEST_F(OrganisationCap, recordedStartIsDroppedIfTheCapFallsBeforeItIsSent)
{
    // Guards against a start that is sent after the store was slow, although the cap has fallen far below it since it was planned.
    const RecordedStart urgent{tailors, {0, 0, 4}, true, {{PlacementTest::step("urgent"), 0}, {PlacementTest::step("urgent"), 1}}};
    const RecordedStart ordinary{tailors, {0, 0, 1}, false, {{PlacementTest::step("ordinary"), 0}, {PlacementTest::step("ordinary"), 1}}};
    EXPECT_EQ(startsBeyondCaps({urgent, ordinary}, {{tailors, accelerators(-1)}}), (std::set<TaskId>{ordinary.tasks[1]}));
    EXPECT_EQ(startsBeyondCaps({urgent, ordinary}, {{tailors, accelerators(-3)}}).size(), 4U);
    EXPECT_TRUE(startsBeyondCaps({urgent, ordinary}, {{tailors, accelerators(0)}}).empty());
}

TEST_F(OrganisationCap, guaranteedGangStartsInTimeBesideOrdinaryWorkOfItsOrganisation)
{
    answerTo(submit(id(1), batch(40, {1'000, 1'000, 1}), {Duration{60'000}, {}}, "h1", "/ordinary/"));
    runUntil([&] { return acceleratorsInUse() == 16; }, Duration{2'000});
    answerTo(submit(id(2), gang(2, {4'000, 8'000, 4}), {Duration{60'000}, {}}));
    runUntil([&] { return isAtWork(fleet, id(2)) && fleet.starts[id(2)] == 2; }, settings.limits.reclaimBound);
    run(Duration{1'000});
    EXPECT_EQ(acceleratorsInUse(), 16);
}

TEST_F(OrganisationCap, gangLargerThanTheCapIsRefused)
{
    const auto answer = answerTo(submit(id(1), gang(5, {4'000, 8'000, 4})));
    ASSERT_TRUE(answer.refusal);
    EXPECT_EQ(answer.refusal->reason, RefusalReason::QuotaExceeded);
    EXPECT_EQ(answer.refusal->run, RequestEffect::NotRun);
}

}
