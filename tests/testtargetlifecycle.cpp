#include "tests/domainfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// Two hosts and eight targets that leave, disappear, restart or answer late.
struct TargetLifecycle : DomainTest
{
    TargetLifecycle()
    {
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
    }

    std::string placeOf(const RequestId &workflow)
    {
        const auto found = std::ranges::find_if(fleet.targets, [&](const auto &row) {
            return std::ranges::any_of(row.second.running, [&](const auto &run) { return run.first.step.workflow == workflow; });
        });
        return found == fleet.targets.end() ? std::string{} : found->first.value;
    }

    std::string startLongTask(int number, Duration work = Duration{60'000})
    {
        answerTo(submit(id(number), batch(1, {1'000, 1'000, 1}), {work, {}}));
        runUntil([&] { return isAtWork(fleet, id(number)); }, Duration{1'000});
        return placeOf(id(number));
    }
};

TEST_F(TargetLifecycle, taskOfATargetThatLeftStartsAgainElsewhere)
{
    // Guards against sending holds to a target that does not answer: each hold would postpone the time at which the runs on the target have certainly lapsed.
    const auto place = startLongTask(1);
    drain(place);
    run(Duration{2'000});
    unregister(place);
    removeTarget(fleet, {place});
    runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{15'000});
    EXPECT_NE(placeOf(id(1)), place);
}

TEST_F(TargetLifecycle, drainingTargetGetsNoNewWork)
{
    for (int number = 1; number <= 7; ++number) {
        drain("t" + std::to_string(number));
    }
    run(Duration{300});
    answerTo(submit(id(1), batch(8, {1'000, 1'000, 1})));
    run(Duration{3'000});
    for (const auto &order : sentOrders) {
        if (std::holds_alternative<StartRun>(order.request)) {
            EXPECT_EQ(order.target.value, "t8");
        }
    }
}

// Guards against a restarted owner that uses a target which has left while no host was up.
TEST_F(TargetLifecycle, targetThatLeftWhileAllHostsWereDownGetsNoOrderAfterTheirRestart)
{
    kill("h1");
    kill("h2");
    unregister("t1");
    run(Duration{3'000});
    start("h1");
    start("h2");
    sentOrders.clear();
    runUntil([&] { return !owner().empty(); }, Duration{5'000});
    answerTo(submit(id(1), batch(64, {1'000, 1'000, 1})));
    run(Duration{3'000});
    EXPECT_TRUE(std::ranges::none_of(sentOrders, [](const TargetOrder &order) { return order.target.value == "t1"; }));
}

// Guards against a start on a leaving target: the repetition of an unanswered start was sent for seconds after the target had begun to drain.
TEST_F(TargetLifecycle, unansweredStartIsNotRepeatedOnceItsTargetDrains)
{
    startDelay = Duration{20'000};
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    const auto isStart = [](const TargetOrder &order) { return std::holds_alternative<StartRun>(order.request); };
    runUntil([&] { return std::ranges::any_of(sentOrders, isStart); }, Duration{500});
    const auto place = std::ranges::find_if(sentOrders, isStart)->target;
    drain(place.value);
    run(Duration{200});
    sentOrders.clear();
    run(Duration{2'500});
    EXPECT_TRUE(std::ranges::none_of(sentOrders, [&](const TargetOrder &order) { return isStart(order) && order.target == place; }));
}

// Guards against a start in a zone that may have been evacuated meanwhile: the repetition of an unanswered start needs no new record, but a new proof.
TEST_F(TargetLifecycle, unansweredStartIsNotRepeatedWithoutARecentProof)
{
    startDelay = Duration{20'000};
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1})));
    const auto isStart = [](const TargetOrder &order) { return std::holds_alternative<StartRun>(order.request); };
    runUntil([&] { return std::ranges::any_of(sentOrders, isStart); }, Duration{500});
    board(owner()).view.proof.reset();
    board(owner()).view.provenAt = now - settings.limits.maxProofAge;
    board(owner()).view.nextProofAt = now + Duration{2'000};
    sentOrders.clear();
    run(Duration{900});
    EXPECT_TRUE(std::ranges::none_of(sentOrders, isStart));
}

TEST_F(TargetLifecycle, evacuatedZoneGetsNoNewWorkUntilItIsBack)
{
    evacuate("a");
    run(Duration{300});
    answerTo(submit(id(1), batch(40, {1'000, 1'000, 1}), {Duration{10'000}, {}}));
    run(Duration{1'000});
    const auto runsIn = [&](const std::string &zone) {
        int runs = 0;
        for (const auto &[target, model] : fleet.targets) {
            runs += model.registration.availabilityZone.value == zone ? static_cast<int>(model.running.size()) : 0;
        }
        return runs;
    };
    EXPECT_EQ(runsIn("a"), 0);
    EXPECT_EQ(runsIn("b"), 32);
    returnZone("a");
    run(Duration{1'000});
    EXPECT_EQ(runsIn("a"), 8);
}

TEST_F(TargetLifecycle, restartedTargetRunsItsTaskAgain)
{
    const auto place = startLongTask(1, Duration{3'000});
    crash(place);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{8'000});
    EXPECT_EQ(fleet.starts[id(1)], 2);
}

TEST_F(TargetLifecycle, shortLossOfConnectionLosesNoWork)
{
    const auto place = startLongTask(1, Duration{10'000});
    cutOff(place);
    run(Duration{6'500});
    reconnect(place);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{8'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

// Guards against giving up the work of an overloaded target: each of its answers arrives after the timeout of an ordinary hold.
TEST_F(TargetLifecycle, workOfATargetThatAnswersLateIsNeitherGivenUpNorStartedElsewhere)
{
    const auto place = startLongTask(1, Duration{20'000});
    slowTargets[{place}] = Duration{1'200};
    run(Duration{15'000});
    EXPECT_EQ(placeOf(id(1)), place);
    slowTargets.clear();
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{8'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

TEST_F(TargetLifecycle, registrationThatLapsedIsNoReasonToRunATaskTwice)
{
    const auto place = startLongTask(1, Duration{6'000});
    unregister(place);
    run(Duration{2'000});
    registerAgain(place);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{8'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

TEST_F(TargetLifecycle, outcomeOfAnUnansweredStartIsKnownBeforeTheTaskRunsElsewhere)
{
    losesStartAnswers = true;
    answerTo(submit(id(1), gang(3, {4'000, 8'000, 4}), {Duration{1'000}, {}}));
    run(Duration{400});
    losesStartAnswers = false;
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{8'000});
}

TEST_F(TargetLifecycle, startThatIsExecutedSecondsLaterRunsNothingTwice)
{
    startDelay = Duration{3'000};
    answerTo(submit(id(1), batch(4, {1'000, 1'000, 1}), {Duration{5'000}, {}}));
    run(Duration{500});
    startDelay = Duration{0};
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{20'000});
}

TEST_F(TargetLifecycle, lateStartDoesNotRunOnTheNextInstanceOfItsTarget)
{
    lateOrdersSurvive = true;
    startDelay = Duration{3'000};
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{2'000}, {}}));
    run(Duration{100});
    startDelay = Duration{0};
    runUntil([&] { return isAtWork(fleet, id(1)); }, Duration{3'000});
    crash(placeOf(id(1)));
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{20'000});
    run(Duration{5'000});
}

TEST_F(TargetLifecycle, startThatReachedANewInstanceBeforeItWasKnownIsFoundThere)
{
    // The registration of the new instance arrives late, and the new instance executes a start that is sent before the registration arrives.
    const auto place = startLongTask(1, Duration{20'000});
    store.faults.watchLatency = Duration{600};
    for (int number = 1; number <= 8; ++number) {
        crash("t" + std::to_string(number));
    }
    answerTo(submit(id(2), batch(16, {1'000, 1'000, 1}), {Duration{3'000}, {}}));
    runUntil([&] { return storedState(id(2)) == WorkflowState::Completed; }, Duration{15'000});
    EXPECT_EQ(fleet.starts[id(2)], 16);
}

TEST_F(TargetLifecycle, startThatANewInstanceHasAnsweredBeforeItWasKnownIsNotLost)
{
    // In each round the start reaches the new instance at another time, before or after its registration is known.
    for (int latency = 5; latency <= 60; latency += 5) {
        store.faults.watchLatency = Duration{latency};
        for (int number = 1; number <= 8; ++number) {
            crash("t" + std::to_string(number));
        }
        const auto workflow = id(latency);
        answerTo(submit(workflow, batch(16, {1'000, 1'000, 1}), {Duration{1'000}, {}}));
        runUntil([&] { return storedState(workflow) == WorkflowState::Completed; }, Duration{15'000});
        EXPECT_EQ(fleet.starts[workflow], 16) << "watch latency " << latency;
    }
}

TEST_F(TargetLifecycle, workContinuesDuringAnOutageOfTheStore)
{
    startLongTask(1, Duration{8'000});
    store.faults.isDown = true;
    run(Duration{6'000});
    store.faults.isDown = false;
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{10'000});
    EXPECT_EQ(fleet.starts[id(1)], 1);
}

TEST_F(TargetLifecycle, endsAreKeptUntilTheyAreStored)
{
    const auto place = startLongTask(1, Duration{1'000});
    store.faults.isDown = true;
    run(Duration{2'000});
    EXPECT_EQ(fleet.targets.at({place}).ended.size(), 1U) << "an end that is not stored was acknowledged to the target";
    store.faults.isDown = false;
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{8'000});
    runUntil([&] { return fleet.targets.at({place}).ended.empty(); }, Duration{3'000});
}

TEST_F(TargetLifecycle, reclaimPreemptsPatientWorkForAnUrgentGang)
{
    answerTo(submit(id(1), batch(64, {1'000, 1'000, 1}), {Duration{60'000}, {}}, "h1", "/patient/"));
    run(Duration{500});
    answerTo(submit(id(2), gang(2, {8'000, 8'000, 8})));
    runUntil([&] { return isAtWork(fleet, id(2)); }, Duration{1'000});
    EXPECT_TRUE(isAtWork(fleet, id(1)));
}

TEST_F(TargetLifecycle, watchWithoutEventsDelaysADrainNoLongerThanItsBound)
{
    run(Duration{2'000});
    store.faults.areWatchesSilent = true;
    for (int number = 1; number <= 7; ++number) {
        drain("t" + std::to_string(number));
    }
    run(Duration{1'000});
    forgetHistory(store);
    store.faults.areWatchesSilent = false;
    run(Duration{800});
    sentOrders.clear();
    answerTo(submit(id(1), batch(8, {1'000, 1'000, 1})));
    run(Duration{1'000});
    for (const auto &order : sentOrders) {
        if (std::holds_alternative<StartRun>(order.request)) {
            EXPECT_EQ(order.target.value, "t8");
        }
    }
}

TEST_F(TargetLifecycle, stopsForALostTargetAreRepeatedWithADelay)
{
    // Guards against repeating a stop as soon as the connection is refused, about a thousand times a second.
    const auto place = startLongTask(1);
    removeTarget(fleet, {place});
    answerTo(cancel(id(1)));
    sentOrders.clear();
    run(Duration{2'000});
    const auto stops = std::ranges::count_if(sentOrders, [](const TargetOrder &order) { return std::holds_alternative<StopRun>(order.request); });
    EXPECT_GE(stops, 2);
    EXPECT_LE(stops, 8);
}

TEST_F(TargetLifecycle, finishOfARunPresumedLostCountsThoughTheTaskRunsAgain)
{
    // Guards against a later step that waits for the second run of a task although the first run has finished on a target that was cut off.
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{6'000}, {}}));
    runUntil([&] { return fleet.starts[id(1)] == 1; }, Duration{1'000});
    const auto cut = std::ranges::find_if(fleet.targets, [](const auto &row) { return !row.second.running.empty(); })->first;
    cutOff(cut.value);
    runUntil([&] { return fleet.starts[id(1)] == 2; }, Duration{14'000});
    run(Duration{500});
    reconnect(cut.value);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{2'000});
    run(Duration{1'000});
    EXPECT_FALSE(isAtWork(fleet, id(1))) << "the second run was not stopped";
}

// Guards against more attempts than the queue allows: the first run fails on a target that is cut off, and its end is listed only after the run was presumed lost.
TEST_F(TargetLifecycle, failureOfARunPresumedLostCountsAsAnAttempt)
{
    constexpr int firstTask = 0;
    const int attempts = configuration.queues.at({"urgent"}).maxAttempts;
    answerTo(submit(id(1), batch(1, {1'000, 1'000, 1}), {Duration{6'000}, {firstTask}}));
    runUntil([&] { return fleet.starts[id(1)] == 1; }, Duration{1'000});
    const auto cut = std::ranges::find_if(fleet.targets, [](const auto &row) { return !row.second.running.empty(); })->first;
    cutOff(cut.value);
    runUntil([&] { return fleet.starts[id(1)] == 2; }, Duration{14'000});
    run(Duration{500});
    reconnect(cut.value);
    runUntil([&] { return storedState(id(1)) == WorkflowState::Failed; }, Duration{20'000});
    EXPECT_EQ(fleet.starts[id(1)], attempts);
}

TEST_F(TargetLifecycle, finishOfALostGangCountsThoughTheGangRunsAgain)
{
    answerTo(submit(id(1), gang(3, {1'000, 1'000, 8}), {Duration{6'000}, {}}));
    runUntil([&] { return fleet.starts[id(1)] == 3; }, Duration{1'000});
    run(Duration{300});
    std::vector<std::string> cut;
    for (const auto &[target, row] : fleet.targets) {
        if (!row.running.empty()) {
            cut.push_back(target.value);
        }
    }
    std::ranges::for_each(cut, [&](const std::string &target) { cutOff(target); });
    runUntil([&] { return fleet.starts[id(1)] == 6; }, Duration{14'000});
    run(Duration{500});
    std::ranges::for_each(cut, [&](const std::string &target) { reconnect(target); });
    runUntil([&] { return storedState(id(1)) == WorkflowState::Completed; }, Duration{2'000});
    run(Duration{1'000});
    EXPECT_FALSE(isAtWork(fleet, id(1)));
}

}
