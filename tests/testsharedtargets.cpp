#include "domainfixture.h"
#include "workflow/fillerpace.h"

#include <algorithm>

namespace sequoiastand
{

/// The pace of fillers over a series of reports, half a second apart.
struct FillerPaces : testing::Test
{
    static constexpr Duration harmBound{4'000};

    void report(double load)
    {
        now += Duration{500};
        pace = nextPace(pace, load, harmBound, now);
    }

    TimePoint now{Duration{100'000}};
    FillerPace pace{.changedAt = now};
};

TEST_F(FillerPaces, fillersThatKeepDoingHarmArePausedAfterHalfOfTheBound)
{
    pace.percent = 100;
    for (int reports = 0; reports < 4; ++reports) {
        report(1.5);
    }
    EXPECT_EQ(pace.percent, 0) << "after " << (now - TimePoint{Duration{100'000}}).count() << " ms";
}

TEST_F(FillerPaces, reportThatMayBeOlderThanThePaceChangesNothing)
{
    // Guards against lowering the pace twice because of the same harm: a report may be older than the last change of the pace.
    report(1.5);
    report(1.5);
    const int lowered = pace.percent;
    EXPECT_LT(lowered, 50);
    report(1.5);
    EXPECT_EQ(pace.percent, lowered);
}

TEST_F(FillerPaces, fillersRiseToFullSpeedWhereTheyDisturbNobody)
{
    for (int reports = 0; reports < 20; ++reports) {
        report(0.3);
    }
    EXPECT_EQ(pace.percent, 100);
}

TEST_F(FillerPaces, shareThatDidHarmIsNotUsedAgainAtOnce)
{
    pace.percent = 65;
    report(0.9);
    report(1.2);
    for (int reports = 0; reports < 12; ++reports) {
        report(0.3);
    }
    EXPECT_LT(pace.percent, 65);
    for (int reports = 0; reports < 40; ++reports) {
        report(0.3);
    }
    EXPECT_EQ(pace.percent, 100) << "the cause of a disturbance changes within seconds";
}

/// Fillers and serving tasks on the same targets. The model records an objection if a serving task stays above its latency target for too long, or if it is
/// stopped against its step's terms.
struct SharedTargets : DomainTest
{
    SharedTargets()
    {
        addHost("h1");
        addTargets(4);
        runUntil([&] { return owner() == "h1"; }, Duration{3'000});
        run(Duration{500});
    }

    /// Starts one serving task on each target.
    void serve(int number, Duration target, Duration tail, int maxUnavailable = 0)
    {
        auto work = batch(4, {8'000, 16'000, 4});
        work.steps.front().isLasting = true;
        work.steps.front().latencyTarget = target;
        work.steps.front().maxPerTarget = 1;
        work.steps.front().maxUnavailable = maxUnavailable;
        submit(id(number), work, {.tail = tail}, "h1", "/ordinary/");
        runUntil([&] { return fleet.starts[id(number)] == 4; }, Duration{2'000});
    }

    void fill(int number, int tasks, Duration disturbance, Duration work)
    {
        auto fillers = batch(tasks, {32'000, 1'000, 0});
        fillers.steps.front().isFiller = true;
        submit(id(number), fillers, {.work = work, .disturbance = disturbance}, "h1", "/patient/");
    }

    int paceOf(int number) const
    {
        int highest = 0;
        for (const auto &[target, row] : fleet.targets) {
            for (const auto &[task, run] : row.running) {
                highest = task.step.workflow == id(number) ? std::max(highest, run.pace) : highest;
            }
        }
        return highest;
    }
};

TEST_F(SharedTargets, processorsOfFillersAreNotReserved)
{
    serve(1, Duration{100}, Duration{20});
    fill(2, 8, Duration{0}, Duration{2'000});
    runUntil([&] { return fleet.starts[id(2)] == 8; }, Duration{2'000});
}

TEST_F(SharedTargets, fillersThatDisturbAreSlowedBeforeTheyDoHarm)
{
    serve(1, Duration{100}, Duration{40});
    fill(2, 4, Duration{150}, Duration{60'000});
    run(Duration{30'000});
    EXPECT_LE(paceOf(2), 45);
}

TEST_F(SharedTargets, fillersBesideQuietServingTasksReachFullSpeed)
{
    serve(1, Duration{100}, Duration{20});
    fill(2, 4, Duration{30}, Duration{60'000});
    run(Duration{10'000});
    EXPECT_EQ(paceOf(2), 100);
}

TEST_F(SharedTargets, newOwnerPacesFillersOfTheFormerOwner)
{
    addHost("h2");
    serve(1, Duration{100}, Duration{40});
    fill(2, 4, Duration{150}, Duration{60'000});
    run(Duration{5'000});
    kill("h1");
    run(Duration{20'000});
    EXPECT_EQ(owner(), "h2");
    EXPECT_LE(paceOf(2), 45);
}

// Guards against fillers that keep the pace of an old order, which the platform carried out after the newer ones.
TEST_F(SharedTargets, paceOfAnOrderThatIsCarriedOutLateIsCorrected)
{
    serve(1, Duration{100}, Duration{40});
    fill(2, 4, Duration{600}, Duration{60'000});
    paceDelay = Duration{11'000};
    const auto isPace = [](const TargetOrder &order) { return std::holds_alternative<PaceRun>(order.request); };
    runUntil([&] { return std::ranges::any_of(sentOrders, isPace); }, Duration{6'000});
    const auto late = *std::ranges::find_if(sentOrders, isPace);
    const auto task = std::get<PaceRun>(late.request).task;
    paceDelay = Duration{0};
    TimePoint correctAt = now + Duration{10'500};
    run(Duration{10'500});
    for (int number = 0; number < 60; ++number) {
        run(Duration{100});
        const int ordered = board("h1").fillerPaces.at(late.target).percent;
        const int pace = fleet.targets.at(late.target).running.at(task).pace;
        correctAt = pace == ordered ? now : correctAt;
        EXPECT_LE(now - correctAt, Duration{1'200}) << "works at " << pace << " instead of " << ordered << " percent";
    }
}

TEST_F(SharedTargets, urgentWorkPreemptsNoMoreLastingTasksThanTheirStepAllows)
{
    // Guards against a guarantee that can never be met beside lasting work, and against one that preempts all lasting tasks at once.
    serve(1, Duration{100}, Duration{20}, 1);
    setGuarantee("tailors", 16);
    run(Duration{2'000});
    submit(id(2), gang(1, {1'000, 1'000, 8}), {Duration{3'000}, {}}, "h1", "/urgent/");
    submit(id(3), gang(1, {1'000, 1'000, 8}), {Duration{3'000}, {}}, "h1", "/urgent/");
    runUntil([&] { return fleet.starts[id(2)] + fleet.starts[id(3)] >= 1; }, Duration{2'700});
    run(Duration{1'000});
    EXPECT_EQ(fleet.starts[id(2)] + fleet.starts[id(3)], 1);
}

}
