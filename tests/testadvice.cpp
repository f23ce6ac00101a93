#include "domainfixture.h"
#include "placementfixture.h"
#include "workflow/advicequestion.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace sequoiastand
{

/// Placement passes with steps that may run only on targets that an adviser allows.
struct AdvisedPlacement : PlacementTest
{
    AdvisedPlacement()
    {
        addRacks(10);
    }

    TargetId id(int number)
    {
        return target(number).id;
    }
};

TEST_F(AdvisedPlacement, stepStartsOnlyOnTargetsThatItsAdviserAllows)
{
    addGang("checked", 1, 2, 8).advice = StepPermission{{id(5), id(9)}, {id(1)}, {id(2)}};
    const auto result = plan();
    ASSERT_EQ(startsOf(result, "checked"), 2);
    EXPECT_TRUE(std::ranges::all_of(result.starts, [&](const PlannedStart &start) { return start.target == id(5) || start.target == id(9); }));
}

TEST_F(AdvisedPlacement, urgentStepPreemptsOnlyOnAllowedTargets)
{
    // Guards against preempting work on a target where the urgent step may not run.
    for (int number = 1; number <= 40; ++number) {
        addRunning("batch" + std::to_string(number), 2, {number}, 8).lostWork = number;
    }
    addGang("checked", 0, 1, 8).advice = StepPermission{{id(30)}, {}, {}};
    EXPECT_EQ(stopped(plan()), (std::set<StepId>{step("batch30")}));
}

TEST_F(AdvisedPlacement, roomHeldOnATargetWithAnExpiredTicketIsReleased)
{
    addGang("checked", 0, 1, 8).advice = StepPermission{{}, {id(3)}, {}};
    input.held[step("checked")] = {{id(3), 1}};
    const auto result = plan();
    EXPECT_TRUE(result.starts.empty());
    EXPECT_TRUE(result.held.empty());
}

TEST_F(AdvisedPlacement, questionNamesExpiredTargetsFirstThenThoseWithRoom)
{
    occupy(1, 8);
    addGang("checked", 1, 2, 8).advice = StepPermission{{}, {id(40)}, {id(2)}};
    const auto question = nextQuestion(input);
    ASSERT_TRUE(question);
    ASSERT_EQ(question->targets.size(), 30U) << "each target makes the answer slower";
    EXPECT_EQ(question->targets.front(), id(40));
    EXPECT_FALSE(std::ranges::count(question->targets, id(1))) << "other targets have room";
    EXPECT_FALSE(std::ranges::count(question->targets, id(2))) << "the adviser's decision never changes";
}

TEST_F(AdvisedPlacement, stepWithEnoughAllowedRoomIsNotAskedAbout)
{
    addGang("placed", 1, 2, 8).advice = StepPermission{{id(5), id(9)}, {}, {}};
    EXPECT_FALSE(nextQuestion(input));
    addGang("short", 1, 2, 8).advice = StepPermission{{id(5)}, {}, {}};
    ASSERT_TRUE(nextQuestion(input));
    EXPECT_EQ(nextQuestion(input)->step, step("short"));
}

TEST_F(AdvisedPlacement, urgentStepIsAskedAboutBeforePatientOnes)
{
    addBatch("patient", 2, 4, 1).advice = StepPermission{};
    addGang("urgent", 0, 2, 8).advice = StepPermission{};
    EXPECT_EQ(nextQuestion(input)->step, step("urgent"));
}

// Guards against a step with room that waits until the adviser has been asked about the whole fleet for a gang that fits nowhere.
TEST_F(AdvisedPlacement, stepWithRoomIsAskedAboutBeforeAStepWithout)
{
    for (int number = 1; number <= 40; ++number) {
        occupy(number, 1);
    }
    auto &gang = addGang("gang", 1, 2, 8);
    gang.advice.emplace();
    gang.slack = Duration{0};
    addBatch("task", 2, 1, 1).advice.emplace();
    const auto first = nextQuestion(input);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->step, step("task"));
    input.waiting.pop_back();
    const auto second = nextQuestion(input);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->step, step("gang"));
}

TEST_F(AdvisedPlacement, expiredTicketsAreRenewedOnlyWhereTheyCanBeUsed)
{
    // Guards against asking the adviser every few seconds about each step that waits on a full fleet.
    StepPermission permission;
    for (int number = 1; number <= 40; ++number) {
        occupy(number, 8);
        permission.expired.insert(id(number));
    }
    addGang("waits", 1, 2, 8).advice = permission;
    EXPECT_FALSE(nextQuestion(input));
    target(7).freeAfterStops = target(7).capacity;
    ASSERT_TRUE(nextQuestion(input));
    EXPECT_EQ(nextQuestion(input)->targets, std::vector{id(7)});
    // For an urgent step, work may be preempted on any target.
    input.waiting.front().priority = 0;
    EXPECT_EQ(nextQuestion(input)->targets.size(), 30U);
}

TEST_F(AdvisedPlacement, stepWhoseTargetsAreAllKnownIsNotAskedAboutAgain)
{
    // Guards against asking the adviser endlessly about a step that is not allowed on any target with room.
    StepPermission permission;
    for (int number = 1; number <= 40; ++number) {
        permission.refused.insert(id(number));
    }
    addGang("hopeless", 1, 2, 8).advice = permission;
    EXPECT_FALSE(nextQuestion(input));
}

/// A queue with an adviser, from the submission to the end of the work. The targets refuse starts without a valid ticket.
struct AdvisedQueue : DomainTest
{
    AdvisedQueue()
    {
        addHost("h1");
        addTargets(16);
        setAdvice(Duration{3'000});
        runUntil([&] { return owner() == "h1"; }, Duration{3'000});
        run(Duration{500});
    }

    void setAdvice(Duration validity)
    {
        auto queue = *findQueue(configuration, "press.example", "/ordinary/");
        queue.advice = AdviceTerms{Duration{50}, Duration{5}, validity};
        setQueue(queue);
    }

    CallId submitChecked(int number, const WorkflowSpecification &specification)
    {
        return submit(id(number), specification, {}, "h1", "/ordinary/");
    }

    int startsRefusedWithoutTicket() const
    {
        return static_cast<int>(
            std::ranges::count_if(history, [](const std::string &line) { return absl::StrContains(line, " start t") && line.ends_with("noTicket"); }));
    }
};

TEST_F(AdvisedQueue, gangRunsOnAllowedTargetsWithTheirTickets)
{
    fleet.adviser.allowed[id(1)] = {{"t3"}, {"t11"}};
    submitChecked(1, gang(2, {1'000, 1'000, 8}));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{5'000});
    EXPECT_EQ(fleet.starts[id(1)], 2);
    EXPECT_EQ(startsRefusedWithoutTicket(), 0);
    EXPECT_EQ(fleet.adviser.requestCount, 1) << "all 16 targets fit into one question";
}

TEST_F(AdvisedQueue, stepThatWaitsLongerThanItsTicketsIsAskedAboutAgain)
{
    // Guards against starts whose ticket has expired while the step waited for room.
    setAdvice(Duration{1'000});
    submit(id(1), batch(16, {1'000, 1'000, 8}), {Duration{4'000}, {}}, "h1", "/patient/");
    run(Duration{500});
    submitChecked(2, gang(2, {1'000, 1'000, 8}));
    runUntil([&] { return storedState(id(2)) == WorkflowState::Completed; }, Duration{9'000});
    EXPECT_EQ(startsRefusedWithoutTicket(), 0);
    EXPECT_GE(fleet.adviser.requestCount, 2);
}

TEST_F(AdvisedQueue, unresponsiveAdviserDelaysOnlyItsOwnQueue)
{
    isAdviserUnresponsive = true;
    submitChecked(1, gang(2, {1'000, 1'000, 8}));
    submit(id(2), gang(2, {1'000, 1'000, 8}), {}, "h1", "/patient/");
    runUntil([&] { return storedState(id(2)) == WorkflowState::Completed; }, Duration{5'000});
    EXPECT_EQ(fleet.starts[id(1)], 0);
    isAdviserUnresponsive = false;
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{8'000});
}

TEST_F(AdvisedQueue, nextInstanceOfATargetNeedsItsOwnTicket)
{
    // Guards against using a ticket that was issued for a former instance of the target.
    fleet.adviser.allowed[id(1)] = {{"t3"}};
    submit(id(9), batch(16, {1'000, 1'000, 8}), {Duration{2'000}, {}}, "h1", "/patient/");
    run(Duration{500});
    submitChecked(1, gang(1, {1'000, 1'000, 8}));
    run(Duration{700});
    crash("t3");
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{9'000});
    EXPECT_EQ(startsRefusedWithoutTicket(), 0);
}

TEST_F(AdvisedQueue, newOwnerAsksTheAdviserAgain)
{
    addHost("h2");
    run(Duration{1'500});
    fleet.adviser.allowed[id(1)] = {{"t3"}};
    submit(id(9), batch(16, {1'000, 1'000, 8}), {Duration{3'000}, {}}, "h2", "/patient/");
    submit(id(1), gang(1, {1'000, 1'000, 8}), {}, "h2", "/ordinary/");
    run(Duration{1'000});
    kill("h1");
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{12'000});
    EXPECT_EQ(startsRefusedWithoutTicket(), 0);
}

}
